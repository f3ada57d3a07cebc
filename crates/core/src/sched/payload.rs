use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::scheduler::Scheduler;
use crate::ids;
use crate::map::Map;

/// Time for which a payload waits for the acceptance of its job: longer than a caller waits for the answer.
const UNCLAIMED_RETENTION: Duration = Duration::from_mins(1);

/// `Payloads` is detached payloads whose jobs are not known yet, as both are read from different partitions.
#[derive(Debug, Default)]
pub(super) struct Payloads {
    unclaimed: Map<ids::Job, (ByteString, Instant)>,
}

impl Payloads {
    /// Takes the payload of a job that was accepted.
    pub(super) fn claim(&mut self, job: &ids::Job) -> Option<ByteString> {
        self.unclaimed.remove(job).map(|(payload, _)| payload)
    }

    fn keep(&mut self, now: Instant, job: &ids::Job, payload: ByteString) {
        self.unclaimed.retain(|_, (_, read_at)| {
            now.saturating_duration_since(*read_at) < UNCLAIMED_RETENTION
        });
        self.unclaimed.insert(job.clone(), (payload, now));
    }
}

impl Scheduler {
    /// Returns the payload of a job that this leader knows.
    #[must_use]
    pub fn payload(&self, job: &ids::Job) -> Option<ByteString> {
        self.jobs.get(job)?.payload.clone()
    }

    pub(super) fn handle_payload(&mut self, now: Instant, job: &ids::Job, payload: ByteString) {
        match self.jobs.get_mut(job) {
            Some(graph) => {
                graph.payload.get_or_insert(payload);
                self.needs_placement = true;
            }
            None => self.payloads.keep(now, job, payload),
        }
    }
}
