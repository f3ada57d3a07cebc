//! Claims on pools, and expiry of members that stopped renewing.

use std::hash::{Hash, Hasher};
use std::time::Instant;

use super::manager::Subject;
use super::{Action, Manager};
use crate::ids;
use crate::record::{Body, Role};

/// Divisor of the member timeout that gives the maximum age of this instance's renewal, as read back from
/// the log.
const RENEWAL_AGE_DIVISOR: u32 = 2;

impl Manager {
    /// Checks that this instance's renewal was read back from the log recently, so that the view is up to
    /// date.
    ///
    /// A process that was frozen or disconnected has not read the renewals of others either, so the timeout
    /// of each member starts again once this instance's renewal is read.
    pub(crate) fn check_own_renewal(&mut self, now: Instant) -> bool {
        let renewal_age_max = self.options.member_timeout / RENEWAL_AGE_DIVISOR;
        let is_current = self
            .renewed_at
            .get(&self.instance)
            .is_some_and(|renewed_at| now.saturating_duration_since(*renewed_at) < renewal_age_max);
        if is_current && !self.is_current {
            self.restart_member_timeouts(now);
        }
        self.is_current = is_current;
        is_current
    }

    /// Restarts the timeout of every member.
    pub(crate) fn restart_member_timeouts(&mut self, now: Instant) {
        for renewed_at in self.renewed_at.values_mut() {
            *renewed_at = now;
        }
    }

    /// Expires members whose latest renewal, by this instance's clock, is older than the member timeout.
    ///
    /// Instances wait by their rank for the member, so that usually only one appends the record.
    pub(crate) fn expire_members(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let timeout = self.options.member_timeout;
        let renewal_age = |renewed_at: &Instant| now.saturating_duration_since(*renewed_at);
        let overdue = self.renewed_at.iter().filter(|(name, renewed_at)| {
            **name != self.instance && renewal_age(renewed_at) >= timeout
        });
        let mut overdue: Vec<(ids::Instance, Instant)> = overdue
            .map(|(name, renewed_at)| (name.clone(), *renewed_at))
            .collect();
        overdue.sort();
        for (instance, renewed_at) in overdue {
            let delay = timeout + self.options.claim_delay_per_rank * self.rank(&instance);
            let Some(member) = self.view.members.get(&instance) else {
                continue;
            };
            if renewal_age(&renewed_at) < delay {
                continue;
            }
            let body = Body::Expire {
                instance: instance.clone(),
                incarnation: member.incarnation,
            };
            self.append(Subject::Member(instance), body, actions);
        }
    }

    /// Claims pools without a holder, after a delay that grows with this instance's rank for the pool; the
    /// first claims at once.
    pub(crate) fn claim_pools(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.view.members.contains_key(&self.instance) {
            return;
        }
        let mut unclaimed: Vec<_> = self
            .unclaimed_since
            .iter()
            .map(|(name, since)| (name.clone(), *since))
            .collect();
        unclaimed.sort();
        for (name, since) in unclaimed {
            let delay = self.options.claim_delay_per_rank * self.rank(&name);
            if now.saturating_duration_since(since) < delay {
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

    /// Returns the rank of this instance in the rendezvous hashing order of a name, 0 for the first.
    fn rank(&self, name: &str) -> u32 {
        let own = weight(name, &self.instance);
        let candidates =
            self.view.members.iter().filter(|(other, member)| {
                member.announcement.role == Role::Fleet && **other != name
            });
        let above = candidates
            .filter(|(other, _)| weight(name, other) > own)
            .count();
        u32::try_from(above).unwrap_or(u32::MAX)
    }
}

/// Returns the rendezvous hashing weight of a candidate for a name; the highest ranks first.
pub(crate) fn weight(name: &str, candidate: &str) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    (name, candidate).hash(&mut hasher);
    hasher.finish()
}
