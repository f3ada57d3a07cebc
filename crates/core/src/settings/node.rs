//! Settings that every daemon has.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use super::reader::Reader;
use crate::ids;

/// Default time between two renewals.
const DEFAULT_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Times accepted between two renewals.
const RENEWAL_INTERVAL_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(30);

/// `Format` is the form of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for a terminal.
    Terminal,
}

/// `Node` holds the settings that every daemon has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Name of the process.
    pub instance: ids::Instance,
    /// Availability zone that it runs in.
    pub zone: ids::Zone,
    /// Address of its HTTP interface.
    pub http_address: SocketAddr,
    /// Address of its peer links.
    pub peer_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Peer links of other processes, asked for a snapshot while the log is down.
    pub seeds: Vec<SocketAddr>,
    /// Time between two renewals of its membership.
    pub renewal_interval: Duration,
    /// Form of its log lines.
    pub log_format: Format,
    /// File that its decisions are recorded to.
    pub trace_path: Option<PathBuf>,
}

impl Node {
    pub(super) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let instance = reader.name("instance");
        let zone = reader.name("zone");
        let http_address = reader.address("http");
        let peer_address = reader.address("peer");
        let platform_address = reader.address("platform");
        let seeds = reader.addresses("seeds");
        let renewal_interval =
            reader.duration_within("renew", DEFAULT_RENEWAL_INTERVAL, RENEWAL_INTERVAL_RANGE);
        let log_format = reader.choice(
            "log",
            &[("json", Format::Json), ("terminal", Format::Terminal)],
        );
        let trace_path = reader.path("trace");
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
