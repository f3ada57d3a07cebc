//! Workers of one service as one entry host sees them.

use std::net::SocketAddr;
use std::time::Instant;

use rand::{Rng, RngExt};

use super::Options;
use crate::ids;
use crate::map::Map;
use crate::state;

/// Hosts compared for one request.
const CHOICES: usize = 2;
/// Tries to find hosts with room by random choice before the table is searched.
const RANDOM_TRIES: usize = 8;

/// `Worker` is a backend server as this entry host sees it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Availability zone it stands in.
    pub zone: ids::Zone,
    /// Requests in flight from this entry host.
    pub in_flight: u32,
    /// Requests that this entry host may have in flight on it.
    pub limit: u32,
    /// Failures since the last answer.
    pub failures: u32,
    /// Time before which it gets no request.
    pub closed_until: Option<Instant>,
    /// Time at which it came into service.
    pub since: Instant,
}

/// `Table` holds the workers that may get new requests of a service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    workers: Map<ids::Host, Worker>,
    /// Names in a dense list, for random choice.
    names: Vec<ids::Host>,
}

impl Table {
    /// Adds a serving host or updates its facts.
    pub fn set(&mut self, now: Instant, name: &ids::Host, host: &state::Host, limit: u32) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.address = host.address;
            worker.limit = limit;
            return;
        }
        self.names.push(name.clone());
        let worker = Worker {
            address: host.address,
            zone: host.zone.clone(),
            in_flight: 0,
            limit,
            failures: 0,
            closed_until: None,
            since: now,
        };
        self.workers.insert(name.clone(), worker);
    }

    /// Removes a host that gets no new requests.
    pub fn remove(&mut self, name: &ids::Host) {
        if self.workers.remove(name).is_some() {
            self.names.retain(|other| other != name);
        }
    }

    /// Gets a worker.
    #[must_use]
    pub fn get(&self, name: &ids::Host) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Gets a worker to update.
    pub fn get_mut(&mut self, name: &ids::Host) -> Option<&mut Worker> {
        self.workers.get_mut(name)
    }

    /// Gets the number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Gets whether there is no worker.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Chooses the better of two random workers with room, those in the own zone first.
    pub fn choose<R: Rng>(
        &self,
        now: Instant,
        options: &Options,
        avoid: &[ids::Host],
        rng: &mut R,
    ) -> Option<ids::Host> {
        if self.names.is_empty() {
            return None;
        }
        let mut best: Option<(u32, &ids::Host)> = None;
        let mut found = 0;
        for _ in 0..RANDOM_TRIES {
            let name = &self.names[rng.random_range(0..self.names.len())];
            let Some(cost) = self.cost(now, options, name, avoid) else {
                continue;
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, name));
            }
            found += 1;
            if found == CHOICES {
                break;
            }
        }
        if best.is_none() {
            let open = self
                .names
                .iter()
                .filter_map(|name| Some((self.cost(now, options, name, avoid)?, name)));
            best = open.min_by_key(|(cost, _)| *cost);
        }
        best.map(|(_, name)| name.clone())
    }

    /// Gets the cost of one more request on a worker, or nothing when it takes none.
    fn cost(
        &self,
        now: Instant,
        options: &Options,
        name: &ids::Host,
        avoid: &[ids::Host],
    ) -> Option<u32> {
        let worker = self.workers.get(name)?;
        let closed = worker.closed_until.is_some_and(|until| now < until);
        if closed || avoid.contains(name) || worker.in_flight >= worker.room(now, options) {
            return None;
        }
        let remote = u32::from(worker.zone != options.zone);
        Some(worker.in_flight * 2 + remote)
    }
}

impl Worker {
    /// Gets the requests that may be in flight; a new worker is brought up step by step.
    fn room(&self, now: Instant, options: &Options) -> u32 {
        let age = now.saturating_duration_since(self.since);
        if age >= options.slow_start {
            return self.limit;
        }
        let share = age.as_secs_f64() / options.slow_start.as_secs_f64();
        let limit = f64::from(self.limit) * share;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "0 to limit"
        )]
        let room = limit.ceil() as u32;
        room.clamp(1, self.limit.max(1))
    }

    /// Notes an answer.
    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
        self.closed_until = None;
    }

    /// Notes a refusal; the worker is healthy but full.
    pub(crate) fn note_refusal(&mut self, now: Instant, options: &Options) {
        self.closed_until = Some(now + options.backoff);
    }

    /// Notes a failure; after several in a row the worker is ejected until its probe.
    pub(crate) fn note_failure(&mut self, now: Instant, options: &Options) {
        self.failures += 1;
        let wait = if self.failures >= options.eject_after {
            options.probe_after
        } else {
            options.backoff
        };
        self.closed_until = Some(now + wait);
    }
}
