//! A listener for peer links, and clients that send it arbitrary messages.

use std::net::SocketAddr;

use actix::{Actor, Context, Handler, MessageResult, ResponseFuture};
use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use persimmongate_core::record::Role;
use persimmongate_node::errors::Result;
use persimmongate_node::log::Fetch;
use persimmongate_node::logger;
use persimmongate_node::metrics::Metrics;
use persimmongate_node::peer::{Close, Inbound, Listener};
use persimmongate_node::supervisor::{ChildSet, Guard, Policy, Supervisor, stop};
use persimmongate_standin::ports;
use persimmongate_wire::frame::{Frame, Hello, PROTOCOL_VERSION, Report, encode};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_tungstenite::tungstenite::Message as WsMessage;
use tokio_tungstenite::{WebSocketStream, client_async};

/// `Collector` collects the received reports, and has no state to send.
struct Collector(UnboundedSender<Report>);

impl Actor for Collector {
    type Context = Context<Self>;
}

impl Handler<Inbound> for Collector {
    type Result = ();

    fn handle(&mut self, Inbound(report): Inbound, _: &mut Self::Context) {
        self.0.send(report).unwrap();
    }
}

impl Handler<Fetch> for Collector {
    type Result = MessageResult<Fetch>;

    fn handle(&mut self, _: Fetch, _: &mut Self::Context) -> Self::Result {
        MessageResult(None)
    }
}

/// `Daemon` has the listener as its only child.
struct Daemon {
    address: SocketAddr,
    collector: actix::Addr<Collector>,
    metrics: Metrics,
    listener: Option<actix::Addr<Listener<()>>>,
}

impl ChildSet for Daemon {
    type Child = ();

    fn children(&self) -> Vec<()> {
        vec![()]
    }

    fn start(&mut self, (): (), guard: Guard<()>) -> Result<()> {
        let collector = &self.collector;
        let listener = Listener::new(
            self.address,
            Some(collector.clone().recipient()),
            collector.clone().recipient(),
            &self.metrics.meter(),
            logger::discard(),
            guard,
        );
        self.listener = Some(listener.start());
        Ok(())
    }

    fn dependents(&self, (): ()) -> Vec<()> {
        Vec::new()
    }

    fn stop(&mut self, (): ()) -> ResponseFuture<()> {
        stop(self.listener.take(), Close)
    }

    fn shut_down(&mut self) -> ResponseFuture<()> {
        Box::pin(std::future::ready(()))
    }
}

/// `Fixture` runs a listener and collects the reports that it receives.
pub(crate) struct Fixture {
    address: SocketAddr,
    metrics: Metrics,
    pub(crate) reports: UnboundedReceiver<Report>,
    _supervisor: actix::Addr<Supervisor<Daemon>>,
}

/// `Link` is a client's end of a link.
pub(crate) type Link = WebSocketStream<TcpStream>;

impl Fixture {
    pub(crate) fn start() -> Self {
        let address = ports::find_free(1).unwrap()[0];
        let metrics = Metrics::new().unwrap();
        let (sender, reports) = unbounded_channel();
        let tree = Daemon {
            address,
            collector: Collector(sender).start(),
            metrics: metrics.clone(),
            listener: None,
        };
        let supervisor = Supervisor::new(tree, Policy::default(), logger::discard());
        Self {
            address,
            metrics,
            reports,
            _supervisor: supervisor.start(),
        }
    }

    pub(crate) async fn connect(&self) -> TcpStream {
        loop {
            if let Ok(stream) = TcpStream::connect(self.address).await {
                return stream;
            }
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }

    pub(crate) async fn open(&self) -> Link {
        let url = format!("ws://{}/", self.address);
        client_async(url, self.connect().await).await.unwrap().0
    }

    /// Returns the number of links refused for a reason, from the metrics.
    pub(crate) fn refused_count(&self, reason: &str) -> u32 {
        let text = String::from_utf8(self.metrics.render().unwrap()).unwrap();
        let mut lines = text.lines().filter(|line| {
            line.starts_with("peer_refused") && line.contains(&format!("reason=\"{reason}\""))
        });
        let count = lines.next().and_then(|line| line.rsplit(' ').next());
        count.map_or(0, |count| count.parse().unwrap())
    }
}

/// Makes a hello, the first frame of a link.
pub(crate) fn hello(instance: &str, version: u16) -> WsMessage {
    let hello = Hello {
        version,
        instance: instance.into(),
        role: Role::Entry,
    };
    WsMessage::Binary(encode(&Frame::Hello(hello)).unwrap())
}

/// Makes a hello of the current protocol version.
pub(crate) fn valid_hello() -> WsMessage {
    hello("entry-0", PROTOCOL_VERSION)
}

/// Makes a report that lists no draining host.
pub(crate) fn report(instance: &str) -> WsMessage {
    let report = Report {
        instance: instance.into(),
        next_offset: 1,
        drains: Vec::new(),
    };
    WsMessage::Binary(encode(&Frame::Report(report)).unwrap())
}

/// Makes a message of zeros, which is not a frame.
pub(crate) fn zeros(len: usize) -> WsMessage {
    WsMessage::Binary(Bytes::from(vec![0; len]))
}

/// Sends messages; returns the reason in the close frame, if one is received.
pub(crate) async fn close_reason(link: &mut Link, messages: Vec<WsMessage>) -> Option<String> {
    for message in messages {
        // Sending fails once the listener has refused an earlier message.
        let _ = link.send(message).await;
    }
    while let Some(Ok(message)) = link.next().await {
        if let WsMessage::Close(close) = message {
            return close.map(|close| close.reason.to_string());
        }
    }
    None
}
