use std::time::{Duration, Instant};

use super::machine::Scheduler;
use super::worker::LEASE_MS;
use crate::ids;
use crate::map::Set;

/// Time since the log was reached for which a leader still gives orders: outages of the log of this
/// length cost no task its lease.
pub(super) const CONFIRM: Duration = Duration::from_secs(5);
/// Slack for timers and clocks that run at different speeds.
const MARGIN: Duration = Duration::from_millis(500);

/// `Settling` is the time in which tasks of older terms may still run on workers that did not answer.
#[derive(Debug)]
pub(super) struct Settling {
    /// Time after which nothing of older terms runs anywhere.
    until: Instant,
    /// Workers that hosts may run and that the list doesn't have; nothing while that is unknown.
    unlisted: Option<Set<ids::Worker>>,
}

impl Settling {
    pub(super) fn new(succeeds: bool, resigned: bool, now: Instant) -> Self {
        let lease = Duration::from_millis(LEASE_MS) + MARGIN;
        let wait = match (succeeds, resigned) {
            (false, _) => Duration::ZERO,
            (true, true) => lease,
            (true, false) => CONFIRM + lease,
        };
        Self {
            until: now + wait,
            unlisted: None,
        }
    }
}

impl Scheduler {
    /// Notes the workers that hosts may run.
    pub(super) fn note_hosts(&mut self, workers: Vec<ids::Worker>) {
        let known = |worker: &ids::Worker| self.workers.contains_key(worker);
        let unlisted = workers.into_iter().filter(|worker| !known(worker));
        self.settling.unlisted = Some(unlisted.collect());
        self.stirred = true;
    }

    /// Counts the workers on which tasks of older terms may still run.
    pub(super) fn unsettled(&self) -> usize {
        let open = self.workers.values().filter(|worker| !worker.settled);
        open.count() + self.settling.unlisted.as_ref().map_or(0, Set::len)
    }

    /// Gets the time after which nothing of older terms runs anywhere.
    pub(super) fn settling_until(&self) -> Instant {
        self.settling.until
    }

    /// Checks if nothing of older terms runs anywhere but where it is known.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        now >= self.settling.until || (self.settling.unlisted.is_some() && self.unsettled() == 0)
    }
}
