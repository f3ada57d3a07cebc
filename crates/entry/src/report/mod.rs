//! Reports of draining hosts to every fleet instance.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::Role;
use persimmongate_core::state::{Change, Stage};
use persimmongate_node::admin::Dump;
use persimmongate_node::log::StateChanged;
use persimmongate_node::peer::{Dialer, SendFrame};
use persimmongate_node::supervisor::Guard;
use persimmongate_wire::frame::{self, Frame, Hello, Report};
use serde_json::json;

/// Time between two reports; each repeats all draining hosts.
const PERIOD: Duration = Duration::from_millis(500);

/// `Reporter` tells every fleet instance what is in flight on draining hosts.
pub(crate) struct Reporter<C: Copy + Send + 'static> {
    hello: Hello,
    next: ids::Offset,
    /// Draining hosts with the offset of their drain and the requests in flight.
    drains: Map<ids::Host, (ids::Offset, u32)>,
    fleet: Map<ids::Instance, (SocketAddr, Addr<Dialer>)>,
    _guard: Guard<C>,
}

impl<C: Copy + Send + Unpin + 'static> Reporter<C> {
    pub(crate) fn new(hello: Hello, guard: Guard<C>) -> Self {
        Self {
            hello,
            next: 0,
            drains: Map::default(),
            fleet: Map::default(),
            _guard: guard,
        }
    }

    fn send(&self) {
        if self.drains.is_empty() {
            return;
        }
        let drain =
            |(host, (drain_offset, in_flight)): (&ids::Host, &(ids::Offset, u32))| frame::Drain {
                host: host.clone(),
                start_offset: *drain_offset,
                in_flight: *in_flight,
            };
        let report = Report {
            instance: self.hello.instance.clone(),
            next_offset: self.next,
            drains: self.drains.iter().map(drain).collect(),
        };
        for (_, dialer) in self.fleet.values() {
            dialer.do_send(SendFrame(Frame::Report(report.clone())));
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Host(name, host) if !matches!(host.stage, Stage::Draining { .. }) => {
                self.drains.remove(&name);
            }
            Change::Member(name, Some(member)) if member.announcement.role == Role::Fleet => {
                let address = member.announcement.peer;
                if self
                    .fleet
                    .get(&name)
                    .is_none_or(|(known, _)| *known != address)
                {
                    let dialer = Dialer::new(address, self.hello.clone(), None).start();
                    self.fleet.insert(name, (address, dialer));
                }
            }
            Change::Member(name, _) => {
                // The dialer ends when its last address is dropped.
                self.fleet.remove(&name);
            }
            _ => {}
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Reporter<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(PERIOD, |act, _| act.send());
    }
}

/// `Drain` tells the requests in flight on a draining host.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Drain {
    pub(crate) host: ids::Host,
    pub(crate) start_offset: ids::Offset,
    pub(crate) in_flight: u32,
}

impl<C: Copy + Send + Unpin + 'static> Handler<Drain> for Reporter<C> {
    type Result = ();

    fn handle(&mut self, drain: Drain, _: &mut Self::Context) {
        let Drain {
            host,
            start_offset,
            in_flight,
        } = drain;
        self.drains.insert(host, (start_offset, in_flight));
        if in_flight == 0 {
            self.send();
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<StateChanged> for Reporter<C> {
    type Result = ();

    fn handle(&mut self, changed: StateChanged, _: &mut Self::Context) {
        if changed.next_offset < self.next {
            return;
        }
        self.next = changed.next_offset;
        for change in changed.changes {
            self.change(change);
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Dump> for Reporter<C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let mut fleet: Vec<&str> = self.fleet.keys().map(|name| &**name).collect();
        fleet.sort_unstable();
        MessageResult(json!({ "next": self.next, "drains": self.drains, "fleet": fleet }))
    }
}
