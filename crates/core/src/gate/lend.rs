//! Loans of idle slots to other services.
//!
//! One entry host alone, found by rendezvous hash, lends the slots of a worker, so that the loans on
//! it stay under their limit without any message between entry hosts. Loans are taken back by
//! starting no more of them.

use std::hash::{Hash, Hasher};
use std::time::Instant;

use rand::RngExt;
use rustc_hash::FxHasher;

use super::service::Service;
use super::{Action, Gate, Options};
use crate::ids;
use crate::map::Map;
use crate::record::Role;

/// Hosts of one service that are looked at for a loan, at most.
const LOAN_TRIES: usize = 8;

impl Gate {
    /// Notes that a service has more requests than its own workers have room for.
    pub(super) fn note_borrower(&mut self, name: &ids::Service) {
        if !self.borrowers.contains(name) {
            self.borrowers.push(name.clone());
        }
    }

    /// Starts waiting requests on idle slots of other services, one for each service in turn.
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

    /// Starts one request of a service on a slot of another; returns whether it did.
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
        let Some((lender, host)) = self.find_loan(now, name) else {
            return false;
        };
        self.start(now, id, &lender, host, actions);
        true
    }

    fn find_loan(
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
            if name == borrower || !service.lends(now) || !service.table.has_open(now, options) {
                continue;
            }
            if service.lendable.is_none() {
                service.lendable = Some(lendable(&service.table, members, &options.instance));
            }
            let hosts = service.lendable.as_deref().unwrap_or_default();
            if hosts.is_empty() {
                continue;
            }
            let first = rng.random_range(0..hosts.len());
            let mut hosts = hosts[first..]
                .iter()
                .chain(&hosts[..first])
                .take(LOAN_TRIES);
            let host = hosts.find(|host| is_free(service, options, host));
            if let Some(host) = host {
                return Some((name.clone(), host.clone()));
            }
        }
        None
    }

    /// Forgets which hosts this entry host lends, after a change of members or hosts.
    pub(super) fn forget_lendable(&mut self) {
        for service in self.services.values_mut() {
            service.lendable = None;
        }
    }
}

fn is_free(service: &Service, options: &Options, host: &ids::Host) -> bool {
    let worker = service.table.get(host);
    worker.is_some_and(|worker| worker.loans < options.lendable_slots && !worker.ejected)
        && service.table.is_open(host)
}

/// Gets the hosts whose slots this entry host lends.
fn lendable(
    table: &super::Table,
    members: &Map<ids::Instance, Role>,
    own: &ids::Instance,
) -> Vec<ids::Host> {
    let is_own = |host: &&ids::Host| {
        let entries = members.iter().filter(|(_, role)| **role == Role::Entry);
        let chosen = entries.max_by_key(|(name, _)| (score(name, host), (*name).clone()));
        chosen.is_some_and(|(name, _)| name == own)
    };
    let mut hosts: Vec<ids::Host> = table.names().filter(is_own).cloned().collect();
    hosts.sort_unstable();
    hosts
}

fn score(instance: &ids::Instance, host: &ids::Host) -> u64 {
    let mut hasher = FxHasher::default();
    instance.hash(&mut hasher);
    host.hash(&mut hasher);
    hasher.finish()
}
