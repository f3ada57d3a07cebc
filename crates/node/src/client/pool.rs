//! Owner of the connections: hands them out to calls, and closes those that are idle for long or in doubt.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix::{Actor, ActorContext, Addr, AsyncContext, Context, Handler, StreamHandler};
use futures_util::stream;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use persimmongate_core::map::Map;
use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot};

use super::connection::Connection;
use crate::clock;
use crate::supervisor::Guard;

/// Time after which an idle connection is closed: longer than the usual pauses between calls to a worker.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum age of a connection, after which it is not used again.
const LIFETIME: Duration = Duration::from_mins(10);
/// Divisor of the descriptors of a process that gives the maximum number of idle connections to all destinations. The
/// others are for calls in flight and for callers.
const IDLE_DIVISOR: usize = 2;
/// Interval of the search for connections that are idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// `Stop` ends the pool, before a new one replaces it.
#[derive(Clone, Copy, Debug, actix::Message)]
#[rtype(result = "()")]
pub struct Stop;

/// `Setup` holds the parameters of a pool.
pub struct Setup {
    /// Names of the services at some addresses, for metrics and log lines.
    pub services: Map<SocketAddr, &'static str>,
    /// Name of the services at all other addresses.
    pub default_service: &'static str,
    /// Maximum number of descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Creates the metrics of the connections.
    pub meter: Meter,
    /// Logger of the process.
    pub logger: Logger,
}

/// `Message` is a request to the pool, or what a call reports to it.
pub(super) enum Message {
    /// A call asks for a connection.
    Acquire(SocketAddr, oneshot::Sender<Connection>),
    /// A call was answered, so that the connection may be used again.
    Release(Connection),
    /// A connection broke or could not be opened, and is closed.
    Broken,
    /// A call got no answer in time, and its connection is closed.
    Unanswered(Silence),
}

/// `Silence` is a call that got no answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    pub(super) address: SocketAddr,
    pub(super) sent_at: Instant,
    /// Time of the latest answer on the connection before; `None` if it was opened for the call.
    pub(super) answered_at: Option<Instant>,
}

/// `Pool` is the actor that owns the idle connections.
pub struct Pool<C: Copy + Send + 'static> {
    /// Idle connections of each destination, the one used last at the end.
    idle: Map<SocketAddr, VecDeque<Connection>>,
    idle_count: usize,
    in_use_count: usize,
    setup: Setup,
    instruments: Instruments,
    _guard: Guard<C>,
}

/// `Instruments` holds the metrics of the connections.
struct Instruments {
    opened: Counter<u64>,
    closed: Counter<u64>,
    unanswered: Counter<u64>,
    open: Gauge<u64>,
}

/// `Reason` is why the pool closed idle connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reason {
    /// They were idle for too long, or too old.
    Expired,
    /// There were too many.
    Excess,
    /// A call sent after their latest answer got none.
    Doubtful,
}

