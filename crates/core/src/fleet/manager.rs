//! The manager's loop over what it holds.

use std::time::Instant;

use super::watch::Watch;
use super::{Action, Event, Options, View};
use crate::ids;
use crate::map::{Map, Set};
use crate::record::Body;
use crate::state::Change;

/// `Manager` decides for the pools that one fleet instance holds.
#[derive(Clone, Debug)]
pub struct Manager {
    pub(crate) instance: ids::Instance,
    pub(crate) options: Options,
    pub(crate) view: View,
    /// Time of each member's latest renewal by the own clock.
    pub(crate) renewed: Map<ids::Instance, Instant>,
    /// Time since which each pool has had no holder.
    pub(crate) vacant: Map<ids::Pool, Instant>,
    /// Hosts out of service, and hosts in service that are asked for their status.
    pub(crate) watches: Map<ids::Host, Watch>,
    /// Hosts in service that the host list lacks, with their revision and since when.
    pub(crate) missing: Map<ids::Host, (ids::Revision, Instant)>,
    /// Host of each call that is not answered.
    pub(crate) calls: Map<u64, ids::Host>,
    /// Progress of the periodic work on each pool.
    pub(crate) reviews: Map<ids::Pool, Review>,
    /// Pool to which each move under way goes.
    pub(crate) coming: Map<ids::Host, ids::Pool>,
    /// Pools that changed since their latest review.
    changed: Set<ids::Pool>,
    /// Whether the own renewal was read back a short time ago.
    pub(crate) current: bool,
    /// Subject of each append that is not settled.
    pending: Map<u64, Subject>,
    subjects: Set<Subject>,
    pub(crate) tokens: u64,
}

/// `Review` is the progress of the periodic work on one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Review {
    /// Time of the latest review of its waves and its size.
    reviewed: Option<Instant>,
    /// Time at which the next host is asked for its status.
    pub(crate) audited: Option<Instant>,
    /// Host that was asked last.
    pub(crate) cursor: Option<ids::Host>,
    /// Time since which the pool has had too many hosts.
    pub(crate) surplus: Option<Instant>,
}

/// `Subject` is what an append is about; one append for each is under way at most.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Subject {
    Host(ids::Host),
    List,
    Member(ids::Instance),
    Pool(ids::Pool),
    Wave(ids::Wave),
}

impl Manager {
    /// Makes a manager for a fleet instance.
    #[must_use]
    pub fn new(instance: ids::Instance, options: Options) -> Self {
        Self {
            instance,
            options,
            view: View::default(),
            renewed: Map::default(),
            vacant: Map::default(),
            watches: Map::default(),
            missing: Map::default(),
            calls: Map::default(),
            reviews: Map::default(),
            coming: Map::default(),
            changed: Set::default(),
            current: false,
            pending: Map::default(),
            subjects: Set::default(),
            tokens: 0,
        }
    }

    /// Gets the part of the fold that the manager decides on.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Takes an event at a time and appends what is to be done.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::CallAnswered { token, status } => self.answer(token, status),
            Event::CaughtUp => self.forgive(now),
            Event::Change(change) => self.change(now, change),
            Event::HostsListed(facts) => self.listed(now, facts, actions),
            Event::Report {
                instance,
                host,
                drain_offset,
                in_flight,
            } => self.report(instance, &host, drain_offset, in_flight),
            Event::AppendCompleted { token, .. } => {
                if let Some(subject) = self.pending.remove(&token) {
                    self.subjects.remove(&subject);
                    if let Subject::Host(name) = &subject {
                        self.coming.remove(name);
                    }
                }
            }
            Event::Tick => self.tick(now, actions),
        }
    }

    fn change(&mut self, now: Instant, change: Change) {
        match &change {
            Change::Host(name, host) => {
                self.watch(now, name, host);
                self.changed.insert(host.pool.clone());
            }
            Change::Member(name, Some(_)) | Change::Renewed(name) => {
                self.renewed.insert(name.clone(), now);
            }
            Change::Member(name, None) => {
                self.renewed.remove(name);
            }
            Change::Pool(name, pool) => {
                self.changed.insert(name.clone());
                if pool.holder.is_some() {
                    self.vacant.remove(name);
                } else {
                    self.vacant.entry(name.clone()).or_insert(now);
                }
            }
            Change::Wave(_, wave) => {
                self.changed.insert(wave.pool.clone());
            }
            Change::Budget(..) | Change::Keys(..) | Change::Pin(..) | Change::Quota(..) => {}
        }
        self.view.apply(change);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        // With a view that may be old this process decides nothing and calls nobody.
        if !self.check_current(now) {
            return;
        }
        self.expire_members(now, actions);
        self.claim_pools(now, actions);
        for (pool, term) in &self.held_pools() {
            self.advance_hosts(now, pool, *term, actions);
            self.audit(now, pool, actions);
            if self.is_due(now, pool) {
                self.advance_waves(pool, *term, actions);
                self.balance(now, pool, *term, actions);
            }
        }
        self.changed.clear();
        self.check_doubts(now, actions);
    }

    /// Gets whether a pool changed or was not reviewed for a while.
    fn is_due(&mut self, now: Instant, pool: &ids::Pool) -> bool {
        let period = self.options.review_interval;
        let review = self.reviews.entry(pool.clone()).or_default();
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let due = review.reviewed.is_none_or(|at| elapsed(at) >= period);
        if due || self.changed.contains(pool) {
            review.reviewed = Some(now);
            return true;
        }
        false
    }

    /// Gets the pools that this instance decides for, with its terms.
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

    /// Appends a record unless one about the same subject is under way.
    pub(crate) fn append(&mut self, subject: Subject, body: Body, actions: &mut Vec<Action>) {
        if !self.subjects.insert(subject.clone()) {
            return;
        }
        self.tokens += 1;
        self.pending.insert(self.tokens, subject);
        actions.push(Action::Append {
            token: self.tokens,
            body,
        });
    }

    /// Gets whether an append about a host is under way.
    pub(crate) fn is_host_pending(&self, host: &ids::Host) -> bool {
        self.subjects.contains(&Subject::Host(host.clone()))
    }

    /// Gets the hosts about which an append is under way.
    pub(crate) fn pending_hosts(&self) -> impl Iterator<Item = &ids::Host> {
        self.subjects.iter().filter_map(|subject| match subject {
            Subject::Host(host) => Some(host),
            _ => None,
        })
    }
}
