//! Reports the requests in flight on draining hosts to every fleet instance.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::Role;
use persimmongate_core::state::{Change, Stage};
use persimmongate_node::admin::Dump;
use persimmongate_node::log::Update;
use persimmongate_node::peer::{Dialer, Outbound};
use persimmongate_node::supervisor::Guard;
use persimmongate_wire::frame::{self, Frame, Hello, Report};
use serde_json::json;

/// Time between two reports; each report lists all draining hosts.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// `Reporter` sends every fleet instance the number of requests in flight on draining hosts.
pub(crate) struct Reporter<C: Copy + Send + 'static> {
    hello: Hello,
    /// Log offset after the last change applied; changes before it are ignored.
    next_offset: ids::Offset,
    /// Draining hosts with the log offset at which the drain started and the requests in flight.
    drains: Map<ids::Host, (ids::Offset, u32)>,
    fleet_instances: Map<ids::Instance, (SocketAddr, Addr<Dialer>)>,
    _guard: Guard<C>,
}

impl<C: Copy + Send + Unpin + 'static> Reporter<C> {
    pub(crate) fn new(hello: Hello, guard: Guard<C>) -> Self {
        Self {
            hello,
            next_offset: 0,
            drains: Map::default(),
            fleet_instances: Map::default(),
            _guard: guard,
        }
    }

    fn send(&self) {
        if self.drains.is_empty() {
            return;
        }
        let encode_drain =
            |(host, (start_offset, in_flight)): (&ids::Host, &(ids::Offset, u32))| frame::Drain {
                host: host.clone(),
                start_offset: *start_offset,
                in_flight: *in_flight,
            };
        let report = Report {
            instance: self.hello.instance.clone(),
            next_offset: self.next_offset,
            drains: self.drains.iter().map(encode_drain).collect(),
        };
        for (_, dialer) in self.fleet_instances.values() {
            dialer.do_send(Outbound(Frame::Report(report.clone())));
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Host(name, host) if !matches!(host.stage, Stage::Draining { .. }) => {
                self.drains.remove(&name);
            }
            Change::Member(name, Some(member)) if member.announcement.role == Role::Fleet => {
                let address = member.announcement.peer;
                if self
                    .fleet_instances
                    .get(&name)
                    .is_none_or(|(dialed_address, _)| *dialed_address != address)
                {
                    let dialer = Dialer::new(address, self.hello.clone(), None).start();
                    self.fleet_instances.insert(name, (address, dialer));
                }
            }
            Change::Member(name, _) => {
                // The dialer stops when its last address is dropped.
                self.fleet_instances.remove(&name);
            }
            _ => {}
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Reporter<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(REPORT_INTERVAL, |act, _| act.send());
    }
}

/// `Drain` reports the number of requests in flight on a draining host.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Drain {
    pub(crate) host: ids::Host,
    /// Log offset at which the drain started.
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

impl<C: Copy + Send + Unpin + 'static> Handler<Update> for Reporter<C> {
    type Result = ();

    fn handle(&mut self, update: Update, _: &mut Self::Context) {
        if update.next_offset < self.next_offset {
            return;
        }
        self.next_offset = update.next_offset;
        for change in update.changes {
            self.apply(change);
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Dump> for Reporter<C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let mut instances: Vec<&str> = self.fleet_instances.keys().map(|name| &**name).collect();
        instances.sort_unstable();
        MessageResult(
            json!({ "next": self.next_offset, "drains": self.drains, "fleet": instances }),
        )
    }
}