impl Reason {
    fn name(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::Excess => "excess",
            Self::Doubtful => "doubtful",
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Pool<C> {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(setup: Setup, guard: Guard<C>) -> Self {
        let meter = &setup.meter;
        Self {
            idle: Map::default(),
            idle_count: 0,
            in_use_count: 0,
            instruments: Instruments {
                opened: meter.u64_counter("connections_opened").build(),
                closed: meter.u64_counter("idle_connections_closed").build(),
                unanswered: meter.u64_counter("calls_unanswered").build(),
                open: meter.u64_gauge("connections").build(),
            },
            setup,
            _guard: guard,
        }
    }

    /// Starts the pool, which receives messages from the returned sender.
    #[must_use]
    pub fn launch(self) -> (Addr<Self>, Sender) {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let pool = Self::create(|ctx| {
            ctx.add_stream(stream::poll_fn(move |ctx| receiver.poll_recv(ctx)));
            self
        });
        (pool, Sender(sender))
    }

    /// Returns the name of the service at an address.
    fn service(&self, address: SocketAddr) -> &'static str {
        let service = self.setup.services.get(&address);
        service.copied().unwrap_or(self.setup.default_service)
    }

    fn label(&self, address: SocketAddr) -> KeyValue {
        KeyValue::new("service", self.service(address))
    }

    /// Takes the connection that was used last, so that the others expire, or a new one.
    fn acquire(&mut self, address: SocketAddr, reply: oneshot::Sender<Connection>) {
        let now = clock::now();
        let mut idle = self.pop(address);
        while let Some(expired) = idle.take_if(|connection| connection.is_expired(now)) {
            drop(expired);
            self.count_closed(address, Reason::Expired, 1);
            idle = self.pop(address);
        }
        let connection = idle.unwrap_or_else(|| {
            let opened = self.instruments.opened.clone();
            Connection::new(address, self.label(address), opened, now)
        });
        match reply.send(connection) {
            Ok(()) => self.in_use_count += 1,
            // The call was given up while it waited.
            Err(connection) if connection.answered_at.is_some() => self.keep(connection),
            Err(_) => {}
        }
    }

    fn pop(&mut self, address: SocketAddr) -> Option<Connection> {
        let connection = self.idle.get_mut(&address)?.pop_back()?;
        self.idle_count -= 1;
        Some(connection)
    }

    fn keep(&mut self, connection: Connection) {
        let address = connection.address;
        self.idle.entry(address).or_default().push_back(connection);
        self.idle_count += 1;
        if self.idle_count > self.setup.max_descriptors / IDLE_DIVISOR {
            self.close_longest_idle();
        }
    }

    /// Closes the longer idle half of the connections, so that the next search for them is far off.
    fn close_longest_idle(&mut self) {
        let answer_times = self.idle.values().flatten().map(|idle| idle.answered_at);
        let mut answer_times: Vec<Option<Instant>> = answer_times.collect();
        let middle = answer_times.len() / 2;
        let (_, median, _) = answer_times.select_nth_unstable(middle);
        let median = *median;
        let addresses: Vec<SocketAddr> = self.idle.keys().copied().collect();
        for address in addresses {
            self.close(address, Reason::Excess, |idle| idle.answered_at < median);
        }
    }

    fn count_closed(&self, address: SocketAddr, reason: Reason, count: usize) {
        if count > 0 {
            let labels = [self.label(address), KeyValue::new("reason", reason.name())];
            self.instruments.closed.add(count as u64, &labels);
        }
    }

    /// Closes the idle connections of a destination that match, and returns their number.
    fn close(
        &mut self,
        address: SocketAddr,
        reason: Reason,
        mut matches: impl FnMut(&Connection) -> bool,
    ) -> usize {
        let Some(idle) = self.idle.get_mut(&address) else {
            return 0;
        };
        let previous = idle.len();
        idle.retain(|connection| !matches(connection));
        let closed = previous - idle.len();
        if idle.is_empty() {
            self.idle.remove(&address);
        }
        self.idle_count -= closed;
        self.count_closed(address, reason, closed);
        closed
    }

    /// Closes the idle connections of a destination that have not answered since an unanswered call was sent: what
    /// silenced one may have silenced all that were open.
    fn handle_silence(&mut self, silence: Silence) {
        let Silence {
            address,
            sent_at,
            answered_at,
        } = silence;
        let is_reused = answered_at.is_some();
        let labels = [
            self.label(address),
            KeyValue::new("connection", if is_reused { "reused" } else { "new" }),
        ];
        self.instruments.unanswered.add(1, &labels);
        if !is_reused {
            // The destination does not answer, whatever the connection.
            return;
        }
        let closed = self.close(address, Reason::Doubtful, |connection| {
            connection.answered_at.is_none_or(|at| at < sent_at)
        });
        let idle = answered_at.map(|at| sent_at.saturating_duration_since(at).as_millis());
        let waited = clock::now().saturating_duration_since(sent_at);
        info!(self.setup.logger, "no answer on an open connection"; "service" => self.service(address),
            "address" => %address, "idle_ms" => idle, "waited_ms" => waited.as_millis(), "closed" => closed);
    }

    /// Closes the connections that are idle for too long, and reports how many are open.
    fn sweep(&mut self) {
        let now = clock::now();
        let addresses: Vec<SocketAddr> = self.idle.keys().copied().collect();
        for address in addresses {
            self.close(address, Reason::Expired, |connection| {
                connection.is_expired(now)
            });
        }
        for (state, count) in [("idle", self.idle_count), ("in_use", self.in_use_count)] {
            let labels = [KeyValue::new("state", state)];
            self.instruments.open.record(count as u64, &labels);
        }
    }
}

impl Connection {
    fn is_expired(&self, now: Instant) -> bool {
        let answered_at = self.answered_at.unwrap_or(self.created_at);
        now.saturating_duration_since(answered_at) > IDLE_TIMEOUT
            || now.saturating_duration_since(self.created_at) > LIFETIME
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Pool<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(SWEEP_INTERVAL, |act, _| act.sweep());
    }
}

impl<C: Copy + Send + Unpin + 'static> StreamHandler<Message> for Pool<C> {
    fn handle(&mut self, message: Message, _: &mut Self::Context) {
        match message {
            Message::Acquire(address, reply) => self.acquire(address, reply),
            Message::Release(connection) => {
                self.in_use_count -= 1;
                self.keep(connection);
            }
            Message::Broken => self.in_use_count -= 1,
            Message::Unanswered(silence) => {
                self.in_use_count -= 1;
                self.handle_silence(silence);
            }
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Stop> for Pool<C> {
    type Result = ();

    fn handle(&mut self, _: Stop, ctx: &mut Self::Context) {
        ctx.stop();
    }
}

/// `Sender` sends messages to one instance of the pool. The connections stay on its thread, so a channel of that
/// thread takes the place of the mailbox.
#[derive(Clone)]
pub struct Sender(mpsc::UnboundedSender<Message>);

impl Sender {
    /// Sends a message. One to an instance that has ended needs no effect, as its connections are closed.
    pub(super) fn send(&self, message: Message) {
        self.0.send(message).ok();
    }
}
