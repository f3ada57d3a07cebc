//! A connection of its own for each HTTP client of the library, so that the pool chooses which one a call uses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use actix_service::{Service, always_ready};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection as TcpConnection};
use awc::Connector;
use awc::http::Uri;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which the library keeps an idle connection; the pool closes it earlier.
const LIBRARY_KEEP_ALIVE: Duration = Duration::from_hours(1);

/// `Connection` is a connection to one destination, opened by its first call.
pub(super) struct Connection {
    pub(super) address: SocketAddr,
    pub(super) http: awc::Client,
    pub(super) created_at: Instant,
    /// Time of the latest answer; `None` before the first one.
    pub(super) answered_at: Option<Instant>,
}

/// `Dialer` opens the TCP connections of one client of the library.
#[derive(Clone)]
struct Dialer {
    address: SocketAddr,
    label: KeyValue,
    opened: Counter<u64>,
}

impl Connection {
    pub(super) fn new(
        address: SocketAddr,
        label: KeyValue,
        opened: Counter<u64>,
        now: Instant,
    ) -> Self {
        let dialer = Dialer {
            address,
            label,
            opened,
        };
        let connector = Connector::new()
            .connector(dialer)
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(LIBRARY_KEEP_ALIVE)
            .conn_lifetime(LIBRARY_KEEP_ALIVE);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self {
            address,
            http,
            created_at: now,
            answered_at: None,
        }
    }
}

impl Service<ConnectInfo<Uri>> for Dialer {
    type Response = TcpConnection<Uri, TcpStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let dialer = self.clone();
        async move {
            let stream = TcpStream::connect(dialer.address)
                .await
                .map_err(ConnectError::Io)?;
            dialer.opened.add(1, &[dialer.label]);
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            // Closing resets the connection, so that a call that was given up is not delivered later.
            stream.set_zero_linger().map_err(ConnectError::Io)?;
            Ok(TcpConnection::new(info.request().clone(), stream))
        }
        .boxed_local()
    }
}
