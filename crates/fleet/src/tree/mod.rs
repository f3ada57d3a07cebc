//! Supervisor tree of the fleet daemon.

use std::future::ready;

use actix::{Actor, Addr, ResponseFuture};
use actix_web::web::{Data, ServiceConfig};
use persimmongate_core::admission::Limits;
use persimmongate_core::record::Role;
use persimmongate_core::settings;
use persimmongate_node::admin::{self, Directory};
use persimmongate_node::errors::Result;
use persimmongate_node::http::{Close, Listener};
use persimmongate_node::log::{Follower, Leave, Options, Subscribe};
use persimmongate_node::metrics::Metrics;
use persimmongate_node::platform::Client;
use persimmongate_node::supervisor::{self, ChildSet, Guard, Policy, Supervisor};
use persimmongate_node::{boot, logger, peer};
use slog::Logger;

use crate::api;
use crate::manager::{Manager, Register};

/// Largest sheet accepted, in bytes.
const SHEET_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Number of sheets of the largest size that are received at the same time: one for an operator, and one to spare.
const MAX_SHEETS: usize = 2;
/// Maximum number of connections of operators and of those that read metrics.
const MAX_CONNECTIONS: usize = 64;

/// `Child` identifies a supervised child of the fleet daemon, in the order in which they start.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Child {
    Directory,
    Follower,
    Manager,
    Peers,
    Api,
}

/// `Fleet` starts the children and holds their addresses.
struct Fleet {
    settings: settings::Fleet,
    metrics: Metrics,
    logger: Logger,
    directory: Option<Addr<Directory<Child>>>,
    follower: Option<Addr<Follower<Child>>>,
    manager: Option<Addr<Manager<Child>>>,
    peers: Option<Addr<peer::Listener<Child>>>,
    api: Option<Addr<Listener<Child>>>,
}

/// Starts the supervisor tree, which runs until a signal ends the process.
pub(crate) fn start(settings: settings::Fleet) -> Result<()> {
    let logger = logger::from_settings(&settings.node);
    let metrics = Metrics::new()?;
    let tree = Fleet {
        settings,
        metrics,
        logger: logger.clone(),
        directory: None,
        follower: None,
        manager: None,
        peers: None,
        api: None,
    };
    boot::shut_down_on_signal(Supervisor::new(tree, Policy::default(), logger).start());
    Ok(())
}

impl Fleet {
    fn start_follower(&mut self, guard: Guard<Child>) {
        let options = Options::new(&self.settings.node, Role::Fleet);
        let meter = self.metrics.meter();
        let follower = Follower::new(options, &meter, self.logger.clone(), guard).start();
        self.follower = Some(follower);
    }

    fn start_manager(&mut self, guard: Guard<Child>) {
        let node = &self.settings.node;
        let options = self.settings.manager.clone();
        let platform = Client::new(node.platform_address);
        let meter = self.metrics.meter();
        let (instance, logger) = (node.instance.clone(), self.logger.clone());
        let trace = node.trace_path.as_deref();
        let manager = Manager::new(instance, options, trace, platform, &meter, logger, guard);
        self.manager = Some(manager.start());
    }

    fn start_peers(&mut self, guard: Guard<Child>) {
        let (Some(follower), Some(manager)) = (&self.follower, &self.manager) else {
            return;
        };
        let reports = Some(manager.clone().recipient());
        let state = follower.clone().recipient();
        let address = self.settings.node.peer_address;
        let meter = self.metrics.meter();
        let logger = self.logger.clone();
        let peers = peer::Listener::new(address, reports, state, &meter, logger, guard).start();
        self.peers = Some(peers);
    }

    fn start_api(&mut self, guard: Guard<Child>) -> Result<()> {
        let (Some(directory), Some(follower)) = (self.directory.clone(), self.follower.clone())
        else {
            return Ok(());
        };
        let (address, metrics) = (self.settings.node.http_address, self.metrics.clone());
        let routes = move |config: &mut ServiceConfig| {
            config.app_data(Data::new(follower.clone()));
            api::configure(config);
        };
        let limits = Limits {
            body_bytes: SHEET_MAX_BYTES,
            total_body_bytes: SHEET_MAX_BYTES * MAX_SHEETS,
            connections: MAX_CONNECTIONS,
            ..Limits::default()
        };
        let logger = self.logger.clone();
        let directory = directory.recipient();
        let server = admin::serve(address, &limits, logger, directory, metrics, routes)?;
        let (meter, logger) = (self.metrics.meter(), self.logger.clone());
        self.api = Some(Listener::new(server, &meter, logger, guard).start());
        Ok(())
    }

    /// Gives children the addresses of their siblings; called after each start of a child.
    fn connect_siblings(&self, child: Child) {
        if matches!(child, Child::Follower | Child::Manager)
            && let (Some(follower), Some(manager)) = (&self.follower, &self.manager)
        {
            manager.do_send(Register(follower.clone()));
            follower.do_send(Subscribe(manager.clone().recipient()));
        }
        let actors = [
            ("log", self.follower.clone().map(Addr::recipient)),
            ("manager", self.manager.clone().map(Addr::recipient)),
        ];
        admin::register(self.directory.as_ref(), actors);
    }
}

impl ChildSet for Fleet {
    type Child = Child;

    fn children(&self) -> Vec<Child> {
        vec![
            Child::Directory,
            Child::Follower,
            Child::Manager,
            Child::Peers,
            Child::Api,
        ]
    }

    fn start(&mut self, child: Child, guard: Guard<Child>) -> Result<()> {
        match child {
            Child::Directory => self.directory = Some(Directory::new(guard).start()),
            Child::Follower => self.start_follower(guard),
            Child::Manager => self.start_manager(guard),
            Child::Peers => self.start_peers(guard),
            Child::Api => self.start_api(guard)?,
        }
        self.connect_siblings(child);
        Ok(())
    }

    fn dependents(&self, child: Child) -> Vec<Child> {
        match child {
            Child::Directory => vec![Child::Api],
            Child::Follower => vec![Child::Peers, Child::Api],
            Child::Manager => vec![Child::Peers],
            Child::Api | Child::Peers => Vec::new(),
        }
    }

    fn stop(&mut self, child: Child) -> ResponseFuture<()> {
        match child {
            Child::Api => supervisor::stop(self.api.take(), Close),
            Child::Peers => supervisor::stop(self.peers.take(), peer::Close),
            Child::Directory | Child::Follower | Child::Manager => Box::pin(ready(())),
        }
    }

    fn shut_down(&mut self) -> ResponseFuture<()> {
        let follower = self.follower.clone();
        Box::pin(async move {
            if let Some(follower) = follower {
                // Sending fails if the follower has stopped, and then no membership is left.
                let _ = follower.send(Leave).await;
            }
        })
    }
}
