//! Workers of one service and the choice between them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::Options;
use super::estimate::Latency;
use super::worker::{Locality, Position, Worker};
use crate::ids;
use crate::map::Map;
use crate::state;

/// Random workers compared for one request, of which the least loaded is chosen.
const CANDIDATE_COUNT: usize = 2;
/// Maximum random draws before the list is searched in order.
const MAX_RANDOM_DRAWS: usize = 8;
/// Requests that a worker in the local zone may have in flight above a remote one and still be
/// chosen.
const MAX_LOCAL_EXCESS_REQUESTS: u32 = 1;
/// Answers required before a worker's latency is compared with that of its service.
const MIN_ANSWERS_TO_COMPARE: u32 = 5;
/// Multiple of the service's mean latency above which a worker counts as slow.
const SLOW_LATENCY_FACTOR: u32 = 3;

/// `Table` holds the workers that may get new requests of a service.
///
/// Available workers are kept in two dense lists, one for the local zone and one for the
/// others, so that a random choice takes constant time.
#[derive(Clone, Debug, Default)]
pub struct Table {
    workers: Map<ids::Host, Worker>,
    local: Vec<ids::Host>,
    remote: Vec<ids::Host>,
    /// Unavailable workers, by the time at which they become available.
    waiting: BTreeSet<(Instant, ids::Host)>,
    ejected_count: usize,
    /// Entry hosts that share the workers.
    entry_count: u32,
    /// Latency of the service's requests on all workers.
    latency: Latency,
}

