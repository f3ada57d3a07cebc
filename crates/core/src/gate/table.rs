//! Workers of one service as one entry host sees them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::Options;
use super::estimate::Span;
use super::worker::{Seat, Side, Worker};
use crate::ids;
use crate::map::Map;
use crate::state;

/// Hosts compared for one request.
const CHOICES: usize = 2;
/// Tries to find a host by random choice before the list is searched.
const RANDOM_TRIES: usize = 8;
/// Requests that a worker of the own zone may have in flight above one of another zone.
const NEAR_LEAD: u32 = 1;
/// Answers before a worker's time is compared with that of its pool.
const SLOW_ANSWERS: u32 = 5;
/// Times the pool's mean time at which a worker is slow.
const SLOW_FACTOR: u32 = 3;

/// `Table` holds the workers that may get new requests of a service.
///
/// Workers that take a request now stand in two dense lists, those of the own availability zone
/// and the others, so that a choice costs the same for any number of workers.
#[derive(Clone, Debug, Default)]
pub struct Table {
    workers: Map<ids::Host, Worker>,
    near: Vec<ids::Host>,
    far: Vec<ids::Host>,
    /// Workers that may take a request at a known time.
    waiting: BTreeSet<(Instant, ids::Host)>,
    ejected: usize,
    /// Entry hosts that share the workers.
    entries: u32,
    /// Time that requests of the service take on any worker.
    span: Span,
}

