//! Changes of the fold: services, their workers and the members.

use std::time::Instant;

use super::step::Service;
use super::{Action, Budget, Gate, Queue, Table};
use crate::ids;
use crate::map::Map;
use crate::record::Role;
use crate::state::{Change, Host};

impl Gate {
    pub(super) fn change(&mut self, now: Instant, change: Change, actions: &mut Vec<Action>) {
        match change {
            Change::Budget(..)
            | Change::Keys(..)
            | Change::Pin(..)
            | Change::Renewed(_)
            | Change::Wave(..) => {}
            Change::Host(name, host) => self.change_host(now, &name, host, actions),
            Change::Member(name, member) => {
                match member {
                    Some(member) => self.members.insert(name, member.about.role),
                    None => self.members.remove(&name),
                };
                let entries = self
                    .members
                    .values()
                    .filter(|role| **role == Role::Entry)
                    .count();
                self.entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
                self.place_hosts(now);
            }
            Change::Pool(name, pool) => {
                if let Some(service) = &pool.service {
                    self.add_service(service);
                }
                if self.pools.insert(name, pool.service.clone()) != Some(pool.service) {
                    self.place_hosts(now);
                }
            }
            Change::Quota(service, caller, slots) => {
                self.add_service(&service);
                if let Some(service) = self.services.get_mut(&service) {
                    service.quotas.insert(caller, slots);
                }
            }
        }
    }

    pub(super) fn add_service(&mut self, name: &ids::Service) {
        if self.services.contains_key(name) {
            return;
        }
        let service = Service {
            queue: Queue::default(),
            table: Table::default(),
            retries: Budget::new(self.options.retry_share, self.options.retry_floor),
            quotas: Map::default(),
        };
        self.services.insert(name.clone(), service);
    }

    pub(super) fn change_host(
        &mut self,
        now: Instant,
        name: &ids::Host,
        host: Host,
        actions: &mut Vec<Action>,
    ) {
        self.hosts.insert(name.clone(), host);
        self.place_host(now, name);
        self.report(name, actions);
    }

    pub(super) fn place_hosts(&mut self, now: Instant) {
        let names: Vec<ids::Host> = self.hosts.keys().cloned().collect();
        for name in &names {
            self.place_host(now, name);
        }
    }

    /// Puts a host into the table of its service and out of all others.
    pub(super) fn place_host(&mut self, now: Instant, name: &ids::Host) {
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let service = self.pools.get(&host.pool).and_then(Option::as_ref);
        let in_flight = self.in_flight(name);
        for (id, entry) in &mut self.services {
            if host.is_serving() && service == Some(id) {
                let limit = limit_of(host, self.entries);
                entry.table.set(now, name, host, limit);
                if let Some(worker) = entry.table.get_mut(name) {
                    worker.in_flight = in_flight;
                }
            } else {
                entry.table.remove(name);
            }
        }
    }
}

/// Gets the requests that one entry host may have in flight on a host.
///
/// Each request takes one connection, so the host's connections are divided between entry hosts;
/// its slots are not, as the worker refuses what exceeds them before running it.
fn limit_of(host: &Host, entries: u32) -> u32 {
    let share = u32::from(host.connections) / entries;
    share.min(u32::from(host.slots)).max(1)
}
