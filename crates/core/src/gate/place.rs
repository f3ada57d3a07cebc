//! Changes of the fold: services, their workers and the members.

use std::time::Instant;

use super::service::Service;
use super::{Action, Gate};
use crate::ids;
use crate::state::{Change, Host, Member};

impl Gate {
    pub(super) fn change(&mut self, now: Instant, change: Change, actions: &mut Vec<Action>) {
        match change {
            Change::Budget(..)
            | Change::Keys(..)
            | Change::Pin(..)
            | Change::Renewed(_)
            | Change::Wave(..) => {}
            Change::Host(name, host) => self.change_host(now, &name, host, actions),
            Change::Member(name, member) => self.change_member(now, name, member),
            Change::Pool(name, pool) => {
                if let Some(service) = &pool.service {
                    self.add_service(now, service);
                }
                let before = self.pools.insert(name.clone(), pool.service.clone());
                if before != Some(pool.service) {
                    self.place_pool(now, &name);
                }
            }
            Change::Quota(service, caller, slots) => {
                self.add_service(now, &service);
                if let Some(service) = self.services.get_mut(&service) {
                    service.quotas.insert(caller, slots);
                }
            }
        }
    }

    fn change_member(&mut self, now: Instant, name: ids::Instance, member: Option<Member>) {
        match member {
            Some(member) => self.members.insert(name, member.announcement.role),
            None => self.members.remove(&name),
        };
        let entries = self.entries();
        for service in self.services.values_mut() {
            service.table.set_entries(now, &self.options, entries);
        }
        self.forget_lendable();
    }

    fn add_service(&mut self, now: Instant, name: &ids::Service) {
        if self.services.contains_key(name) {
            return;
        }
        let mut service = Service::new(&self.options);
        service
            .table
            .set_entries(now, &self.options, self.entries());
        self.services.insert(name.clone(), service);
    }

    fn change_host(
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

    /// Places the hosts of a pool whose service changed.
    fn place_pool(&mut self, now: Instant, pool: &ids::Pool) {
        let hosts = self.hosts.iter().filter(|(_, host)| host.pool == *pool);
        let names: Vec<ids::Host> = hosts.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.place_host(now, name);
        }
    }

    /// Puts a host into the table of its service and out of the one that had it.
    fn place_host(&mut self, now: Instant, name: &ids::Host) {
        let in_flight = self.in_flight_count(name);
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let service = self.pools.get(&host.pool).and_then(Option::as_ref);
        let service = service.filter(|_| host.is_serving());
        let before = self.placed.get(name);
        if before != service
            && let Some(before) = before.and_then(|before| self.services.get_mut(before))
        {
            before.table.remove(name);
            before.lendable = None;
        }
        let Some(service) = service else {
            self.placed.remove(name);
            return;
        };
        self.placed.insert(name.clone(), service.clone());
        if let Some(service) = self.services.get_mut(service) {
            let table = &mut service.table;
            table.upsert(now, &self.options, name, host, in_flight);
            service.lendable = None;
        }
    }
}
