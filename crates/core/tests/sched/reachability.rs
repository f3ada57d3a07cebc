//! Workers that can't be reached for a while and stay listed.

use std::time::Duration;

use persimmongate_core::job::Outcome;
use test_case::test_case;

use crate::world::{World, long_running, step};
use crate::{assert_no_violations, seconds};

// Guards against a leader that never polls a worker again once the lease of its runs has expired,
// and so gives it no task for the rest of the term.
#[test_case(true, 12; "with a long-running task")]
#[test_case(false, 12; "with a short task")]
#[test_case(true, 60; "with a long-running task after a minute")]
#[test_case(false, 60; "with a short task after a minute")]
fn verify_worker_that_is_reachable_again_gets_tasks(is_long_running: bool, cut_seconds: u64) {
    let mut world = World::new(1, 1);
    if is_long_running {
        world.submit("job", vec![long_running(1, 0)]);
    } else {
        world.submit("job", vec![step(1, 600, &[])]);
    }
    world.run(seconds(2));
    world.submit("cut", vec![step(1, 5_000, &[])]);
    world.run(seconds(1));
    world.workers.get_mut("w0").unwrap().is_reachable = false;
    world.run(seconds(cut_seconds));
    assert_eq!(world.workers_running("job"), Vec::<String>::new());
    world.workers.get_mut("w0").unwrap().is_reachable = true;
    world.submit("later", vec![long_running(1, 0)]);
    // The longest pause between two polls, and the start.
    world.run(seconds(3));
    assert_eq!(world.workers_running("later"), ["w0"]);
    if is_long_running {
        assert_eq!(world.workers_running("job"), ["w0"]);
    }
    assert_no_violations(&world);
}

// Guards against polls of unreachable workers without a pause.
#[test]
fn verify_unreachable_worker_without_runs_is_polled_at_growing_intervals() {
    let mut world = World::new(1, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(seconds(2));
    world.workers.get_mut("w0").unwrap().is_reachable = false;
    world.run(seconds(10));
    let before = world.poll_count;
    world.run(seconds(20));
    let polls = world.poll_count - before;
    assert!((4..=10).contains(&polls), "{polls} polls in 20 s");
}

// A leader that does not reach many workers is itself cut off or overloaded: their tasks may have ended.
#[test_case(6; "for 6 s")]
#[test_case(12; "for 12 s")]
fn verify_tasks_that_ended_unseen_on_many_workers_do_not_start_again(cut_seconds: u64) {
    let mut world = World::new(8, 1);
    world.run(seconds(1));
    world.submit("job", vec![step(32, 600, &[])]);
    world.run(Duration::from_millis(100));
    assert_eq!(world.start_count, 32);
    for name in ["w0", "w1", "w2", "w3"] {
        world.workers.get_mut(name).unwrap().is_reachable = false;
    }
    world.run(seconds(cut_seconds));
    for name in ["w0", "w1", "w2", "w3"] {
        world.workers.get_mut(name).unwrap().is_reachable = true;
    }
    world.run(seconds(4));
    assert_eq!(world.start_count, 32);
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_no_violations(&world);
}

// A single worker that does not answer while the others do is waited for less long.
#[test]
fn verify_tasks_of_one_unreachable_worker_start_elsewhere() {
    let mut world = World::new(8, 1);
    world.submit("job", vec![step(8, 5_000, &[])]);
    world.run(seconds(1));
    let running = world.workers_running("job");
    world.workers.get_mut(&running[0]).unwrap().is_reachable = false;
    world.run(seconds(10));
    assert!(world.start_count > 8);
}