impl Table {
    /// Adds a serving host or updates its facts.
    pub fn upsert(
        &mut self,
        now: Instant,
        options: &Options,
        name: &ids::Host,
        host: &state::Host,
        in_flight: u32,
    ) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.address = host.address;
            worker.slots = u32::from(host.slots);
            worker.connections = u32::from(host.connections);
        } else {
            let worker = Worker {
                address: host.address,
                zone: host.zone.clone(),
                in_flight,
                loans: 0,
                slots: u32::from(host.slots),
                connections: u32::from(host.connections),
                refusals: 0,
                failures: 0,
                ejections: 0,
                ejected: false,
                backoff_until: None,
                in_service_since: now,
                span: Span::default(),
                answers: 0,
                seat: None,
            };
            self.workers.insert(name.clone(), worker);
        }
        self.refresh(now, options, name);
    }

    /// Removes a host that gets no new requests.
    pub fn remove(&mut self, name: &ids::Host) {
        self.unseat(name);
        if let Some(worker) = self.workers.remove(name) {
            self.ejected -= usize::from(worker.ejected);
        }
    }

    /// Sets the number of entry hosts that share the workers.
    pub fn set_entries(&mut self, now: Instant, options: &Options, entries: u32) {
        if self.entries == entries {
            return;
        }
        self.entries = entries;
        let names: Vec<ids::Host> = self.workers.keys().cloned().collect();
        for name in &names {
            self.refresh(now, options, name);
        }
    }

    /// Gets a worker.
    #[must_use]
    pub fn get(&self, name: &ids::Host) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Gets the number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Gets whether there is no worker.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Gets the names of the workers.
    pub(crate) fn names(&self) -> impl Iterator<Item = &ids::Host> {
        self.workers.keys()
    }

    /// Gets whether a worker takes a request now.
    pub(crate) fn is_open(&self, name: &ids::Host) -> bool {
        let seat = self.workers.get(name).and_then(|worker| worker.seat);
        matches!(seat, Some(Seat::Open(..)))
    }

    /// Gets whether a worker is in, so that a failure on it may be the request's own.
    pub(crate) fn is_healthy(&self, name: &ids::Host) -> bool {
        self.workers.get(name).is_some_and(|worker| !worker.ejected)
    }

    /// Gets whether any worker takes a request now.
    pub(crate) fn has_open(&mut self, now: Instant, options: &Options) -> bool {
        self.wake(now, options);
        !(self.near.is_empty() && self.far.is_empty())
    }

    /// Chooses the better of two random workers that take a request, in the own zone unless those
    /// there are busier.
    pub fn choose<R: Rng>(
        &mut self,
        now: Instant,
        options: &Options,
        avoid: &[ids::Host],
        rng: &mut R,
    ) -> Option<ids::Host> {
        self.wake(now, options);
        let near = self.choose_of(&self.near, avoid, rng);
        let far = self.choose_of(&self.far, avoid, rng);
        // A near worker that answers no more would fill up before the first failure tells.
        match (near, far) {
            (Some(near), Some(far)) if self.load(&near) > self.load(&far) + NEAR_LEAD => Some(far),
            (near, far) => near.or(far),
        }
    }

    fn load(&self, name: &ids::Host) -> u32 {
        self.workers.get(name).map_or(0, |worker| worker.in_flight)
    }

    fn choose_of<R: Rng>(
        &self,
        names: &[ids::Host],
        avoid: &[ids::Host],
        rng: &mut R,
    ) -> Option<ids::Host> {
        if names.is_empty() {
            return None;
        }
        let mut best: Option<(u32, &ids::Host)> = None;
        let mut found = 0;
        for _ in 0..RANDOM_TRIES {
            let name = &names[rng.random_range(0..names.len())];
            if avoid.contains(name) {
                continue;
            }
            if best.is_none_or(|(least, _)| self.load(name) < least) {
                best = Some((self.load(name), name));
            }
            found += 1;
            if found == CHOICES {
                break;
            }
        }
        let name = best.map(|(_, name)| name);
        name.or_else(|| names.iter().find(|name| !avoid.contains(name)))
            .cloned()
    }

    /// Takes a slot for a request.
    pub(crate) fn take(&mut self, now: Instant, options: &Options, name: &ids::Host, loan: bool) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.in_flight += 1;
            worker.loans += u32::from(loan);
            self.refresh(now, options, name);
        }
    }

    /// Gives a slot back at the end of a request.
    pub(crate) fn give(&mut self, now: Instant, options: &Options, name: &ids::Host, loan: bool) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
            worker.loans = worker.loans.saturating_sub(u32::from(loan));
            self.refresh(now, options, name);
        }
    }

    /// Notes an answer, with the time that an own request took.
    pub(crate) fn note_success(
        &mut self,
        now: Instant,
        options: &Options,
        name: &ids::Host,
        took: Option<Duration>,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        self.ejected -= usize::from(worker.ejected);
        worker.note_success(now);
        if let Some(took) = took {
            worker.span.note(took);
            worker.answers = worker.answers.saturating_add(1);
            self.span.note(took);
        }
        if self.is_slow(name) {
            self.eject(now, options, name);
        } else if let Some(worker) = self.workers.get_mut(name) {
            worker.ejections = 0;
        }
        self.refresh(now, options, name);
    }

    fn is_slow(&self, name: &ids::Host) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return false;
        };
        let slow = self.span.mean().map(|mean| mean * SLOW_FACTOR);
        worker.answers >= SLOW_ANSWERS && slow.is_some() && worker.span.mean() > slow
    }

    /// Notes a refusal by a full worker.
    pub(crate) fn note_refusal(&mut self, now: Instant, options: &Options, name: &ids::Host) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.note_refusal(now, options);
            self.refresh(now, options, name);
        }
    }

    /// Notes a failure; after several in a row the worker is ejected.
    pub(crate) fn note_failure(&mut self, now: Instant, options: &Options, name: &ids::Host) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.note_failure(now, options);
        if worker.failures >= options.eject_after {
            self.eject(now, options, name);
        }
        self.refresh(now, options, name);
    }

    /// Ejects a worker unless too few would stay in.
    fn eject(&mut self, now: Instant, options: &Options, name: &ids::Host) {
        let total = self.workers.len();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let out = self.ejected + usize::from(!worker.ejected);
        let kept = ceil(1.0 - options.max_ejected_share, total);
        if out + kept <= total {
            self.ejected = out;
            worker.eject(now, options);
        }
    }

    /// Lists workers again whose time has come.
    fn wake(&mut self, now: Instant, options: &Options) {
        while let Some((_, name)) = self.waiting.first().filter(|(at, _)| *at <= now) {
            let name = name.clone();
            self.refresh(now, options, &name);
        }
    }

    /// Puts a worker into the list where it belongs.
    fn refresh(&mut self, now: Instant, options: &Options, name: &ids::Host) {
        self.unseat(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let seat = match worker.opens(now, options, self.entries) {
            None => return,
            Some(at) if at > now => {
                self.waiting.insert((at, name.clone()));
                Seat::Waits(at)
            }
            Some(_) if worker.zone == options.zone => {
                self.near.push(name.clone());
                Seat::Open(Side::Near, self.near.len() - 1)
            }
            Some(_) => {
                self.far.push(name.clone());
                Seat::Open(Side::Far, self.far.len() - 1)
            }
        };
        worker.seat = Some(seat);
    }

    fn unseat(&mut self, name: &ids::Host) {
        let seat = self
            .workers
            .get_mut(name)
            .and_then(|worker| worker.seat.take());
        match seat {
            None => {}
            Some(Seat::Waits(at)) => {
                self.waiting.remove(&(at, name.clone()));
            }
            Some(Seat::Open(side, index)) => {
                let list = match side {
                    Side::Near => &mut self.near,
                    Side::Far => &mut self.far,
                };
                list.swap_remove(index);
                let moved = list.get(index).and_then(|name| self.workers.get_mut(name));
                if let Some(moved) = moved {
                    moved.seat = Some(Seat::Open(side, index));
                }
            }
        }
    }
}

/// Gets a share of a count, rounded up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a share of a count of workers"
)]
fn ceil(share: f64, total: usize) -> usize {
    (share * total as f64).ceil() as usize
}
