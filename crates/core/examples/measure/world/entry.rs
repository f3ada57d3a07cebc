//! Entry hosts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use bytes::Bytes;
use persimmongate_core::gate::{Action, Event, Exchange, Gate, Options};
use persimmongate_core::invariant::{self, Breach};
use persimmongate_core::map::Set;
use persimmongate_core::outcome::Answer;
use persimmongate_core::record::Role;
use persimmongate_core::state::Stage;
use persimmongate_core::{fleet, ids};
use rand::RngExt;

use super::SECOND;
use super::caller::Call;
use super::follower::{Follower, Notice};
use super::message::{Message, Place};
use super::platform::{End, Job};
use super::run::World;

/// Steps between two looks at deadlines.
const TICK_STEPS: u64 = 2;
/// Steps between two reports of draining hosts.
const REPORT_STEPS: u64 = 50;
/// Steps that a late write may take.
const LATE_STEPS_MAX: u64 = 6 * SECOND;

/// `Entry` is one run of an entry host.
pub(crate) struct Entry {
    pub(crate) place: Place,
    pub(crate) gate: Gate,
    pub(crate) watch: invariant::Gate,
    pub(crate) follower: Follower,
    pub(crate) frozen_until: u64,
    pub(crate) cut_until: u64,
    /// Events that came while it was frozen, and those not handled yet.
    pub(crate) inbox: VecDeque<Event>,
    pub(crate) calls: BTreeMap<ids::Request, Call>,
    /// Calls whose caller went away.
    pub(crate) gone: BTreeMap<ids::Request, Call>,
    /// Exchanges that have not ended.
    pub(crate) exchanges: Set<u64>,
    latest: ids::Request,
}

impl Entry {
    pub(crate) fn new(place: Place, seed: u64) -> Self {
        let options = Options {
            zone: format!("zone-{}", place.index).into(),
            ..Options::default()
        };
        Self {
            place,
            gate: Gate::new(options, seed),
            watch: invariant::Gate::default(),
            follower: Follower::new(place.instance("entry"), Role::Entry, place.run << 32),
            frozen_until: 0,
            cut_until: 0,
            inbox: VecDeque::new(),
            calls: BTreeMap::new(),
            gone: BTreeMap::new(),
            exchanges: Set::default(),
            latest: 0,
        }
    }

    /// Takes a call of the balancer.
    pub(crate) fn accept(&mut self, call: Call, now: Instant) {
        self.latest += 1;
        let request = call.request(self.latest, now);
        self.calls.insert(self.latest, call);
        self.inbox.push_back(Event::Arrive(request));
    }

    fn notice(&mut self, notices: Vec<Notice>) {
        for notice in notices {
            match notice {
                Notice::Change(change) => self.inbox.push_back(Event::Change(change)),
                Notice::Claimed(request, claim) => {
                    self.inbox.push_back(Event::Claimed(request, claim));
                }
                Notice::Caught | Notice::Settled(..) => {}
            }
        }
    }

    fn handle(&mut self, now: Instant, breaches: &mut Vec<Breach>) -> Option<Vec<Action>> {
        let event = self.inbox.pop_front()?;
        let mut actions = Vec::new();
        self.gate.step(now, event.clone(), &mut actions);
        self.watch.observe(&event, &actions, breaches);
        Some(actions)
    }
}

impl World {
    /// Brings an entry host one step further unless it is frozen.
    pub(crate) fn advance_entry(&mut self, index: usize) {
        let (step, now, wall) = (self.step, self.now(), self.wall());
        let peer = self.peer_state(index, usize::MAX);
        let entry = &mut self.entries[index];
        if step < entry.frozen_until {
            return;
        }
        let cut = step < entry.cut_until;
        if let Some(state) = peer.filter(|_| !cut) {
            let notices = entry.follower.restore(&state);
            entry.notice(notices);
        }
        let log = (!cut).then_some(&self.log);
        let mut notices = entry.follower.read(log, &mut self.breaches);
        notices.extend(entry.follower.expire(step));
        entry.notice(notices);
        if step.is_multiple_of(TICK_STEPS) {
            entry.inbox.push_back(Event::Tick);
        }
        while let Some(actions) = self.entries[index].handle(now, &mut self.breaches) {
            for action in actions {
                self.carry_out_entry(index, action);
            }
        }
        if step.is_multiple_of(REPORT_STEPS) {
            self.report_drains(index);
        }
        let log = (!cut && !self.closing).then_some(&mut self.log);
        self.entries[index].follower.flush(step, wall, log);
    }

