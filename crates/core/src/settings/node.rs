//! Settings common to all daemons.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use super::reader::Reader;
use crate::ids;

/// Default time between two renewals of the membership.
const DEFAULT_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Accepted times between two renewals of the membership.
const RENEWAL_INTERVAL_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(30);

/// `Format` is the format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for a terminal.
    Terminal,
}

/// `Node` holds the settings common to all daemons.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Name of the process.
    pub instance: ids::Instance,
    /// Availability zone that it runs in.
    pub zone: ids::Zone,
    /// Address of the HTTP interface of the process.
    pub http_address: SocketAddr,
    /// Address at which the process listens for peer links.
    pub peer_address: SocketAddr,
    /// Address of the platform's interface.
    pub platform_address: SocketAddr,
    /// Addresses of the peer links of other processes, which are asked for a snapshot while the log
    /// is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Time between two renewals of the membership of the process.
    pub renewal_interval: Duration,
    /// Format of the log lines.
    pub log_format: Format,
    /// File to which the decisions of the process are recorded, `None` to record none.
    pub trace_path: Option<PathBuf>,
}

impl Node {
    pub(super) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let instance = reader.read_name("instance");
        let zone = reader.read_name("zone");
        let http_address = reader.read_address("http");
        let peer_address = reader.read_address("peer");
        let platform_address = reader.read_address("platform");
        let seeds = reader.read_addresses("seeds");
        let renewal_interval =
            reader.read_duration_within("renew", DEFAULT_RENEWAL_INTERVAL, RENEWAL_INTERVAL_RANGE);
        let log_format = reader.read_choice(
            "log",
            &[("json", Format::Json), ("terminal", Format::Terminal)],
        );
        let trace_path = reader.read_path("trace");
        Some(Self {
            instance: instance?,
            zone: zone?,
            http_address: http_address?,
            peer_address: peer_address?,
            platform_address: platform_address?,
            seeds: seeds?,
            renewal_interval: renewal_interval?,
            log_format: log_format?,
            trace_path,
        })
    }
}
