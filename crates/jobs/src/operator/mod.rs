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

use crate::cursor::{Batch, Cursor};
use crate::platform::{Change, Platform, Topic};

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
pub struct Operator<P: Platform, C: Copy + Send + Unpin + 'static> {
    platform: P,
    config: Option<Arc<Config>>,
    waves: Vec<Wave>,
    subscribers: Vec<Recipient<Configured>>,
    watchers: Vec<Recipient<Asked>>,
    logger: Logger,
    _guard: Guard<C>,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Operator<P, C> {
    /// Makes the actor; it starts to read when it is started.
    pub fn new(platform: P, logger: Logger, guard: Guard<C>) -> Self {
        Self {
            platform,
            config: None,
            waves: Vec::new(),
            subscribers: Vec::new(),
            watchers: Vec::new(),
            logger,
            _guard: guard,
        }
    }

    fn read(&self, cursor: Cursor, ctx: &mut Context<Self>) {
        let read = cursor.read(self.platform.clone()).into_actor(self);
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
            match self.platform.change(raw) {
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
            "cap" => wave.cap, "limit_ms" => wave.limit.as_millis());
        for watcher in &self.watchers {
            watcher.do_send(Asked(wave.clone()));
        }
        self.waves.push(wave);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Actor for Operator<P, C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.read(Cursor::new(Topic::Operator, WAIT), ctx);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Subscribe> for Operator<P, C> {
    type Result = ();

    fn handle(&mut self, subscribe: Subscribe, _: &mut Self::Context) {
        if let Some(config) = &self.config {
            subscribe.0.do_send(Configured(config.clone()));
        }
        self.subscribers.retain(Recipient::connected);
        self.subscribers.push(subscribe.0);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Watch> for Operator<P, C> {
    type Result = ();

    fn handle(&mut self, watch: Watch, _: &mut Self::Context) {
        for wave in &self.waves {
            watch.0.do_send(Asked(wave.clone()));
        }
        self.watchers.retain(Recipient::connected);
        self.watchers.push(watch.0);
    }
}
