//! Settings that every daemon has.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use super::reader::Reader;
use crate::ids;

/// Default time between two renewals.
const RENEW: Duration = Duration::from_secs(2);
/// Times accepted between two renewals.
const RENEW_RANGE: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(30);

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
    pub http: SocketAddr,
    /// Address of its peer links.
    pub peer: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer links of other processes, asked for a snapshot while the log is down.
    pub seeds: Vec<SocketAddr>,
    /// Time between two renewals of its membership.
    pub renew: Duration,
    /// Form of its log lines.
    pub log: Format,
    /// File that its decisions are recorded to.
    pub trace: Option<PathBuf>,
}

impl Node {
    pub(super) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let instance = reader.name("instance");
        let zone = reader.name("zone");
        let http = reader.address("http");
        let peer = reader.address("peer");
        let platform = reader.address("platform");
        let seeds = reader.addresses("seeds");
        let renew = reader.duration_within("renew", RENEW, RENEW_RANGE);
        let log = reader.choice(
            "log",
            &[("json", Format::Json), ("terminal", Format::Terminal)],
        );
        let trace = reader.path("trace");
        Some(Self {
            instance: instance?,
            zone: zone?,
            http: http?,
            peer: peer?,
            platform: platform?,
            seeds: seeds?,
            renew: renew?,
            log: log?,
            trace,
        })
    }
}
