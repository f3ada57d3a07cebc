//! Leaders and lenders that are replaced, cut off or refused by the log.

use persimmongate_core::job::Outcome;
use persimmongate_core::journal::Demand;
use persimmongate_core::limit::{Event, WHOLE};

use super::{assert_sound, flood, millis, peak};
use crate::federation::Federation;
use crate::seconds;
use crate::world::{long_running, step};

// While the lender is away, shards go on with what they have; its successor knows all that was lent.
#[test]
fn verify_shards_go_on_while_the_lender_is_replaced() {
    let mut federation = Federation::new(2, 6, 1, &[("a", 20)]);
    federation.run(seconds(1));
    flood(&mut federation, 0, "a", "flood", 40);
    federation.run(seconds(1));
    assert_eq!(federation.used("a"), 20_000);
    federation.is_lender_up = false;
    flood(&mut federation, 1, "a", "flood", 40);
    assert_eq!(peak(&mut federation, "a", seconds(2)), 20_000);
    federation.replace_lender();
    federation.run(seconds(2));
    // The pool that asked meanwhile has half of it.
    let starts = federation.shards[1].start_count;
    federation.run(seconds(2));
    assert!(federation.shards[1].start_count >= starts + 10);
    assert_sound(&federation);
}

// A leader that the log does not serve keeps its units, and those of others are not affected.
#[test]
fn verify_leader_that_the_log_refuses_gets_no_units() {
    let mut federation = Federation::new(2, 6, 1, &[("a", 20)]);
    federation.run(seconds(1));
    federation.shards[0].leaders[0].is_log_reachable = false;
    flood(&mut federation, 1, "a", "flood", 20);
    // What the leader got before anyone used the limit is out of reach meanwhile: less than a quarter.
    let most = peak(&mut federation, "a", seconds(3));
    assert!(most >= 15_000, "{most}");
    federation.shards[0].leaders[0].is_log_reachable = true;
    assert_eq!(peak(&mut federation, "a", seconds(1)), 20_000);
    flood(&mut federation, 0, "a", "flood", 10);
    federation.run(seconds(3));
    assert!(federation.shards[0].start_count > 0);
    assert_sound(&federation);
}

/// Lets an older lender lend all units again that its successor has lent.
fn lend_twice(has_fencing: bool) -> Federation {
    let mut federation = Federation::new(2, 6, 1, &[("a", 20)]);
    federation.has_fencing = has_fencing;
    federation.run(seconds(1));
    let mut old_lender = federation.take_lender();
    federation.replace_lender();
    flood(&mut federation, 0, "a", "flood", 40);
    federation.run(seconds(1));
    let demand = Demand {
        account: "a".into(),
        units: WHOLE,
        lent: 0,
        ..Demand::default()
    };
    federation.step_old_lender(0, &mut old_lender, Event::Demand(2, vec![demand]));
    flood(&mut federation, 1, "a", "flood", 40);
    federation.run(seconds(1));
    federation
}

#[test]
fn verify_log_refuses_what_an_older_lender_lends() {
    assert_sound(&lend_twice(true));
}

// The check of the limit sees it when the log lets older lenders record.
#[test]
fn verify_limit_is_exceeded_without_the_fence() {
    assert_ne!(lend_twice(false).violations, Vec::<String>::new());
}

/// Replaces a leader that goes on without the log, while its successor gives units away that its runs may use.
fn take_over_from_a_leader_that_goes_on(has_fencing: bool) -> Federation {
    let mut federation = Federation::new(2, 6, 1, &[("a", 20)]);
    federation.run(seconds(1));
    federation.shards[0].has_fencing = has_fencing;
    let steps = vec![step(1, 1_000, &[]), step(9, 3_000, &[0])];
    federation.shards[0].submit_for("a", "job", steps);
    federation.run(millis(300));
    let demand = Demand {
        account: "a".into(),
        units: WHOLE,
        lent: 0,
        ..Demand::default()
    };
    federation.demand(1, demand);
    federation.run(millis(100));
    federation.shards[0].leaders[0].is_log_reachable = false;
    for name in ["w0", "w1", "w2", "w3", "w4", "w5"] {
        federation.shards[0].cuts.insert((1, name.into()));
    }
    federation.shards[0].elect_leader();
    federation.shards[0].cancel("job");
    flood(&mut federation, 1, "a", "flood", 40);
    federation.run(seconds(12));
    federation
}

#[test]
fn verify_units_of_unreachable_workers_are_kept_until_their_leases_end() {
    let mut federation = take_over_from_a_leader_that_goes_on(true);
    assert_sound(&federation);
    let peak = peak(&mut federation, "a", seconds(2));
    assert_eq!(peak, 20_000);
}

// The workers that an older leader may have used are not known, so neither is what the account has in use.
#[test]
fn verify_account_starts_nothing_while_the_hosts_are_unknown() {
    let mut federation = Federation::new(1, 4, 1, &[("a", 20)]);
    federation.run(seconds(1));
    flood(&mut federation, 0, "a", "before", 1);
    federation.run(seconds(2));
    let shard = &mut federation.shards[0];
    shard.leaders[0].is_up = false;
    shard.has_complete_hosts = false;
    shard.elect_leader();
    let starts = shard.start_count;
    flood(&mut federation, 0, "a", "after", 1);
    federation.run(seconds(2));
    assert_eq!(federation.shards[0].start_count, starts);
    // A job without an account starts at once.
    federation.shards[0].submit("other", vec![step(1, 300, &[])]);
    federation.run(seconds(1));
    assert_eq!(
        federation.shards[0].outcome("other"),
        Some(Outcome::Completed)
    );
    // No run of an older leader is left 8.3 s after the claim.
    federation.run(seconds(8));
    assert_eq!(
        federation.shards[0].outcome("a-0-after-0"),
        Some(Outcome::Completed)
    );
    assert_sound(&federation);
}

#[test]
fn verify_unreachable_workers_count_with_their_whole_capacity() {
    let mut federation = Federation::new(1, 4, 1, &[("a", 20)]);
    federation.run(seconds(1));
    flood(&mut federation, 0, "a", "before", 3);
    federation.run(seconds(3));
    let shard = &mut federation.shards[0];
    shard.leaders[0].is_up = false;
    shard.cuts.insert((1, "w0".into()));
    shard.cuts.insert((1, "w1".into()));
    shard.elect_leader();
    flood(&mut federation, 0, "a", "after", 5);
    // Two workers of 8 cores leave 4 of 20.
    assert_eq!(peak(&mut federation, "a", seconds(2)), 4_000);
    federation.run(seconds(8));
    assert_eq!(
        federation.shards[0].outcome("a-0-after-4"),
        Some(Outcome::Completed)
    );
    assert_sound(&federation);
}

#[test]
fn verify_lasting_tasks_keep_their_units_over_a_takeover() {
    let mut federation = Federation::new(2, 6, 1, &[("a", 12)]);
    federation.run(seconds(1));
    federation.shards[0].submit_for("a", "lasting", vec![long_running(4, 1)]);
    federation.run(seconds(1));
    federation.shards[0].leaders[0].is_up = false;
    federation.shards[0].elect_leader();
    flood(&mut federation, 1, "a", "flood", 20);
    federation.run(seconds(3));
    assert_eq!(federation.shards[0].used_by("a"), 8_000);
    assert_eq!(federation.shards[0].stop_count, 0);
    assert_sound(&federation);
}
