//! Actor that replays the platform's log and appends the records of this process.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use actix::{
    Actor, Addr, AsyncContext, Context, Handler, MessageResult, Recipient, ResponseActFuture,
    WrapFuture,
};
use bytes::Bytes;
use opentelemetry::metrics::{Counter, Meter};
use persimmongate_core::gate;
use persimmongate_core::ids;
use persimmongate_core::invariant;
use persimmongate_core::outcome::Refusal;
use persimmongate_core::record::{Announcement, Body, Role};
use persimmongate_core::settings::Node;
use persimmongate_core::state::State;
use persimmongate_wire::log::{decode_state, encode_state};
use rand::RngExt;
use serde_json::json;
use slog::{Logger, info, warn};

use super::append::Outbox;
use super::client::Client;
use super::keys::Claims;
use super::message::{
    Append, Claim, Claimed, Completion, Fetch, Leave, Query, Staleness, Subscribe, Transfer, Update,
};
use super::peer_state;
use super::rate_limiter::Limiter;
use super::snapshot::Search;
use crate::admin::Dump;
use crate::clock;
use crate::invariant::Notifier;
use crate::peer::Dialer;
use crate::supervisor::Guard;

/// Interval at which claims are expired and the queue is flushed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a claim without a verdict is abandoned.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a shutdown waits for the end of the membership to be appended.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// `Options` configures a [`Follower`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the process.
    pub instance: ids::Instance,
    /// Role and addresses that the process announces when it joins.
    pub announcement: Announcement,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Interval between renewals of the membership.
    pub renewal_interval: Duration,
    /// Peer addresses of other processes, asked for their state while the log is down.
    pub seeds: Vec<SocketAddr>,
    /// Number of records between snapshots, if not the default.
    pub snapshot_records: Option<u64>,
}

impl Options {
    /// Builds the options of a daemon from the settings that all daemons share.
    #[must_use]
    pub fn new(node: &Node, role: Role) -> Self {
        Self {
            instance: node.instance.clone(),
            announcement: Announcement {
                role,
                peer: node.peer_address,
                http: node.http_address,
                zone: node.zone.clone(),
            },
            platform_address: node.platform_address,
            renewal_interval: node.renewal_interval,
            seeds: node.seeds.clone(),
            snapshot_records: None,
        }
    }
}

/// `Follower` owns the state replayed from the log and the appends of the process.
pub struct Follower<C: Copy + Send + 'static> {
    pub(super) options: Options,
    pub(super) client: Client,
    /// State replayed from the log.
    pub(super) state: State,
    /// Checks the invariants of the state after each record.
    pub(super) monitor: invariant::Replica,
    pub(super) breach_reporter: Notifier,
    pub(super) incarnation: ids::Incarnation,
    pub(super) outbox: Outbox,
    pub(super) pending_claims: Claims,
    pub(super) subscribers: Vec<Recipient<Update>>,
    /// Whether the state has once reached the end of the log or was taken over from a peer.
    pub(super) is_ready: bool,
    /// Whether reads have failed since the end of the log was last reached.
    pub(super) is_log_down: bool,
    /// Time of the latest read that reached the end of the log.
    pub(super) caught_up_at: Option<Instant>,
    /// Whether the process is leaving the members for good, so that it does not join again.
    is_leaving: bool,
    /// Search for a snapshot, while the log no longer keeps the next record to replay.
    pub(super) snapshot_search: Option<Search>,
    /// Log time of the latest snapshot that this process started to append.
    pub(super) last_snapshot_time: SystemTime,
    /// Next offset of the snapshot that is being appended.
    pub(super) pending_snapshot_offset: Option<ids::Offset>,
    /// Links to peers, open while the log can't be read.
    pub(super) dialers: Vec<Addr<Dialer>>,
    pub(super) rate_limiter: Limiter,
    pub(super) counters: Counters,
    pub(super) logger: Logger,
    _guard: Guard<C>,
}

