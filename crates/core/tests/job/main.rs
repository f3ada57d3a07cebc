//! Checks of jobs where they enter a process: from a caller, or from a record that another process
//! wrote.

use std::time::Duration;

use persimmongate_core::job::{Job, Schedule, Step};
use test_case::test_case;

fn job(steps: Vec<Step>) -> Job {
    Job {
        id: "5c0e7a21d94b36f8".into(),
        queue: "queue".into(),
        service: "service".into(),
        account: None,
        payload: "text".into(),
        steps,
        schedule: None,
        accepted_at_ms: 17,
        has_detached_payload: false,
    }
}

fn step(count: u32) -> Step {
    Step {
        count,
        cpu_millicores: 500,
        memory_mb: 100,
        estimate: Duration::from_millis(900),
        ..Step::default()
    }
}

fn after(dependencies: &[u32]) -> Step {
    Step {
        dependencies: dependencies.to_vec(),
        ..step(1)
    }
}

#[test_case(&job(vec![step(1)]); "one task")]
#[test_case(&job(vec![step(10_000), after(&[0])]); "many tasks")]
#[test_case(&job(vec![Step { cpu_millicores: 0, memory_mb: 0, estimate: Duration::ZERO, ..step(1) }]); "no resources")]
#[test_case(&job(vec![Step { estimate: Duration::MAX, ..step(1) }]); "longest estimate")]
#[test_case(&Job { schedule: Some(Schedule { first_due_ms: 0, interval_ms: 0, occurrences: u32::MAX }), ..job(vec![step(1)]) }; "most occurrences")]
fn verify_job_is_accepted(job: &Job) {
    assert_eq!(job.check(), Ok(()));
    assert!(job.is_valid());
}

// Guards against a leader that ends on each start, or runs out of memory, because of one job.
#[test_case(&job(vec![]), "no steps"; "no steps")]
#[test_case(&job(vec![step(1), step(0)]), "no tasks"; "no tasks")]
#[test_case(&job(vec![after(&[0])]), "depends"; "dependency on itself")]
#[test_case(&job(vec![step(1), after(&[0, u32::MAX])]), "depends"; "dependency on no step")]
#[test_case(&job(vec![step(u32::MAX)]), "tasks"; "most tasks")]
#[test_case(&job(vec![step(u32::MAX); 3]), "tasks"; "sum of tasks")]
#[test_case(&job(vec![Step { cpu_millicores: u64::MAX, ..step(1) }]), "processor"; "processor time")]
#[test_case(&job(vec![Step { memory_mb: u64::MAX, ..step(1) }]), "memory"; "memory")]
#[test_case(&job(vec![Step { gpus: u64::MAX, ..step(1) }]), "accelerators"; "accelerators")]
fn verify_odd_job_is_refused_with_a_reason(job: &Job, reason: &str) {
    let error = job.check().unwrap_err().to_string();
    assert!(error.contains(reason), "{error}");
    assert!(!job.is_valid());
}

// Guards against the end of a process that estimates a job which another process accepted.
#[test]
fn verify_estimates_of_an_odd_job_are_bounded() {
    let odd = Step {
        count: u32::MAX,
        cpu_millicores: u64::MAX,
        estimate: Duration::MAX,
        ..step(1)
    };
    let chained = Step {
        dependencies: vec![0, 7],
        ..odd.clone()
    };
    let job = job(vec![odd, chained]);
    assert!(job.critical_path() > Duration::from_hours(1));
    assert_eq!(job.occurrence_work(), u64::MAX);
}
