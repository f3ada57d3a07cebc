//! The manager's loop over what it holds.

use std::time::Instant;

use super::drain::Drain;
use super::{Action, Call, Event, Options, View};
use crate::ids;
use crate::map::{Map, Set};
use crate::record::{Body, Fact};
use crate::state::{Change, Stage};

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
    /// Drains of held pools.
    pub(crate) drains: Map<ids::Host, Drain>,
    /// Subject of each append that is not settled.
    pending: Map<u64, Subject>,
    subjects: Set<Subject>,
    tokens: u64,
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
            drains: Map::default(),
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
            Event::Caught => {
                for at in self.renewed.values_mut() {
                    *at = now;
                }
            }
            Event::Change(change) => self.change(now, change),
            Event::Listed(facts) => self.listed(facts, actions),
            Event::Report {
                instance,
                host,
                since,
                in_flight,
            } => {
                if let Some(drain) = self.drains.get_mut(&host)
                    && drain.since == since
                {
                    drain.reports.insert(instance, in_flight);
                }
            }
            Event::Settled { token, .. } => {
                if let Some(subject) = self.pending.remove(&token) {
                    self.subjects.remove(&subject);
                }
            }
            Event::Status(host, status) => {
                if let Some(drain) = self.drains.get_mut(&host) {
                    drain.status = Some(status);
                }
            }
            Event::Tick => self.tick(now, actions),
        }
    }

    fn change(&mut self, now: Instant, change: Change) {
        match &change {
            Change::Host(name, host) => match &host.stage {
                Stage::Draining { since, .. } => {
                    let known = self
                        .drains
                        .get(name)
                        .is_some_and(|drain| drain.since == *since);
                    if !known {
                        self.drains.insert(name.clone(), Drain::new(*since, now));
                    }
                }
                Stage::Lost | Stage::Serving => {
                    self.drains.remove(name);
                }
            },
            Change::Member(name, Some(_)) | Change::Renewed(name) => {
                self.renewed.insert(name.clone(), now);
            }
            Change::Member(name, None) => {
                self.renewed.remove(name);
            }
            Change::Pool(name, pool) => {
                if pool.holder.is_some() {
                    self.vacant.remove(name);
                } else {
                    self.vacant.entry(name.clone()).or_insert(now);
                }
            }
            Change::Budget(..) | Change::Keys(..) | Change::Quota(..) | Change::Wave(..) => {}
        }
        self.view.apply(change);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.expire_members(now, actions);
        self.claim_pools(now, actions);
        let held = self.held();
        for (pool, term) in &held {
            self.advance_drains(now, pool, *term, actions);
            self.advance_waves(pool, *term, actions);
            self.balance(pool, *term, actions);
        }
    }

    /// Gets the pools that this instance decides for, with its terms.
    #[must_use]
    pub fn held(&self) -> Vec<(ids::Pool, ids::Term)> {
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

    /// Gets whether an append about a subject is under way.
    pub(crate) fn is_pending(&self, subject: &Subject) -> bool {
        self.subjects.contains(subject)
    }

    pub(crate) fn call(&self, host: &ids::Host, call: Call, actions: &mut Vec<Action>) {
        if let Some(entry) = self.view.hosts.get(host) {
            let generation = entry.generation;
            actions.push(Action::Call {
                host: host.clone(),
                generation,
                call,
            });
        }
    }

    /// Enrolls hosts that the fold does not know; the spare pool's holder does it for all.
    fn listed(&mut self, facts: Vec<Fact>, actions: &mut Vec<Action>) {
        let spare = self.view.pools.get(crate::state::SPARE);
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
}
