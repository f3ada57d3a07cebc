//! Leaders with more work than their workers have room for, or than their processor keeps up with.

use std::time::Duration;

use crate::world::{World, step};
use crate::{assert_no_violations, seconds};

/// Workers of the simulated shard.
const WORKERS: usize = 200;
/// Jobs that wait for room.
const WAITING_JOBS: usize = 300;

// Guards against a leader whose placement takes all of its processor time during a peak, so that it renews
// leases too late: each event made it look at all workers and all waiting jobs.
#[test]
fn verify_placement_is_bounded_by_time_rather_than_by_events() {
    let mut world = World::new(WORKERS, 1);
    world.run(seconds(1));
    for number in 0..WORKERS + WAITING_JOBS {
        let millis = 300 + u64::try_from(number).unwrap() * 37 % 400;
        world.submit(&format!("job-{number}"), vec![step(4, millis, &[])]);
    }
    world.run(Duration::from_millis(100));
    let passes = world.count("placement_passes");
    world.run(seconds(1));
    let passes = world.count("placement_passes") - passes;
    // A task that waits for the next pass waits for a tenth of the shortest run time at most.
    assert!(passes <= 50, "{passes} passes in a second");
    world.run(seconds(4));
    let tasks = 4 * (WORKERS + WAITING_JOBS);
    assert_eq!(usize::try_from(world.start_count), Ok(tasks));
    assert_no_violations(&world);
}

// Guards against a leader that takes all tasks for stalled after a time in which it handled no answer.
#[test]
fn verify_leader_behind_its_events_stops_no_task_as_stalled() {
    let mut world = World::new(2, 1);
    world.submit("job", vec![step(4, 1_000, &[])]);
    world.run(Duration::from_millis(500));
    world.leaders[0].backlog = Some(Vec::new());
    world.run(Duration::from_millis(2_200));
    world.resume_leader();
    assert_eq!(world.stop_count, 0);
    world.run(seconds(2));
    assert_eq!(world.start_count, 4);
    assert_no_violations(&world);
}
