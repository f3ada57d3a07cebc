//! What operators ask for: the configuration and waves of maintenance.

use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, Recipient, WrapFuture,
};
use persimmongate_core::queue::Config;
use persimmongate_core::upkeep::Wave;
use persimmongate_node::supervisor::Guard;
use slog::{Logger, info, warn};

use crate::edge::{Change, Edge, Topic};
use crate::follow::{Batch, Cursor};

/// Time that a read waits for a record; a connection that fell silent is noticed soon after.
const WAIT: Duration = Duration::from_secs(1);

/// `Configured` tells the configuration in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Configured(pub Arc<Config>);

/// `Asked` tells a wave that operators ask for.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Asked(pub Wave);

/// `Subscribe` adds an actor that is told the configuration, now and at each change.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<Configured>);

/// `Watch` adds the actor that is told the waves, known ones first.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Watch(pub Recipient<Asked>);

/// `Operator` follows what operators ask for.
pub struct Operator<E: Edge, C: Copy + Send + Unpin + 'static> {
    edge: E,
    config: Option<Arc<Config>>,
    waves: Vec<Wave>,
    subscribers: Vec<Recipient<Configured>>,
    watchers: Vec<Recipient<Asked>>,
    logger: Logger,
    _guard: Guard<C>,
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Operator<E, C> {
    /// Makes the actor; it starts to read when it is started.
    pub fn new(edge: E, logger: Logger, guard: Guard<C>) -> Self {
        Self {
            edge,
            config: None,
            waves: Vec::new(),
            subscribers: Vec::new(),
            watchers: Vec::new(),
            logger,
            _guard: guard,
        }
    }

    fn read(&self, cursor: Cursor, ctx: &mut Context<Self>) {
        let read = cursor.read(self.edge.clone()).into_actor(self);
        ctx.spawn(read.map(|(cursor, batch), act, ctx| {
            match batch {
                Ok(batch) => act.apply(&batch),
                Err(failure) => warn!(act.logger, "operator records unread"; "reason" => ?failure),
            }
            act.read(cursor, ctx);
        }));
    }

    fn apply(&mut self, batch: &Batch) {
        for raw in &batch.records {
            match self.edge.change(raw) {
                Some(Change::Config(config)) => self.configure(config),
                Some(Change::Wave(wave)) => self.note_wave(wave),
                None => {}
            }
        }
    }

    /// Takes a configuration into force; the version never goes back.
    fn configure(&mut self, config: Config) {
        if self
            .config
            .as_ref()
            .is_some_and(|known| known.version >= config.version)
        {
            return;
        }
        info!(self.logger, "configuration in force"; "version" => config.version,
            "queues" => config.queues.len(), "services" => config.services.len());
        let config = Arc::new(config);
        self.config = Some(config.clone());
        for subscriber in &self.subscribers {
            subscriber.do_send(Configured(config.clone()));
        }
    }

    fn note_wave(&mut self, wave: Wave) {
        if self.waves.contains(&wave) {
            return;
        }
        info!(self.logger, "wave asked for"; "wave" => wave.number, "hosts" => wave.hosts.len(),
            "cap" => wave.max_down, "limit_ms" => wave.time_limit.as_millis());
        for watcher in &self.watchers {
            watcher.do_send(Asked(wave.clone()));
        }
        self.waves.push(wave);
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Actor for Operator<E, C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.read(Cursor::new(Topic::Operator, WAIT), ctx);
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Subscribe> for Operator<E, C> {
    type Result = ();

    fn handle(&mut self, subscribe: Subscribe, _: &mut Self::Context) {
        if let Some(config) = &self.config {
            subscribe.0.do_send(Configured(config.clone()));
        }
        self.subscribers.retain(Recipient::connected);
        self.subscribers.push(subscribe.0);
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Watch> for Operator<E, C> {
    type Result = ();

    fn handle(&mut self, watch: Watch, _: &mut Self::Context) {
        for wave in &self.waves {
            watch.0.do_send(Asked(wave.clone()));
        }
        self.watchers.retain(Recipient::connected);
        self.watchers.push(watch.0);
    }
}
