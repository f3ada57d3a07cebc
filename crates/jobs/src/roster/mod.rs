//! Workers and hosts of the fleet, read only while a leader in this process subscribes to them.

use std::time::Duration;

use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, Recipient, WrapFuture,
};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::sched::Report;
use persimmongate_core::upkeep::Listing;
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

/// `Change` is the difference between two states of the worker list for one worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The worker is newly listed, or its report changed.
    Listed(Report),
    /// The worker is no longer listed.
    Unlisted(ids::Worker),
}

/// `Update` is a change of the worker list, or a new list of the hosts.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub enum Update {
    /// Changes of the worker list since the preceding update, at most one for each worker.
    Workers(Vec<Change>),
    /// The host list.
    Hosts(Listing),
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
    hosts: Option<Listing>,
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

    fn apply_hosts(&mut self, hosts: Result<Listing, Failure>) {
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

    /// Applies a batch and publishes its net changes.
    fn apply(&mut self, batch: &Batch) {
        // Reports from before the batch of the workers that it touches.
        let mut previous: Map<ids::Worker, Option<Report>> = Map::default();
        if batch.is_snapshot {
            let replaced = self.reports.drain();
            previous.extend(replaced.map(|(worker, report)| (worker, Some(report))));
        }
        for entry in &batch.records {
            let report = entry
                .value
                .as_ref()
                .and_then(|_| self.platform.decode_report(entry));
            let replaced = match report {
                Some(report) => self.reports.insert(entry.key.clone(), report),
                None => self.reports.remove(&entry.key),
            };
            previous.entry(entry.key.clone()).or_insert(replaced);
        }
        self.has_worker_list = true;
        let changes = previous
            .into_iter()
            .filter_map(|(worker, previous)| self.change_since(worker, previous.as_ref()));
        let changes: Vec<Change> = changes.collect();
        if !changes.is_empty() {
            self.publish(&Update::Workers(changes));
        }
    }

    /// Returns how the entry of a worker differs from an earlier one, and logs the difference.
    fn change_since(&self, worker: ids::Worker, previous: Option<&Report>) -> Option<Change> {
        let current = self.reports.get(&worker);
        if current == previous {
            return None;
        }
        Some(if let Some(report) = current {
            debug!(self.logger, "worker listed"; "worker" => %worker, "service" => %report.service,
                "draining" => report.is_shutting_down);
            Change::Listed(report.clone())
        } else {
            info!(self.logger, "worker unlisted"; "worker" => %worker);
            Change::Unlisted(worker)
        })
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
            let listed = self.reports.values().cloned().map(Change::Listed);
            subscribe.1.do_send(Update::Workers(listed.collect()));
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
