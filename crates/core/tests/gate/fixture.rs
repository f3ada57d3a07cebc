//! A gate with a few workers, driven by hand.

use std::time::{Duration, Instant};

use bytes::Bytes;
use persimmongate_core::gate::{Action, Event, Exchange, Gate, Options};
use persimmongate_core::ids;
use persimmongate_core::outcome::{Answer, Outcome};
use persimmongate_core::record::{self, Role};
use persimmongate_core::request::{Kind, Request, Urgency};
use persimmongate_core::state::{Change, Host, Member, Pool, Stage};

/// `Desk` is a gate with its clock and what it asked for.
pub(crate) struct Desk {
    pub(crate) gate: Gate,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action>,
    latest: ids::Request,
}

impl Desk {
    /// Makes a gate past the slow start of its workers, one pool for each service.
    pub(crate) fn new(pools: &[(&'static str, usize)], options: Options) -> Self {
        let mut desk = Self {
            gate: Gate::new(options, 1),
            now: tokio::time::Instant::now().into_std(),
            actions: Vec::new(),
            latest: 0,
        };
        desk.step(Event::Change(join("entry-0")));
        for (service, workers) in pools {
            let pool = Pool {
                service: Some((*service).into()),
                ..Pool::default()
            };
            desk.step(Event::Change(Change::Pool((*service).into(), pool)));
            for worker in 0..*workers {
                let name = format!("{service}-{worker}").into();
                desk.step(Event::Change(Change::Host(name, host(service))));
            }
        }
        desk.pass(Duration::from_secs(10));
        desk
    }

    pub(crate) fn step(&mut self, event: Event) {
        self.gate.step(self.now, event, &mut self.actions);
    }

    /// Lets time pass and the gate look at it.
    pub(crate) fn pass(&mut self, time: Duration) {
        self.now += time;
        self.step(Event::Tick);
    }

    /// Lets a request arrive and returns its identifier.
    pub(crate) fn arrive(&mut self, service: &'static str, kind: Kind, deadline: Duration) -> u64 {
        self.latest += 1;
        self.step(Event::Arrive(Request {
            id: self.latest,
            service: service.into(),
            caller: "caller".into(),
            urgency: Urgency::Normal,
            kind,
            deadline: self.now + deadline,
            path: Bytes::new(),
            body: Bytes::new(),
        }));
        self.latest
    }

    pub(crate) fn done(&mut self, request: u64, host: &ids::Host, exchange: Exchange) {
        self.step(Event::Done {
            request,
            host: host.clone(),
            exchange,
        });
    }

    /// Takes the hosts to which a request was sent.
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

    /// Gets what a request's caller was told.
    pub(crate) fn told(&self, id: u64) -> Option<&Outcome> {
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
        announcement: record::Member {
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
