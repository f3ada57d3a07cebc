//! Decoding of the host list, row by row.

use persimmongate_core::errors::Error as CoreError;
use persimmongate_core::errors::value_error;
use persimmongate_core::ids;
use persimmongate_core::record::Listing;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::errors::{Result, platform_error};

/// `HostList` is the platform's list of hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostList {
    /// Hosts in the order of the list.
    pub hosts: Vec<Listing>,
    /// Rows that can't be used.
    pub skipped: Vec<SkippedRow>,
}

/// `SkippedRow` is a row of the host list that can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct SkippedRow {
    /// Host that the row names, if it does.
    pub host: Option<ids::Host>,
    /// Why it can't be used.
    pub reason: CoreError,
}

/// Field of a row that names its host.
#[derive(Deserialize)]
struct Name {
    host: ids::Host,
}

/// Decodes a host list. A row that can't be used hides no other row.
///
/// # Errors
///
/// Returns an error when the body is not a list.
pub fn decode_host_list(body: &[u8]) -> Result<HostList> {
    // Rows are kept as text at first. Bytes that aren't UTF-8 are replaced, in the rows that have them.
    let text = String::from_utf8_lossy(body);
    let rows: Vec<&RawValue> =
        serde_json::from_str(&text).map_err(|error| platform_error(&error))?;
    let mut list = HostList::default();
    for row in rows {
        match decode_row(row.get()) {
            Ok(listing) => list.hosts.push(listing),
            Err(reason) => {
                let name = serde_json::from_str::<Name>(row.get());
                let host = name.ok().map(|name| name.host);
                list.skipped.push(SkippedRow { host, reason });
            }
        }
    }
    Ok(list)
}

fn decode_row(row: &str) -> std::result::Result<Listing, CoreError> {
    let listing: Listing =
        serde_json::from_str(row).map_err(|error| value_error("host", error.to_string()))?;
    listing.check()?;
    Ok(listing)
}