    fn carry_out_entry(&mut self, index: usize, action: Action) {
        let step = self.step;
        let entry = &mut self.entries[index];
        match action {
            // No exchange of the fakes shares a connection, so there is none to give up.
            Action::Abandon { .. } => {}
            Action::Claim { request, key } => {
                let notice = entry.follower.claim(step, request, key);
                entry.notice(notice.into_iter().collect());
            }
            Action::End { key, end } => entry.follower.end(key, end),
            Action::Finish { request, outcome } => {
                let Some(call) = entry.calls.remove(&request) else {
                    return;
                };
                let next = self.ledger.told(&call, Some(&outcome), &mut self.breaches);
                self.retry(next);
            }
            Action::Report {
                host,
                drain_offset: since,
                in_flight,
            } => self.report(index, &host, since, in_flight),
            Action::Send { request, host, .. } => self.send(index, request, host),
        }
    }

    fn send(&mut self, index: usize, request: ids::Request, host: ids::Host) {
        let late = if self.step < self.until.late_writes {
            self.rng.random_range(0..LATE_STEPS_MAX)
        } else {
            0
        };
        let entry = &mut self.entries[index];
        let gone = entry.gone.get(&request);
        let Some(call) = entry.calls.get(&request).or(gone) else {
            return;
        };
        self.exchanges += 1;
        entry.exchanges.insert(self.exchanges);
        let job = Job {
            entry: entry.place,
            exchange: self.exchanges,
            request,
            nonce: call.nonce,
            key: call.key,
        };
        let timeout = Message::Exchange {
            entry: entry.place,
            exchange: self.exchanges,
            event: done(request, &host, Exchange::Timeout),
        };
        self.network.send(self.step + call.steps, timeout);
        let at = self.step + 1 + late;
        self.network.send(at, Message::Job(host, job));
    }

    /// Brings a request to its worker.
    pub(crate) fn deliver(&mut self, host: &ids::Host, job: &Job) {
        let Some(worker) = self.platform.workers.get_mut(host) else {
            return;
        };
        let exchange = if worker.is_dead() {
            Exchange::Unsent
        } else if worker.start(self.step, job.clone(), &mut self.rng) {
            self.ledger.start(job.nonce, job.key, &mut self.breaches);
            return;
        } else {
            Exchange::Refused
        };
        self.answer(host, job, exchange);
    }

    /// Brings the end of a job to its entry host, whose link compares the identifiers.
    pub(crate) fn end_job(&mut self, host: &ids::Host, job: &Job, end: &End) {
        let exchange = match end {
            End::Answered { echo, .. } if *echo != (job.entry, job.request) => Exchange::Mismatch,
            End::Answered { nonce, .. } => Exchange::Answered(Answer {
                status: 200,
                body: Bytes::copy_from_slice(&nonce.to_be_bytes()),
            }),
            End::Broken => Exchange::Broken,
        };
        self.answer(host, job, exchange);
    }

    fn answer(&mut self, host: &ids::Host, job: &Job, exchange: Exchange) {
        let message = Message::Exchange {
            entry: job.entry,
            exchange: job.exchange,
            event: done(job.request, host, exchange),
        };
        self.network.send(self.step + 1, message);
    }

    fn report(&mut self, index: usize, host: &ids::Host, since: ids::Offset, in_flight: u32) {
        if self.step < self.entries[index].cut_until {
            return;
        }
        let instance = self.entries[index].place.instance("entry");
        for place in self.fleets.iter().map(|fleet| fleet.place) {
            let event = fleet::Event::Report {
                instance: instance.clone(),
                host: host.clone(),
                drain_offset: since,
                in_flight,
            };
            self.network
                .send(self.step + 1, Message::Fleet(place, event));
        }
    }

    fn report_drains(&mut self, index: usize) {
        let entry = &self.entries[index];
        let hosts = entry.follower.state.hosts.iter();
        let mut drains: Vec<_> = hosts
            .filter_map(|(name, host)| match host.stage {
                Stage::Draining { since, .. } => {
                    Some((name.clone(), since, entry.gate.in_flight_count(name)))
                }
                _ => None,
            })
            .collect();
        drains.sort();
        for (host, since, in_flight) in drains {
            self.report(index, &host, since, in_flight);
        }
    }

    /// Replaces an entry host; its callers see their connections break off.
    pub(crate) fn kill_entry(&mut self, index: usize) {
        let place = Place {
            index,
            run: self.entries[index].place.run + 1,
        };
        let seed = self.rng.random();
        let old = std::mem::replace(&mut self.entries[index], Entry::new(place, seed));
        for call in old.calls.into_values() {
            let next = self.ledger.told(&call, None, &mut self.breaches);
            self.retry(next);
        }
    }
}

fn done(request: ids::Request, host: &ids::Host, exchange: Exchange) -> Event {
    Event::Done {
        request,
        host: host.clone(),
        exchange,
    }
}
