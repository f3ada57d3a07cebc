//! Body of a request, received within the limits of its listener.

use std::fmt;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use actix_rt::time::timeout;
use actix_web::dev::Payload;
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_LENGTH, RETRY_AFTER};
use actix_web::{FromRequest, HttpRequest, HttpResponse, ResponseError};
use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt, StreamExt, poll};
use persimmongate_core::admission::{Phase, Reason};
use tokio::sync::mpsc;

use super::link::{Link, Message, Verdict};

/// Size up to which a body needs no room of its own, in bytes. A connection is counted with it.
const SMALL_BYTES: usize = 8 * 1024;
/// Time after which a caller whose body found no room may come back.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// `Body` is the received body of a request. It keeps its room until it is dropped.
#[derive(Debug)]
pub struct Body {
    /// Bytes of the body.
    pub bytes: Bytes,
    _room: Option<Room>,
}

/// `Refusal` is the reason for which a body was not received, so that the request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The connection closed before the end of the body, or the transfer encoding is invalid.
    Broken,
    /// There was no room for the body, or it made no progress while others waited for room.
    Crowded,
    /// The body is longer than the limit.
    Oversized,
    /// The body did not arrive within the time limit.
    Slow,
}

/// `Room` is the room that a large body has. Dropping it gives it back.
struct Room {
    link: Link,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
}

/// `Reader` receives one body.
struct Reader {
    link: Link,
    payload: Payload,
    bytes: BytesMut,
    room: Option<Room>,
}

impl Refusal {
    /// Returns the HTTP status of the answer.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Broken => StatusCode::BAD_REQUEST,
            Self::Crowded => StatusCode::SERVICE_UNAVAILABLE,
            Self::Oversized => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Returns the reason as it appears in answers and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken-body",
            Self::Crowded => "crowded",
            Self::Oversized => "oversized-body",
            Self::Slow => "slow-body",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl ResponseError for Refusal {
    fn status_code(&self) -> StatusCode {
        self.status()
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status());
        if *self == Self::Crowded {
            response.insert_header((RETRY_AFTER, RETRY_DELAY.as_secs()));
        }
        response.force_close().finish()
    }
}

impl fmt::Debug for Room {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Room")
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.link.send(Message::Returned);
    }
}

impl Room {
    /// Waits for room.
    async fn reserve(link: &Link, size: usize) -> Result<Self, Refusal> {
        let (sender, verdicts) = mpsc::unbounded_channel();
        let mut room = Self {
            link: link.clone(),
            verdicts,
        };
        link.begin(Phase::Waiting);
        link.send(Message::Asked(size, sender));
        match room.verdicts.recv().await {
            Some(Verdict::Granted) => Ok(room),
            Some(Verdict::Revoked) | None => Err(Refusal::Crowded),
        }
    }
}

impl Reader {
    /// Receives the body. One that has arrived needs no timer.
    async fn read_in_time(self, length: Option<usize>) -> Result<Body, Refusal> {
        let link = self.link.clone();
        let mut read = pin!(self.read(length));
        if let Poll::Ready(body) = poll!(read.as_mut()) {
            return body;
        }
        let result = timeout(link.limits.body_timeout, read).await;
        result.unwrap_or_else(|_| {
            link.send(Message::Ended(Reason::SlowBody));
            Err(Refusal::Slow)
        })
    }

    async fn read(mut self, length: Option<usize>) -> Result<Body, Refusal> {
        let max_bytes = self.link.limits.body_bytes;
        if length.is_some_and(|length| length > max_bytes) {
            return Err(self.refuse_oversized());
        }
        match length {
            Some(length) if length > SMALL_BYTES => self.reserve(length).await?,
            Some(length) => self.bytes.reserve(length),
            None => {}
        }
        while let Some(part) = self.next().await? {
            let total = self.bytes.len() + part.len();
            if total > max_bytes {
                return Err(self.refuse_oversized());
            }
            if total > SMALL_BYTES && self.room.is_none() {
                // A body in chunks does not tell its length.
                self.reserve(max_bytes).await?;
            }
            self.bytes.extend_from_slice(&part);
        }
        self.link.begin(Phase::Request);
        Ok(Body {
            bytes: self.bytes.freeze(),
            _room: self.room,
        })
    }

    fn refuse_oversized(&self) -> Refusal {
        self.link.send(Message::Ended(Reason::BodyTooLong));
        Refusal::Oversized
    }

    async fn reserve(&mut self, size: usize) -> Result<(), Refusal> {
        self.room = Some(Room::reserve(&self.link, size).await?);
        self.bytes.reserve(size.min(self.link.limits.body_bytes));
        self.await_bytes().await;
        Ok(())
    }

    /// Lets the connection read on, which it does when its task runs again.
    async fn await_bytes(&self) {
        self.link.begin(Phase::Body);
        poll_fn(|ctx| {
            ctx.waker().wake_by_ref();
            Poll::Ready(())
        })
        .await;
    }

    /// Returns the next part of the body.
    async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        let part = if let Some(part) = self.payload.next().now_or_never() {
            part
        } else {
            if self.link.progress().activity.phase != Phase::Body {
                self.await_bytes().await;
            }
            match &mut self.room {
                None => self.payload.next().await,
                Some(room) => tokio::select! {
                    part = self.payload.next() => part,
                    _ = room.verdicts.recv() => return Err(Refusal::Crowded),
                },
            }
        };
        part.transpose().map_err(|_| Refusal::Broken)
    }
}

impl FromRequest for Body {
    type Error = Refusal;
    type Future = LocalBoxFuture<'static, Result<Self, Refusal>>;

    fn from_request(request: &HttpRequest, payload: &mut Payload) -> Self::Future {
        let length = request.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        let link = request.conn_data::<Link>().cloned();
        let payload = payload.take();
        async move {
            let Some(link) = link else {
                // Only a server that does not bound its connections leaves them without a link.
                return Err(Refusal::Crowded);
            };
            if matches!(payload, Payload::None) {
                return Ok(Self {
                    bytes: Bytes::new(),
                    _room: None,
                });
            }
            let reader = Reader {
                link,
                payload,
                bytes: BytesMut::new(),
                room: None,
            };
            reader.read_in_time(length).await
        }
        .boxed_local()
    }
}
