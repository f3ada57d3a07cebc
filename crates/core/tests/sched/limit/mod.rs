//! Limits of client accounts over several shards.

mod failure;
mod soak;

use std::time::Duration;

use persimmongate_core::account::Directory;
use persimmongate_core::job::{Outcome, Step};

use crate::federation::Federation;
use crate::seconds;
use crate::world::step;

fn assert_sound(federation: &Federation) {
    assert_eq!(federation.violations_found(), Vec::<String>::new());
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Submits jobs of an account in a shard, each of 8 tasks that reserve 2 cores for half a second.
fn flood(federation: &mut Federation, position: usize, account: &str, name: &str, jobs: usize) {
    for number in 0..jobs {
        let id = format!("{account}-{position}-{name}-{number}");
        federation.shards[position].submit_for(account, &id, vec![step(8, 500, &[])]);
    }
}

/// Runs for a time and returns the most millicores that an account had in use.
fn peak(federation: &mut Federation, account: &str, time: Duration) -> u64 {
    let mut peak = 0;
    for _ in 0..time.as_millis() / 50 {
        federation.run(millis(50));
        peak = peak.max(federation.used(account));
    }
    peak
}

// A flood of one account in all pools at once.
#[test]
fn verify_account_stays_within_its_limit_over_all_shards() {
    let mut federation = Federation::new(3, 6, 1, &[("a", 20)]);
    federation.run(seconds(1));
    for position in 0..3 {
        flood(&mut federation, position, "a", "flood", 20);
    }
    let peak = peak(&mut federation, "a", seconds(5));
    assert_sound(&federation);
    // The part of each pool leaves less than a task of 2 cores unused.
    assert!(peak > 20_000 - 3 * 2_000, "{peak}");
    assert!(peak <= 20_000, "{peak}");
    for shard in &federation.shards {
        assert!(shard.start_count > 0);
    }
}

// The demand of an account moves from one pool to the next every 4 s.
#[test]
fn verify_demand_that_moves_finds_its_limit_in_the_next_pool() {
    let mut federation = Federation::new(4, 8, 1, &[("a", 48)]);
    federation.run(seconds(1));
    for turn in 0..8 {
        let position = turn % 4;
        // Work for 3 s at the limit.
        flood(&mut federation, position, "a", &format!("turn-{turn}"), 18);
        let most = peak(&mut federation, "a", millis(500));
        assert!(most >= 48_000 * 8 / 10, "turn {turn}: {most}");
        federation.run(millis(3_500));
        let id = format!("a-{position}-turn-{turn}-17");
        assert_eq!(
            federation.shards[position].outcome(&id),
            Some(Outcome::Completed)
        );
    }
    assert_sound(&federation);
}

#[test]
fn verify_limit_that_nobody_comes_near_costs_no_messages() {
    let mut federation = Federation::new(3, 6, 1, &[("a", 400)]);
    federation.run(seconds(1));
    for position in 0..3 {
        flood(&mut federation, position, "a", "first", 1);
    }
    federation.run(seconds(2));
    let calls = federation.calls;
    for number in 0..20 {
        flood(
            &mut federation,
            number % 3,
            "a",
            &format!("job-{number}"),
            1,
        );
        federation.run(millis(500));
    }
    assert_eq!(federation.calls, calls);
    assert_sound(&federation);
}

#[test]
fn verify_configuration_without_limits_costs_no_messages() {
    let mut federation = Federation::new(2, 4, 1, &[]);
    flood(&mut federation, 0, "a", "flood", 5);
    federation.run(seconds(5));
    assert_eq!(federation.calls, 0);
    assert!(federation.shards[0].start_count >= 40);
    assert_sound(&federation);
}

// Long tasks run in two shards when the limit falls below them; units that are free elsewhere start nothing meanwhile.
#[test]
fn verify_nothing_starts_while_use_in_other_shards_exceeds_a_limit_that_fell() {
    let mut federation = Federation::new(4, 6, 1, &[("a", 400)]);
    federation.run(seconds(1));
    for (position, wait) in [(0, 5_000), (1, 8_000)] {
        let steps = vec![step(10, wait, &[])];
        federation.shards[position].submit_for("a", "running", steps);
    }
    federation.run(seconds(1));
    assert_eq!(federation.used("a"), 40_000);
    federation.set_limits(&[("a", 8)]);
    // The shards that use more tell the lender of it.
    federation.run(millis(200));
    federation.settle_limits(&[("a", 8)]);
    for position in 0..4 {
        federation.shards[position].submit_for("a", "later", vec![step(8, 500, &[])]);
    }
    federation.run(seconds(2));
    assert_eq!(federation.used("a"), 40_000);
    federation.run(seconds(3));
    assert_eq!(federation.used("a"), 20_000);
    assert_sound(&federation);
    // The units are used again soon.
    federation.run(seconds(3));
    assert!(peak(&mut federation, "a", seconds(1)) >= 6_000);
    federation.run(seconds(6));
    for position in 0..4 {
        let outcome = federation.shards[position].outcome("later");
        assert_eq!(outcome, Some(Outcome::Completed));
    }
    assert_sound(&federation);
}

// The use above the limit shrinks by a task at a time.
#[test]
fn verify_use_that_falls_below_the_limit_leaves_room_for_others() {
    let mut federation = Federation::new(3, 6, 1, &[("a", 400)]);
    federation.run(seconds(1));
    for number in 0..10 {
        let steps = vec![step(1, 2_000 + 500 * number, &[])];
        let id = format!("running-{number}");
        federation.shards[0].submit_for("a", &id, steps);
    }
    federation.run(seconds(1));
    assert_eq!(federation.used("a"), 20_000);
    federation.set_limits(&[("a", 12)]);
    federation.run(millis(200));
    federation.settle_limits(&[("a", 12)]);
    for position in 1..3 {
        flood(&mut federation, position, "a", "later", 20);
    }
    let mut most = 0;
    for _ in 0..90 {
        federation.run(millis(50));
        let later = federation.shards[1..].iter().map(|s| s.used_by("a"));
        most = later.sum::<u64>().max(most);
    }
    assert_sound(&federation);
    // Half of the limit is free by now.
    assert!(most >= 4_000, "{most}");
    assert!(peak(&mut federation, "a", seconds(2)) >= 10_000);
    assert_sound(&federation);
}

// Nothing that runs is stopped, and nothing more starts until there is room.
#[test]
fn verify_limit_falls_far_below_what_runs() {
    let mut federation = Federation::new(2, 6, 1, &[("a", 40)]);
    federation.run(seconds(1));
    let steps = vec![step(20, 4_000, &[])];
    federation.shards[0].submit_for("a", "running", steps);
    federation.run(seconds(1));
    assert_eq!(federation.used("a"), 40_000);
    federation.set_limits(&[("a", 8)]);
    federation.settle_limits(&[("a", 8)]);
    federation.shards[0].submit_for("a", "later", vec![step(8, 500, &[])]);
    federation.shards[1].submit_for("a", "elsewhere", vec![step(8, 500, &[])]);
    federation.run(seconds(2));
    assert_eq!(federation.used("a"), 40_000);
    assert_eq!(federation.shards[0].stop_count, 0);
    federation.run(seconds(6));
    assert_eq!(
        federation.shards[0].outcome("later"),
        Some(Outcome::Completed)
    );
    assert_eq!(
        federation.shards[1].outcome("elsewhere"),
        Some(Outcome::Completed)
    );
    assert_sound(&federation);
}

#[test]
fn verify_limit_that_rises_is_used_in_all_shards() {
    let mut federation = Federation::new(2, 6, 1, &[("a", 8)]);
    federation.run(seconds(1));
    for position in 0..2 {
        flood(&mut federation, position, "a", "flood", 30);
    }
    assert_eq!(peak(&mut federation, "a", seconds(2)), 8_000);
    // Two changes follow each other at once.
    federation.set_limits(&[("a", 4)]);
    federation.set_limits(&[("a", 64)]);
    assert_eq!(peak(&mut federation, "a", seconds(2)), 64_000);
    assert_sound(&federation);
}

// The shards have a part of the limit each that is too small for the task.
#[test]
fn verify_task_larger_than_an_allowance_gets_the_units_of_all_shards() {
    let mut federation = Federation::new(4, 4, 1, &[("a", 8)]);
    federation.largest_task = 7_000;
    federation.run(seconds(1));
    for position in 0..4 {
        let steps = vec![step(1, 300, &[])];
        federation.shards[position].submit_for("a", "small", steps);
    }
    federation.run(seconds(2));
    let large = Step {
        cpu_millicores: 7_000,
        ..step(1, 500, &[])
    };
    federation.shards[2].submit_for("a", "large", vec![large]);
    federation.run(seconds(1));
    assert_eq!(
        federation.shards[2].outcome("large"),
        Some(Outcome::Completed)
    );
    assert_sound(&federation);
}

#[test]
fn verify_gang_waits_for_units_for_all_of_its_tasks() {
    let mut federation = Federation::new(3, 4, 1, &[("a", 12)]);
    federation.run(seconds(1));
    for position in 0..3 {
        let steps = vec![step(2, 300, &[])];
        federation.shards[position].submit_for("a", "small", steps);
    }
    federation.run(seconds(2));
    let gang = Step {
        is_gang: true,
        ..step(6, 500, &[])
    };
    federation.shards[1].submit_for("a", "gang", vec![gang.clone()]);
    federation.run(seconds(2));
    assert_eq!(
        federation.shards[1].outcome("gang"),
        Some(Outcome::Completed)
    );
    // One that exceeds the limit never starts, and holds nothing up.
    let steps = vec![Step { count: 7, ..gang }];
    federation.shards[1].submit_for("a", "too-large", steps);
    flood(&mut federation, 1, "a", "other", 2);
    federation.run(seconds(4));
    assert_eq!(
        federation.shards[1].outcome("a-1-other-1"),
        Some(Outcome::Completed)
    );
    assert_eq!(federation.shards[1].outcome("too-large"), None);
    assert_sound(&federation);
}

// The fair part of each shard is 1.5 cores, and each task needs 2.
#[test]
fn verify_shards_take_turns_when_their_parts_are_smaller_than_a_task() {
    let mut federation = Federation::new(8, 2, 1, &[("a", 12)]);
    federation.run(seconds(1));
    for position in 0..8 {
        flood(&mut federation, position, "a", "flood", 20);
    }
    federation.run(seconds(2));
    let mut starved = 0;
    for _ in 0..200 {
        federation.run(millis(50));
        if federation.used("a") < 6_000 {
            starved += 1;
        }
    }
    assert_sound(&federation);
    assert!(starved < 40, "{starved}");
    for shard in &federation.shards {
        assert!(shard.start_count >= 4, "{}", shard.start_count);
    }
}

// Small tasks in the other shards come all the time.
#[test]
fn verify_task_larger_than_its_part_gets_its_turn() {
    let mut federation = Federation::new(4, 4, 2, &[("a", 8)]);
    federation.largest_task = 8_000;
    federation.run(seconds(1));
    let large = Step {
        cpu_millicores: 6_000,
        ..step(1, 500, &[])
    };
    federation.shards[3].submit_for("a", "large", vec![large]);
    for position in 0..3 {
        flood(&mut federation, position, "a", "flood", 40);
    }
    federation.run(seconds(8));
    assert_eq!(
        federation.shards[3].outcome("large"),
        Some(Outcome::Completed)
    );
    for shard in &federation.shards[..3] {
        assert!(shard.start_count >= 4, "{}", shard.start_count);
    }
    assert_sound(&federation);
}

// A task that exceeds the limit by itself is one task more.
#[test]
fn verify_task_larger_than_its_limit_runs_alone() {
    let mut federation = Federation::new(2, 4, 1, &[("a", 4)]);
    federation.largest_task = 6_000;
    federation.run(seconds(1));
    flood(&mut federation, 0, "a", "before", 1);
    let large = Step {
        cpu_millicores: 6_000,
        ..step(2, 500, &[])
    };
    federation.shards[0].submit_for("a", "large", vec![large]);
    assert_eq!(peak(&mut federation, "a", seconds(8)), 6_000);
    assert_eq!(
        federation.shards[0].outcome("large"),
        Some(Outcome::Completed)
    );
    assert_sound(&federation);
}

#[test]
fn verify_small_tasks_do_not_keep_a_large_one_from_its_turn() {
    let mut federation = Federation::new(1, 4, 1, &[("a", 8)]);
    federation.largest_task = 8_000;
    federation.run(seconds(1));
    flood(&mut federation, 0, "a", "before", 2);
    federation.run(millis(100));
    let large = Step {
        cpu_millicores: 8_000,
        ..step(1, 100, &[])
    };
    federation.shards[0].submit_for("a", "large", vec![large]);
    federation.run(millis(100));
    for number in 0..30 {
        flood(&mut federation, 0, "a", &format!("after-{number}"), 1);
        federation.run(millis(200));
    }
    assert_eq!(
        federation.shards[0].outcome("large"),
        Some(Outcome::Completed)
    );
    assert_sound(&federation);
}

#[test]
fn verify_shard_whose_service_is_gone_returns_its_units() {
    let mut federation = Federation::new(2, 6, 1, &[("a", 20)]);
    federation.run(seconds(1));
    flood(&mut federation, 0, "a", "flood", 2);
    federation.run(seconds(4));
    federation.shards[0].set_accounts(Directory::default());
    flood(&mut federation, 1, "a", "flood", 10);
    assert_eq!(peak(&mut federation, "a", seconds(2)), 20_000);
    assert_sound(&federation);
}

/// Submits work that no worker can take and that ranks before all other of its account, and then small tasks.
fn submit_behind_blocked(blocked: Step) -> Federation {
    let mut federation = Federation::new(1, 2, 1, &[("a", 16)]);
    federation.run(seconds(1));
    federation.shards[0].submit_for("a", "long", vec![step(3, 60_000, &[])]);
    federation.run(millis(500));
    federation.shards[0].submit_for("a", "blocked", vec![blocked]);
    federation.run(millis(500));
    flood(&mut federation, 0, "a", "later", 2);
    federation.run(seconds(5));
    for id in ["a-0-later-0", "a-0-later-1"] {
        assert_eq!(
            federation.shards[0].outcome(id),
            Some(Outcome::Completed),
            "{id}"
        );
    }
    assert_eq!(federation.shards[0].outcome("blocked"), None);
    assert_sound(&federation);
    federation
}

#[test]
fn verify_task_that_no_worker_can_take_holds_nothing_up() {
    submit_behind_blocked(Step {
        cpu_millicores: 12_000,
        ..step(1, 500, &[])
    });
    submit_behind_blocked(Step {
        required_label: Some("absent".into()),
        cpu_millicores: 11_000,
        ..step(1, 500, &[])
    });
}

// Each of its tasks finds room, but not all at once.
#[test]
fn verify_gang_that_workers_have_no_room_for_holds_nothing_up() {
    submit_behind_blocked(Step {
        is_gang: true,
        cpu_millicores: 7_000,
        ..step(2, 500, &[])
    });
}
