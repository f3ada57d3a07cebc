//! Requests of operators: the configuration and maintenance waves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, Recipient, WrapFuture,
};
use actix_rt::time::timeout;
use persimmongate_core::queue::Config;
use persimmongate_core::upkeep::Wave;
use persimmongate_node::clock;
use persimmongate_node::supervisor::Guard;
use slog::{Logger, info, warn};
use tokio::sync::watch;

use crate::cursor::{Batch, Cursor};
use crate::platform::{Change, Failure, Partition, Platform};

/// Time that a read waits for a record. It also bounds how late a dead connection is noticed.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Part of the accepted age of a configuration with accounts that a read waits at most, and that its answer may take
/// longer before the read is repeated. So an answer that is lost leaves time for another read.
const READ_SHARE: u32 = 4;

/// `Configured` carries the configuration now in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Configured(pub Arc<Config>);

/// `Confirmed` tells that the configuration that was sent before it was the newest when a read was sent at this time.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Confirmed(pub Instant);

/// `Requested` carries a maintenance wave that operators request.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Requested(pub Wave);

/// `Subscribe` adds an actor that receives the configuration, now and at each change.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<Configured>);

/// `Follow` adds an actor that receives the times up to which the configuration is known.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Follow(pub Recipient<Confirmed>);

/// `Watch` adds an actor that receives the requested waves, known ones first.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Watch(pub Recipient<Requested>);

/// `CurrentConfig` is the newest configuration that was read in the life of a process.
pub type CurrentConfig = watch::Sender<Option<Arc<Config>>>;

/// `Setup` holds the parameters of a watcher.
pub struct Setup<P: Platform> {
    /// Services of the platform.
    pub platform: P,
    /// Newest configuration that earlier instances have read.
    pub current_config: CurrentConfig,
    /// Age of the latest complete read from which on a configuration with accounts is not used.
    pub config_max_age: Duration,
    /// Logger of the process.
    pub logger: Logger,
}

/// `Watcher` follows the requests of operators in the log and forwards them to its subscribers.
pub struct Watcher<P: Platform, C: Copy + Send + Unpin + 'static> {
    platform: P,
    /// Publishes the configuration to the next instance, so that its version doesn't go back in the life of a process.
    current_config: CurrentConfig,
    config_max_age: Duration,
    /// Send time of the latest read that reached the end of the partition.
    last_complete_read: Option<Instant>,
    /// Whether the latest read failed, or was slow after one that failed.
    has_failed: bool,
    waves: Vec<Wave>,
    config_subscribers: Vec<Recipient<Configured>>,
    followers: Vec<Recipient<Confirmed>>,
    wave_subscribers: Vec<Recipient<Requested>>,
    logger: Logger,
    _guard: Guard<C>,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Watcher<P, C> {
    /// Creates the actor, which reads the log once it is started.
    pub fn new(setup: Setup<P>, guard: Guard<C>) -> Self {
        Self {
            platform: setup.platform,
            current_config: setup.current_config,
            config_max_age: setup.config_max_age,
            last_complete_read: None,
            has_failed: false,
            waves: Vec::new(),
            config_subscribers: Vec::new(),
            followers: Vec::new(),
            wave_subscribers: Vec::new(),
            logger: setup.logger,
            _guard: guard,
        }
    }

    /// Returns how long the next read waits for a record, and its time limit if the configuration gets too old
    /// without an answer.
    fn read_times(&self, cursor: &Cursor) -> (Duration, Option<Duration>) {
        let has_accounts = |config: &Arc<Config>| config.accounts.requires_keys();
        if !self
            .current_config
            .borrow()
            .as_ref()
            .is_some_and(has_accounts)
        {
            return (READ_WAIT, None);
        }
        if self.has_failed {
            // The log may be slow: its answer is awaited, and given at once.
            return (Duration::ZERO, None);
        }
        let share = self.config_max_age / READ_SHARE;
        let wait = READ_WAIT.min(share);
        (wait, (!cursor.is_at_start()).then_some(wait + share))
    }

    fn read_next(&self, cursor: Cursor, ctx: &mut Context<Self>) {
        let (wait, time_limit) = self.read_times(&cursor);
        let read = cursor.with_wait(wait).read(self.platform.clone());
        let read = async move {
            match time_limit {
                Some(limit) => timeout(limit, read)
                    .await
                    .unwrap_or((cursor, Err(Failure::Unknown))),
                None => read.await,
            }
        };
        ctx.spawn(read.into_actor(self).map(|(cursor, batch), act, ctx| {
            let had_failed = act.has_failed;
            act.has_failed = match &batch {
                // A log that answers slowly is read without waiting for records until it is quick again.
                Ok(batch) => {
                    let elapsed = clock::now().saturating_duration_since(batch.sent_at);
                    had_failed && elapsed > act.config_max_age / READ_SHARE
                }
                Err(_) => true,
            };
            match batch {
                Ok(batch) => {
                    if had_failed && !act.has_failed {
                        info!(act.logger, "operator records read again"; "unread_ms" => act.age_ms());
                    }
                    act.apply(&batch);
                    if cursor.has_reached(batch.end_offset) {
                        act.confirm(batch.sent_at);
                    }
                }
                Err(failure) => {
                    warn!(act.logger, "cannot read operator records"; "reason" => ?failure,
                        "age_ms" => act.age_ms());
                }
            }
            act.read_next(cursor, ctx);
        }));
    }

    /// Returns the time since the send time of the latest complete read, in milliseconds.
    fn age_ms(&self) -> Option<u128> {
        let elapsed = |at| clock::now().saturating_duration_since(at).as_millis();
        self.last_complete_read.map(elapsed)
    }

    /// Tells the followers that all records from before a read are applied.
    fn confirm(&mut self, sent_at: Instant) {
        self.last_complete_read = Some(sent_at);
        for follower in &self.followers {
            follower.do_send(Confirmed(sent_at));
        }
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
        let is_known = |current: &Arc<Config>| current.version >= config.version;
        if self.current_config.borrow().as_ref().is_some_and(is_known) {
            return;
        }
        info!(self.logger, "configuration in force"; "version" => config.version,
            "queues" => config.queues.len(), "services" => config.services.len(),
            "accounts" => config.accounts.iter().count(), "requires_keys" => config.accounts.requires_keys());
        let config = Arc::new(config);
        self.current_config.send_replace(Some(config.clone()));
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
        if let Some(config) = &*self.current_config.borrow() {
            subscribe.0.do_send(Configured(config.clone()));
        }
        self.config_subscribers.retain(Recipient::connected);
        self.config_subscribers.push(subscribe.0);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Follow> for Watcher<P, C> {
    type Result = ();

    fn handle(&mut self, follow: Follow, _: &mut Self::Context) {
        if let Some(sent_at) = self.last_complete_read {
            follow.0.do_send(Confirmed(sent_at));
        }
        self.followers.retain(Recipient::connected);
        self.followers.push(follow.0);
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
