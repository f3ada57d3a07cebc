//! Serving of one link that another process opened.

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
use persimmongate_wire::errors::Error as WireError;
use persimmongate_wire::frame::{self, Frame, Hello, Report};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::{Error, Message as WsMessage};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config};

use super::config;
use crate::log::Fetch;

/// Time in which the WebSocket handshake, and then the first frame, must complete.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which a peer must accept a frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a frame that another process may send over a link that it opened.
const RECEIVED_FRAME_MAX_BYTES: usize = 256 * 1024;

/// `Inbound` carries a report received over a link.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Inbound(pub Report);

/// `Refusal` is the reason for which a link was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// Too many links are open.
    TooManyLinks,
    /// The received bytes are not a frame.
    Malformed,
    /// A message is too long.
    Oversized,
    /// The peer did not send its first frame, or accept a frame, in time.
    TimedOut,
    /// A report came over the link of another process, or of one that is not an entry host.
    WrongSender,
    /// The frame is not allowed at this point of the link.
    UnexpectedFrame,
    /// The peer uses another protocol version.
    VersionMismatch,
}

impl Refusal {
    /// Returns the reason as it stands in the close frame and in the metric.
    fn as_str(self) -> &'static str {
        match self {
            Self::TooManyLinks => "full",
            Self::Malformed => "malformed",
            Self::Oversized => "oversized",
            Self::TimedOut => "silent",
            Self::WrongSender => "stranger",
            Self::UnexpectedFrame => "unexpected",
            Self::VersionMismatch => "version",
        }
    }
}

/// `Handlers` holds the recipients of received frames, and the counter of refused links.
#[derive(Clone)]
pub(super) struct Handlers {
    reports: Option<Recipient<Inbound>>,
    state_source: Recipient<Fetch>,
    refused_links: Counter<u64>,
}

impl Handlers {
    pub(super) fn new(
        reports: Option<Recipient<Inbound>>,
        state_source: Recipient<Fetch>,
        refused_links: Counter<u64>,
    ) -> Self {
        Self {
            reports,
            state_source,
            refused_links,
        }
    }

    /// Counts a link that was refused.
    pub(super) fn refuse(&self, refusal: Refusal) {
        self.refused_links
            .add(1, &[KeyValue::new("reason", refusal.as_str())]);
    }
}

/// Serves one link until it closes; a refused peer gets the reason in the close frame.
pub(super) async fn serve(stream: TcpStream, handlers: Handlers) {
    let accept = accept_async_with_config(stream, Some(config(RECEIVED_FRAME_MAX_BYTES)));
    let mut link = match timeout(HELLO_TIMEOUT, accept).await {
        Ok(Ok(link)) => link,
        Ok(Err(_)) => return handlers.refuse(Refusal::Malformed),
        Err(_) => return handlers.refuse(Refusal::TimedOut),
    };
    if let Err(refusal) = receive_frames(&mut link, &handlers).await {
        handlers.refuse(refusal);
        let close = CloseFrame {
            code: CloseCode::Policy,
            reason: refusal.as_str().into(),
        };
        // The link is dropped even if the peer does not accept the close frame.
        let _ = timeout(SEND_TIMEOUT, link.close(Some(close))).await;
    }
}

async fn receive_frames(
    link: &mut WebSocketStream<TcpStream>,
    handlers: &Handlers,
) -> Result<(), Refusal> {
    let first_frame = timeout(HELLO_TIMEOUT, receive(link)).await;
    let hello = match first_frame.map_err(|_| Refusal::TimedOut)?? {
        Some(Frame::Hello(hello)) => hello,
        Some(_) => return Err(Refusal::UnexpectedFrame),
        None => return Ok(()),
    };
    while let Some(frame) = receive(link).await? {
        match frame {
            Frame::Fetch { min_next_offset } => send_state(link, handlers, min_next_offset).await?,
            Frame::Report(report) => forward_report(handlers, &hello, report)?,
            Frame::Hello(_) | Frame::Snapshot { .. } => return Err(Refusal::UnexpectedFrame),
        }
    }
    Ok(())
}

/// Forwards a report of the entry host that opened the link.
fn forward_report(handlers: &Handlers, hello: &Hello, report: Report) -> Result<(), Refusal> {
    if hello.role != Role::Entry || hello.instance != report.instance {
        return Err(Refusal::WrongSender);
    }
    if let Some(reports) = &handlers.reports {
        reports.do_send(Inbound(report));
    }
    Ok(())
}

async fn send_state(
    link: &mut WebSocketStream<TcpStream>,
    handlers: &Handlers,
    min_next_offset: ids::Offset,
) -> Result<(), Refusal> {
    // Without a state that is new enough there is no answer; the peer repeats its request.
    let Ok(Some((next_offset, state))) = handlers.state_source.send(Fetch(min_next_offset)).await
    else {
        return Ok(());
    };
    let Ok(bytes) = frame::encode(&Frame::Snapshot { next_offset, state }) else {
        return Ok(());
    };
    let send_result = timeout(SEND_TIMEOUT, link.send(WsMessage::Binary(bytes))).await;
    // A broken link is noticed at the next read.
    send_result.map(drop).map_err(|_| Refusal::TimedOut)
}

/// Receives the next frame, or `None` when the link is closed or broken.
pub(super) async fn receive<S>(link: &mut WebSocketStream<S>) -> Result<Option<Frame>, Refusal>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    loop {
        match link.next().await {
            Some(Ok(WsMessage::Binary(bytes))) => return decode(&bytes).map(Some),
            Some(Ok(WsMessage::Ping(_) | WsMessage::Pong(_))) => {}
            Some(
                Ok(WsMessage::Frame(_) | WsMessage::Text(_))
                | Err(Error::Protocol(_) | Error::Utf8(_)),
            ) => {
                return Err(Refusal::Malformed);
            }
            Some(Err(Error::Capacity(_))) => return Err(Refusal::Oversized),
            Some(Ok(WsMessage::Close(_)) | Err(_)) | None => return Ok(None),
        }
    }
}

fn decode(bytes: &Bytes) -> Result<Frame, Refusal> {
    frame::decode(bytes).map_err(|error| match error {
        WireError::Malformed { .. } => Refusal::Malformed,
        WireError::Oversized { .. } => Refusal::Oversized,
        WireError::Version { .. } => Refusal::VersionMismatch,
    })
}
