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

use crate::edge::{Edge, Failure, Topic};
use crate::follow::{Batch, Cursor};

/// Time that a read waits for a record.
const WAIT: Duration = Duration::from_secs(1);
/// Time between two reads, in which the workers' heartbeats gather.
const PAUSE: Duration = Duration::from_millis(120);
/// Time between two looks at the host list.
const HOSTS_EVERY: Duration = Duration::from_millis(700);

/// `News` is what became known of the fleet.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub enum News {
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
pub struct Subscribe(pub ids::Shard, pub Recipient<News>);

/// `Unsubscribe` removes a leader.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Unsubscribe(pub ids::Shard);

/// `Roster` follows the workers and the hosts.
pub struct Roster<E: Edge, C: Copy + Send + Unpin + 'static> {
    edge: E,
    reports: Map<ids::Worker, Report>,
    hosts: Option<Vec<Host>>,
    /// Whether the list was read.
    complete: bool,
    subscribers: Map<ids::Shard, Recipient<News>>,
    /// Number of the latest activation; the loops of older ones end.
    round: u64,
    logger: Logger,
    _guard: Guard<C>,
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Roster<E, C> {
    /// Makes the actor; it reads nothing until a leader subscribes.
    pub fn new(edge: E, logger: Logger, guard: Guard<C>) -> Self {
        Self {
            edge,
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
        let edge = self.edge.clone();
        let read = async move {
            let read = cursor.read(edge).await;
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
        let hosts = self.edge.hosts().into_actor(self);
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
                    self.tell(&News::Hosts(hosts));
                }
            }
            Err(failure) => warn!(self.logger, "host list unread"; "reason" => ?failure),
        }
    }

    fn apply(&mut self, batch: &Batch) {
        let mut listed = Vec::new();
        let mut unlisted = Vec::new();
        let mut seen: Set<ids::Worker> = Set::default();
        for raw in &batch.records {
            let Some(report) = raw.value.as_ref().and_then(|_| self.edge.report(raw)) else {
                let worker = raw.key.clone();
                if self.reports.remove(&worker).is_some() {
                    info!(self.logger, "worker gone from the list"; "worker" => %worker);
                    unlisted.push(worker);
                }
                continue;
            };
            seen.insert(report.worker.clone());
            // A heartbeat that changes nothing is no news.
            if self.reports.get(&report.worker) != Some(&report) {
                debug!(self.logger, "worker listed"; "worker" => %report.worker,
                    "service" => %report.service, "draining" => report.is_draining);
                self.reports.insert(report.worker.clone(), report.clone());
                listed.push(report);
            }
        }
        if batch.reset {
            let gone = |worker: &&ids::Worker| !seen.contains(*worker);
            let gone: Vec<ids::Worker> = self.reports.keys().filter(gone).cloned().collect();
            for worker in gone {
                self.reports.remove(&worker);
                unlisted.push(worker);
            }
        }
        self.complete = true;
        if !listed.is_empty() {
            self.tell(&News::Listed(listed));
        }
        if !unlisted.is_empty() {
            self.tell(&News::Unlisted(unlisted));
        }
    }

    fn tell(&self, news: &News) {
        for subscriber in self.subscribers.values() {
            subscriber.do_send(news.clone());
        }
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Actor for Roster<E, C> {
    type Context = Context<Self>;
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Subscribe> for Roster<E, C> {
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
                .do_send(News::Listed(self.reports.values().cloned().collect()));
            if let Some(hosts) = &self.hosts {
                subscribe.1.do_send(News::Hosts(hosts.clone()));
            }
        }
        self.subscribers.insert(subscribe.0, subscribe.1);
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Unsubscribe> for Roster<E, C> {
    type Result = ();

    fn handle(&mut self, unsubscribe: Unsubscribe, _: &mut Self::Context) {
        self.subscribers.remove(&unsubscribe.0);
        if self.subscribers.is_empty() {
            self.round += 1;
        }
    }
}
