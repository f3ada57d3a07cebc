//! Fixture: a gate with a few workers and a manual clock.

use std::time::{Duration, Instant};

use bytes::Bytes;
use persimmongate_core::gate::{Action, Event, Exchange, Gate, Options};
use persimmongate_core::ids;
use persimmongate_core::outcome::{Answer, Outcome};
use persimmongate_core::record::{self, Role};
use persimmongate_core::request::{Repeatability, Request, Urgency};
use persimmongate_core::state::{Change, Host, Member, Pool, Stage};

/// `Fixture` is a gate with its clock and the actions that it returned.
pub(crate) struct Fixture {
    pub(crate) gate: Gate,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action>,
    last_id: ids::Request,
}

impl Fixture {
    /// Creates a gate with one pool for each service, after the slow start of the workers.
    pub(crate) fn new(pools: &[(&'static str, usize)], options: Options) -> Self {
        let mut fixture = Self {
            gate: Gate::new(options, 1),
            now: tokio::time::Instant::now().into_std(),
            actions: Vec::new(),
            last_id: 0,
        };
        fixture.step(Event::Change(join("entry-0")));
        for (service, workers) in pools {
            let pool = Pool {
                service: Some((*service).into()),
                ..Pool::default()
            };
            fixture.step(Event::Change(Change::Pool((*service).into(), pool)));
            for worker in 0..*workers {
                let name = format!("{service}-{worker}").into();
                fixture.step(Event::Change(Change::Host(name, host(service))));
            }
        }
        fixture.advance(Duration::from_secs(10));
        fixture
    }

    pub(crate) fn step(&mut self, event: Event) {
        self.gate.step(self.now, event, &mut self.actions);
    }

    /// Advances the clock and sends a tick.
    pub(crate) fn advance(&mut self, duration: Duration) {
        self.now += duration;
        self.step(Event::Tick);
    }

    /// Sends a request to the gate and returns its identifier.
    pub(crate) fn arrive(
        &mut self,
        service: &'static str,
        repeatability: Repeatability,
        deadline: Duration,
    ) -> u64 {
        self.last_id += 1;
        self.step(Event::Arrive(Request {
            id: self.last_id,
            service: service.into(),
            caller: "caller".into(),
            urgency: Urgency::Normal,
            repeatability,
            deadline: self.now + deadline,
            path: Bytes::new(),
            body: Bytes::new(),
        }));
        self.last_id
    }

    pub(crate) fn done(&mut self, request: u64, host: &ids::Host, exchange: Exchange) {
        self.step(Event::ExchangeEnded {
            request,
            host: host.clone(),
            exchange,
        });
    }

    /// Removes the send actions of a request and returns their hosts.
    pub(crate) fn take_sends(&mut self, id: u64) -> Vec<ids::Host> {
        let mut hosts = Vec::new();
        self.actions.retain(|action| match action {
            Action::Send { request, host, .. } if *request == id => {
                hosts.push(host.clone());
                false
            }
            _ => true,
        });
        hosts
    }

    /// Returns the outcome that the caller of a request received.
    pub(crate) fn outcome_of(&self, id: u64) -> Option<&Outcome> {
        self.actions.iter().find_map(|action| match action {
            Action::Finish { request, outcome } if *request == id => Some(outcome),
            _ => None,
        })
    }
}

pub(crate) fn answer() -> Exchange {
    Exchange::Answered(Answer {
        status: 200,
        body: Bytes::new(),
    })
}

pub(crate) fn join(name: &'static str) -> Change {
    let address = ([127, 0, 0, 1], 1).into();
    let member = Member {
        announcement: record::Announcement {
            role: Role::Entry,
            peer: address,
            http: address,
            zone: "a".into(),
        },
        incarnation: 1,
        sequence: 1,
        renewed_offset: 0,
    };
    Change::Member(name.into(), Some(member))
}

pub(crate) fn host(pool: &'static str) -> Host {
    Host {
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        rack: "rack".into(),
        pool: pool.into(),
        stage: Stage::Serving,
        generation: 1,
        revision: 0,
        maintained_offset: 0,
        slots: 8,
        connections: 64,
    }
}
