//! Requests of operators: the configuration and maintenance waves.

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
use crate::platform::{Change, Partition, Platform};

/// Time that a read waits for a record. It also bounds how late a dead connection is noticed.
const READ_WAIT: Duration = Duration::from_secs(1);

/// `Configured` carries the configuration now in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Configured(pub Arc<Config>);

/// `Requested` carries a maintenance wave that operators request.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Requested(pub Wave);

/// `Subscribe` adds an actor that receives the configuration, now and at each change.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<Configured>);

/// `Watch` adds an actor that receives the requested waves, known ones first.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Watch(pub Recipient<Requested>);

/// `Watcher` follows the requests of operators in the log and forwards them to its subscribers.
pub struct Watcher<P: Platform, C: Copy + Send + Unpin + 'static> {
    platform: P,
    config: Option<Arc<Config>>,
    waves: Vec<Wave>,
    config_subscribers: Vec<Recipient<Configured>>,
    wave_subscribers: Vec<Recipient<Requested>>,
    logger: Logger,
    _guard: Guard<C>,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Watcher<P, C> {
    /// Creates the actor, which reads the log once it is started.
    pub fn new(platform: P, logger: Logger, guard: Guard<C>) -> Self {
        Self {
            platform,
            config: None,
            waves: Vec::new(),
            config_subscribers: Vec::new(),
            wave_subscribers: Vec::new(),
            logger,
            _guard: guard,
        }
    }

    fn read_next(&self, cursor: Cursor, ctx: &mut Context<Self>) {
        let read = cursor.read(self.platform.clone()).into_actor(self);
        ctx.spawn(read.map(|(cursor, batch), act, ctx| {
            match batch {
                Ok(batch) => act.apply(&batch),
                Err(failure) => {
                    warn!(act.logger, "cannot read operator records"; "reason" => ?failure);
                }
            }
            act.read_next(cursor, ctx);
        }));
    }

    fn apply(&mut self, batch: &Batch) {
        for entry in &batch.records {
            match self.platform.decode_change(entry) {
                Some(Change::Config(config)) => self.apply_config(config),
                Some(Change::Wave(wave)) => self.apply_wave(wave),
                None => {}
            }
        }
    }

    /// Puts a configuration into force unless its version is not newer than the current one.
    fn apply_config(&mut self, config: Config) {
        if self
            .config
            .as_ref()
            .is_some_and(|current| current.version >= config.version)
        {
            return;
        }
        info!(self.logger, "configuration in force"; "version" => config.version,
            "queues" => config.queues.len(), "services" => config.services.len());
        let config = Arc::new(config);
        self.config = Some(config.clone());
        for subscriber in &self.config_subscribers {
            subscriber.do_send(Configured(config.clone()));
        }
    }

    fn apply_wave(&mut self, wave: Wave) {
        if self.waves.contains(&wave) {
            return;
        }
        info!(self.logger, "maintenance wave requested"; "wave" => wave.number, "hosts" => wave.hosts.len(),
            "cap" => wave.max_down, "limit_ms" => wave.time_limit.as_millis());
        for subscriber in &self.wave_subscribers {
            subscriber.do_send(Requested(wave.clone()));
        }
        self.waves.push(wave);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Actor for Watcher<P, C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.read_next(Cursor::new(Partition::Operator, READ_WAIT), ctx);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Subscribe> for Watcher<P, C> {
    type Result = ();

    fn handle(&mut self, subscribe: Subscribe, _: &mut Self::Context) {
        if let Some(config) = &self.config {
            subscribe.0.do_send(Configured(config.clone()));
        }
        self.config_subscribers.retain(Recipient::connected);
        self.config_subscribers.push(subscribe.0);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Watch> for Watcher<P, C> {
    type Result = ();

    fn handle(&mut self, subscribe: Watch, _: &mut Self::Context) {
        for wave in &self.waves {
            subscribe.0.do_send(Requested(wave.clone()));
        }
        self.wave_subscribers.retain(Recipient::connected);
        self.wave_subscribers.push(subscribe.0);
    }
}
