//! The gate's decisions, one event at a time.

use std::collections::BTreeSet;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::service::Service;
use super::track::Track;
use super::{Action, Event, Options};
use crate::ids;
use crate::map::Map;
use crate::record::Role;
use crate::state::Host;

/// `Gate` decides what happens to each request of one entry host.
#[derive(Clone, Debug)]
pub struct Gate {
    pub(super) options: Options,
    pub(super) rng: ChaCha8Rng,
    /// Services by name, each with its queue and its workers.
    pub(super) services: Map<ids::Service, Service>,
    /// Service of each pool.
    pub(super) pools: Map<ids::Pool, Option<ids::Service>>,
    /// Hosts as the fold has them.
    pub(super) hosts: Map<ids::Host, Host>,
    /// Service that has each serving host in its table.
    pub(super) placed: Map<ids::Host, ids::Service>,
    /// Requests in flight by host, kept also after a host left its table.
    pub(super) in_flight: Map<ids::Host, u32>,
    pub(super) members: Map<ids::Instance, Role>,
    pub(super) tracks: Map<ids::Request, Track>,
    /// Requests whose caller still waits, by deadline.
    pub(super) deadlines: BTreeSet<(Instant, ids::Request)>,
    /// Services that wait for slots of others, in the order of their turns.
    pub(super) borrowers: Vec<ids::Service>,
    pub(super) leaving: bool,
}

impl Gate {
    /// Makes a gate that knows no service yet.
    #[must_use]
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            services: Map::default(),
            pools: Map::default(),
            hosts: Map::default(),
            placed: Map::default(),
            in_flight: Map::default(),
            members: Map::default(),
            tracks: Map::default(),
            deadlines: BTreeSet::new(),
            borrowers: Vec::new(),
            leaving: false,
        }
    }

    /// Takes an event at a time and appends what is to be done.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(request) => self.arrive(now, request, actions),
            Event::Cancel(request) => self.cancel(request, actions),
            Event::Change(change) => self.change(now, change, actions),
            Event::Claimed(request, claim) => self.claimed(now, request, claim, actions),
            Event::Done {
                request,
                host,
                exchange,
            } => {
                self.done(now, request, &host, exchange, actions);
            }
            Event::ShutDown => self.leaving = true,
            Event::Tick => self.tick(now, actions),
        }
    }

    /// Gets the number of requests without an outcome.
    #[must_use]
    pub fn unfinished_count(&self) -> usize {
        self.deadlines.len()
    }

    /// Gets the number of requests that wait in a service's queue.
    #[must_use]
    pub fn queued_count(&self, service: &ids::Service) -> usize {
        self.services
            .get(service)
            .map_or(0, |service| service.queue.len())
    }

    /// Gets the number of requests in flight on a host.
    #[must_use]
    pub fn in_flight_count(&self, host: &ids::Host) -> u32 {
        self.in_flight.get(host).copied().unwrap_or(0)
    }

    /// Gets the names of the configured services.
    pub fn service_names(&self) -> impl Iterator<Item = &ids::Service> {
        self.services.keys()
    }

    /// Gets the number of entry hosts that share the workers.
    pub(super) fn entries(&self) -> u32 {
        let roles = self.members.values();
        let entries = roles.filter(|role| **role == Role::Entry).count();
        u32::try_from(entries).unwrap_or(u32::MAX).max(1)
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let names: Vec<ids::Service> = self.services.keys().cloned().collect();
        for name in &names {
            self.dispatch(now, name, actions);
            if let Some(service) = self.services.get_mut(name) {
                service.rate.tick(now);
            }
        }
        self.lend(now, actions);
        self.time_out(now, actions);
    }
}
