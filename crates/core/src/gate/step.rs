//! The gate's decisions, one event at a time.

use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::track::{Place, Track};
use super::{Action, Budget, Claim, Event, Exchange, Options, Queue, Table};
use crate::ids;
use crate::map::Map;
use crate::outcome::{Doubt, Outcome, Refusal};
use crate::record::{End, Role};
use crate::request::{Kind, Request};
use crate::state::{Change, Host, Stage};

/// `Gate` decides what happens to each request of one entry host.
#[derive(Clone, Debug)]
pub struct Gate {
    options: Options,
    rng: ChaCha8Rng,
    /// Services by name, each with its queue and its workers.
    services: Map<ids::Service, Service>,
    /// Service of each pool.
    pools: Map<ids::Pool, Option<ids::Service>>,
    /// Hosts as the fold has them.
    hosts: Map<ids::Host, Host>,
    /// Requests in flight by host, kept also after a host left its table.
    in_flight: Map<ids::Host, u32>,
    /// Entry hosts that share the workers.
    entries: u32,
    members: Map<ids::Instance, Role>,
    tracks: Map<ids::Request, Track>,
    leaving: bool,
}

/// `Service` is the queue and the workers of one service.
#[derive(Clone, Debug)]
struct Service {
    queue: Queue,
    table: Table,
    retries: Budget,
    quotas: Map<ids::Caller, u32>,
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
            in_flight: Map::default(),
            entries: 1,
            members: Map::default(),
            tracks: Map::default(),
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
            Event::Leave => self.leaving = true,
            Event::Tick => self.tick(now, actions),
        }
    }

    /// Gets the number of requests without an outcome.
    #[must_use]
    pub fn open(&self) -> usize {
        self.tracks.values().filter(|track| !track.finished).count()
    }

    /// Gets the number of requests that wait in a service's queue.
    #[must_use]
    pub fn queued(&self, service: &ids::Service) -> usize {
        self.services
            .get(service)
            .map_or(0, |service| service.queue.len())
    }

    /// Gets the number of requests in flight on a host.
    #[must_use]
    pub fn in_flight(&self, host: &ids::Host) -> u32 {
        self.in_flight.get(host).copied().unwrap_or(0)
    }

    /// Gets the names of the configured services.
    pub fn services(&self) -> impl Iterator<Item = &ids::Service> {
        self.services.keys()
    }

    fn arrive(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        let refusal = if self.leaving {
            Some(Refusal::Leaving)
        } else if !self.services.contains_key(&request.service) {
            Some(Refusal::NoService)
        } else if request.deadline <= now {
            Some(Refusal::Deadline)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            let outcome = Outcome::NotRun(refusal);
            actions.push(Action::Finish {
                request: request.id,
                outcome,
            });
            return;
        }
        let id = request.id;
        let service = request.service.clone();
        let kind = request.kind;
        let place = if request.is_idempotent() {
            Place::Queued
        } else {
            Place::Claiming
        };
        let track = Track {
            request,
            place,
            attempts: 0,
            avoid: Vec::new(),
            finished: false,
        };
        self.tracks.insert(id, track);
        match kind {
            Kind::Once(key) => actions.push(Action::Claim { request: id, key }),
            Kind::Idempotent => {
                self.enqueue(id);
                self.dispatch(now, &service, actions);
            }
        }
    }

    fn enqueue(&mut self, id: ids::Request) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        track.place = Place::Queued;
        if let Some(service) = self.services.get_mut(&track.request.service) {
            service.queue.push(&track.request);
        }
    }

    fn claimed(&mut self, now: Instant, id: ids::Request, claim: Claim, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.get(&id) else {
            return;
        };
        let service = track.request.service.clone();
        match claim {
            // The caller was told not run while the claim was under way; free the key.
            Claim::Won if track.finished => self.release(id, actions),
            Claim::Won => {
                self.enqueue(id);
                self.dispatch(now, &service, actions);
            }
            Claim::Lost => self.drop_unclaimed(id, Outcome::Unknown(Doubt::Claimed), actions),
            Claim::Expired => self.drop_unclaimed(id, Outcome::Unknown(Doubt::Expired), actions),
            Claim::Failed(refusal) => self.drop_unclaimed(id, Outcome::NotRun(refusal), actions),
            // The request was never sent, and it is dropped here; a late verdict changes nothing.
            Claim::Unsettled => {
                self.drop_unclaimed(id, Outcome::NotRun(Refusal::LogDown), actions);
            }
        }
    }

    fn drop_unclaimed(&mut self, id: ids::Request, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.remove(&id) else {
            return;
        };
        if !track.finished {
            actions.push(Action::Finish {
                request: id,
                outcome,
            });
        }
    }

    /// Drops a request that never ran and frees its key.
    fn release(&mut self, id: ids::Request, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.remove(&id) else {
            return;
        };
        if let Kind::Once(key) = track.request.kind {
            actions.push(Action::End {
                key,
                end: End::NotRun,
            });
        }
    }

    /// Tells the caller of a request that never ran; its key is freed.
    fn refuse(&mut self, id: ids::Request, refusal: Refusal, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        if !track.finished {
            track.finished = true;
            actions.push(Action::Finish {
                request: id,
                outcome: Outcome::NotRun(refusal),
            });
        }
        if track.place != Place::Claiming {
            self.release(id, actions);
        }
    }

    /// Tells the caller of a request that ran or may have run.
    fn finish(&mut self, id: ids::Request, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.remove(&id) else {
            return;
        };
        if let Kind::Once(key) = track.request.kind {
            let end = match outcome {
                Outcome::Answered(_) => End::Answered,
                Outcome::NotRun(_) => End::NotRun,
                Outcome::Unknown(_) => End::Unknown,
            };
            actions.push(Action::End { key, end });
        }
        if !track.finished {
            actions.push(Action::Finish {
                request: id,
                outcome,
            });
        }
    }

    fn cancel(&mut self, id: ids::Request, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        match track.place {
            Place::Claiming => self.refuse(id, Refusal::Cancelled, actions),
            Place::Queued => {
                if let Some(service) = self.services.get_mut(&track.request.service) {
                    service.queue.remove(&track.request);
                }
                self.refuse(id, Refusal::Cancelled, actions);
            }
            // The slot stays taken until the exchange truly ends.
            Place::Sent(_) => track.finished = true,
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let names: Vec<ids::Service> = self.services.keys().cloned().collect();
        for name in &names {
            self.refuse_late(now, name, actions);
            self.dispatch(now, name, actions);
        }
        let late: Vec<ids::Request> = self
            .tracks
            .iter()
            .filter(|(_, track)| track.place == Place::Claiming && !track.finished)
            .filter(|(_, track)| track.request.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.refuse(id, Refusal::Deadline, actions);
        }
    }

    fn refuse_late(&mut self, now: Instant, name: &ids::Service, actions: &mut Vec<Action>) {
        while let Some(service) = self.services.get_mut(name) {
            let Some(id) = service.queue.late(now) else {
                return;
            };
            let Some(track) = self.tracks.get(&id) else {
                return;
            };
            service.queue.remove(&track.request);
            self.refuse(id, Refusal::Deadline, actions);
        }
    }

    /// Sends queued requests of a service while a worker has room.
    fn dispatch(&mut self, now: Instant, name: &ids::Service, actions: &mut Vec<Action>) {
        self.refuse_late(now, name, actions);
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        while !service.queue.is_empty() {
            // Looked up before the pop, so that a request never leaves the queue without a worker.
            if service
                .table
                .choose(now, &self.options, &[], &mut self.rng)
                .is_none()
            {
                return;
            }
            let quotas = &service.quotas;
            let weight = |caller: &ids::Caller| quotas.get(caller).copied().unwrap_or(1);
            let Some(id) = service.queue.pop(weight) else {
                return;
            };
            let Some(track) = self.tracks.get_mut(&id) else {
                continue;
            };
            let chosen = service
                .table
                .choose(now, &self.options, &track.avoid, &mut self.rng)
                .or_else(|| service.table.choose(now, &self.options, &[], &mut self.rng));
            let Some(host) = chosen else {
                service.queue.push(&track.request);
                return;
            };
            let Some(worker) = service.table.get_mut(&host) else {
                return;
            };
            worker.in_flight += 1;
            *self.in_flight.entry(host.clone()).or_default() += 1;
            track.attempts += 1;
            track.place = Place::Sent(host.clone());
            actions.push(Action::Send {
                request: id,
                host,
                address: worker.address,
            });
        }
    }

    fn done(
        &mut self,
        now: Instant,
        id: ids::Request,
        host: &ids::Host,
        exchange: Exchange,
        actions: &mut Vec<Action>,
    ) {
        let sent = self
            .tracks
            .get(&id)
            .is_some_and(|track| track.place == Place::Sent(host.clone()));
        if !sent {
            return;
        }
        self.free_slot(host, actions);
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        let name = track.request.service.clone();
        self.note_exchange(now, &name, host, &exchange);
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        let not_run = matches!(exchange, Exchange::Refused | Exchange::Unsent);
        let outcome = match exchange {
            Exchange::Answered(answer) => Outcome::Answered(answer),
            Exchange::Broken => Outcome::Unknown(Doubt::Broken),
            Exchange::Mismatch => Outcome::Unknown(Doubt::Mismatch),
            Exchange::Timeout => Outcome::Unknown(Doubt::Timeout),
            Exchange::Refused | Exchange::Unsent => Outcome::NotRun(Refusal::NoWorker),
        };
        let answered = matches!(outcome, Outcome::Answered(_));
        let may_retry = !answered && (not_run || track.request.is_idempotent());
        if may_retry && !track.finished && track.request.deadline > now {
            track.avoid.push(host.clone());
            let attempts_left = track.attempts < self.options.attempts;
            let service = self.services.get_mut(&name);
            if attempts_left && service.is_some_and(|service| service.retries.withdraw()) {
                self.enqueue(id);
                self.dispatch(now, &name, actions);
                return;
            }
        }
        self.finish(id, outcome, actions);
        self.dispatch(now, &name, actions);
    }

    fn note_exchange(
        &mut self,
        now: Instant,
        name: &ids::Service,
        host: &ids::Host,
        exchange: &Exchange,
    ) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        if matches!(exchange, Exchange::Answered(_)) {
            service.retries.deposit();
        }
        let Some(worker) = service.table.get_mut(host) else {
            return;
        };
        worker.in_flight = worker.in_flight.saturating_sub(1);
        match exchange {
            Exchange::Answered(_) => worker.note_success(),
            Exchange::Refused => worker.note_refusal(now, &self.options),
            Exchange::Broken | Exchange::Mismatch | Exchange::Timeout | Exchange::Unsent => {
                worker.note_failure(now, &self.options);
            }
        }
    }

    fn free_slot(&mut self, host: &ids::Host, actions: &mut Vec<Action>) {
        if let Some(count) = self.in_flight.get_mut(host) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(host);
            }
        }
        self.report(host, actions);
    }

    /// Reports a draining host, at the drain and at each end of a request on it.
    fn report(&self, name: &ids::Host, actions: &mut Vec<Action>) {
        if let Some(Host {
            stage: Stage::Draining { since, .. },
            ..
        }) = self.hosts.get(name)
        {
            let in_flight = self.in_flight(name);
            actions.push(Action::Report {
                host: name.clone(),
                since: *since,
                in_flight,
            });
        }
    }

    fn change(&mut self, now: Instant, change: Change, actions: &mut Vec<Action>) {
        match change {
            Change::Budget(..)
            | Change::Keys(..)
            | Change::Pin(..)
            | Change::Renewed(_)
            | Change::Wave(..) => {}
            Change::Host(name, host) => self.change_host(now, &name, host, actions),
            Change::Member(name, member) => {
                match member {
                    Some(member) => self.members.insert(name, member.about.role),
                    None => self.members.remove(&name),
                };
                let entries = self
                    .members
                    .values()
                    .filter(|role| **role == Role::Entry)
                    .count();
                self.entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
                self.place_hosts(now);
            }
            Change::Pool(name, pool) => {
                if let Some(service) = &pool.service {
                    self.add_service(service);
                }
                if self.pools.insert(name, pool.service.clone()) != Some(pool.service) {
                    self.place_hosts(now);
                }
            }
            Change::Quota(service, caller, slots) => {
                self.add_service(&service);
                if let Some(service) = self.services.get_mut(&service) {
                    service.quotas.insert(caller, slots);
                }
            }
        }
    }

    fn add_service(&mut self, name: &ids::Service) {
        if self.services.contains_key(name) {
            return;
        }
        let service = Service {
            queue: Queue::default(),
            table: Table::default(),
            retries: Budget::new(self.options.retry_share, self.options.retry_floor),
            quotas: Map::default(),
        };
        self.services.insert(name.clone(), service);
    }

    fn change_host(
        &mut self,
        now: Instant,
        name: &ids::Host,
        host: Host,
        actions: &mut Vec<Action>,
    ) {
        self.hosts.insert(name.clone(), host);
        self.place_host(now, name);
        self.report(name, actions);
    }

    fn place_hosts(&mut self, now: Instant) {
        let names: Vec<ids::Host> = self.hosts.keys().cloned().collect();
        for name in &names {
            self.place_host(now, name);
        }
    }

    /// Puts a host into the table of its service and out of all others.
    fn place_host(&mut self, now: Instant, name: &ids::Host) {
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let service = self.pools.get(&host.pool).and_then(Option::as_ref);
        let in_flight = self.in_flight(name);
        for (id, entry) in &mut self.services {
            if host.is_serving() && service == Some(id) {
                let limit = limit_of(host, self.entries);
                entry.table.set(now, name, host, limit);
                if let Some(worker) = entry.table.get_mut(name) {
                    worker.in_flight = in_flight;
                }
            } else {
                entry.table.remove(name);
            }
        }
    }
}

/// Gets the requests that one entry host may have in flight on a host.
///
/// Each request takes one connection, so the host's connections are divided between entry hosts;
/// its slots are not, as the worker refuses what exceeds them before running it.
fn limit_of(host: &Host, entries: u32) -> u32 {
    let share = u32::from(host.connections) / entries;
    share.min(u32::from(host.slots)).max(1)
}