impl Table {
    /// Adds a serving host or updates its address and capacity.
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
                is_ejected: false,
                backoff_until: None,
                in_service_since: now,
                latency: Latency::default(),
                answers: 0,
                position: None,
            };
            self.workers.insert(name.clone(), worker);
        }
        self.refresh(now, options, name);
    }

    /// Removes a host, so that it gets no new requests.
    pub fn remove(&mut self, name: &ids::Host) {
        self.unlist(name);
        if let Some(worker) = self.workers.remove(name) {
            self.ejected_count -= usize::from(worker.is_ejected);
        }
    }

    /// Sets the number of entry hosts that share the workers.
    pub fn set_entry_count(&mut self, now: Instant, options: &Options, entry_count: u32) {
        if self.entry_count == entry_count {
            return;
        }
        self.entry_count = entry_count;
        let names: Vec<ids::Host> = self.workers.keys().cloned().collect();
        for name in &names {
            self.refresh(now, options, name);
        }
    }

    /// Returns the worker on a host.
    #[must_use]
    pub fn get(&self, name: &ids::Host) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Returns the number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether there is no worker.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns the names of the workers' hosts.
    pub(crate) fn names(&self) -> impl Iterator<Item = &ids::Host> {
        self.workers.keys()
    }

    /// Returns whether a worker can take a request now.
    pub(crate) fn is_available(&self, name: &ids::Host) -> bool {
        let position = self.workers.get(name).and_then(|worker| worker.position);
        matches!(position, Some(Position::Available(..)))
    }

    /// Returns whether a worker is not ejected; a failure on such a worker may be the request's
    /// fault.
    pub(crate) fn is_healthy(&self, name: &ids::Host) -> bool {
        self.workers
            .get(name)
            .is_some_and(|worker| !worker.is_ejected)
    }

    /// Returns whether any worker can take a request now.
    pub(crate) fn has_available(&mut self, now: Instant, options: &Options) -> bool {
        self.refresh_due(now, options);
        !(self.local.is_empty() && self.remote.is_empty())
    }

    /// Chooses the less loaded of two random available workers, preferring the local zone unless
    /// its workers are busier.
    pub fn choose<R: Rng>(
        &mut self,
        now: Instant,
        options: &Options,
        excluded: &[ids::Host],
        rng: &mut R,
    ) -> Option<ids::Host> {
        self.refresh_due(now, options);
        let local = self.choose_from(&self.local, excluded, rng);
        let remote = self.choose_from(&self.remote, excluded, rng);
        // Without the comparison, an unresponsive local worker would fill up before its first
        // failure is detected.
        match (local, remote) {
            (Some(local), Some(remote))
                if self.load(&local) > self.load(&remote) + MAX_LOCAL_EXCESS_REQUESTS =>
            {
                Some(remote)
            }
            (local, remote) => local.or(remote),
        }
    }

    fn load(&self, name: &ids::Host) -> u32 {
        self.workers.get(name).map_or(0, |worker| worker.in_flight)
    }

    fn choose_from<R: Rng>(
        &self,
        names: &[ids::Host],
        excluded: &[ids::Host],
        rng: &mut R,
    ) -> Option<ids::Host> {
        if names.is_empty() {
            return None;
        }
        let mut best: Option<(u32, &ids::Host)> = None;
        let mut compared = 0;
        for _ in 0..MAX_RANDOM_DRAWS {
            let name = &names[rng.random_range(0..names.len())];
            if excluded.contains(name) {
                continue;
            }
            if best.is_none_or(|(lowest_load, _)| self.load(name) < lowest_load) {
                best = Some((self.load(name), name));
            }
            compared += 1;
            if compared == CANDIDATE_COUNT {
                break;
            }
        }
        let name = best.map(|(_, name)| name);
        name.or_else(|| names.iter().find(|name| !excluded.contains(name)))
            .cloned()
    }

    /// Occupies a slot for a request.
    pub(crate) fn acquire_slot(
        &mut self,
        now: Instant,
        options: &Options,
        name: &ids::Host,
        is_loan: bool,
    ) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.in_flight += 1;
            worker.loans += u32::from(is_loan);
            self.refresh(now, options, name);
        }
    }

    /// Frees a slot at the end of an exchange.
    pub(crate) fn release_slot(
        &mut self,
        now: Instant,
        options: &Options,
        name: &ids::Host,
        is_loan: bool,
    ) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
            worker.loans = worker.loans.saturating_sub(u32::from(is_loan));
            self.refresh(now, options, name);
        }
    }

    /// Records an answer, with its latency unless the slot was borrowed or the request rejected.
    pub(crate) fn record_success(
        &mut self,
        now: Instant,
        options: &Options,
        name: &ids::Host,
        latency: Option<Duration>,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        self.ejected_count -= usize::from(worker.is_ejected);
        worker.record_success(now);
        if let Some(latency) = latency {
            worker.latency.record(latency);
            worker.answers = worker.answers.saturating_add(1);
            self.latency.record(latency);
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
        let slow_latency = self.latency.mean().map(|mean| mean * SLOW_LATENCY_FACTOR);
        worker.answers >= MIN_ANSWERS_TO_COMPARE
            && slow_latency.is_some()
            && worker.latency.mean() > slow_latency
    }

    /// Records a refusal by a worker at capacity.
    pub(crate) fn record_refusal(&mut self, now: Instant, options: &Options, name: &ids::Host) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.record_refusal(now, options);
            self.refresh(now, options, name);
        }
    }

    /// Records a failure; consecutive failures eject the worker.
    pub(crate) fn record_failure(&mut self, now: Instant, options: &Options, name: &ids::Host) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.record_failure(now, options);
        if worker.failures >= options.ejection_failures {
            self.eject(now, options, name);
        }
        self.refresh(now, options, name);
    }

    /// Ejects a worker unless that would exceed the maximum share of ejected workers.
    fn eject(&mut self, now: Instant, options: &Options, name: &ids::Host) {
        let total = self.workers.len();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let ejected_count = self.ejected_count + usize::from(!worker.is_ejected);
        let min_remaining = share_of(1.0 - options.max_ejected_share, total);
        if ejected_count + min_remaining <= total {
            self.ejected_count = ejected_count;
            worker.eject(now, options);
        }
    }

    /// Updates the availability of workers whose waiting time has passed.
    fn refresh_due(&mut self, now: Instant, options: &Options) {
        while let Some((_, name)) = self.waiting.first().filter(|(at, _)| *at <= now) {
            let name = name.clone();
            self.refresh(now, options, &name);
        }
    }

    /// Puts a worker into the list that matches its availability and zone.
    fn refresh(&mut self, now: Instant, options: &Options, name: &ids::Host) {
        self.unlist(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let position = match worker.available_at(now, options, self.entry_count) {
            None => return,
            Some(at) if at > now => {
                self.waiting.insert((at, name.clone()));
                Position::Waiting(at)
            }
            Some(_) if worker.zone == options.zone => {
                self.local.push(name.clone());
                Position::Available(Locality::Local, self.local.len() - 1)
            }
            Some(_) => {
                self.remote.push(name.clone());
                Position::Available(Locality::Remote, self.remote.len() - 1)
            }
        };
        worker.position = Some(position);
    }

    fn unlist(&mut self, name: &ids::Host) {
        let position = self
            .workers
            .get_mut(name)
            .and_then(|worker| worker.position.take());
        match position {
            None => {}
            Some(Position::Waiting(at)) => {
                self.waiting.remove(&(at, name.clone()));
            }
            Some(Position::Available(locality, index)) => {
                let list = match locality {
                    Locality::Local => &mut self.local,
                    Locality::Remote => &mut self.remote,
                };
                list.swap_remove(index);
                let moved = list.get(index).and_then(|name| self.workers.get_mut(name));
                if let Some(moved) = moved {
                    moved.position = Some(Position::Available(locality, index));
                }
            }
        }
    }
}

/// Returns a share of a count, rounded up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a share of a count of workers"
)]
fn share_of(share: f64, total: usize) -> usize {
    (share * total as f64).ceil() as usize
}
