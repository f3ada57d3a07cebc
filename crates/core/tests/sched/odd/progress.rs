//! Progress that names tasks which the job does not have.

use std::time::Duration;

use persimmongate_core::job::{Outcome, Progress};
use test_case::test_case;

use super::{accept, assert_neighbor_completes, job, task};
use crate::world::{World, step};

// Guards against jobs shown as completed, and tasks that never start, because recorded progress names
// tasks that the job doesn't have.
#[test_case(&[3]; "behind the last")]
#[test_case(&[3, 4, 5, 6, 7]; "more than the step has")]
#[test_case(&[0, 1, 100_000]; "far behind the last")]
fn verify_progress_of_unknown_tasks_counts_for_nothing(done: &[u32]) {
    let mut world = World::new(2, 1);
    let mut progress = Progress::default();
    for index in done {
        progress.record_done(&task("odd", *index));
        progress.record_failure(&task("odd", *index), u64::MAX);
    }
    accept(&mut world, job(vec![step(3, 300, &[])]), progress);
    let missing = 3 - done.iter().filter(|index| **index < 3).count();
    world.run(Duration::from_secs(4));
    assert_eq!(world.start_count, missing as u64);
    assert_eq!(world.outcome("odd"), Some(Outcome::Completed));
    assert_neighbor_completes(&mut world);
}
