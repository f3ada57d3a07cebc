//! Workers that can't be reached for a while and stay listed.

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
