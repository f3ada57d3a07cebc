//! Planned stops: a handshake with every entry host, then the platform's drain as a fence.

use std::time::Instant;

use super::manager::Subject;
use super::{Action, Call, Health, Manager, Status};
use crate::ids;
use crate::map::Map;
use crate::record::Body;

/// `Drain` is a planned stop under way.
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    /// Offset of the drain record.
    pub(crate) since: ids::Offset,
    /// Time at which this process learnt of it.
    pub(crate) started: Instant,
    /// Requests in flight as each entry host last reported them.
    pub(crate) reports: Map<ids::Instance, u32>,
    /// What the platform last told.
    pub(crate) status: Option<Status>,
    /// Time of the latest call to the platform.
    called: Option<Instant>,
}

impl Drain {
    pub(crate) fn new(since: ids::Offset, now: Instant) -> Self {
        Self {
            since,
            started: now,
            reports: Map::default(),
            status: None,
            called: None,
        }
    }
}

impl Manager {
    /// Brings each drain of a held pool one step further.
    pub(crate) fn advance_drains(
        &mut self,
        now: Instant,
        pool: &ids::Pool,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let hosts = self
            .view
            .hosts_of(pool)
            .filter(|(name, _)| self.drains.contains_key(*name));
        let hosts: Vec<ids::Host> = hosts.map(|(name, _)| name.clone()).collect();
        for host in &hosts {
            self.advance_drain(now, host, term, actions);
        }
    }

    fn advance_drain(
        &mut self,
        now: Instant,
        name: &ids::Host,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let (Some(drain), Some(host)) = (self.drains.get(name), self.view.hosts.get(name)) else {
            return;
        };
        if let Some(Status {
            generation,
            health: Health::Serving,
        }) = drain.status
            && generation > host.generation
        {
            let body = Body::Return {
                host: name.clone(),
                generation,
                term,
            };
            self.append(Subject::Host(name.clone()), body, actions);
            return;
        }
        let wait = self.options.poll;
        if drain
            .called
            .is_some_and(|at| now.saturating_duration_since(at) < wait)
        {
            return;
        }
        let Some(call) = self.next_call(now, drain, host.generation) else {
            return;
        };
        if let Some(drain) = self.drains.get_mut(name) {
            drain.called = Some(now);
        }
        self.call(name, call, actions);
    }

    /// Gets the next call for a drain, or nothing while entry hosts are waited for.
    fn next_call(&self, now: Instant, drain: &Drain, generation: ids::Generation) -> Option<Call> {
        let Some(status) = drain.status else {
            return Some(Call::Query);
        };
        if status.generation != generation {
            return Some(Call::Query);
        }
        let overdue = now.saturating_duration_since(drain.started) >= self.options.report_timeout;
        // An entry host that is silent may be frozen between its check and its write. The worker
        // refuses such a late request before running it, so the platform's drain is the fence.
        let quiet = self
            .view
            .entries()
            .all(|entry| match drain.reports.get(entry) {
                Some(in_flight) => *in_flight == 0,
                None => overdue,
            });
        match status.health {
            Health::Serving if quiet || overdue => Some(Call::Drain),
            Health::Drained if quiet => Some(Call::Reboot),
            Health::Serving => None,
            Health::Dead | Health::Drained | Health::Draining | Health::Rebooting => {
                Some(Call::Query)
            }
        }
    }
}
