//! Owner of the connections: one client of the HTTP library for each destination, which is replaced when its connections
//! are in doubt, and dropped when it is not used.
//!
//! The clients are published, so that a call to a known destination waits for no other task.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix::{Actor, ActorContext, Addr, AsyncContext, Context, Handler, StreamHandler};
use futures_util::stream;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use persimmongate_core::map::Map;
use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot, watch};

use super::connection::{IDLE_TIMEOUT, new_client};
use crate::clock;
use crate::supervisor::Guard;

/// Share of the descriptors of a process, in percent, that connections may take. The others are for callers.
const OPEN_PERCENT: usize = 75;
/// Time after the report of an answer until the next one of the same destination is reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of the search for destinations that are not used.
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

/// `Message` is a request to the pool, or what a call or a connection reports to it.
pub(super) enum Message {
    /// A call asks for the client of a destination that has none.
    Add(SocketAddr, oneshot::Sender<awc::Client>),
    /// A connection was opened.
    Opened(SocketAddr),
    /// A connection was closed.
    Closed,
    /// A call was answered, and the answer is to be reported.
    Answered(SocketAddr),
    /// A call that was sent at this time got no answer.
    Unanswered(SocketAddr, Instant),
}

/// `Entry` is the published client of a destination.
#[derive(Clone)]
pub(super) struct Entry {
    pub(super) http: awc::Client,
    /// Time after which the next answer is reported.
    pub(super) report_after: Option<Instant>,
}

/// `Clients` is the clients of all destinations in use.
pub(super) type Clients = Map<SocketAddr, Entry>;

/// `Handle` is what a call needs of one instance of the pool.
#[derive(Clone)]
pub struct Handle {
    pub(super) clients: watch::Receiver<Clients>,
    pub(super) sender: Sender,
}

/// `Sender` sends messages to one instance of the pool. The clients stay on its thread, so a channel of that thread takes
/// the place of the mailbox.
#[derive(Clone)]
pub(super) struct Sender(mpsc::UnboundedSender<Message>);

/// `Destination` is the state of the client of a destination.
#[derive(Clone, Copy, Debug)]
struct Destination {
    /// Time from which on calls use the present client.
    created_at: Instant,
    /// Time of the latest reported answer to a call; `None` before the first one of the present client.
    answered_at: Option<Instant>,
}

/// `Pool` is the actor that owns the clients.
pub struct Pool<C: Copy + Send + 'static> {
    destinations: Map<SocketAddr, Destination>,
    clients: watch::Sender<Clients>,
    sender: Sender,
    open_count: usize,
    /// Whether connections were closed as there were too many, and some of them are still open.
    is_closing: bool,
    setup: Setup,
    instruments: Instruments,
    _guard: Guard<C>,
}

/// `Instruments` holds the metrics of the connections.
struct Instruments {
    opened: Counter<u64>,
    replaced: Counter<u64>,
    unanswered: Counter<u64>,
    open: Gauge<u64>,
}

/// `Reason` is why the pool dropped a client with its idle connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reason {
    /// The destination was not called for long.
    Unused,
    /// There were too many connections.
    Excess,
    /// A call got no answer.
    Doubtful,
}

impl Reason {
    fn name(self) -> &'static str {
        match self {
            Self::Unused => "unused",
            Self::Excess => "excess",
            Self::Doubtful => "doubtful",
        }
    }
}

impl Sender {
    /// Sends a message. One to an instance that has ended needs no effect, as its connections are closed.
    pub(super) fn send(&self, message: Message) {
        self.0.send(message).ok();
    }
}

impl Destination {
    fn used_at(&self) -> Instant {
        self.answered_at.unwrap_or(self.created_at)
    }
}

