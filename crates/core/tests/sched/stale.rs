//! Load pattern: a leader can't read the log for seconds while work waits and callers cancel jobs elsewhere.

use std::time::Duration;

use test_case::test_case;

use crate::world::{World, long_running, step};

/// Shortest time after the acknowledgement of a cancellation from which on no task of the job may start.
const MIN_CANCEL_TIME: Duration = Duration::from_secs(3);
/// Rest of the outage after that.
const REST_OF_OUTAGE: Duration = Duration::from_secs(6);
/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(9);

/// Tasks that keep a worker at work beyond the outage.
fn flood(world: &mut World) {
    world.submit("flood", vec![step(400, 400, &[])]);
    world.run(Duration::from_millis(500));
    assert!(world.start_count > 0);
}

#[test]
fn verify_leader_without_the_log_starts_no_task_of_a_canceled_job() {
    let mut world = World::new(1, 1);
    flood(&mut world);
    world.leaders[0].is_log_reachable = false;
    world.cancel("flood");
    world.run(MIN_CANCEL_TIME);
    let starts = world.start_count;
    world.run(REST_OF_OUTAGE);
    assert_eq!(world.start_count, starts);
}

// A repeated start takes effect if the first one was lost.
#[test]
fn verify_leader_without_the_log_repeats_no_start_of_a_canceled_job() {
    let mut world = World::new(1, 1);
    world.run(Duration::from_millis(500));
    world.faults.delayed_commands = 1_000;
    world.submit("job", vec![long_running(1, 1)]);
    world.run(Duration::from_millis(200));
    world.leaders[0].is_log_reachable = false;
    world.cancel("job");
    world.run(MIN_CANCEL_TIME);
    let repeated = world.repeated_start_count;
    world.run(REST_OF_OUTAGE);
    assert_eq!(world.repeated_start_count, repeated);
}

#[test]
fn verify_tasks_that_run_go_on_while_no_task_may_start() {
    let mut world = World::new(2, 1);
    world.submit("job", vec![long_running(2, 1)]);
    world.run(Duration::from_secs(2));
    let before = world.workers_running("job");
    assert_eq!(before.len(), 2);
    world.leaders[0].is_log_reachable = false;
    world.run(Duration::from_millis(4_900));
    assert_eq!(world.workers_running("job"), before);
    world.leaders[0].is_log_reachable = true;
    world.run(Duration::from_secs(2));
    assert_eq!(world.workers_running("job"), before);
    assert_eq!(world.start_count, 2);
}

#[test_case(Duration::from_secs(3))]
#[test_case(OUTAGE)]
fn verify_waiting_tasks_start_as_soon_as_the_log_answers(outage: Duration) {
    let mut world = World::new(1, 1);
    flood(&mut world);
    world.leaders[0].is_log_reachable = false;
    world.run(outage);
    let starts = world.start_count;
    world.leaders[0].is_log_reachable = true;
    world.run(Duration::from_millis(500));
    assert!(world.start_count > starts);
    assert_eq!(world.violations_found(), Vec::<String>::new());
}
