//! Jobs of which many occurrences are due at once.

use persimmongate_core::job::{Job, MAX_TASKS, Progress, Schedule, Step};

use super::{accept, assert_neighbor_completes, job, task};
use crate::world::{World, step};

// Guards against a leader that runs out of memory on a job whose occurrences are all due at once.
#[test]
fn verify_occurrences_due_at_once_are_opened_in_parts() {
    let mut world = World::new(2, 1);
    let occurrences = 300_000;
    let schedule = Schedule {
        first_due_ms: 0,
        interval_ms: 0,
        occurrences,
    };
    // One second of a core for each task, and no worker that has the label.
    let blocked = Step {
        cpu_millicores: 1_000,
        required_label: Some("none".into()),
        ..step(1, 1_000, &[])
    };
    let odd = Job {
        schedule: Some(schedule),
        ..job(vec![blocked])
    };
    accept(&mut world, odd, Progress::default());
    let loads = world.leaders[0].scheduler.loads(world.now);
    let open_tasks = loads[0].backlog / 1_000;
    assert!(
        (1..=u64::from(MAX_TASKS)).contains(&open_tasks),
        "{open_tasks}"
    );
    assert_neighbor_completes(&mut world);
}

// Guards against occurrences that never run, as earlier ones that are done take up their room.
#[test]
fn verify_occurrence_that_is_done_leaves_room_for_the_next() {
    let mut world = World::new(2, 1);
    let count = 15_000;
    let schedule = Schedule {
        first_due_ms: 0,
        interval_ms: 0,
        occurrences: 3,
    };
    let blocked = Step {
        cpu_millicores: 1_000,
        required_label: Some("none".into()),
        ..step(count, 1_000, &[])
    };
    let odd = Job {
        schedule: Some(schedule),
        ..job(vec![blocked])
    };
    let mut progress = Progress::default();
    for index in 0..count {
        progress.record_done(&task("odd", index));
    }
    accept(&mut world, odd, progress);
    let loads = world.leaders[0].scheduler.loads(world.now);
    assert_eq!(loads[0].backlog / 1_000, u64::from(count));
}
