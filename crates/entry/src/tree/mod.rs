//! Supervisor tree of the entry daemon.

use std::future::ready;

use actix::{Actor, Addr, ResponseFuture};
use actix_web::App;
use actix_web::web::Data;
use persimmongate_core::admission::Limits;
use persimmongate_core::record::Role;
use persimmongate_core::settings;
use persimmongate_node::admin::{self, Directory};
use persimmongate_node::errors::Result;
use persimmongate_node::http::{Close, Listener, Server};
use persimmongate_node::log::{Follower, Leave, Options, Subscribe};
use persimmongate_node::metrics::Metrics;
use persimmongate_node::supervisor::{self, ChildSet, Guard, Policy, Supervisor};
use persimmongate_node::{boot, logger, peer};
use persimmongate_wire::frame::{Hello, PROTOCOL_VERSION};
use slog::Logger;
use tokio::sync::watch;

use crate::api;
use crate::gate::{self, Gate};
use crate::link::{self, Links};
use crate::report::Reporter;

/// Time that callers' open connections have to finish when their server stops, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 30;

/// `Child` identifies a supervised child of the entry daemon, in the order in which they start.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Child {
    Directory,
    Follower,
    Reporter,
    Links,
    Gate,
    Peers,
    Admin,
    Api,
}

/// `Entry` starts the children and holds their addresses.
pub(crate) struct Entry {
    settings: settings::Entry,
    metrics: Metrics,
    logger: Logger,
    directory: Option<Addr<Directory<Child>>>,
    follower: Option<Addr<Follower<Child>>>,
    reporter: Option<Addr<Reporter<Child>>>,
    links: Option<Addr<Links<Child>>>,
    gate: Option<Addr<Gate<Child>>>,
    /// Publishes the address of the current gate to the server for callers.
    gate_sender: watch::Sender<Option<Addr<Gate<Child>>>>,
    peers: Option<Addr<peer::Listener<Child>>>,
    admin: Option<Addr<Listener<Child>>>,
    api: Option<Addr<Listener<Child>>>,
}

/// Starts the supervisor tree, which runs until a signal ends the process.
pub(crate) fn start(settings: settings::Entry) -> Result<()> {
    let logger = logger::from_settings(&settings.node);
    let metrics = Metrics::new()?;
    let tree = Entry {
        settings,
        metrics,
        logger: logger.clone(),
        directory: None,
        follower: None,
        reporter: None,
        links: None,
        gate: None,
        gate_sender: watch::Sender::new(None),
        peers: None,
        admin: None,
        api: None,
    };
    boot::shut_down_on_signal(Supervisor::new(tree, Policy::default(), logger).start());
    Ok(())
}

