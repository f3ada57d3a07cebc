//! Jobs whose numbers are too large.

use std::time::Duration;

use persimmongate_core::job::{Job, Progress, Schedule, Step};
use test_case::test_case;

use super::{accept, assert_neighbor_completes, job};
use crate::world::{World, long_running, step};

fn estimate(estimate: Duration) -> Step {
    Step {
        cpu_millicores: 100_000,
        estimate,
        ..step(1, 0, &[])
    }
}

fn scheduled(first_due_ms: u64, interval_ms: u64) -> Job {
    let schedule = Schedule {
        first_due_ms,
        interval_ms,
        occurrences: 3,
    };
    Job {
        schedule: Some(schedule),
        ..job(vec![step(1, 100, &[])])
    }
}

// Guards against a leader that ends on each start because of one accepted job with too large numbers.
#[test_case(job(vec![estimate(Duration::MAX)]); "longest estimate")]
#[test_case(job(vec![estimate(Duration::MAX), Step { dependencies: vec![0], ..estimate(Duration::MAX) }]); "chain of longest estimates")]
#[test_case(job(vec![Step { cpu_millicores: u64::MAX, ..step(3, 1_000, &[]) }]); "processor time")]
#[test_case(job(vec![Step { cpu_millicores: u64::MAX, ..long_running(2, 0) }]); "processor time of a long-running task")]
#[test_case(job(vec![Step { memory_mb: u64::MAX, gpus: u64::MAX, ..step(2, 100, &[]) }]); "memory and accelerators")]
#[test_case(job(vec![Step { latency_target: Some(Duration::MAX), is_best_effort: true, cpu_millicores: u64::MAX, ..step(1, 100, &[]) }]); "target of a best-effort task")]
#[test_case(job(vec![step(1, 100, &[u32::MAX])]); "dependency on no step")]
#[test_case(Job { accepted_at_ms: u64::MAX, ..job(vec![step(1, 100, &[])]) }; "time of acceptance")]
#[test_case(scheduled(u64::MAX, 0); "due at the end of time")]
#[test_case(scheduled(0, u64::MAX); "longest interval")]
#[test_case(scheduled(u64::MAX, u64::MAX); "sum of due time and interval")]
#[test_case(job(Vec::new()); "no steps")]
fn verify_odd_job_leaves_its_neighbors_unaffected(odd: Job) {
    let mut world = World::new(2, 1);
    accept(&mut world, odd, Progress::default());
    assert_neighbor_completes(&mut world);
}
