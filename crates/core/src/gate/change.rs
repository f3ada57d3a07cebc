//! Changes of the replayed state: services, their workers and the members.

use std::time::Instant;

use super::service::Service;
use super::{Action, Gate};
use crate::ids;
use crate::state::{Change, Host, Member};

impl Gate {
    pub(super) fn apply_change(&mut self, now: Instant, change: Change, actions: &mut Vec<Action>) {
        match change {
            Change::Budget(..)
            | Change::Keys(..)
            | Change::Pin(..)
            | Change::Renewed(_)
            | Change::Wave(..) => {}
            Change::Host(name, host) => self.apply_host_change(now, &name, host, actions),
            Change::Member(name, member) => self.apply_member_change(now, name, member),
            Change::Pool(name, pool) => {
                if let Some(service) = &pool.service {
                    self.add_service(now, service);
                }
                let previous = self.pools.insert(name.clone(), pool.service.clone());
                if previous != Some(pool.service) {
                    self.assign_pool(now, &name);
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

    fn apply_member_change(&mut self, now: Instant, name: ids::Instance, member: Option<Member>) {
        match member {
            Some(member) => self.members.insert(name, member.announcement.role),
            None => self.members.remove(&name),
        };
        let entry_count = self.entry_count();
        for service in self.services.values_mut() {
            service
                .table
                .set_entry_count(now, &self.options, entry_count);
        }
        self.clear_lendable();
    }

    fn add_service(&mut self, now: Instant, name: &ids::Service) {
        if self.services.contains_key(name) {
            return;
        }
        let mut service = Service::new(&self.options);
        service
            .table
            .set_entry_count(now, &self.options, self.entry_count());
        self.services.insert(name.clone(), service);
    }

    fn apply_host_change(
        &mut self,
        now: Instant,
        name: &ids::Host,
        host: Host,
        actions: &mut Vec<Action>,
    ) {
        self.hosts.insert(name.clone(), host);
        self.assign_host(now, name);
        self.report_drain(name, actions);
    }

    /// Reassigns the hosts of a pool whose service changed.
    fn assign_pool(&mut self, now: Instant, pool: &ids::Pool) {
        let hosts = self.hosts.iter().filter(|(_, host)| host.pool == *pool);
        let names: Vec<ids::Host> = hosts.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.assign_host(now, name);
        }
    }

    /// Moves a host from the worker table of its previous service to that of its current one.
    fn assign_host(&mut self, now: Instant, name: &ids::Host) {
        let in_flight = self.in_flight_count(name);
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let service = self.pools.get(&host.pool).and_then(Option::as_ref);
        let service = service.filter(|_| host.is_serving());
        let previous = self.host_services.get(name);
        if previous != service
            && let Some(previous) = previous.and_then(|previous| self.services.get_mut(previous))
        {
            previous.table.remove(name);
            previous.lendable = None;
        }
        let Some(service) = service else {
            self.host_services.remove(name);
            return;
        };
        self.host_services.insert(name.clone(), service.clone());
        if let Some(service) = self.services.get_mut(service) {
            let table = &mut service.table;
            table.upsert(now, &self.options, name, host, in_flight);
            service.lendable = None;
        }
    }
}
