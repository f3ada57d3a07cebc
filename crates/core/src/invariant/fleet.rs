//! Watch beside the manager of one fleet instance.

use super::{Breach, Check, promise};
use crate::fleet::{Action, Call, Event, Status, View};
use crate::ids;
use crate::map::Map;
use crate::state::{Change, Host, Stage};

/// `Fleet` follows the events and actions of a manager.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    hosts: Map<ids::Host, Watched>,
    terms: Map<ids::Pool, ids::Term>,
    /// Host of each call that is not answered.
    calls: Map<u64, ids::Host>,
}

/// `Watched` is a host with what was told of it since its latest drain.
#[derive(Clone, Debug, Default)]
struct Watched {
    revision: ids::Revision,
    since: Option<ids::Offset>,
    reports: Map<ids::Instance, u32>,
    status: Option<Status>,
}

impl Fleet {
    /// Checks that the watch makes.
    pub const CHECKS: &[Check] = &[Check::Pool, Check::Revision, Check::Stop];

    /// Takes an event with the actions that followed it and appends what did not hold.
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
                breaches.extend(promise::pool(view, name).err());
            }
            Event::Change(Change::Pool(name, pool)) => {
                let known = self.terms.insert(name.clone(), pool.term);
                let held = promise::revision("term", known.unwrap_or(0), pool.term);
                breaches.extend(held.err());
            }
            Event::Report {
                instance,
                host,
                since,
                in_flight,
            } => {
                if let Some(watched) = self.hosts.get_mut(host)
                    && watched.since == Some(*since)
                {
                    watched.reports.insert(instance.clone(), *in_flight);
                }
            }
            Event::Answer { token, status } => {
                let host = self.calls.remove(token);
                if let Some(watched) = host.and_then(|host| self.hosts.get_mut(&host)) {
                    watched.status = status.or(watched.status);
                }
            }
            _ => {}
        }
        for action in actions {
            if let Action::Call {
                token,
                host,
                generation,
                call,
            } = action
            {
                self.calls.insert(*token, host.clone());
                if *call == Call::Reboot {
                    breaches.extend(self.stop(view, host, *generation));
                }
            }
        }
    }

    fn change_host(&mut self, name: &ids::Host, host: &Host, breaches: &mut Vec<Breach>) {
        let watched = self.hosts.entry(name.clone()).or_default();
        breaches.extend(promise::revision(name, watched.revision, host.revision).err());
        watched.revision = host.revision;
        let since = match host.stage {
            Stage::Draining { since, .. } => Some(since),
            // The reports of the drain still count when the host is stopped.
            Stage::Stopping { .. } => watched.since,
            _ => None,
        };
        if watched.since != since {
            watched.since = since;
            watched.reports.clear();
            watched.status = None;
        }
    }

    /// Checks a stop; reports of entry hosts that are no members any more don't count.
    fn stop(&self, view: &View, host: &ids::Host, generation: ids::Generation) -> Option<Breach> {
        let none = Watched::default();
        let watched = self.hosts.get(host).unwrap_or(&none);
        let members = watched.reports.iter();
        let reports = members.filter(|(name, _)| view.members.contains_key(*name));
        let reports = reports.map(|(_, in_flight)| in_flight);
        promise::stop(host, generation, watched.status, reports).err()
    }
}
