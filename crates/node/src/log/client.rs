//! HTTP client of the platform's log.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use persimmongate_core::ids;
use persimmongate_wire::log::{PAGE_MAX_BYTES, Page, Stream, decode_page};
use persimmongate_wire::platform::Appended;

use crate::errors::{Result, platform_error};

/// Time after which an append without a response counts as lost and is retried.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that the platform holds a read open while there is no new record (long poll).
const MAX_READ_WAIT: Duration = Duration::from_secs(1);
/// Time-out of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// `Client` calls the platform's log.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    platform_address: SocketAddr,
}

impl Client {
    /// Creates a client of the platform at an address.
    #[must_use]
    pub fn new(platform_address: SocketAddr) -> Self {
        let http = awc::Client::builder().timeout(READ_TIMEOUT).finish();
        Self {
            http,
            platform_address,
        }
    }

    /// Appends an encoded batch to a stream.
    ///
    /// # Errors
    ///
    /// Returns an error without a successful response; the append may still have taken effect.
    pub async fn append(&self, stream: Stream, batch: Bytes) -> Result<Appended> {
        let url = format!(
            "http://{}/log/{}/append",
            self.platform_address,
            stream.name()
        );
        let request = self.http.post(url).timeout(APPEND_TIMEOUT);
        let mut response = request
            .send_body(batch)
            .await
            .map_err(|e| platform_error(&e))?;
        if !response.status().is_success() {
            return Err(platform_error(&response.status()));
        }
        response.json().await.map_err(|e| platform_error(&e))
    }

    /// Reads records of a stream from an offset on; waits for a while if there is none (long poll).
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or the page can't be decoded.
    pub async fn read(&self, stream: Stream, from: ids::Offset) -> Result<Page> {
        let wait_ms = MAX_READ_WAIT.as_millis();
        let (platform, name) = (self.platform_address, stream.name());
        let url = format!("http://{platform}/log/{name}/read?from={from}&wait_ms={wait_ms}");
        let mut response = self
            .http
            .get(url)
            .send()
            .await
            .map_err(|e| platform_error(&e))?;
        if !response.status().is_success() {
            return Err(platform_error(&response.status()));
        }
        let body = response
            .body()
            .limit(PAGE_MAX_BYTES)
            .await
            .map_err(|e| platform_error(&e))?;
        Ok(decode_page(&body)?)
    }
}
