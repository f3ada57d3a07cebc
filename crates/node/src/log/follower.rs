//! The log's actor.

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
use persimmongate_core::record::{Body, Member, Role};
use persimmongate_core::settings::Node;
use persimmongate_core::state::State;
use persimmongate_wire::log::{decode_state, encode_state};
use rand::RngExt;
use serde_json::json;
use slog::{Logger, info, warn};

use super::append::Outbox;
use super::client::Client;
use super::keys::Waiting;
use super::message::{
    Append, ClaimCompleted, ClaimKey, EndMembership, FetchState, GetLogAge, GetState,
    ReportOutcome, Restore, StateChanged, Subscribe,
};
use super::pace::Pace;
use super::seeds;
use super::snapshot::Search;
use crate::admin::Dump;
use crate::clock;
use crate::invariant::Alarm;
use crate::peer::Dialer;
use crate::supervisor::Guard;

/// Time between two looks at what waits.
const TICK: Duration = Duration::from_millis(100);
/// Time after which a claim that was not settled is given up.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a departure waits for the log.
const DEPART_TIMEOUT: Duration = Duration::from_secs(2);

/// `Options` sets up the log's actor.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the process.
    pub instance: ids::Instance,
    /// What the process announces of itself.
    pub announcement: Member,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Time between two renewals.
    pub renewal_interval: Duration,
    /// Peer links of other processes, asked for their fold while the log is down.
    pub seeds: Vec<SocketAddr>,
    /// Records after which the fold is written to the log again, if not the usual number.
    pub snapshot_records: Option<u64>,
}