impl<C: Copy + Send + Unpin + 'static> Pool<C> {
    /// Starts a pool without connections, and returns what calls need of it.
    pub fn launch(setup: Setup, guard: Guard<C>) -> (Addr<Self>, Handle) {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let sender = Sender(sender);
        let clients = watch::Sender::new(Clients::default());
        let handle = Handle {
            clients: clients.subscribe(),
            sender: sender.clone(),
        };
        let meter = &setup.meter;
        let instruments = Instruments {
            opened: meter.u64_counter("connections_opened").build(),
            replaced: meter.u64_counter("clients_dropped").build(),
            unanswered: meter.u64_counter("calls_unanswered").build(),
            open: meter.u64_gauge("connections").build(),
        };
        let pool = Self::create(|ctx| {
            ctx.add_stream(stream::poll_fn(move |ctx| receiver.poll_recv(ctx)));
            Self {
                destinations: Map::default(),
                clients,
                sender,
                open_count: 0,
                is_closing: false,
                setup,
                instruments,
                _guard: guard,
            }
        });
        (pool, handle)
    }

    /// Returns the name of the service at an address.
    fn service(&self, address: SocketAddr) -> &'static str {
        let service = self.setup.services.get(&address);
        service.copied().unwrap_or(self.setup.default_service)
    }

    fn label(&self, address: SocketAddr) -> KeyValue {
        KeyValue::new("service", self.service(address))
    }

    /// Returns the client of a destination, which is new if it has none.
    fn client(&mut self, address: SocketAddr) -> awc::Client {
        if let Some(known) = self.clients.borrow().get(&address) {
            return known.http.clone();
        }
        let client = new_client(address, self.sender.clone());
        let destination = Destination {
            created_at: clock::now(),
            answered_at: None,
        };
        self.destinations.insert(address, destination);
        let entry = Entry {
            http: client.clone(),
            report_after: None,
        };
        self.clients.send_modify(|clients| {
            clients.insert(address, entry);
        });
        client
    }

    /// Drops the client of a destination. Its idle connections are closed, and those in use when their calls end.
    fn drop_client(&mut self, address: SocketAddr, reason: Reason) {
        self.destinations.remove(&address);
        self.clients.send_modify(|clients| {
            clients.remove(&address);
        });
        let labels = [self.label(address), KeyValue::new("reason", reason.name())];
        self.instruments.replaced.add(1, &labels);
    }

    /// Closes the connections of the destinations that were used longest ago if there are too many.
    fn limit_open(&mut self) {
        let is_over = self.open_count * 100 > self.setup.max_descriptors * OPEN_PERCENT;
        if !is_over || self.is_closing {
            return;
        }
        self.is_closing = true;
        let used =
            |(address, destination): (&SocketAddr, &Destination)| (destination.used_at(), *address);
        let mut used: Vec<(Instant, SocketAddr)> = self.destinations.iter().map(used).collect();
        used.sort_unstable();
        for (_, address) in &used[..used.len().div_ceil(2)] {
            self.drop_client(*address, Reason::Excess);
        }
    }

    fn handle_answer(&mut self, address: SocketAddr) {
        let now = clock::now();
        if let Some(destination) = self.destinations.get_mut(&address) {
            destination.answered_at = Some(now);
            self.clients.send_modify(|clients| {
                if let Some(entry) = clients.get_mut(&address) {
                    entry.report_after = Some(now + REPORT_INTERVAL);
                }
            });
        }
    }

    /// Drops the client of a destination after a call without an answer: what silenced one connection may have silenced
    /// all that were open.
    fn handle_silence(&mut self, address: SocketAddr, sent_at: Instant) {
        let destination = self.destinations.get(&address).copied();
        let present = destination.filter(|destination| destination.created_at <= sent_at);
        let answered_at = present.and_then(|destination| destination.answered_at);
        let labels = [
            self.label(address),
            KeyValue::new("client", if answered_at.is_some() { "used" } else { "new" }),
        ];
        self.instruments.unanswered.add(1, &labels);
        // A destination that has not answered the present client has no idle connections.
        let Some(answered_at) = answered_at else {
            return;
        };
        self.drop_client(address, Reason::Doubtful);
        let now = clock::now();
        let since = |at: Instant| now.saturating_duration_since(at).as_millis();
        info!(self.setup.logger, "no answer on an open connection"; "service" => self.service(address),
            "address" => %address, "answer_age_ms" => since(answered_at), "waited_ms" => since(sent_at),
            "open" => self.open_count);
    }

    /// Drops the clients of destinations that are not used, and reports how many connections are open.
    fn sweep(&mut self) {
        let now = clock::now();
        let is_unused = |(_, destination): &(&SocketAddr, &Destination)| {
            now.saturating_duration_since(destination.used_at()) > IDLE_TIMEOUT
        };
        let unused = self.destinations.iter().filter(is_unused);
        let unused: Vec<SocketAddr> = unused.map(|(address, _)| *address).collect();
        for address in unused {
            self.drop_client(address, Reason::Unused);
        }
        self.is_closing = false;
        self.limit_open();
        self.instruments.open.record(self.open_count as u64, &[]);
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
            Message::Add(address, reply) => {
                // The call may have been given up while it waited.
                reply.send(self.client(address)).ok();
            }
            Message::Opened(address) => {
                self.instruments.opened.add(1, &[self.label(address)]);
                self.open_count += 1;
                self.limit_open();
            }
            Message::Closed => self.open_count -= 1,
            Message::Answered(address) => self.handle_answer(address),
            Message::Unanswered(address, sent_at) => self.handle_silence(address, sent_at),
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Stop> for Pool<C> {
    type Result = ();

    fn handle(&mut self, _: Stop, ctx: &mut Self::Context) {
        ctx.stop();
    }
}
