//! Workers and hosts of the fleet, read only while a leader in this process subscribes to them.

use std::time::Duration;

use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, Recipient, WrapFuture,
};
use persimmongate_core::ids;
use persimmongate_core::map::{Map, Set};
use persimmongate_core::sched::Report;
use persimmongate_core::upkeep::Host;
use persimmongate_node::supervisor::Guard;
use slog::{Logger, debug, info, warn};

use crate::cursor::{Batch, Cursor};
use crate::platform::{Failure, Partition, Platform};

/// Time that a read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Pause between two reads, so that one read returns the heartbeats of several workers.
const READ_PAUSE: Duration = Duration::from_millis(120);
/// Pause between two polls of the host list.
const HOST_POLL_PAUSE: Duration = Duration::from_millis(700);

/// `Update` is a change of the workers, or a new list of the hosts.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub enum Update {
    /// Workers that are newly listed or changed their report.
    Listed(Vec<Report>),
    /// Workers that are no longer listed.
    Unlisted(Vec<ids::Worker>),
    /// All hosts of the fleet.
    Hosts(Vec<Host>),
}

/// `Subscribe` adds the leader of a shard as a subscriber, or replaces the shard's earlier one.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub ids::Shard, pub Recipient<Update>);

/// `Unsubscribe` removes the leader of a shard.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Unsubscribe(pub ids::Shard);

/// `Roster` follows the worker list and polls the host list for its subscribers.
pub struct Roster<P: Platform, C: Copy + Send + Unpin + 'static> {
    platform: P,
    reports: Map<ids::Worker, Report>,
    hosts: Option<Vec<Host>>,
    /// Whether the worker list was read since the first subscription.
    has_worker_list: bool,
    subscribers: Map<ids::Shard, Recipient<Update>>,
    /// Number of the current activation; read loops of earlier activations end.
    activation: u64,
    logger: Logger,
    _guard: Guard<C>,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Roster<P, C> {
    /// Creates the actor, which reads nothing until a leader subscribes.
    pub fn new(platform: P, logger: Logger, guard: Guard<C>) -> Self {
        Self {
            platform,
            reports: Map::default(),
            hosts: None,
            has_worker_list: false,
            subscribers: Map::default(),
            activation: 0,
            logger,
            _guard: guard,
        }
    }

    fn read_next(&self, cursor: Cursor, activation: u64, ctx: &mut Context<Self>) {
        let platform = self.platform.clone();
        let read = async move {
            let read = cursor.read(platform).await;
            actix_rt::time::sleep(READ_PAUSE).await;
            read
        };
        ctx.spawn(read.into_actor(self).map(move |(cursor, batch), act, ctx| {
            if act.activation != activation {
                return;
            }
            match batch {
                Ok(batch) => act.apply(&batch),
                Err(failure) => warn!(act.logger, "cannot read worker list"; "reason" => ?failure),
            }
            act.read_next(cursor, activation, ctx);
        }));
    }

    fn poll_hosts(&self, activation: u64, ctx: &mut Context<Self>) {
        let hosts = self.platform.list_hosts().into_actor(self);
        ctx.spawn(hosts.map(move |hosts, act, ctx| {
            if act.activation != activation {
                return;
            }
            act.apply_hosts(hosts);
            ctx.run_later(HOST_POLL_PAUSE, move |act, ctx| {
                if act.activation == activation {
                    act.poll_hosts(activation, ctx);
                }
            });
        }));
    }

    fn apply_hosts(&mut self, hosts: Result<Vec<Host>, Failure>) {
        match hosts {
            Ok(hosts) => {
                self.hosts = Some(hosts.clone());
                if self.has_worker_list {
                    self.publish(&Update::Hosts(hosts));
                }
            }
            Err(failure) => warn!(self.logger, "cannot read host list"; "reason" => ?failure),
        }
    }

    fn apply(&mut self, batch: &Batch) {
        let mut listed = Vec::new();
        let mut unlisted = Vec::new();
        let mut listed_workers: Set<ids::Worker> = Set::default();
        for entry in &batch.records {
            let Some(report) = entry
                .value
                .as_ref()
                .and_then(|_| self.platform.decode_report(entry))
            else {
                let worker = entry.key.clone();
                if self.reports.remove(&worker).is_some() {
                    info!(self.logger, "worker unlisted"; "worker" => %worker);
                    unlisted.push(worker);
                }
                continue;
            };
            listed_workers.insert(report.worker.clone());
            // Heartbeats without a change are not forwarded.
            if self.reports.get(&report.worker) != Some(&report) {
                debug!(self.logger, "worker listed"; "worker" => %report.worker,
                    "service" => %report.service, "draining" => report.is_shutting_down);
                self.reports.insert(report.worker.clone(), report.clone());
                listed.push(report);
            }
        }
        if batch.is_snapshot {
            let is_removed = |worker: &&ids::Worker| !listed_workers.contains(*worker);
            let removed: Vec<ids::Worker> =
                self.reports.keys().filter(is_removed).cloned().collect();
            for worker in removed {
                self.reports.remove(&worker);
                unlisted.push(worker);
            }
        }
        self.has_worker_list = true;
        if !listed.is_empty() {
            self.publish(&Update::Listed(listed));
        }
        if !unlisted.is_empty() {
            self.publish(&Update::Unlisted(unlisted));
        }
    }

    fn publish(&self, update: &Update) {
        for subscriber in self.subscribers.values() {
            subscriber.do_send(update.clone());
        }
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Actor for Roster<P, C> {
    type Context = Context<Self>;
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Subscribe> for Roster<P, C> {
    type Result = ();

    fn handle(&mut self, subscribe: Subscribe, ctx: &mut Self::Context) {
        if self.subscribers.is_empty() {
            self.activation += 1;
            self.has_worker_list = false;
            self.hosts = None;
            self.reports.clear();
            self.read_next(
                Cursor::new(Partition::Workers, READ_WAIT),
                self.activation,
                ctx,
            );
            self.poll_hosts(self.activation, ctx);
        }
        if self.has_worker_list {
            subscribe
                .1
                .do_send(Update::Listed(self.reports.values().cloned().collect()));
            if let Some(hosts) = &self.hosts {
                subscribe.1.do_send(Update::Hosts(hosts.clone()));
            }
        }
        self.subscribers.insert(subscribe.0, subscribe.1);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Unsubscribe> for Roster<P, C> {
    type Result = ();

    fn handle(&mut self, unsubscribe: Unsubscribe, _: &mut Self::Context) {
        self.subscribers.remove(&unsubscribe.0);
        if self.subscribers.is_empty() {
            self.activation += 1;
        }
    }
}
