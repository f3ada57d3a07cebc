//! Jobs that can't start now or ever, beside others that have room.

use std::time::Duration;

use persimmongate_core::job::{Outcome, Step, Task};
use persimmongate_core::sched::Event;
use test_case::test_case;

use crate::world::{World, long_running, step};
use crate::{assert_no_violations, seconds};

/// Jobs that can't start: more than a pass of placement looks at one after the other.
const BLOCKED_JOBS: usize = 60;
/// Time after which a job with room must run, as the platform's rules ask.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// `Blocker` is why a job can't start.
#[derive(Clone, Copy, Debug)]
enum Blocker {
    /// No worker has the label that it requires.
    Label,
    /// Each requires another label that no worker has.
    Labels,
    /// It reserves more than any worker has.
    Size,
    /// Each reserves less than the one before, and more than any worker has.
    Sizes,
    /// It reserves the processor time of one kind of worker and the memory of another.
    Shape,
    /// Its gang is larger than the pool.
    Gang,
    /// Each worker runs one of its tasks, and no more are allowed there.
    Limit,
}

impl Blocker {
    fn step(self, number: usize) -> Step {
        let number = u64::try_from(number).unwrap();
        let base = Step {
            max_per_worker: None,
            cpu_millicores: 10,
            memory_mb: 10,
            ..long_running(1, 0)
        };
        match self {
            Self::Label => Step {
                required_label: Some("missing".into()),
                ..base
            },
            Self::Labels => Step {
                required_label: Some(format!("missing-{number}").into()),
                ..base
            },
            Self::Size => Step {
                cpu_millicores: 9_000,
                ..base
            },
            Self::Sizes => Step {
                cpu_millicores: 9_000 - number,
                ..base
            },
            Self::Shape => Step {
                cpu_millicores: 8_001 - number,
                memory_mb: 7_000 + number,
                ..base
            },
            Self::Gang => Step {
                count: 120,
                cpu_millicores: 300,
                is_gang: true,
                ..base
            },
            Self::Limit => Step {
                count: 5,
                max_per_worker: Some(1),
                ..base
            },
        }
    }
}

// Guards against jobs that can't start and are first in rank for good: a pass gave up after a number of jobs
// without a placed task, so that later jobs never started.
#[test_case(Blocker::Label; "of a missing label")]
#[test_case(Blocker::Labels; "of many missing labels")]
#[test_case(Blocker::Size; "of a size that no worker has")]
#[test_case(Blocker::Sizes; "of many such sizes")]
#[test_case(Blocker::Shape; "of a shape that no worker has")]
#[test_case(Blocker::Gang; "of a gang that is larger than the pool")]
#[test_case(Blocker::Limit; "of the limit of tasks on a worker")]
fn verify_blocked_jobs_keep_no_later_job_from_starting(blocker: Blocker) {
    let mut world = World::new(4, 1);
    // Two workers have more memory and less processor time than the others.
    for worker in ["w0", "w1"] {
        let worker = world.workers.get_mut(worker).unwrap();
        worker.report.capacity.memory_mb = 64_000;
        worker.report.capacity.cpu_millicores = 4_000;
        let report = worker.report.clone();
        world.deliver(0, Event::Listed(report));
    }
    world.run(Duration::from_millis(500));
    for number in 0..BLOCKED_JOBS {
        world.submit(&format!("blocked-{number}"), vec![blocker.step(number)]);
    }
    world.run(seconds(2));
    world.submit("short", vec![step(2, 300, &[])]);
    world.submit("lasting", vec![long_running(2, 0)]);
    world.run(START_TIMEOUT);
    assert_eq!(world.outcome("short"), Some(Outcome::Completed));
    assert_eq!(world.workers_running("lasting").len(), 2);
    assert_no_violations(&world);
}

// Guards against jobs that run and wait for no worker, but for their own earlier steps, and kept later jobs
// from starting in the same way.
#[test]
fn verify_running_jobs_with_later_steps_keep_no_later_job_from_starting() {
    let mut world = World::new(40, 1);
    world.run(Duration::from_millis(500));
    for number in 0..BLOCKED_JOBS {
        let steps = vec![step(1, 4_000, &[]), step(1, 500, &[0])];
        world.submit(&format!("running-{number}"), steps);
    }
    world.run(seconds(1));
    assert_eq!(usize::try_from(world.start_count), Ok(BLOCKED_JOBS));
    // It has more time left than the others, so that it comes after them in rank.
    world.submit("job", vec![step(2, 300, &[]), step(1, 20_000, &[0])]);
    world.run(seconds(1));
    assert_eq!(world.workers_running("job").len(), 1);
    assert_no_violations(&world);
}

// Guards against a pass that looks at all blocked jobs each time: its work is bounded however many there are.
#[test]
fn verify_pass_looks_at_a_bounded_number_of_jobs_that_can_not_start() {
    let mut world = World::new(4, 1);
    for number in 0..400 {
        let step = Blocker::Gang.step(number);
        world.submit(&format!("blocked-{number}"), vec![step]);
    }
    world.run(seconds(2));
    let waiting = world.count("waiting_jobs");
    assert_eq!(waiting, 400);
    // Each of them could be placed by its size, so that only a look at the workers shows that it can't.
    assert!(waiting - world.count("unexamined_jobs") <= 24);
}

// Guards against a step that counts as at its limit on every worker, as one worker runs more of its tasks than
// allowed since a start was carried out late.
#[test]
fn verify_worker_above_its_limit_of_tasks_keeps_no_task_from_another_worker() {
    let mut world = World::new(2, 1);
    world.run(Duration::from_millis(500));
    world.deliver(0, Event::Drain("w1".into(), true));
    world.submit("job", vec![long_running(4, 0)]);
    world.run(seconds(1));
    assert_eq!(world.workers_running("job"), ["w0"]);
    // A second task of the step turns up on the worker.
    let runs = &mut world.workers.get_mut("w0").unwrap().runs;
    let (task, active) = runs.pop_first().unwrap();
    let other = Task {
        index: (task.index + 1) % 4,
        ..task.clone()
    };
    runs.insert(task, active.clone());
    runs.insert(other, active);
    world.run(seconds(1));
    world.deliver(0, Event::Drain("w1".into(), false));
    world.run(START_TIMEOUT);
    assert_eq!(world.workers_running("job"), ["w0", "w1"]);
}
