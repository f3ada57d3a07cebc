//! Claims on pools, and removal of members that stopped renewing.

use std::hash::{Hash, Hasher};
use std::time::Instant;

use super::manager::Subject;
use super::{Action, Manager};
use crate::ids;
use crate::record::{Body, Role};

/// Share of the member timeout within which the own renewal must have been read back.
const CURRENT_SHARE: u32 = 2;

impl Manager {
    /// Checks by the own renewal that the log works and that this process reads it.
    ///
    /// A process that was frozen or cut off has not seen the renewals of others either, so each
    /// member gets a whole period once the log works again.
    pub(crate) fn check_current(&mut self, now: Instant) -> bool {
        let bound = self.options.member_timeout / CURRENT_SHARE;
        let current = self
            .renewed
            .get(&self.instance)
            .is_some_and(|at| now.saturating_duration_since(*at) < bound);
        if current && !self.current {
            self.forgive(now);
        }
        self.current = current;
        current
    }

    /// Counts the silence of every member from now on.
    pub(crate) fn forgive(&mut self, now: Instant) {
        for at in self.renewed.values_mut() {
            *at = now;
        }
    }

    /// Removes members that missed their renewals by the own clock.
    pub(crate) fn expire_members(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let timeout = self.options.member_timeout;
        let silence = |at: &Instant| now.saturating_duration_since(*at);
        let silent = self
            .renewed
            .iter()
            .filter(|(name, at)| **name != self.instance && silence(at) >= timeout);
        let mut silent: Vec<(ids::Instance, Instant)> =
            silent.map(|(name, at)| (name.clone(), *at)).collect();
        silent.sort();
        for (instance, at) in silent {
            let wait = timeout + self.options.claim_delay_per_rank * self.rank(&instance);
            let Some(member) = self.view.members.get(&instance) else {
                continue;
            };
            if silence(&at) < wait {
                continue;
            }
            let body = Body::Expire {
                instance: instance.clone(),
                incarnation: member.incarnation,
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
            let wait = self.options.claim_delay_per_rank * self.rank(&name);
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

    /// Gets the own place in the rendezvous order of a name, 0 for the first.
    fn rank(&self, name: &str) -> u32 {
        let own = weight(name, &self.instance);
        let fleet =
            self.view.members.iter().filter(|(other, member)| {
                member.announcement.role == Role::Fleet && **other != name
            });
        let above = fleet.filter(|(other, _)| weight(name, other) > own).count();
        u32::try_from(above).unwrap_or(u32::MAX)
    }
}

/// Gets the weight of a candidate for a name in the rendezvous order.
pub(crate) fn weight(name: &str, candidate: &str) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    (name, candidate).hash(&mut hasher);
    hasher.finish()
}
