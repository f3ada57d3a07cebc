//! Loans of idle slots to other services.
//!
//! Rendezvous hashing selects the only entry host that may lend the slots of a worker, so the loans
//! on a worker stay below their limit without messages between entry hosts. A loan is never
//! revoked: when the owner needs its slots, no new loans are started.

use std::hash::{Hash, Hasher};
use std::time::Instant;

use rand::RngExt;
use rustc_hash::FxHasher;

use super::service::Service;
use super::{Action, Gate, Options};
use crate::ids;
use crate::map::Map;
use crate::record::Role;

/// Maximum number of hosts of one service that are examined for a loan.
const MAX_LOAN_CANDIDATES: usize = 8;

impl Gate {
    /// Adds a service that has queued requests but no available worker of its own.
    pub(super) fn add_borrower(&mut self, name: &ids::Service) {
        if !self.borrowers.contains(name) {
            self.borrowers.push(name.clone());
        }
    }

    /// Starts queued requests on idle slots of other services, one per borrowing service in turn.
    pub(super) fn lend(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.options.lendable_slots == 0 {
            self.borrowers.clear();
            return;
        }
        while !self.borrowers.is_empty() {
            let name = self.borrowers.remove(0);
            if self.borrow(now, &name, actions) {
                self.borrowers.push(name);
            }
        }
    }

    /// Starts one request of a service on another service's slot; returns whether it did.
    fn borrow(&mut self, now: Instant, name: &ids::Service, actions: &mut Vec<Action>) -> bool {
        let Some(service) = self.services.get(name) else {
            return false;
        };
        let Some(id) = service.queue.peek() else {
            return false;
        };
        if !service.may_borrow(&self.options) {
            return false;
        }
        let Some((lender, host)) = self.find_lender(now, name) else {
            return false;
        };
        self.send_first(now, id, &lender, host, actions);
        true
    }

    fn find_lender(
        &mut self,
        now: Instant,
        borrower: &ids::Service,
    ) -> Option<(ids::Service, ids::Host)> {
        let Self {
            services,
            members,
            options,
            rng,
            ..
        } = self;
        for (name, service) in services.iter_mut() {
            if name == borrower
                || !service.can_lend(now)
                || !service.table.has_available(now, options)
            {
                continue;
            }
            if service.lendable.is_none() {
                service.lendable = Some(list_lendable_hosts(
                    &service.table,
                    members,
                    &options.instance,
                ));
            }
            let hosts = service.lendable.as_deref().unwrap_or_default();
            if hosts.is_empty() {
                continue;
            }
            let first = rng.random_range(0..hosts.len());
            let mut hosts = hosts[first..]
                .iter()
                .chain(&hosts[..first])
                .take(MAX_LOAN_CANDIDATES);
            let host = hosts.find(|host| can_lend_slot(service, options, host));
            if let Some(host) = host {
                return Some((name.clone(), host.clone()));
            }
        }
        None
    }

    /// Clears the cached lists of lendable hosts after a change of members or hosts.
    pub(super) fn clear_lendable(&mut self) {
        for service in self.services.values_mut() {
            service.lendable = None;
        }
    }
}

fn can_lend_slot(service: &Service, options: &Options, host: &ids::Host) -> bool {
    let worker = service.table.get(host);
    worker.is_some_and(|worker| worker.loans < options.lendable_slots && !worker.is_ejected)
        && service.table.is_available(host)
}

/// Returns the hosts whose slots this entry host may lend, in name order.
fn list_lendable_hosts(
    table: &super::Table,
    members: &Map<ids::Instance, Role>,
    own_instance: &ids::Instance,
) -> Vec<ids::Host> {
    let is_assigned_here = |host: &&ids::Host| {
        let entries = members.iter().filter(|(_, role)| **role == Role::Entry);
        let chosen =
            entries.max_by_key(|(name, _)| (rendezvous_score(name, host), (*name).clone()));
        chosen.is_some_and(|(name, _)| name == own_instance)
    };
    let mut hosts: Vec<ids::Host> = table.names().filter(is_assigned_here).cloned().collect();
    hosts.sort_unstable();
    hosts
}

fn rendezvous_score(instance: &ids::Instance, host: &ids::Host) -> u64 {
    let mut hasher = FxHasher::default();
    instance.hash(&mut hasher);
    host.hash(&mut hasher);
    hasher.finish()
}
