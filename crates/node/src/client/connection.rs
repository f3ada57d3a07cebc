//! TCP connections of the HTTP library, counted while they are open.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, always_ready};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::Connector;
use awc::http::Uri;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::pool::{Message, Sender};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which an idle connection is not used again: longer than the usual pauses between calls to a worker.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum age of a connection, after which it is not used again.
const LIFETIME: Duration = Duration::from_mins(10);

/// `Dialer` opens the connections to one destination.
#[derive(Clone)]
struct Dialer {
    address: SocketAddr,
    pool: Sender,
}

/// `Socket` is an open connection, which reports its end to the pool.
#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    dialer: Dialer,
}

/// Creates a client of the library for one destination, with connections of its own.
pub(super) fn new_client(address: SocketAddr, pool: Sender) -> awc::Client {
    let connector = Connector::new()
        .connector(Dialer { address, pool })
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_TIMEOUT)
        .conn_lifetime(LIFETIME)
        // No limit: the code that makes the calls bounds the number of connections.
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

impl fmt::Debug for Dialer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("Dialer")
            .field(&self.address)
            .finish()
    }
}

impl Service<ConnectInfo<Uri>> for Dialer {
    type Response = Connection<Uri, Socket>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let dialer = self.clone();
        async move {
            let stream = TcpStream::connect(dialer.address)
                .await
                .map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            // Closing resets the connection, so that a call that was given up is not delivered later.
            stream.set_zero_linger().map_err(ConnectError::Io)?;
            dialer.pool.send(Message::Opened(dialer.address));
            let socket = Socket { stream, dialer };
            Ok(Connection::new(info.request().clone(), socket))
        }
        .boxed_local()
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.dialer.pool.send(Message::Closed);
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        ctx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(ctx, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        ctx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(ctx, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, ctx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(ctx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, ctx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(ctx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        ctx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(ctx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl ActixStream for Socket {
    fn poll_read_ready(&self, ctx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, ctx)
    }

    fn poll_write_ready(&self, ctx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, ctx)
    }
}
