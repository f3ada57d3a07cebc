//! Jobs, progress, configurations and answers of workers with odd values. Each must leave the other
//! jobs and workers of the shard unaffected.

mod answer;
mod job;
mod occurrence;
mod progress;
mod queue;
mod report;

use std::sync::Arc;
use std::time::Duration;

use persimmongate_core::job::{Job, Outcome, Progress, Step, Task};
use persimmongate_core::journal::Record;
use persimmongate_core::sched::Event;

use crate::world::{SERVICE, World, step};

fn job(steps: Vec<Step>) -> Job {
    Job {
        id: "odd".into(),
        queue: "queue".into(),
        service: SERVICE.into(),
        account: None,
        payload: "text".into(),
        steps,
        schedule: None,
        accepted_at_ms: 1_000_000,
        has_detached_payload: false,
    }
}

fn task(job: &str, index: u32) -> Task {
    Task {
        job: job.into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Delivers a job with its progress to the leader, as it does with those that it reads in the log.
fn accept(world: &mut World, job: Job, progress: Progress) {
    let job = Arc::new(job);
    let id = job.id.clone();
    world
        .index
        .apply(1, &Record::Accepted(Box::new((*job).clone())));
    world.jobs.insert(id, job.clone());
    let event = Event::Job {
        job,
        offset: 1,
        progress: Box::new(progress),
        is_canceled: false,
    };
    world.deliver(0, event);
}

/// Checks that a regular job still completes.
fn assert_neighbor_completes(world: &mut World) {
    world.submit("neighbor", vec![step(6, 400, &[])]);
    world.run(Duration::from_secs(8));
    assert_eq!(world.outcome("neighbor"), Some(Outcome::Completed));
    assert_eq!(world.violations_found(), Vec::<String>::new());
}
