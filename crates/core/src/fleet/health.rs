//! Detection of hosts that failed.
//!
//! The host list lags, so a host that is not listed is only suspected to have failed. The status that the
//! platform returns for the host at its current revision decides.

use std::ops::Bound;
use std::time::Instant;

use super::manager::Subject;
use super::watch::Watch;
use super::{Action, Call, Health, Manager};
use crate::ids;
use crate::map::Set;
use crate::record::{Body, Listing};
use crate::state::{Host, SPARE};

impl Manager {
    /// Compares the host list with the serving hosts of held pools, and enrolls new hosts.
    pub(crate) fn compare_host_list(
        &mut self,
        now: Instant,
        listings: Vec<Listing>,
        actions: &mut Vec<Action>,
    ) {
        if listings.is_empty() {
            return;
        }
        let listed: Set<&ids::Host> = listings.iter().map(|listing| &listing.host).collect();
        for (pool, _) in self.held_pools() {
            let serving = self
                .view
                .hosts_of(&pool)
                .filter(|(_, host)| host.is_serving());
            for (name, host) in serving {
                if listed.contains(name) {
                    self.unlisted.remove(name);
                } else {
                    let entry = self.unlisted.entry(name.clone());
                    let entry = entry.or_insert((host.revision, now));
                    // The timeout starts again for a host that returned to service.
                    if entry.0 != host.revision {
                        *entry = (host.revision, now);
                    }
                }
            }
        }
        self.enroll(listings, actions);
    }

    /// Enrolls listed hosts without a record; only the holder of the spare pool does so.
    fn enroll(&mut self, listings: Vec<Listing>, actions: &mut Vec<Action>) {
        let spare = self.view.pools.get(SPARE);
        if spare.and_then(|pool| pool.holder.as_ref()) != Some(&self.instance) {
            return;
        }
        let new = listings
            .into_iter()
            .filter(|listing| !self.view.hosts.contains_key(&listing.host));
        let hosts: Vec<Listing> = new.collect();
        if !hosts.is_empty() {
            self.append(Subject::List, Body::Enroll { hosts }, actions);
        }
    }

    /// Queries the status of the next host of a held pool if it is due and the host serves.
    pub(crate) fn audit_next_host(
        &mut self,
        now: Instant,
        pool: &ids::Pool,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.view.pool_index.get(pool) else {
            return;
        };
        let review = self.reviews.entry(pool.clone()).or_default();
        if review
            .next_audit_at
            .is_some_and(|next_audit_at| now < next_audit_at)
        {
            return;
        }
        let after = review
            .audit_cursor
            .as_ref()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let mut next = index.names.range::<ids::Host, _>((after, Bound::Unbounded));
        let next = next.next().or_else(|| index.names.first()).cloned();
        let count = u32::try_from(index.names.len()).unwrap_or(u32::MAX);
        review.next_audit_at = Some(now + self.options.audit_interval / count.max(1));
        review.audit_cursor.clone_from(&next);
        let is_serving = |name: &ids::Host| self.view.hosts.get(name).is_some_and(Host::is_serving);
        if let Some(name) = next.filter(is_serving) {
            self.call_platform(now, &name, Call::Query, actions);
        }
    }

    /// Decides on serving hosts of held pools that are unlisted or whose status is under check.
    pub(crate) fn check_suspects(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let suspects = self.unlisted.keys().chain(self.watches.keys());
        let mut names: Vec<ids::Host> = suspects.cloned().collect();
        names.sort();
        names.dedup();
        for name in names {
            let host = self.view.hosts.get(&name).filter(|host| host.is_serving());
            let Some(host) = host.cloned() else {
                self.unlisted.remove(&name);
                continue;
            };
            let pool = self.view.pools.get(&host.pool);
            let held_pool = pool.filter(|pool| pool.holder.as_ref() == Some(&self.instance));
            let Some(term) = held_pool.map(|pool| pool.term) else {
                self.unlisted.remove(&name);
                self.watches.remove(&name);
                continue;
            };
            self.check_suspect(now, &name, term, actions);
        }
    }

    fn check_suspect(
        &mut self,
        now: Instant,
        name: &ids::Host,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let Some(host) = self.view.hosts.get(name) else {
            return;
        };
        let (generation, revision) = (host.generation, host.revision);
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let unlisted = self
            .unlisted
            .get(name)
            .filter(|(known_revision, _)| *known_revision == revision);
        let unlisted_time = unlisted.map(|(_, since)| elapsed(*since));
        let status = self.watches.get(name).and_then(|watch| watch.status);
        let is_healthy =
            status.is_some_and(|s| s.generation == generation && s.health == Health::Serving);
        if is_healthy {
            self.watches.remove(name);
            if unlisted_time.is_some_and(|time| time >= self.options.missing_timeout) {
                // The host list lags; the next list starts a new timeout.
                self.unlisted.remove(name);
            }
            return;
        }
        let answer_count = self
            .watches
            .get(name)
            .map_or(0, |watch: &Watch| watch.answer_count);
        let is_lost = unlisted_time.is_some_and(|time| time >= self.options.lost_timeout);
        if answer_count >= self.options.required_answers || (status.is_none() && is_lost) {
            self.append_lost(name, term, actions);
            return;
        }
        let is_stale = self
            .watches
            .get(name)
            .is_some_and(|watch| elapsed(watch.started_at) > self.options.audit_interval);
        if status.is_none() && unlisted_time.is_none() && is_stale {
            self.watches.remove(name);
            return;
        }
        let is_suspect = unlisted_time.is_some_and(|time| time >= self.options.missing_timeout);
        if status.is_some() || is_suspect {
            self.call_platform(now, name, Call::Query, actions);
        }
    }

    /// Appends the record that a host is lost, at the revision that this process has read.
    pub(crate) fn append_lost(
        &mut self,
        name: &ids::Host,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let Some(host) = self.view.hosts.get(name) else {
            return;
        };
        let body = Body::Lost {
            host: name.clone(),
            generation: host.generation,
            revision: host.revision,
            term,
        };
        self.append(Subject::Host(name.clone()), body, actions);
    }
}
