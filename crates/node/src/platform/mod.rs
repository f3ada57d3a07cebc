//! Calls to the platform about hosts.

use std::net::SocketAddr;
use std::time::Duration;

use persimmongate_core::fleet::{Call, Status};
use persimmongate_core::ids;
use persimmongate_core::record::Fact;

use crate::errors::{Result, platform_error};

/// Time after which a call counts as failed.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Largest list of hosts accepted, in bytes.
const LIST_MAX: usize = 32 * 1024 * 1024;

/// `Client` calls the platform about hosts.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    platform: SocketAddr,
}

impl Client {
    /// Makes a client for the platform at an address.
    #[must_use]
    pub fn new(platform: SocketAddr) -> Self {
        Self {
            http: awc::Client::builder().timeout(TIMEOUT).finish(),
            platform,
        }
    }

    /// Gets the platform's list of hosts, which lags.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached or refuses.
    pub async fn list_hosts(&self) -> Result<Vec<Fact>> {
        let url = format!("http://{}/hosts", self.platform);
        let mut response = self
            .http
            .get(url)
            .send()
            .await
            .map_err(|e| platform_error(&e))?;
        response
            .json()
            .limit(LIST_MAX)
            .await
            .map_err(|e| platform_error(&e))
    }

    /// Calls the platform about one host and gets its status after the call.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached or refuses, also for an old generation.
    pub async fn call_host(
        &self,
        host: &ids::Host,
        generation: ids::Generation,
        call: Call,
    ) -> Result<Status> {
        let base = format!("http://{}/hosts/{host}", self.platform);
        let request = match call {
            Call::Query => self.http.get(base),
            Call::Drain => self
                .http
                .post(format!("{base}/drain?generation={generation}")),
            Call::Reboot => self
                .http
                .post(format!("{base}/reboot?generation={generation}")),
            Call::Undrain => self
                .http
                .post(format!("{base}/undrain?generation={generation}")),
        };
        let mut response = request.send().await.map_err(|e| platform_error(&e))?;
        if !response.status().is_success() {
            return Err(platform_error(&response.status()));
        }
        response.json().await.map_err(|e| platform_error(&e))
    }
}
