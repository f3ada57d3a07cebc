//! Claims on pools, and removal of members that stopped renewing.

use std::hash::{Hash, Hasher};
use std::time::Instant;

use super::manager::Subject;
use super::{Action, Manager};
use crate::ids;
use crate::record::{Body, Role};

impl Manager {
    /// Removes members that missed their renewals by the own clock.
    pub(crate) fn expire_members(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let timeout = self.options.member_timeout;
        let silent = self.renewed.iter().filter(|(name, at)| {
            **name != self.instance && now.saturating_duration_since(**at) >= timeout
        });
        let mut silent: Vec<ids::Instance> = silent.map(|(name, _)| name.clone()).collect();
        silent.sort();
        for instance in silent {
            let Some(member) = self.view.members.get(&instance) else {
                continue;
            };
            let incarnation = member.incarnation;
            let body = Body::Expire {
                instance: instance.clone(),
                incarnation,
            };
            self.append(Subject::Member(instance), body, actions);
        }
    }

    /// Claims pools without a holder; the instance ranked first for a pool claims it at once.
    pub(crate) fn claim_pools(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.view.members.contains_key(&self.instance) {
            return;
        }
        let mut vacant: Vec<_> = self
            .vacant
            .iter()
            .map(|(name, at)| (name.clone(), *at))
            .collect();
        vacant.sort();
        for (name, since) in vacant {
            let wait = self.options.claim_step * self.rank(&name);
            if now.saturating_duration_since(since) < wait {
                continue;
            }
            let Some(pool) = self.view.pools.get(&name) else {
                continue;
            };
            let body = Body::Claim {
                pool: name.clone(),
                term: pool.term + 1,
            };
            self.append(Subject::Pool(name), body, actions);
        }
    }

    /// Gets the own place in the rendezvous order of a pool, 0 for the first.
    fn rank(&self, pool: &ids::Pool) -> u32 {
        let own = weight(pool, &self.instance);
        let fleet = self
            .view
            .members
            .iter()
            .filter(|(_, member)| member.about.role == Role::Fleet);
        let above = fleet.filter(|(name, _)| weight(pool, name) > own).count();
        u32::try_from(above).unwrap_or(u32::MAX)
    }
}

fn weight(pool: &ids::Pool, instance: &ids::Instance) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    (pool, instance).hash(&mut hasher);
    hasher.finish()
}