impl Entry {
    fn hello(&self) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            instance: self.settings.node.instance.clone(),
            role: Role::Entry,
        }
    }

    fn start_follower(&mut self, guard: Guard<Child>) {
        let options = Options::new(&self.settings.node, Role::Entry);
        let meter = self.metrics.meter();
        let follower = Follower::new(options, &meter, self.logger.clone(), guard).start();
        self.follower = Some(follower);
    }

    /// Gives children the addresses of their siblings; called after each start of a child.
    fn connect_siblings(&mut self, child: Child) {
        if matches!(child, Child::Follower | Child::Reporter)
            && let (Some(follower), Some(reporter)) = (&self.follower, &self.reporter)
        {
            follower.do_send(Subscribe(reporter.clone().recipient()));
        }
        if matches!(child, Child::Follower | Child::Gate)
            && let (Some(follower), Some(gate)) = (&self.follower, &self.gate)
        {
            gate.do_send(gate::Register::Follower(follower.clone()));
            follower.do_send(Subscribe(gate.clone().recipient()));
        }
        if matches!(child, Child::Links | Child::Gate)
            && let (Some(links), Some(gate)) = (&self.links, &self.gate)
        {
            gate.do_send(gate::Register::Links(links.clone()));
        }
        if matches!(child, Child::Reporter | Child::Gate)
            && let (Some(reporter), Some(gate)) = (&self.reporter, &self.gate)
        {
            gate.do_send(gate::Register::Reporter(reporter.clone()));
        }
        self.register_actors();
    }

    fn register_actors(&self) {
        let actors = [
            ("log", self.follower.clone().map(Addr::recipient)),
            ("gate", self.gate.clone().map(Addr::recipient)),
            ("links", self.links.clone().map(Addr::recipient)),
            ("reporter", self.reporter.clone().map(Addr::recipient)),
        ];
        admin::register(self.directory.as_ref(), actors);
    }

    fn start_gate(&mut self, guard: Guard<Child>) {
        let options = self.settings.gate.clone();
        let (meter, logger) = (self.metrics.meter(), self.logger.clone());
        let trace = self.settings.node.trace_path.as_deref();
        let gate = Gate::new(options, trace, &meter, logger, guard).start();
        self.gate_sender.send_replace(Some(gate.clone()));
        self.gate = Some(gate);
    }

    fn start_peers(&mut self, guard: Guard<Child>) {
        let Some(follower) = &self.follower else {
            return;
        };
        let state = follower.clone().recipient();
        let address = self.settings.node.peer_address;
        let meter = self.metrics.meter();
        let logger = self.logger.clone();
        let peers = peer::Listener::new(address, None, state, &meter, logger, guard).start();
        self.peers = Some(peers);
    }

    fn start_admin(&mut self, guard: Guard<Child>) -> Result<()> {
        let Some(directory) = self.directory.clone() else {
            return Ok(());
        };
        let (address, metrics) = (self.settings.node.http_address, self.metrics.clone());
        let limits = Limits::for_others(self.settings.max_descriptors);
        let logger = self.logger.clone();
        let directory = directory.recipient();
        let server = admin::serve(address, &limits, logger, directory, metrics, |_| {})?;
        let (meter, logger) = (self.metrics.meter(), self.logger.clone());
        self.admin = Some(Listener::new(server, &meter, logger, guard).start());
        Ok(())
    }

    fn start_api(&mut self, guard: Guard<Child>) -> Result<()> {
        let gate_address = self.gate_sender.subscribe();
        let address = self.settings.listen_address;
        let options = api::Options {
            default_deadline: self.settings.default_deadline,
            rejections: self.metrics.meter().u64_counter("api_refused").build(),
        };
        let application = move || {
            App::new()
                .app_data(Data::new(gate_address.clone()))
                .app_data(Data::new(options.clone()))
                .configure(api::configure)
        };
        let (meter, logger) = (self.metrics.meter(), self.logger.clone());
        let server = Server::new(SHUTDOWN_TIMEOUT_S, logger.clone());
        let server = server.bind("callers", address, &self.settings.limits, application)?;
        self.api = Some(Listener::new(server, &meter, logger, guard).start());
        Ok(())
    }
}

impl ChildSet for Entry {
    type Child = Child;

    fn children(&self) -> Vec<Child> {
        vec![
            Child::Directory,
            Child::Follower,
            Child::Reporter,
            Child::Links,
            Child::Gate,
            Child::Peers,
            Child::Admin,
            Child::Api,
        ]
    }

    fn start(&mut self, child: Child, guard: Guard<Child>) -> Result<()> {
        match child {
            Child::Directory => self.directory = Some(Directory::new(guard).start()),
            Child::Follower => self.start_follower(guard),
            Child::Reporter => self.reporter = Some(Reporter::new(self.hello(), guard).start()),
            Child::Links => {
                let (instance, body_max) =
                    (&self.settings.node.instance, self.settings.body_max_bytes);
                self.links = Some(Links::new(instance, body_max, guard).start());
            }
            Child::Gate => self.start_gate(guard),
            Child::Peers => self.start_peers(guard),
            Child::Admin => self.start_admin(guard)?,
            Child::Api => self.start_api(guard)?,
        }
        self.connect_siblings(child);
        Ok(())
    }

    fn dependents(&self, child: Child) -> Vec<Child> {
        match child {
            Child::Directory => vec![Child::Admin],
            Child::Follower => vec![Child::Peers],
            // A new gate starts without requests in flight, so exchanges of the old one must end.
            Child::Gate => vec![Child::Links],
            Child::Admin | Child::Api | Child::Links | Child::Peers | Child::Reporter => Vec::new(),
        }
    }

    fn stop(&mut self, child: Child) -> ResponseFuture<()> {
        match child {
            Child::Admin => supervisor::stop(self.admin.take(), Close),
            Child::Links => supervisor::stop(self.links.take(), link::Close),
            Child::Peers => supervisor::stop(self.peers.take(), peer::Close),
            Child::Api | Child::Directory | Child::Follower | Child::Gate | Child::Reporter => {
                Box::pin(ready(()))
            }
        }
    }

    fn shut_down(&mut self) -> ResponseFuture<()> {
        let (gate, api, follower) = (self.gate.clone(), self.api.clone(), self.follower.clone());
        Box::pin(async move {
            // Sending fails if an actor has stopped, and then it has nothing to finish. The server
            // for callers stays open until every request has an outcome, so that later requests are
            // answered as not run.
            if let Some(gate) = gate {
                let _ = gate.send(gate::Shutdown).await;
            }
            if let Some(api) = api {
                let _ = api.send(Close).await;
            }
            // The membership ends last, because a drain waits for the reports of all members.
            if let Some(follower) = follower {
                let _ = follower.send(Leave).await;
            }
        })
    }
}
