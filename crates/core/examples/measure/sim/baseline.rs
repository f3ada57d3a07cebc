//! Baselines of the gate: one queue in order of arrival, and no queue at all.

use std::collections::VecDeque;
use std::time::Instant;

use persimmongate_core::gate::{Action, Event, Exchange};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::outcome::{Doubt, Outcome, Refusal};
use persimmongate_core::request::Request;
use persimmongate_core::state::Change;

/// `Plain` sends to the next worker in turn.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    /// Whether requests wait in order of arrival; else they try each worker once.
    pub(crate) queues: bool,
    pub(crate) limit: u32,
    services: Map<ids::Service, Service>,
    pools: Map<ids::Pool, ids::Service>,
    requests: Map<ids::Request, (Request, usize)>,
    in_flight: Map<ids::Host, u32>,
}

#[derive(Clone, Debug, Default)]
struct Service {
    workers: Vec<(ids::Host, std::net::SocketAddr)>,
    next: usize,
    queue: VecDeque<ids::Request>,
}

impl Baseline {
    pub(crate) fn new(queues: bool, limit: u32) -> Self {
        Self {
            queues,
            limit,
            ..Self::default()
        }
    }

    pub(crate) fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(request) => {
                let (id, service) = (request.id, request.service.clone());
                self.requests.insert(id, (request, 0));
                if self.queues {
                    if let Some(service) = self.services.get_mut(&service) {
                        service.queue.push_back(id);
                    }
                    self.dispatch(now, &service, actions);
                } else {
                    self.send(id, actions);
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
            Event::Done {
                request,
                host,
                exchange,
            } => self.done(now, request, &host, exchange, actions),
            Event::Tick => {
                let names: Vec<ids::Service> = self.services.keys().cloned().collect();
                for name in names {
                    self.dispatch(now, &name, actions);
                }
            }
            _ => {}
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
        *self.in_flight.entry(host.clone()).or_default() -= 1;
        let Some((request, tries)) = self.requests.get_mut(&id) else {
            return;
        };
        let service = request.service.clone();
        let workers = self.services.get(&service).map_or(0, |it| it.workers.len());
        // A refused request waits for the next answer or tick, else it would come back at once.
        let refused = matches!(exchange, Exchange::Refused | Exchange::Unsent);
        match exchange {
            Exchange::Answered(answer) => self.finish(id, Outcome::Answered(answer), actions),
            Exchange::Refused | Exchange::Unsent if self.queues => {
                if let Some(service) = self.services.get_mut(&service) {
                    service.queue.push_front(id);
                }
            }
            Exchange::Refused | Exchange::Unsent if *tries < workers => self.send(id, actions),
            Exchange::Refused | Exchange::Unsent => {
                self.finish(id, Outcome::NotRun(Refusal::NoWorker), actions);
            }
            _ => self.finish(id, Outcome::Unknown(Doubt::Broken), actions),
        }
        if self.queues && !refused {
            self.dispatch(now, &service, actions);
        }
    }

    fn finish(&mut self, id: ids::Request, outcome: Outcome, actions: &mut Vec<Action>) {
        self.requests.remove(&id);
        actions.push(Action::Finish {
            request: id,
            outcome,
        });
    }

    fn dispatch(&mut self, now: Instant, name: &ids::Service, actions: &mut Vec<Action>) {
        loop {
            let Some(service) = self.services.get_mut(name) else {
                return;
            };
            let room = service
                .workers
                .iter()
                .any(|(host, _)| self.in_flight.get(host).copied().unwrap_or(0) < self.limit);
            let Some(id) = service.queue.front().copied().filter(|_| room) else {
                return;
            };
            service.queue.pop_front();
            let late = self
                .requests
                .get(&id)
                .is_none_or(|(request, _)| request.deadline <= now);
            if late {
                self.finish(id, Outcome::NotRun(Refusal::Deadline), actions);
            } else {
                self.send(id, actions);
            }
        }
    }

    fn send(&mut self, id: ids::Request, actions: &mut Vec<Action>) {
        let Some((request, tries)) = self.requests.get_mut(&id) else {
            return;
        };
        *tries += 1;
        let Some(service) = self.services.get_mut(&request.service) else {
            return;
        };
        for _ in 0..service.workers.len() {
            service.next = (service.next + 1) % service.workers.len();
            let (host, address) = service.workers[service.next].clone();
            let in_flight = self.in_flight.entry(host.clone()).or_default();
            if !self.queues || *in_flight < self.limit {
                *in_flight += 1;
                actions.push(Action::Send {
                    request: id,
                    host,
                    address,
                });
                return;
            }
        }
    }
}