/// `Counters` holds the metrics of the actor.
pub(super) struct Counters {
    /// Successful appends.
    pub(super) appends: Counter<u64>,
    /// Records sent in appends.
    pub(super) records: Counter<u64>,
    /// Failed reads and appends.
    pub(super) failures: Counter<u64>,
    /// Replayed records that were rejected.
    pub(super) rejected: Counter<u64>,
    /// Records and parts of snapshots that were skipped, by the label `list`.
    pub(super) skipped: Counter<u64>,
}

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Creates a follower with an empty state; it joins and reads once it is started.
    #[must_use]
    pub fn new(options: Options, meter: &Meter, logger: Logger, guard: Guard<C>) -> Self {
        let counters = Counters {
            appends: meter.u64_counter("log_appends").build(),
            records: meter.u64_counter("log_records").build(),
            failures: meter.u64_counter("log_failures").build(),
            rejected: meter.u64_counter("log_rejected").build(),
            skipped: meter.u64_counter("entries_skipped").build(),
        };
        Self {
            client: Client::new(options.platform_address),
            options,
            state: State::default(),
            monitor: invariant::Replica::default(),
            breach_reporter: Notifier::new(meter, logger.clone()),
            incarnation: rand::rng().random(),
            outbox: Outbox::default(),
            pending_claims: Claims::default(),
            subscribers: Vec::new(),
            is_ready: false,
            is_log_down: false,
            caught_up_at: None,
            is_leaving: false,
            snapshot_search: None,
            last_snapshot_time: SystemTime::UNIX_EPOCH,
            pending_snapshot_offset: None,
            dialers: Vec::new(),
            rate_limiter: Limiter::default(),
            counters,
            logger,
            _guard: guard,
        }
    }

    /// Joins under a new incarnation, at the start and after other members removed this process.
    pub(super) fn join(&mut self) {
        if self.is_leaving {
            return;
        }
        self.incarnation = rand::rng().random();
        self.outbox.restart();
        self.outbox
            .push(Body::Join(self.options.announcement.clone()), None);
        info!(self.logger, "joining"; "incarnation" => self.incarnation);
    }

    pub(super) fn publish(
        &mut self,
        changes: Vec<persimmongate_core::state::Change>,
        has_caught_up: bool,
    ) {
        let message = Update {
            next_offset: self.state.next_offset,
            changes,
            has_caught_up,
        };
        self.subscribers.retain(Recipient::connected);
        for subscriber in &self.subscribers {
            subscriber.do_send(message.clone());
        }
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        self.pending_claims.expire(clock::now(), CLAIM_TIMEOUT);
        self.flush(ctx);
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Follower<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.join();
        self.read_next_page(ctx);
        ctx.run_interval(TICK_INTERVAL, Self::tick);
        ctx.run_interval(peer_state::REQUEST_INTERVAL, Self::request_peer_states);
        ctx.run_interval(self.options.renewal_interval, |act, ctx| {
            act.outbox.request_renewal();
            act.flush(ctx);
        });
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Append> for Follower<C> {
    type Result = ();

    fn handle(&mut self, append: Append, ctx: &mut Self::Context) {
        self.outbox
            .push(append.body, Some((append.token, append.reply)));
        self.flush(ctx);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Claim> for Follower<C> {
    type Result = ();

    fn handle(&mut self, claim: Claim, ctx: &mut Self::Context) {
        if self.is_log_down || !self.is_ready {
            let Claim { request, reply, .. } = claim;
            let claim = gate::ClaimResult::Failed(Refusal::LogDown);
            reply.do_send(Claimed { request, claim });
            return;
        }
        self.pending_claims.add(clock::now(), claim);
        self.flush(ctx);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Completion> for Follower<C> {
    type Result = ();

    fn handle(&mut self, report: Completion, _: &mut Self::Context) {
        // Outcomes are not urgent; the next append or tick sends them.
        self.outbox.push_outcome(report.key, report.outcome);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Subscribe> for Follower<C> {
    type Result = ();

    fn handle(&mut self, Subscribe(subscriber): Subscribe, _: &mut Self::Context) {
        if self.is_ready {
            let changes = self.state.changes();
            subscriber.do_send(Update {
                next_offset: self.state.next_offset,
                changes,
                has_caught_up: true,
            });
        }
        self.subscribers.push(subscriber);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Leave> for Follower<C> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Leave, ctx: &mut Self::Context) -> Self::Result {
        self.is_leaving = true;
        let left = self.outbox.leave();
        self.flush(ctx);
        let wait = async move {
            // After the time-out the other members expire the membership.
            let _ = actix_rt::time::timeout(LEAVE_TIMEOUT, left).await;
        };
        Box::pin(wait.into_actor(self))
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Fetch> for Follower<C> {
    type Result = MessageResult<Fetch>;

    fn handle(&mut self, Fetch(min_next_offset): Fetch, _: &mut Self::Context) -> Self::Result {
        if !self.is_ready || self.state.next_offset < min_next_offset {
            return MessageResult(None);
        }
        let encoded: Option<Bytes> = encode_state(&self.state).ok();
        MessageResult(encoded.map(|state| (self.state.next_offset, state)))
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Staleness> for Follower<C> {
    type Result = MessageResult<Staleness>;

    fn handle(&mut self, _: Staleness, _: &mut Self::Context) -> Self::Result {
        MessageResult(
            self.caught_up_at
                .map(|at| clock::now().saturating_duration_since(at)),
        )
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Query> for Follower<C> {
    type Result = MessageResult<Query>;

    fn handle(&mut self, _: Query, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.is_ready.then(|| self.state.clone()))
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Transfer> for Follower<C> {
    type Result = ();

    fn handle(&mut self, peer_state: Transfer, _: &mut Self::Context) {
        // Only a state that is ahead of the local one may replace it.
        if peer_state.next_offset <= self.state.next_offset {
            return;
        }
        match decode_state(&peer_state.state) {
            Ok(state) if state.next_offset == peer_state.next_offset => {
                info!(self.logger, "state replaced by the newer one of a peer";
                    "next" => state.next_offset);
                self.is_ready = true;
                self.replace_state(state);
            }
            Ok(state) => {
                warn!(self.logger, "peer state rejected: its offset is not the announced one";
                    "next" => state.next_offset);
            }
            Err(error) => warn!(self.logger, "peer state is malformed"; "error" => %error),
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Dump> for Follower<C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let age = self
            .caught_up_at
            .map(|at| clock::now().saturating_duration_since(at).as_secs_f64());
        MessageResult(json!({
            "incarnation": self.incarnation,
            "ready": self.is_ready,
            "down": self.is_log_down,
            "heard_seconds_ago": age,
            "claims_waiting": self.pending_claims.len(),
            "records_queued": self.outbox.len(),
            "state": self.state,
        }))
    }
}
