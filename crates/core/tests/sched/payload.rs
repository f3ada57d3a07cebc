//! Load pattern: large payloads, which only the leader of a shard reads, from a partition of their own.

use std::time::Duration;

use persimmongate_core::sched::Event;
use test_case::test_case;

use crate::world::{World, long_running, step};

/// Longer than a task of these tests takes to start.
const START_TIME: Duration = Duration::from_millis(400);

fn send_payload(world: &mut World, job: &str) {
    let newest = world.leaders.len() - 1;
    world.deliver(newest, Event::Payload(job.into(), "payload".into()));
}

#[test]
fn verify_task_starts_once_its_payload_is_known() {
    let mut world = World::new(2, 1);
    world.submit_detached("job", vec![step(2, 300, &[])]);
    world.run(START_TIME);
    assert_eq!(world.start_count, 0);
    send_payload(&mut world, "job");
    world.run(START_TIME);
    assert_eq!(world.start_count, 2);
    assert_eq!(world.payloads_sent, ["payload", "payload"]);
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

// Payloads and acceptances are read from different partitions, in any order.
#[test]
fn verify_payload_may_be_read_before_the_acceptance_of_its_job() {
    let mut world = World::new(2, 1);
    send_payload(&mut world, "job");
    world.submit_detached("job", vec![step(1, 300, &[])]);
    world.run(START_TIME);
    assert_eq!(world.payloads_sent, ["payload"]);
}

#[test]
fn verify_new_leader_without_the_payloads_keeps_running_tasks() {
    let mut world = World::new(2, 1);
    world.submit_detached("job", vec![long_running(2, 1)]);
    send_payload(&mut world, "job");
    world.run(Duration::from_secs(2));
    let before = world.workers_running("job");
    assert_eq!(before.len(), 2);
    world.elect_leader();
    world.run(Duration::from_secs(4));
    assert_eq!(world.workers_running("job"), before);
    assert_eq!((world.start_count, world.stop_count), (2, 0));
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

#[test_case(false; "completed")]
#[test_case(true; "canceled")]
fn verify_payload_of_a_job_that_is_over_is_deleted(is_canceled: bool) {
    let mut world = World::new(2, 1);
    world.submit_detached("job", vec![step(1, 300, &[])]);
    send_payload(&mut world, "job");
    world.run(Duration::from_millis(200));
    assert_eq!(world.dropped_payloads, Vec::<String>::new());
    if is_canceled {
        world.cancel("job");
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.dropped_payloads, ["job"]);
}
