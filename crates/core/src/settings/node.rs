//! Settings that every daemon has.

use std::net::SocketAddr;
use std::time::Duration;

use super::reader::Reader;
use crate::ids;

/// Default time between two renewals.
const RENEW: Duration = Duration::from_secs(2);

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
}

impl Node {
    pub(super) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let instance = reader.name("instance");
        let zone = reader.name("zone");
        let http = reader.address("http");
        let peer = reader.address("peer");
        let platform = reader.address("platform");
        let seeds = reader.addresses("seeds");
        let renew = reader.duration("renew", RENEW);
        let log = reader.choice(
            "log",
            &[("json", Format::Json), ("terminal", Format::Terminal)],
        );
        let named = [("http", http), ("peer", peer), ("platform", platform)];
        let named: Vec<_> = named
            .iter()
            .filter_map(|(key, a)| Some((*key, (*a)?)))
            .collect();
        reader.check_distinct(&named);
        Some(Self {
            instance: instance?,
            zone: zone?,
            http: http?,
            peer: peer?,
            platform: platform?,
            seeds: seeds?,
            renew: renew?,
            log: log?,
        })
    }
}
