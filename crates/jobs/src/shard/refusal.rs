//! Refusals of jobs by the leader's latest report.

use std::fmt;
use std::time::Duration;

use persimmongate_core::job::Job;
use persimmongate_core::queue::Queue;
use persimmongate_core::share::{Refusal, Request, retry_delay, review};

use super::Shard;
use crate::platform::Platform;

/// `Refused` is a refusal, with the retry delay that the caller is given and the age of the report.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    refusal: Refusal,
    pub(super) retry_after: Duration,
    report_age: Duration,
}

impl fmt::Display for Refused {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Refusal {
            cause,
            delay,
            patience,
            admitted,
        } = self.refusal;
        write!(
            formatter,
            "{cause:?} delay_ms={} patience_ms={} admitted={admitted} report_age_ms={}",
            delay.as_millis(),
            patience.as_millis(),
            self.report_age.as_millis()
        )
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Returns the time that a job submitted now waits for its first start, as last reported by the leader.
    pub(super) fn start_delay(&self, queue: &Queue) -> Option<Duration> {
        let load = self.report.load(&queue.service);
        load.map(|load| load.queue_delay)
    }

    /// Returns the refusal of a job, if the leader's report leaves no room for it. Long-running and scheduled jobs
    /// are accepted however long they wait.
    pub(super) fn refusal(&self, job: &Job, queue: &Queue) -> Option<Refused> {
        if job.schedule.is_some() || job.steps.iter().any(|step| step.is_long_running) {
            return None;
        }
        let load = self.report.load(&queue.service)?;
        let critical_path = job.critical_path();
        let request = Request {
            account: job.account.as_ref(),
            critical_path,
            objective: queue.objective(critical_path),
            draw: rand::random(),
        };
        let age = self.report.age();
        let refusal = review(load, age, &request).err()?;
        Some(Refused {
            refusal,
            retry_after: retry_delay(&refusal, rand::random()),
            report_age: age,
        })
    }
}
