//! Randomised simulations of several shards with overlapping failures.

use std::time::Duration;

use persimmongate_core::job::Step;
use rand::RngExt;

use super::{flood, millis};
use crate::federation::Federation;
use crate::world::{Faults, step};

/// Number of seeds.
const SEEDS: u64 = 12;
/// Rounds of a simulation, each of 200 ms.
const ROUNDS: usize = 300;

/// Simulates shards with overlapping failures, while the demand of two accounts moves between them.
fn simulate(seed: u64) -> Federation {
    let mut limits = [("a", 24), ("b", 10)];
    let mut federation = Federation::new(3, 4, seed, &limits);
    for shard in &mut federation.shards {
        shard.faults = Faults {
            unanswered_calls: 20,
            delayed_calls: 20,
            failed_runs: 30,
            ..Faults::default()
        };
    }
    for round in 0..ROUNDS {
        let turn = (round / 20) % 3;
        let (fault, position, worker) = {
            let random = federation.shards[0].random();
            (
                random.random_range(0..200),
                random.random_range(0..3),
                random.random_range(0..4),
            )
        };
        let name = format!("w{worker}");
        let shard = &mut federation.shards[position];
        let leader = shard.leaders.len() - 1;
        match fault {
            0..3 => {
                let now = shard.now;
                shard.workers.get_mut(&name).unwrap().restart(now);
                shard.set_listed(&name, true);
            }
            3..6 => {
                let worker = shard.workers.get_mut(&name).unwrap();
                worker.is_reachable = !worker.is_reachable;
            }
            6 => shard.leaders[leader].is_up = false,
            7..9 => {
                shard.leaders[leader].is_log_reachable = !shard.leaders[leader].is_log_reachable;
            }
            9..13 => {
                shard.elect_leader();
            }
            13 => shard.leaders[leader].backlog = Some(Vec::new()),
            14..18 => shard.resume_leader(),
            18 => federation.is_lender_up = !federation.is_lender_up,
            19 => federation.is_lender_served = !federation.is_lender_served,
            20..22 => federation.replace_lender(),
            22 => {
                let cores = federation.shards[0].random().random_range(6..40);
                limits[0].1 = cores;
                federation.set_limits(&limits);
            }
            _ => {}
        }
        for (account, jobs) in [("a", 3), ("b", 1)] {
            let name = format!("round-{round}");
            flood(&mut federation, turn, account, &name, jobs);
        }
        federation.run(millis(200));
        federation.settle_limits(&limits);
    }
    federation
}

#[test]
fn verify_limits_hold_under_overlapping_failures() {
    for seed in 0..SEEDS {
        let federation = simulate(seed);
        assert_eq!(
            federation.violations_found(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        let starts: u64 = federation
            .shards
            .iter()
            .map(|shard| shard.start_count)
            .sum();
        assert!(starts > 200, "seed {seed}: {starts}");
    }
}

/// Simulates shards without failures whose tasks are up to 6 cores large, of an account of 10 cores, and returns the
/// longest time in which less than half of them were in use.
fn longest_idle_time(seed: u64) -> Duration {
    let mut federation = Federation::new(6, 2, seed, &[("a", 10)]);
    federation.largest_task = 6_000;
    federation.run(millis(1_000));
    let (mut idle, mut longest) = (Duration::ZERO, Duration::ZERO);
    for round in 0..400 {
        if round % 8 == 0 {
            for position in 0..6 {
                let cores = federation.shards[0].random().random_range(1..7);
                let task = Step {
                    cpu_millicores: cores * 1_000,
                    ..step(4, 500, &[])
                };
                let id = format!("job-{position}-{round}");
                federation.shards[position].submit_for("a", &id, vec![task]);
            }
        }
        federation.run(millis(50));
        idle = if federation.used("a") < 5_000 {
            idle + millis(50)
        } else {
            Duration::ZERO
        };
        longest = longest.max(idle);
    }
    assert_eq!(federation.violations_found(), Vec::<String>::new());
    for shard in &federation.shards {
        assert!(shard.start_count >= 4, "seed {seed}: {}", shard.start_count);
    }
    longest
}

#[test]
fn verify_account_with_large_tasks_in_all_shards_is_never_idle_for_long() {
    for seed in 0..SEEDS {
        let idle = longest_idle_time(seed);
        println!("seed {seed}: {idle:?}");
        assert!(idle < millis(3_000), "seed {seed}: {idle:?}");
    }
}
