//! Baselines for the gate: one queue in order of arrival for each service, and no queue at all.

use std::collections::VecDeque;
use std::time::Instant;

use persimmongate_core::gate::{Action, Event, Exchange};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::outcome::{Doubt, Outcome, Refusal};
use persimmongate_core::request::Request;
use persimmongate_core::state::Change;

/// `Baseline` sends requests to the workers of a service in round-robin order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    /// Whether requests wait in order of arrival; otherwise each request tries every worker once.
    pub(crate) is_queueing: bool,
    /// Maximum number of requests in flight on one worker, if requests are queued.
    pub(crate) max_in_flight: u32,
    services: Map<ids::Service, Service>,
    pools: Map<ids::Pool, ids::Service>,
    /// Open requests with the number of their attempts.
    requests: Map<ids::Request, (Request, usize)>,
    in_flight: Map<ids::Host, u32>,
}

#[derive(Clone, Debug, Default)]
struct Service {
    workers: Vec<(ids::Host, std::net::SocketAddr)>,
    next_worker: usize,
    queue: VecDeque<ids::Request>,
}

impl Baseline {
    pub(crate) fn new(is_queueing: bool, max_in_flight: u32) -> Self {
        Self {
            is_queueing,
            max_in_flight,
            ..Self::default()
        }
    }

    pub(crate) fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(request) => {
                let (request_id, service) = (request.id, request.service.clone());
                self.requests.insert(request_id, (request, 0));
                if self.is_queueing {
                    if let Some(service) = self.services.get_mut(&service) {
                        service.queue.push_back(request_id);
                    }
                    self.dispatch(now, &service, actions);
                } else {
                    self.send(request_id, actions);
                }
            }
            Event::Change(Change::Pool(name, pool)) => {
                if let Some(service) = pool.service {
                    self.services.entry(service.clone()).or_default();
                    self.pools.insert(name, service);
                }
            }
            Event::Change(Change::Host(name, host)) => {
                let service = self.pools.get(&host.pool);
                if let Some(service) = service.and_then(|name| self.services.get_mut(name)) {
                    service.workers.push((name, host.address));
                }
            }
            Event::ExchangeEnded {
                request,
                host,
                exchange,
            } => self.complete(now, request, &host, exchange, actions),
            Event::Tick => {
                let names: Vec<ids::Service> = self.services.keys().cloned().collect();
                for name in names {
                    self.dispatch(now, &name, actions);
                }
            }
            _ => {}
        }
    }

    fn complete(
        &mut self,
        now: Instant,
        request_id: ids::Request,
        host: &ids::Host,
        exchange: Exchange,
        actions: &mut Vec<Action>,
    ) {
        *self.in_flight.entry(host.clone()).or_default() -= 1;
        let Some((request, attempts)) = self.requests.get_mut(&request_id) else {
            return;
        };
        let service = request.service.clone();
        let worker_count = self
            .services
            .get(&service)
            .map_or(0, |service| service.workers.len());
        // A refused request waits for the next answer or tick; an immediate retry would be refused
        // again.
        let is_refused = matches!(exchange, Exchange::Unavailable | Exchange::Unsent);
        match exchange {
            Exchange::Answered(answer) => {
                self.finish(request_id, Outcome::Answered(answer), actions);
            }
            Exchange::Unavailable | Exchange::Unsent if self.is_queueing => {
                if let Some(service) = self.services.get_mut(&service) {
                    service.queue.push_front(request_id);
                }
            }
            Exchange::Unavailable | Exchange::Unsent if *attempts < worker_count => {
                self.send(request_id, actions);
            }
            Exchange::Unavailable | Exchange::Unsent => {
                self.finish(request_id, Outcome::NotRun(Refusal::NoWorker), actions);
            }
            _ => self.finish(request_id, Outcome::Unknown(Doubt::Broken), actions),
        }
        if self.is_queueing && !is_refused {
            self.dispatch(now, &service, actions);
        }
    }

    fn finish(&mut self, request_id: ids::Request, outcome: Outcome, actions: &mut Vec<Action>) {
        self.requests.remove(&request_id);
        actions.push(Action::Finish {
            request: request_id,
            outcome,
        });
    }

    fn dispatch(&mut self, now: Instant, name: &ids::Service, actions: &mut Vec<Action>) {
        loop {
            let Some(service) = self.services.get_mut(name) else {
                return;
            };
            let has_capacity = service.workers.iter().any(|(host, _)| {
                self.in_flight.get(host).copied().unwrap_or(0) < self.max_in_flight
            });
            let Some(request_id) = service.queue.front().copied().filter(|_| has_capacity) else {
                return;
            };
            service.queue.pop_front();
            let has_expired = self
                .requests
                .get(&request_id)
                .is_none_or(|(request, _)| request.deadline <= now);
            if has_expired {
                self.finish(request_id, Outcome::NotRun(Refusal::Deadline), actions);
            } else {
                self.send(request_id, actions);
            }
        }
    }

    fn send(&mut self, request_id: ids::Request, actions: &mut Vec<Action>) {
        let Some((request, attempts)) = self.requests.get_mut(&request_id) else {
            return;
        };
        *attempts += 1;
        let Some(service) = self.services.get_mut(&request.service) else {
            return;
        };
        for _ in 0..service.workers.len() {
            service.next_worker = (service.next_worker + 1) % service.workers.len();
            let (host, address) = service.workers[service.next_worker].clone();
            let in_flight = self.in_flight.entry(host.clone()).or_default();
            if !self.is_queueing || *in_flight < self.max_in_flight {
                *in_flight += 1;
                actions.push(Action::Send {
                    request: request_id,
                    host,
                    address,
                });
                return;
            }
        }
    }
}