impl Options {
    /// Gets the options of a daemon from the settings that every daemon has.
    #[must_use]
    pub fn new(node: &Node, role: Role) -> Self {
        Self {
            instance: node.instance.clone(),
            announcement: Member {
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

/// `Follower` owns the fold of the log and the appends of the process.
pub struct Follower<C: Copy + Send + 'static> {
    pub(super) options: Options,
    pub(super) client: Client,
    pub(super) state: State,
    pub(super) watch: invariant::Replica,
    pub(super) alarm: Alarm,
    pub(super) incarnation: ids::Incarnation,
    pub(super) outbox: Outbox,
    pub(super) waiting: Waiting,
    pub(super) subscribers: Vec<Recipient<StateChanged>>,
    /// Whether the fold reached the end of the log, or a peer's fold, once.
    pub(super) ready: bool,
    /// Whether the latest read failed.
    pub(super) down: bool,
    /// Time of the latest read that reached the end of the log.
    pub(super) heard: Option<Instant>,
    departed: bool,
    /// Search for a snapshot, while the log does not keep the next record to fold.
    pub(super) search: Option<Search>,
    /// Time by the log of the latest snapshot that this process appended.
    pub(super) snapshot_at: SystemTime,
    /// Offset that the snapshot under way covers.
    pub(super) snapshotting: Option<ids::Offset>,
    /// Links to peers, open while the log can't be read.
    pub(super) dialers: Vec<Addr<Dialer>>,
    pub(super) pace: Pace,
    pub(super) counters: Counters,
    pub(super) logger: Logger,
    _guard: Guard<C>,
}

/// `Counters` counts what the actor did.
pub(super) struct Counters {
    pub(super) appends: Counter<u64>,
    pub(super) records: Counter<u64>,
    pub(super) failures: Counter<u64>,
    pub(super) rejected: Counter<u64>,
}

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Makes a follower that has read nothing yet.
    #[must_use]
    pub fn new(options: Options, meter: &Meter, logger: Logger, guard: Guard<C>) -> Self {
        let counters = Counters {
            appends: meter.u64_counter("log_appends").build(),
            records: meter.u64_counter("log_records").build(),
            failures: meter.u64_counter("log_failures").build(),
            rejected: meter.u64_counter("log_rejected").build(),
        };
        Self {
            client: Client::new(options.platform_address),
            options,
            state: State::default(),
            watch: invariant::Replica::default(),
            alarm: Alarm::new(meter, logger.clone()),
            incarnation: rand::rng().random(),
            outbox: Outbox::default(),
            waiting: Waiting::default(),
            subscribers: Vec::new(),
            ready: false,
            down: false,
            heard: None,
            departed: false,
            search: None,
            snapshot_at: SystemTime::UNIX_EPOCH,
            snapshotting: None,
            dialers: Vec::new(),
            pace: Pace::default(),
            counters,
            logger,
            _guard: guard,
        }
    }

    /// Joins under a new run; called at the start and after others removed the process.
    pub(super) fn join(&mut self) {
        if self.departed {
            return;
        }
        self.incarnation = rand::rng().random();
        self.outbox.restart();
        self.outbox
            .push(Body::Join(self.options.announcement.clone()), None);
        info!(self.logger, "joins"; "incarnation" => self.incarnation);
    }

    pub(super) fn publish(
        &mut self,
        changes: Vec<persimmongate_core::state::Change>,
        has_caught_up: bool,
    ) {
        let message = StateChanged {
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
        self.waiting.expire(clock::now(), CLAIM_TIMEOUT);
        self.flush(ctx);
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Follower<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.join();
        self.read(ctx);
        ctx.run_interval(TICK, Self::tick);
        ctx.run_interval(seeds::PERIOD, Self::ask_peers);
        ctx.run_interval(self.options.renewal_interval, |act, ctx| {
            act.outbox.renew();
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

impl<C: Copy + Send + Unpin + 'static> Handler<ClaimKey> for Follower<C> {
    type Result = ();

    fn handle(&mut self, claim: ClaimKey, ctx: &mut Self::Context) {
        if self.down || !self.ready {
            let ClaimKey { request, reply, .. } = claim;
            let claim = gate::Claim::Failed(Refusal::LogDown);
            reply.do_send(ClaimCompleted { request, claim });
            return;
        }
        self.waiting.add(clock::now(), claim);
        self.flush(ctx);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<ReportOutcome> for Follower<C> {
    type Result = ();

    fn handle(&mut self, end: ReportOutcome, _: &mut Self::Context) {
        // Ends are not urgent; they go out with the next append or tick.
        self.outbox.end(end.key, end.end);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Subscribe> for Follower<C> {
    type Result = ();

    fn handle(&mut self, Subscribe(subscriber): Subscribe, _: &mut Self::Context) {
        if self.ready {
            let changes = self.state.changes();
            subscriber.do_send(StateChanged {
                next_offset: self.state.next_offset,
                changes,
                has_caught_up: true,
            });
        }
        self.subscribers.push(subscriber);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<EndMembership> for Follower<C> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: EndMembership, ctx: &mut Self::Context) -> Self::Result {
        self.departed = true;
        let done = self.outbox.depart();
        self.flush(ctx);
        let wait = async move {
            // Past the time limit the others expire the membership.
            let _ = actix_rt::time::timeout(DEPART_TIMEOUT, done).await;
        };
        Box::pin(wait.into_actor(self))
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<FetchState> for Follower<C> {
    type Result = MessageResult<FetchState>;

    fn handle(&mut self, FetchState(next): FetchState, _: &mut Self::Context) -> Self::Result {
        if !self.ready || self.state.next_offset < next {
            return MessageResult(None);
        }
        let encoded: Option<Bytes> = encode_state(&self.state).ok();
        MessageResult(encoded.map(|state| (self.state.next_offset, state)))
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<GetLogAge> for Follower<C> {
    type Result = MessageResult<GetLogAge>;

    fn handle(&mut self, _: GetLogAge, _: &mut Self::Context) -> Self::Result {
        MessageResult(
            self.heard
                .map(|at| clock::now().saturating_duration_since(at)),
        )
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<GetState> for Follower<C> {
    type Result = MessageResult<GetState>;

    fn handle(&mut self, _: GetState, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.ready.then(|| self.state.clone()))
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Restore> for Follower<C> {
    type Result = ();

    fn handle(&mut self, restore: Restore, _: &mut Self::Context) {
        // A fold that is not ahead never replaces the own one.
        if restore.next_offset <= self.state.next_offset {
            return;
        }
        match decode_state(&restore.state) {
            Ok(state) if state.next_offset == restore.next_offset => {
                info!(self.logger, "takes over a peer's fold"; "next" => state.next_offset);
                self.ready = true;
                self.replace(state);
            }
            Ok(state) => {
                warn!(self.logger, "peer's fold has another offset"; "next" => state.next_offset);
            }
            Err(problem) => warn!(self.logger, "peer's fold is refused"; "error" => %problem),
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Dump> for Follower<C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let age = self
            .heard
            .map(|at| clock::now().saturating_duration_since(at).as_secs_f64());
        MessageResult(json!({
            "incarnation": self.incarnation,
            "ready": self.ready,
            "down": self.down,
            "heard_seconds_ago": age,
            "claims_waiting": self.waiting.len(),
            "records_queued": self.outbox.len(),
            "state": self.state,
        }))
    }
}
