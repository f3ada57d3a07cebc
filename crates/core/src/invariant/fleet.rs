//! Monitor of the fleet manager of one fleet instance.

use super::{Breach, Check, rules};
use crate::fleet::{Action, Call, Event, Status, View};
use crate::ids;
use crate::map::Map;
use crate::record::Body;
use crate::state::{Change, Host, Stage};

/// `Fleet` checks invariants on the events and actions of a fleet manager.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    hosts: Map<ids::Host, Entry>,
    terms: Map<ids::Pool, ids::Term>,
    /// Host of each unanswered call, by the call's token.
    calls: Map<u64, ids::Host>,
}

/// `Entry` holds what was reported about a host since its latest drain.
#[derive(Clone, Debug, Default)]
struct Entry {
    revision: ids::Revision,
    /// Offset of the latest drain record, none unless the host is draining or stopping.
    drain_offset: Option<ids::Offset>,
    /// Latest number of requests in flight that each entry host reported.
    reports: Map<ids::Instance, u32>,
    status: Option<Status>,
}

impl Fleet {
    /// Invariants that the monitor checks.
    pub const CHECKS: &[Check] = &[Check::Pool, Check::Revision, Check::Stop];

    /// Checks an event with the resulting actions and appends the breaches.
    pub fn observe(
        &mut self,
        view: &View,
        event: &Event,
        actions: &[Action],
        breaches: &mut Vec<Breach>,
    ) {
        match event {
            Event::Change(Change::Host(name, host)) => {
                self.change_host(name, host, breaches);
                breaches.extend(rules::check_pool(view, name).err());
            }
            Event::Change(Change::Pool(name, pool)) => {
                let previous_term = self.terms.insert(name.clone(), pool.term);
                let result = rules::check_monotonic("term", previous_term.unwrap_or(0), pool.term);
                breaches.extend(result.err());
            }
            Event::Report {
                instance,
                host,
                drain_offset,
                in_flight,
            } => {
                if let Some(record) = self.hosts.get_mut(host)
                    && record.drain_offset == Some(*drain_offset)
                {
                    record.reports.insert(instance.clone(), *in_flight);
                }
            }
            Event::CallAnswered { token, status } => {
                let host = self.calls.remove(token);
                if let Some(record) = host.and_then(|host| self.hosts.get_mut(&host)) {
                    record.status = status.or(record.status);
                }
            }
            _ => {}
        }
        for action in actions {
            if let Action::Append {
                body: Body::Stop {
                    host, generation, ..
                },
                ..
            } = action
            {
                let reports = self.reports(view, host);
                let status = self.status(host);
                let reports = reports.iter();
                breaches.extend(rules::check_stop(host, *generation, status, reports).err());
            }
            if let Action::Call {
                token,
                host,
                generation,
                call,
            } = action
            {
                self.calls.insert(*token, host.clone());
                if *call == Call::Reboot {
                    // The in-flight reports were checked when the claim holder had the stop
                    // accepted. Entry hosts stop reporting once they have applied the stop.
                    let status = self.status(host);
                    breaches.extend(rules::check_reboot(host, *generation, status).err());
                }
            }
        }
    }

    fn change_host(&mut self, name: &ids::Host, host: &Host, breaches: &mut Vec<Breach>) {
        let record = self.hosts.entry(name.clone()).or_default();
        breaches.extend(rules::check_monotonic(name, record.revision, host.revision).err());
        record.revision = host.revision;
        let drain_offset = match host.stage {
            Stage::Draining { since, .. } => Some(since),
            // The reports of the drain remain valid when the host is stopped.
            Stage::Stopping { .. } => record.drain_offset,
            _ => None,
        };
        if record.drain_offset != drain_offset {
            record.drain_offset = drain_offset;
            record.reports.clear();
            record.status = None;
        }
    }

    /// Returns the latest in-flight reports of the entry hosts that are still members.
    fn reports(&self, view: &View, host: &ids::Host) -> Vec<u32> {
        let reports = self
            .hosts
            .get(host)
            .into_iter()
            .flat_map(|host| &host.reports);
        let members = reports.filter(|(name, _)| view.members.contains_key(*name));
        members.map(|(_, in_flight)| *in_flight).collect()
    }

    fn status(&self, host: &ids::Host) -> Option<Status> {
        self.hosts.get(host).and_then(|host| host.status)
    }
}
