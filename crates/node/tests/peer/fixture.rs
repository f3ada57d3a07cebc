//! A listener for peer links, and clients that speak to it as they like.

use std::net::SocketAddr;

use actix::{Actor, Context, Handler, MessageResult, ResponseFuture};
use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use persimmongate_core::record::Role;
use persimmongate_node::errors::Result;
use persimmongate_node::log::FetchState;
use persimmongate_node::logger;
use persimmongate_node::metrics::Metrics;
use persimmongate_node::peer::{Close, Listener, ReportReceived};
use persimmongate_node::supervisor::{Guard, Limit, Supervisor, Tree, stop};
use persimmongate_standin::ports;
use persimmongate_wire::frame::{Frame, Hello, PROTOCOL_VERSION, Report, encode};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_tungstenite::tungstenite::Message as Item;
use tokio_tungstenite::{WebSocketStream, client_async};

/// `Sink` takes the reports, and has no fold.
struct Sink(UnboundedSender<Report>);

impl Actor for Sink {
    type Context = Context<Self>;
}

impl Handler<ReportReceived> for Sink {
    type Result = ();

    fn handle(&mut self, ReportReceived(report): ReportReceived, _: &mut Self::Context) {
        self.0.send(report).unwrap();
    }
}

impl Handler<FetchState> for Sink {
    type Result = MessageResult<FetchState>;

    fn handle(&mut self, _: FetchState, _: &mut Self::Context) -> Self::Result {
        MessageResult(None)
    }
}

/// `Only` has the listener as its one child.
struct Only {
    address: SocketAddr,
    sink: actix::Addr<Sink>,
    metrics: Metrics,
    listener: Option<actix::Addr<Listener<()>>>,
}

impl Tree for Only {
    type Child = ();

    fn children(&self) -> Vec<()> {
        vec![()]
    }

    fn start(&mut self, (): (), guard: Guard<()>) -> Result<()> {
        let sink = &self.sink;
        let listener = Listener::new(
            self.address,
            Some(sink.clone().recipient()),
            sink.clone().recipient(),
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

/// `Peers` is a running listener.
pub(crate) struct Peers {
    address: SocketAddr,
    metrics: Metrics,
    pub(crate) reports: UnboundedReceiver<Report>,
    _supervisor: actix::Addr<Supervisor<Only>>,
}

/// `Link` is a client's end.
pub(crate) type Link = WebSocketStream<TcpStream>;

impl Peers {
    pub(crate) fn start() -> Self {
        let address = ports::find_free(1).unwrap()[0];
        let metrics = Metrics::new().unwrap();
        let (sender, reports) = unbounded_channel();
        let tree = Only {
            address,
            sink: Sink(sender).start(),
            metrics: metrics.clone(),
            listener: None,
        };
        let supervisor = Supervisor::new(tree, Limit::default(), logger::discard());
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

    /// Gets the number of links refused for a reason.
    pub(crate) fn refused(&self, reason: &str) -> u32 {
        let text = String::from_utf8(self.metrics.render().unwrap()).unwrap();
        let mut lines = text.lines().filter(|line| {
            line.starts_with("peer_refused") && line.contains(&format!("reason=\"{reason}\""))
        });
        let count = lines.next().and_then(|line| line.rsplit(' ').next());
        count.map_or(0, |count| count.parse().unwrap())
    }
}

/// Makes the first frame of a link.
pub(crate) fn hello(instance: &str, version: u16) -> Item {
    let hello = Hello {
        version,
        instance: instance.into(),
        role: Role::Entry,
    };
    Item::Binary(encode(&Frame::Hello(hello)).unwrap())
}

/// Makes the first frame of a link of this version.
pub(crate) fn good_hello() -> Item {
    hello("entry-0", PROTOCOL_VERSION)
}

/// Makes a report without a draining host.
pub(crate) fn report(instance: &str) -> Item {
    let report = Report {
        instance: instance.into(),
        next_offset: 1,
        drains: Vec::new(),
    };
    Item::Binary(encode(&Frame::Report(report)).unwrap())
}

/// Makes a message of a length that is no frame.
pub(crate) fn zeros(len: usize) -> Item {
    Item::Binary(Bytes::from(vec![0; len]))
}

/// Sends messages and gets the reason for which the link was ended, if one came.
pub(crate) async fn ended(link: &mut Link, items: Vec<Item>) -> Option<String> {
    for item in items {
        // A listener that refused an earlier message takes no more.
        let _ = link.send(item).await;
    }
    while let Some(Ok(item)) = link.next().await {
        if let Item::Close(close) = item {
            return close.map(|close| close.reason.to_string());
        }
    }
    None
}
