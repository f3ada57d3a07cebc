//! The manager: its state, its events and its periodic work on the pools that it holds.

use std::time::Instant;

use super::watch::Watch;
use super::{Action, Event, Options, View};
use crate::ids;
use crate::map::{Map, Set};
use crate::record::Body;
use crate::state::Change;

/// `Manager` decides on the pools that one fleet instance holds, and claims pools without a holder.
#[derive(Clone, Debug)]
pub struct Manager {
    pub(crate) instance: ids::Instance,
    pub(crate) options: Options,
    pub(crate) view: View,
    /// Time of each member's latest renewal, by this instance's clock.
    pub(crate) renewed_at: Map<ids::Instance, Instant>,
    /// Pools without a holder, with the time since when.
    pub(crate) unclaimed_since: Map<ids::Pool, Instant>,
    /// Watches of all hosts out of service, and of serving hosts whose status is under check.
    pub(crate) watches: Map<ids::Host, Watch>,
    /// Serving hosts that are not in the host list, with their revision and the time since when.
    pub(crate) unlisted: Map<ids::Host, (ids::Revision, Instant)>,
    /// Host of each call without an answer, by token.
    pub(crate) pending_calls: Map<u64, ids::Host>,
    /// Progress of the periodic work on each pool.
    pub(crate) reviews: Map<ids::Pool, Review>,
    /// New pool of each host whose move is being appended.
    pub(crate) pending_moves: Map<ids::Host, ids::Pool>,
    /// Pools that changed since the last review of the held pools.
    changed_pools: Set<ids::Pool>,
    /// Whether this instance's renewal was read back from the log recently, so that the view is up to date.
    pub(crate) is_current: bool,
    /// Subject of each append that has not completed, by token.
    pending_appends: Map<u64, Subject>,
    /// Subjects of the appends that have not completed.
    pending_subjects: Set<Subject>,
    pub(crate) last_token: u64,
}

/// `Review` is the progress of the periodic work on one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Review {
    /// Time of the last review of the pool's waves and size.
    reviewed_at: Option<Instant>,
    /// Time at which the status of the next host is queried.
    pub(crate) next_audit_at: Option<Instant>,
    /// Host whose status was queried last.
    pub(crate) audit_cursor: Option<ids::Host>,
    /// Time since which the pool has had a surplus of hosts.
    pub(crate) surplus_since: Option<Instant>,
}

/// `Subject` is what an append is about. At most one append for each subject is in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Subject {
    Host(ids::Host),
    List,
    Member(ids::Instance),
    Pool(ids::Pool),
    Wave(ids::Wave),
}

impl Manager {
    /// Creates a manager for a fleet instance.
    #[must_use]
    pub fn new(instance: ids::Instance, options: Options) -> Self {
        Self {
            instance,
            options,
            view: View::default(),
            renewed_at: Map::default(),
            unclaimed_since: Map::default(),
            watches: Map::default(),
            unlisted: Map::default(),
            pending_calls: Map::default(),
            reviews: Map::default(),
            pending_moves: Map::default(),
            changed_pools: Set::default(),
            is_current: false,
            pending_appends: Map::default(),
            pending_subjects: Set::default(),
            last_token: 0,
        }
    }

    /// Returns the part of the replayed state that the manager decides on.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Handles an event and adds the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::CallAnswered { token, status } => self.handle_call_answer(token, status),
            Event::CaughtUp => self.restart_member_timeouts(now),
            Event::Change(change) => self.apply_change(now, change),
            Event::HostsListed(listings) => self.compare_host_list(now, listings, actions),
            Event::Report {
                instance,
                host,
                drain_offset,
                in_flight,
            } => self.handle_drain_report(instance, &host, drain_offset, in_flight),
            Event::AppendCompleted { token, .. } => {
                if let Some(subject) = self.pending_appends.remove(&token) {
                    self.pending_subjects.remove(&subject);
                    if let Subject::Host(name) = &subject {
                        self.pending_moves.remove(name);
                    }
                }
            }
            Event::Tick => self.tick(now, actions),
        }
    }

    fn apply_change(&mut self, now: Instant, change: Change) {
        match &change {
            Change::Host(name, host) => {
                self.update_watch(now, name, host);
                self.changed_pools.insert(host.pool.clone());
            }
            Change::Member(name, Some(_)) | Change::Renewed(name) => {
                self.renewed_at.insert(name.clone(), now);
            }
            Change::Member(name, None) => {
                self.renewed_at.remove(name);
            }
            Change::Pool(name, pool) => {
                self.changed_pools.insert(name.clone());
                if pool.holder.is_some() {
                    self.unclaimed_since.remove(name);
                } else {
                    self.unclaimed_since.entry(name.clone()).or_insert(now);
                }
            }
            Change::Wave(_, wave) => {
                self.changed_pools.insert(wave.pool.clone());
            }
            Change::Budget(..) | Change::Keys(..) | Change::Pin(..) | Change::Quota(..) => {}
        }
        self.view.apply(change);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        // With a view that may be stale the manager appends nothing and makes no calls.
        if !self.check_own_renewal(now) {
            return;
        }
        self.expire_members(now, actions);
        self.claim_pools(now, actions);
        for (pool, term) in &self.held_pools() {
            self.advance_hosts(now, pool, *term, actions);
            self.audit_next_host(now, pool, actions);
            if self.start_review_if_due(now, pool) {
                self.advance_waves(pool, *term, actions);
                self.balance(now, pool, *term, actions);
            }
        }
        self.changed_pools.clear();
        self.check_suspects(now, actions);
    }

    /// Starts a review of a pool if it changed or the review interval has passed, and returns whether it did.
    fn start_review_if_due(&mut self, now: Instant, pool: &ids::Pool) -> bool {
        let interval = self.options.review_interval;
        let review = self.reviews.entry(pool.clone()).or_default();
        let elapsed = |reviewed_at: Instant| now.saturating_duration_since(reviewed_at);
        let is_due = review
            .reviewed_at
            .is_none_or(|reviewed_at| elapsed(reviewed_at) >= interval);
        if is_due || self.changed_pools.contains(pool) {
            review.reviewed_at = Some(now);
            return true;
        }
        false
    }

    /// Returns the pools that this instance holds, with the terms of its claims.
    #[must_use]
    pub fn held_pools(&self) -> Vec<(ids::Pool, ids::Term)> {
        let own = self
            .view
            .pools
            .iter()
            .filter(|(_, pool)| pool.holder.as_ref() == Some(&self.instance));
        let mut held: Vec<_> = own.map(|(name, pool)| (name.clone(), pool.term)).collect();
        held.sort();
        held
    }

    /// Appends a record unless an append about the same subject is in flight.
    pub(crate) fn append(&mut self, subject: Subject, body: Body, actions: &mut Vec<Action>) {
        if !self.pending_subjects.insert(subject.clone()) {
            return;
        }
        self.last_token += 1;
        self.pending_appends.insert(self.last_token, subject);
        actions.push(Action::Append {
            token: self.last_token,
            body,
        });
    }

    /// Checks if an append about a host is in flight.
    pub(crate) fn is_host_pending(&self, host: &ids::Host) -> bool {
        self.pending_subjects.contains(&Subject::Host(host.clone()))
    }

    /// Returns the hosts about which an append is in flight.
    pub(crate) fn pending_hosts(&self) -> impl Iterator<Item = &ids::Host> {
        self.pending_subjects
            .iter()
            .filter_map(|subject| match subject {
                Subject::Host(host) => Some(host),
                _ => None,
            })
    }
}
