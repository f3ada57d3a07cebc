//! Hosts that fail without a plan.
//!
//! The host list lags, so a host that it lacks is only doubted; the platform's answer about that
//! host at its current revision decides.

use std::ops::Bound;
use std::time::Instant;

use super::manager::Subject;
use super::watch::Watch;
use super::{Action, Call, Health, Manager};
use crate::ids;
use crate::map::Set;
use crate::record::{Body, Fact};
use crate::state::{Host, SPARE};

impl Manager {
    /// Compares the host list with the hosts of held pools.
    pub(crate) fn listed(&mut self, now: Instant, facts: Vec<Fact>, actions: &mut Vec<Action>) {
        if facts.is_empty() {
            return;
        }
        let listed: Set<&ids::Host> = facts.iter().map(|fact| &fact.host).collect();
        for (pool, _) in self.held_pools() {
            let serving = self
                .view
                .hosts_of(&pool)
                .filter(|(_, host)| host.is_serving());
            for (name, host) in serving {
                if listed.contains(name) {
                    self.missing.remove(name);
                } else {
                    let missing = self.missing.entry(name.clone());
                    let missing = missing.or_insert((host.revision, now));
                    // A host that was just put back gets a whole period again.
                    if missing.0 != host.revision {
                        *missing = (host.revision, now);
                    }
                }
            }
        }
        self.enroll(facts, actions);
    }

    /// Enrolls hosts that the fold does not know; the spare pool's holder does it for all.
    fn enroll(&mut self, facts: Vec<Fact>, actions: &mut Vec<Action>) {
        let spare = self.view.pools.get(SPARE);
        if spare.and_then(|pool| pool.holder.as_ref()) != Some(&self.instance) {
            return;
        }
        let new = facts
            .into_iter()
            .filter(|fact| !self.view.hosts.contains_key(&fact.host));
        let hosts: Vec<Fact> = new.collect();
        if !hosts.is_empty() {
            self.append(Subject::List, Body::Enroll { hosts }, actions);
        }
    }

    /// Asks for the status of the next host in service of a held pool.
    pub(crate) fn audit(&mut self, now: Instant, pool: &ids::Pool, actions: &mut Vec<Action>) {
        let Some(index) = self.view.pool_index.get(pool) else {
            return;
        };
        let review = self.reviews.entry(pool.clone()).or_default();
        if review.audited.is_some_and(|at| now < at) {
            return;
        }
        let after = review
            .cursor
            .as_ref()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let mut next = index.names.range::<ids::Host, _>((after, Bound::Unbounded));
        let next = next.next().or_else(|| index.names.first()).cloned();
        let count = u32::try_from(index.names.len()).unwrap_or(u32::MAX);
        review.audited = Some(now + self.options.audit_interval / count.max(1));
        review.cursor.clone_from(&next);
        let serving = |name: &ids::Host| self.view.hosts.get(name).is_some_and(Host::is_serving);
        if let Some(name) = next.filter(serving) {
            self.call(now, &name, Call::Query, actions);
        }
    }

    /// Decides about hosts in service of held pools that are missing or answered badly.
    pub(crate) fn check_doubts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let missing = self.missing.keys().chain(self.watches.keys());
        let mut names: Vec<ids::Host> = missing.cloned().collect();
        names.sort();
        names.dedup();
        for name in names {
            let host = self.view.hosts.get(&name).filter(|host| host.is_serving());
            let Some(host) = host.cloned() else {
                self.missing.remove(&name);
                continue;
            };
            let pool = self.view.pools.get(&host.pool);
            let held = pool.filter(|pool| pool.holder.as_ref() == Some(&self.instance));
            let Some(term) = held.map(|pool| pool.term) else {
                self.missing.remove(&name);
                self.watches.remove(&name);
                continue;
            };
            self.check_doubt(now, &name, term, actions);
        }
    }

    fn check_doubt(
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
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let missing = self.missing.get(name).filter(|(at, _)| *at == revision);
        let missing = missing.map(|(_, at)| elapsed(*at));
        let status = self.watches.get(name).and_then(|watch| watch.status);
        let good =
            status.is_some_and(|s| s.generation == generation && s.health == Health::Serving);
        if good {
            self.watches.remove(name);
            if missing.is_some_and(|time| time >= self.options.missing_timeout) {
                // The list lags; the next one starts a new period.
                self.missing.remove(name);
            }
            return;
        }
        let repeats = self
            .watches
            .get(name)
            .map_or(0, |watch: &Watch| watch.repeats);
        let gone = missing.is_some_and(|time| time >= self.options.lost_timeout);
        if repeats >= self.options.required_answers || (status.is_none() && gone) {
            self.lose(name, term, actions);
            return;
        }
        let stale = self
            .watches
            .get(name)
            .is_some_and(|w| elapsed(w.started) > self.options.audit_interval);
        if status.is_none() && missing.is_none() && stale {
            self.watches.remove(name);
            return;
        }
        let doubted = missing.is_some_and(|time| time >= self.options.missing_timeout);
        if status.is_some() || doubted {
            self.call(now, name, Call::Query, actions);
        }
    }

    /// Reports a host as failed at the revision that this process knows.
    pub(crate) fn lose(&mut self, name: &ids::Host, term: ids::Term, actions: &mut Vec<Action>) {
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
