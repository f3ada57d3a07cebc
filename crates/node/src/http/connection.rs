//! TCP connection that bounds what the HTTP library holds for its client.
//!
//! The library reads ahead as long as bytes arrive. Here it gets a few at a time, none while a request is handled, and none
//! while the client does not read its answers.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::TcpStream;
use persimmongate_core::admission::{Phase, Reason};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::oneshot;

use super::link::{Link, Message};

/// Bytes of heads that the library gets before it decodes them: more than the usual request, and only so many requests that
/// arrive together as a connection is counted with.
const HEAD_BURST_BYTES: usize = 2 * 1024;
/// Bytes of a body that the library gets before it decodes them. It stores a chunk in 32 bytes, and each byte may be one.
const BODY_BURST_BYTES: usize = 4 * 1024;

/// `Connection` is the socket of a client.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    link: Link,
    close: Option<oneshot::Receiver<()>>,
    /// Bytes that the library got since it last decoded.
    burst_bytes: usize,
    /// Whether the socket was left unread for a reason of this connection.
    is_held: bool,
    is_blocked: bool,
}

impl Connection {
    /// Creates the connection, and reports it to the listener.
    pub(super) fn new(stream: TcpStream, link: Link) -> Self {
        let (close, receiver) = oneshot::channel();
        link.send(Message::Opened(link.subscribe(), close));
        Self {
            stream,
            link,
            close: Some(receiver),
            burst_bytes: 0,
            is_held: false,
            is_blocked: false,
        }
    }

    pub(super) fn link(&self) -> &Link {
        &self.link
    }

    /// Returns an error if the listener wants the connection closed, except in the middle of a request.
    fn check_open(&mut self, ctx: &mut Context<'_>, phase: Phase) -> io::Result<()> {
        if let Some(close) = &mut self.close
            && Pin::new(close).poll(ctx).is_ready()
        {
            self.close = None;
        }
        if self.close.is_none() && !matches!(phase, Phase::Request | Phase::Unread) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Leaves the socket unread, and returns whether the client closed it.
    fn poll_closed(&mut self, ctx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut byte = [0];
        match ready!(self.stream.poll_peek(ctx, &mut ReadBuf::new(&mut byte))) {
            Ok(0) => Poll::Ready(Ok(())),
            Ok(_) => {
                self.is_held = true;
                Poll::Pending
            }
            Err(error) => Poll::Ready(Err(error)),
        }
    }

    /// Lets the library decode what it got, and then read on.
    fn end_burst(&mut self, ctx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.burst_bytes = 0;
        ctx.waker().wake_by_ref();
        Poll::Pending
    }

    fn note_write<T>(&mut self, ctx: &mut Context<'_>, written: Poll<T>) -> Poll<T> {
        if written.is_pending() != self.is_blocked {
            self.is_blocked = written.is_pending();
            self.link.set_blocked(self.is_blocked);
        }
        if self.is_held && !self.is_blocked {
            // The library reads before it writes. It has to come back for what it was not given.
            self.is_held = false;
            ctx.waker().wake_by_ref();
        }
        written
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        ctx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let progress = self.link.progress();
        let phase = progress.activity.phase;
        self.check_open(ctx, phase)?;
        if self.is_blocked {
            self.is_held = true;
            return Poll::Pending;
        }
        let max_burst = match phase {
            Phase::Request | Phase::Unread | Phase::Waiting => return self.poll_closed(ctx),
            Phase::Head | Phase::Idle => HEAD_BURST_BYTES,
            Phase::Body | Phase::Drain => BODY_BURST_BYTES,
        };
        let is_head = matches!(phase, Phase::Head | Phase::Idle);
        if self.burst_bytes >= max_burst {
            return self.end_burst(ctx);
        }
        if is_head && progress.received_bytes >= self.link.limits.head_bytes {
            if self.burst_bytes > 0 {
                return self.end_burst(ctx);
            }
            self.link.send(Message::Ended(Reason::HeadTooLong));
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let size = buffer.remaining().min(max_burst - self.burst_bytes);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        let result = Pin::new(&mut self.stream).poll_read(ctx, &mut part);
        if result.is_pending() {
            self.burst_bytes = 0;
        }
        ready!(result)?;
        let count = part.filled().len();
        buffer.advance(count);
        self.burst_bytes += count;
        if count > 0 {
            self.link.receive(count);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        ctx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(ctx, buffer);
        if written.is_pending() {
            // An answer that the client reads goes out before the connection closes.
            let phase = self.link.progress().activity.phase;
            self.check_open(ctx, phase)?;
        }
        self.note_write(ctx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, ctx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(ctx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, ctx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(ctx)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.link.send(Message::Closed);
    }
}
