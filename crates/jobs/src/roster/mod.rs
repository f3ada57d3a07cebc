//! Workers and hosts of the fleet, followed only while a leader of this process needs them.

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
use crate::platform::{Failure, Platform, Topic};

/// Time that a read waits for a record.
const WAIT: Duration = Duration::from_secs(1);
/// Time between two reads, in which the workers' heartbeats gather.
const PAUSE: Duration = Duration::from_millis(120);
/// Time between two looks at the host list.
const HOSTS_EVERY: Duration = Duration::from_millis(700);

/// `Update` is what became known of the fleet.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub enum Update {
    /// Workers that are listed or changed their report.
    Listed(Vec<Report>),
    /// Workers that are no longer listed.
    Unlisted(Vec<ids::Worker>),
    /// All hosts.
    Hosts(Vec<Host>),
}

/// `Subscribe` adds a leader under a name, or replaces it.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub ids::Shard, pub Recipient<Update>);

/// `Unsubscribe` removes a leader.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Unsubscribe(pub ids::Shard);

/// `Roster` follows the workers and the hosts.
pub struct Roster<P: Platform, C: Copy + Send + Unpin + 'static> {
    platform: P,
    reports: Map<ids::Worker, Report>,
    hosts: Option<Vec<Host>>,
    /// Whether the list was read.
    complete: bool,
    subscribers: Map<ids::Shard, Recipient<Update>>,
    /// Number of the latest activation; the loops of older ones end.
    round: u64,
    logger: Logger,
    _guard: Guard<C>,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Roster<P, C> {
    /// Makes the actor; it reads nothing until a leader subscribes.
    pub fn new(platform: P, logger: Logger, guard: Guard<C>) -> Self {
        Self {
            platform,
            reports: Map::default(),
            hosts: None,
            complete: false,
            subscribers: Map::default(),
            round: 0,
            logger,
            _guard: guard,
        }
    }

    fn read(&self, cursor: Cursor, round: u64, ctx: &mut Context<Self>) {
        let platform = self.platform.clone();
        let read = async move {
            let read = cursor.read(platform).await;
            actix_rt::time::sleep(PAUSE).await;
            read
        };
        ctx.spawn(read.into_actor(self).map(move |(cursor, batch), act, ctx| {
            if act.round != round {
                return;
            }
            match batch {
                Ok(batch) => act.apply(&batch),
                Err(failure) => warn!(act.logger, "worker list unread"; "reason" => ?failure),
            }
            act.read(cursor, round, ctx);
        }));
    }

    fn look(&self, round: u64, ctx: &mut Context<Self>) {
        let hosts = self.platform.list_hosts().into_actor(self);
        ctx.spawn(hosts.map(move |hosts, act, ctx| {
            if act.round != round {
                return;
            }
            act.note_hosts(hosts);
            ctx.run_later(HOSTS_EVERY, move |act, ctx| {
                if act.round == round {
                    act.look(round, ctx);
                }
            });
        }));
    }

    fn note_hosts(&mut self, hosts: Result<Vec<Host>, Failure>) {
        match hosts {
            Ok(hosts) => {
                self.hosts = Some(hosts.clone());
                if self.complete {
                    self.tell(&Update::Hosts(hosts));
                }
            }
            Err(failure) => warn!(self.logger, "host list unread"; "reason" => ?failure),
        }
    }

    fn apply(&mut self, batch: &Batch) {
        let mut listed = Vec::new();
        let mut unlisted = Vec::new();
        let mut seen: Set<ids::Worker> = Set::default();
        for entry in &batch.records {
            let Some(report) = entry
                .value
                .as_ref()
                .and_then(|_| self.platform.decode_report(entry))
            else {
                let worker = entry.key.clone();
                if self.reports.remove(&worker).is_some() {
                    info!(self.logger, "worker gone from the list"; "worker" => %worker);
                    unlisted.push(worker);
                }
                continue;
            };
            seen.insert(report.worker.clone());
            // A heartbeat that changes nothing is no update.
            if self.reports.get(&report.worker) != Some(&report) {
                debug!(self.logger, "worker listed"; "worker" => %report.worker,
                    "service" => %report.service, "draining" => report.is_draining);
                self.reports.insert(report.worker.clone(), report.clone());
                listed.push(report);
            }
        }
        if batch.is_snapshot {
            let gone = |worker: &&ids::Worker| !seen.contains(*worker);
            let gone: Vec<ids::Worker> = self.reports.keys().filter(gone).cloned().collect();
            for worker in gone {
                self.reports.remove(&worker);
                unlisted.push(worker);
            }
        }
        self.complete = true;
        if !listed.is_empty() {
            self.tell(&Update::Listed(listed));
        }
        if !unlisted.is_empty() {
            self.tell(&Update::Unlisted(unlisted));
        }
    }

    fn tell(&self, update: &Update) {
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
            self.round += 1;
            self.complete = false;
            self.hosts = None;
            self.reports.clear();
            self.read(Cursor::new(Topic::Workers, WAIT), self.round, ctx);
            self.look(self.round, ctx);
        }
        if self.complete {
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
            self.round += 1;
        }
    }
}
