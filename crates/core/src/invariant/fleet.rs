//! Watch beside the manager of one fleet instance.

use super::{Breach, Check, rules};
use crate::fleet::{Action, Call, Event, Status, View};
use crate::ids;
use crate::map::Map;
use crate::record::Body;
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
                breaches.extend(rules::check_pool(view, name).err());
            }
            Event::Change(Change::Pool(name, pool)) => {
                let known = self.terms.insert(name.clone(), pool.term);
                let held = rules::check_revision("term", known.unwrap_or(0), pool.term);
                breaches.extend(held.err());
            }
            Event::Report {
                instance,
                host,
                drain_offset: since,
                in_flight,
            } => {
                if let Some(watched) = self.hosts.get_mut(host)
                    && watched.since == Some(*since)
                {
                    watched.reports.insert(instance.clone(), *in_flight);
                }
            }
            Event::CallAnswered { token, status } => {
                let host = self.calls.remove(token);
                if let Some(watched) = host.and_then(|host| self.hosts.get_mut(&host)) {
                    watched.status = status.or(watched.status);
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
                    // The reports were checked by the holder that had the stop accepted; entry
                    // hosts don't report any further once they know of it.
                    let status = self.status(host);
                    breaches.extend(rules::check_reboot(host, *generation, status).err());
                }
            }
        }
    }

    fn change_host(&mut self, name: &ids::Host, host: &Host, breaches: &mut Vec<Breach>) {
        let watched = self.hosts.entry(name.clone()).or_default();
        breaches.extend(rules::check_revision(name, watched.revision, host.revision).err());
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

    /// Gets the latest reports; those of entry hosts that are no members any more don't count.
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
