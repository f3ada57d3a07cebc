//! One link that another process opened.

use std::time::Duration;

use actix::{Message, Recipient};
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use persimmongate_core::ids;
use persimmongate_core::record::Role;
use persimmongate_wire::errors::Error as Problem;
use persimmongate_wire::frame::{self, Frame, Hello, Report};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::{Error, Message as Item};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config};

use super::config;
use crate::log::FetchState;

/// Time in which a link must open, and then send its first frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which a peer must take a frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest frame that another process may send over a link that it opened, in bytes.
const REPORT_MAX: usize = 256 * 1024;

/// `ReportReceived` is a report that came over a link.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct ReportReceived(pub Report);

/// `Refusal` tells why a link was ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// There are too many links.
    Full,
    /// Bytes are no frame.
    Malformed,
    /// A message is too long.
    Oversized,
    /// The first frame did not come in time, or a frame was not taken in time.
    Silent,
    /// A report names another process than the one that opened the link.
    Stranger,
    /// The frame has no place at this point of a link.
    Unexpected,
    /// The other process speaks another version.
    Version,
}

impl Refusal {
    fn word(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Malformed => "malformed",
            Self::Oversized => "oversized",
            Self::Silent => "silent",
            Self::Stranger => "stranger",
            Self::Unexpected => "unexpected",
            Self::Version => "version",
        }
    }
}

/// `Hub` is where a link's frames go.
#[derive(Clone)]
pub(super) struct Hub {
    reports: Option<Recipient<ReportReceived>>,
    fold: Recipient<FetchState>,
    refused: Counter<u64>,
}

impl Hub {
    pub(super) fn new(
        reports: Option<Recipient<ReportReceived>>,
        fold: Recipient<FetchState>,
        refused: Counter<u64>,
    ) -> Self {
        Self {
            reports,
            fold,
            refused,
        }
    }

    /// Counts a link that was refused.
    pub(super) fn refuse(&self, refusal: Refusal) {
        self.refused
            .add(1, &[KeyValue::new("reason", refusal.word())]);
    }
}

/// Serves one link until it ends; the other process is told why it is refused.
pub(super) async fn serve(stream: TcpStream, hub: Hub) {
    let accept = accept_async_with_config(stream, Some(config(REPORT_MAX)));
    let mut link = match timeout(HELLO_TIMEOUT, accept).await {
        Ok(Ok(link)) => link,
        Ok(Err(_)) => return hub.refuse(Refusal::Malformed),
        Err(_) => return hub.refuse(Refusal::Silent),
    };
    if let Err(refusal) = run(&mut link, &hub).await {
        hub.refuse(refusal);
        let close = CloseFrame {
            code: CloseCode::Policy,
            reason: refusal.word().into(),
        };
        // A peer that does not take it loses the link all the same.
        let _ = timeout(SEND_TIMEOUT, link.close(Some(close))).await;
    }
}

async fn run(link: &mut WebSocketStream<TcpStream>, hub: &Hub) -> Result<(), Refusal> {
    let first = timeout(HELLO_TIMEOUT, receive(link)).await;
    let hello = match first.map_err(|_| Refusal::Silent)?? {
        Some(Frame::Hello(hello)) => hello,
        Some(_) => return Err(Refusal::Unexpected),
        None => return Ok(()),
    };
    while let Some(frame) = receive(link).await? {
        match frame {
            Frame::Fetch {
                min_next_offset: next,
            } => send_fold(link, hub, next).await?,
            Frame::Report(report) => take_report(hub, &hello, report)?,
            Frame::Hello(_) | Frame::Snapshot { .. } => return Err(Refusal::Unexpected),
        }
    }
    Ok(())
}

/// Passes on a report of the entry host that opened the link.
fn take_report(hub: &Hub, hello: &Hello, report: Report) -> Result<(), Refusal> {
    if hello.role != Role::Entry || hello.instance != report.instance {
        return Err(Refusal::Stranger);
    }
    if let Some(reports) = &hub.reports {
        reports.do_send(ReportReceived(report));
    }
    Ok(())
}

async fn send_fold(
    link: &mut WebSocketStream<TcpStream>,
    hub: &Hub,
    next: ids::Offset,
) -> Result<(), Refusal> {
    // A follower without a fold of use sends nothing, and the peer asks again.
    let Ok(Some((next, state))) = hub.fold.send(FetchState(next)).await else {
        return Ok(());
    };
    let Ok(bytes) = frame::encode(&Frame::Snapshot {
        next_offset: next,
        state,
    }) else {
        return Ok(());
    };
    let sent = timeout(SEND_TIMEOUT, link.send(Item::Binary(bytes))).await;
    // A link that broke ends at the next read.
    sent.map(drop).map_err(|_| Refusal::Silent)
}

/// Receives the next frame, or nothing when the link ends.
pub(super) async fn receive<S>(link: &mut WebSocketStream<S>) -> Result<Option<Frame>, Refusal>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    loop {
        match link.next().await {
            Some(Ok(Item::Binary(bytes))) => return decode(&bytes).map(Some),
            Some(Ok(Item::Ping(_) | Item::Pong(_))) => {}
            Some(Ok(Item::Frame(_) | Item::Text(_)) | Err(Error::Protocol(_) | Error::Utf8(_))) => {
                return Err(Refusal::Malformed);
            }
            Some(Err(Error::Capacity(_))) => return Err(Refusal::Oversized),
            Some(Ok(Item::Close(_)) | Err(_)) | None => return Ok(None),
        }
    }
}

fn decode(bytes: &Bytes) -> Result<Frame, Refusal> {
    frame::decode(bytes).map_err(|problem| match problem {
        Problem::Malformed { .. } => Refusal::Malformed,
        Problem::Oversized { .. } => Refusal::Oversized,
        Problem::Version { .. } => Refusal::Version,
    })
}
