//! Load pattern: a few tasks take far longer than the others, and each keeps a whole host that is to be drained.

use persimmongate_core::job::Step;
use persimmongate_core::sched::Event;
use test_case::test_case;

use crate::world::{World, step};
use crate::{assert_no_violations, seconds};

/// Starts a task of the given time whose worker is drained after two seconds, and returns the number of starts and
/// whether the worker runs nothing a moment later.
fn drain_during(step: Step, checkpoint: &str) -> (u64, bool) {
    let mut world = World::new(2, 1);
    for worker in world.workers.values_mut() {
        worker.reported_checkpoint = checkpoint.into();
    }
    world.submit("job", vec![step]);
    world.run(seconds(2));
    let worker = world.workers_running("job")[0].clone();
    world.deliver(0, Event::Drain(worker.as_str().into(), true));
    world.run(seconds(3));
    let is_drained = world.workers[&worker].runs.is_empty();
    world.run(seconds(30));
    assert_no_violations(&world);
    (world.start_count, is_drained)
}

#[test]
fn verify_task_with_saved_progress_leaves_a_worker_that_is_drained() {
    assert_eq!(drain_during(step(1, 20_000, &[]), "saved"), (2, true));
}

#[test_case(step(1, 20_000, &[]), "", false; "nothing is saved, so its work would be lost")]
#[test_case(step(1, 4_000, &[]), "saved", true; "it ends soon")]
#[test_case(Step { is_gang: true, ..step(2, 20_000, &[]) }, "saved", false; "the other members of its gang would end too")]
fn verify_task_stays_on_a_worker_that_is_drained(step: Step, checkpoint: &str, is_drained: bool) {
    let starts = u64::from(step.count);
    assert_eq!(drain_during(step, checkpoint), (starts, is_drained));
}
