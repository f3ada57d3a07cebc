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

/// `ConfigChanged` tells the configuration in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct ConfigChanged(pub Arc<Config>);

/// `WaveRequested` tells a wave that operators ask for.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct WaveRequested(pub Wave);

/// `SubscribeConfig` adds an actor that is told the configuration, now and at each change.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SubscribeConfig(pub Recipient<ConfigChanged>);

/// `SubscribeWaves` adds the actor that is told the waves, known ones first.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SubscribeWaves(pub Recipient<WaveRequested>);

/// `Watcher` follows what operators ask for.
pub struct Watcher<P: Platform, C: Copy + Send + Unpin + 'static> {
    platform: P,
    config: Option<Arc<Config>>,
    waves: Vec<Wave>,
    config_subscribers: Vec<Recipient<ConfigChanged>>,
    wave_subscribers: Vec<Recipient<WaveRequested>>,
    logger: Logger,
    _guard: Guard<C>,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Watcher<P, C> {
    /// Makes the actor; it starts to read when it is started.
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
        for entry in &batch.records {
            match self.platform.decode_change(entry) {
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
        for subscriber in &self.config_subscribers {
            subscriber.do_send(ConfigChanged(config.clone()));
        }
    }

    fn note_wave(&mut self, wave: Wave) {
        if self.waves.contains(&wave) {
            return;
        }
        info!(self.logger, "wave asked for"; "wave" => wave.number, "hosts" => wave.hosts.len(),
            "cap" => wave.max_down, "limit_ms" => wave.time_limit.as_millis());
        for subscriber in &self.wave_subscribers {
            subscriber.do_send(WaveRequested(wave.clone()));
        }
        self.waves.push(wave);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Actor for Watcher<P, C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.read(Cursor::new(Topic::Operator, WAIT), ctx);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<SubscribeConfig> for Watcher<P, C> {
    type Result = ();

    fn handle(&mut self, subscribe: SubscribeConfig, _: &mut Self::Context) {
        if let Some(config) = &self.config {
            subscribe.0.do_send(ConfigChanged(config.clone()));
        }
        self.config_subscribers.retain(Recipient::connected);
        self.config_subscribers.push(subscribe.0);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<SubscribeWaves> for Watcher<P, C> {
    type Result = ();

    fn handle(&mut self, subscribe: SubscribeWaves, _: &mut Self::Context) {
        for wave in &self.waves {
            subscribe.0.do_send(WaveRequested(wave.clone()));
        }
        self.wave_subscribers.retain(Recipient::connected);
        self.wave_subscribers.push(subscribe.0);
    }
}
