//! State of the gate and dispatch of its events.

use std::collections::BTreeSet;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::service::Service;
use super::track::Tracked;
use super::{Action, Event, Options};
use crate::ids;
use crate::map::Map;
use crate::record::Role;
use crate::state::Host;

/// `Gate` admits, queues, dispatches and retries the requests of one entry host.
#[derive(Clone, Debug)]
pub struct Gate {
    pub(super) options: Options,
    pub(super) rng: ChaCha8Rng,
    /// Services by name, each with its queue and its workers.
    pub(super) services: Map<ids::Service, Service>,
    /// Service of each pool, none for a pool without a service.
    pub(super) pools: Map<ids::Pool, Option<ids::Service>>,
    /// Hosts as in the replayed state.
    pub(super) hosts: Map<ids::Host, Host>,
    /// Service whose worker table holds each serving host.
    pub(super) host_services: Map<ids::Host, ids::Service>,
    /// Requests in flight by host, including hosts that are no longer in a worker table.
    pub(super) in_flight: Map<ids::Host, u32>,
    pub(super) members: Map<ids::Instance, Role>,
    pub(super) requests: Map<ids::Request, Tracked>,
    /// Requests whose caller waits for an outcome, by deadline.
    pub(super) deadlines: BTreeSet<(Instant, ids::Request)>,
    /// Services that want to borrow slots, in round-robin order.
    pub(super) borrowers: Vec<ids::Service>,
    pub(super) is_shutting_down: bool,
}

impl Gate {
    /// Creates a gate without services; `seed` fixes its random choices.
    #[must_use]
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            services: Map::default(),
            pools: Map::default(),
            hosts: Map::default(),
            host_services: Map::default(),
            in_flight: Map::default(),
            members: Map::default(),
            requests: Map::default(),
            deadlines: BTreeSet::new(),
            borrowers: Vec::new(),
            is_shutting_down: false,
        }
    }

    /// Handles an event that occurred at `now` and appends the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(request) => self.handle_arrival(now, request, actions),
            Event::Cancel(request) => self.cancel(request, actions),
            Event::Change(change) => self.apply_change(now, change, actions),
            Event::Claimed(request, claim) => self.handle_claim(now, request, claim, actions),
            Event::ExchangeEnded {
                request,
                host,
                exchange,
            } => {
                self.end_exchange(now, request, &host, exchange, actions);
            }
            Event::ShutDown => self.is_shutting_down = true,
            Event::Tick => self.tick(now, actions),
        }
    }

    /// Returns the number of requests without an outcome.
    #[must_use]
    pub fn unfinished_count(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns the number of requests in a service's queue.
    #[must_use]
    pub fn queued_count(&self, service: &ids::Service) -> usize {
        self.services
            .get(service)
            .map_or(0, |service| service.queue.len())
    }

    /// Returns the number of requests in flight on a host.
    #[must_use]
    pub fn in_flight_count(&self, host: &ids::Host) -> u32 {
        self.in_flight.get(host).copied().unwrap_or(0)
    }

    /// Returns the names of the configured services.
    pub fn service_names(&self) -> impl Iterator<Item = &ids::Service> {
        self.services.keys()
    }

    /// Returns the number of entry hosts that share the workers, at least one.
    pub(super) fn entry_count(&self) -> u32 {
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
        self.expire_deadlines(now, actions);
    }
}
