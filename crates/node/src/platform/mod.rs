//! Client of the platform's host service.

mod listing;

pub use listing::{HostList, SkippedRow, decode_host_list};

use std::net::SocketAddr;
use std::time::Duration;

use persimmongate_core::fleet::{Call, Status};
use persimmongate_core::ids;

use crate::errors::{Result, platform_error};

/// Time-out of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of a host list.
const HOST_LIST_MAX_BYTES: usize = 32 * 1024 * 1024;

/// `Client` calls the platform's host service.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    platform_address: SocketAddr,
}

impl Client {
    /// Creates a client of the platform at an address.
    #[must_use]
    pub fn new(platform_address: SocketAddr) -> Self {
        Self {
            http: awc::Client::builder().timeout(CALL_TIMEOUT).finish(),
            platform_address,
        }
    }

    /// Returns the platform's list of hosts, which may be out of date.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached, rejects the call or answers with no list.
    pub async fn list_hosts(&self) -> Result<HostList> {
        let url = format!("http://{}/hosts", self.platform_address);
        let mut response = self
            .http
            .get(url)
            .send()
            .await
            .map_err(|error| platform_error(&error))?;
        let body = response
            .body()
            .limit(HOST_LIST_MAX_BYTES)
            .await
            .map_err(|error| platform_error(&error))?;
        decode_host_list(&body)
    }

    /// Queries, drains, reboots or undrains one host; returns its status after the call.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached or rejects the call, as it does for a
    /// generation that is out of date.
    pub async fn call_host(
        &self,
        host: &ids::Host,
        generation: ids::Generation,
        call: Call,
    ) -> Result<Status> {
        let base_url = format!("http://{}/hosts/{host}", self.platform_address);
        let request = match call {
            Call::Query => self.http.get(base_url),
            Call::Drain => self
                .http
                .post(format!("{base_url}/drain?generation={generation}")),
            Call::Reboot => self
                .http
                .post(format!("{base_url}/reboot?generation={generation}")),
            Call::Undrain => self
                .http
                .post(format!("{base_url}/undrain?generation={generation}")),
        };
        let mut response = request
            .send()
            .await
            .map_err(|error| platform_error(&error))?;
        if !response.status().is_success() {
            return Err(platform_error(&response.status()));
        }
        response
            .json()
            .await
            .map_err(|error| platform_error(&error))
    }
}
