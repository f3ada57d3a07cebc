//! State built from the log.

use std::net::SocketAddr;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use super::Keys;
use crate::ids;
use crate::map::Map;
use crate::record::{self, Phase};
use crate::sheet::Intent;

/// `State` is the result of replaying the log up to an offset.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Offset of the next record to apply.
    #[serde(rename = "next")]
    pub next_offset: ids::Offset,
    /// Latest time stamp that the log gave a record.
    #[serde(rename = "at")]
    pub log_time: SystemTime,
    /// Offset after the last record that the latest complete snapshot in the log covers.
    #[serde(rename = "snapshot")]
    pub snapshot_offset: ids::Offset,
    /// Offset of the sheet in force.
    pub revision: ids::Revision,
    /// Sheet in force, none before the first is applied.
    pub sheet: Option<Sheet>,
    /// Members by name.
    pub members: Map<ids::Instance, Member>,
    /// Hosts by name. Each host names its pool, so it is in exactly one.
    pub hosts: Map<ids::Host, Host>,
    /// Number of serving hosts of each pool.
    #[serde(rename = "serving")]
    pub serving_counts: Map<ids::Pool, u32>,
    /// Pools by name.
    pub pools: Map<ids::Pool, Pool>,
    /// Availability budget of each service: the serving hosts that it guarantees.
    pub budgets: Map<ids::Service, u32>,
    /// Guaranteed slots by service and caller.
    pub quotas: Map<ids::Service, Map<ids::Caller, u32>>,
    /// Pools that move rows of the sheet assign to hosts by name.
    pub pins: Map<ids::Host, ids::Pool>,
    /// Waves by name.
    pub waves: Map<ids::Wave, Wave>,
    /// Number of moves accepted so far.
    #[serde(rename = "moves")]
    pub move_count: u64,
    /// Claimed idempotency keys.
    pub keys: Keys,
}

/// `Sheet` is the sheet in force as it was applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sheet {
    /// Operator who applied it.
    pub operator: ids::Operator,
    /// Time stamp that the log gave its record.
    #[serde(rename = "at")]
    pub applied_at: SystemTime,
    /// Rows of the sheet.
    pub intents: Vec<Intent>,
}

/// `Member` is a process that has joined.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Role and addresses that the process announced when it joined.
    #[serde(rename = "about")]
    pub announcement: record::Announcement,
    /// Incarnation of the process.
    pub incarnation: ids::Incarnation,
    /// Highest sequence number applied.
    pub sequence: ids::Sequence,
    /// Offset of the latest record of the process.
    #[serde(rename = "renewed")]
    pub renewed_offset: ids::Offset,
}

/// `Stage` is the state of a host between service and maintenance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// Gets no new work and is to be stopped when it is drained.
    Draining {
        /// Wave that the drain belongs to.
        wave: ids::Wave,
        /// Offset of the drain record; the reports of entry hosts refer to it.
        since: ids::Offset,
    },
    /// Failed outside planned maintenance.
    Lost,
    /// In service; gets new work.
    Serving,
    /// Is being stopped; only a newer generation can return to service.
    Stopping {
        /// Wave that the stop belongs to, none for a repair or a host that exceeded its maintenance
        /// time.
        wave: Option<ids::Wave>,
    },
}

/// `Host` is a host of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Address of the worker on it.
    pub address: SocketAddr,
    /// Availability zone of the host.
    pub zone: ids::Zone,
    /// Rack of the host.
    pub rack: ids::Rack,
    /// Pool that it belongs to.
    pub pool: ids::Pool,
    /// State between service and maintenance.
    pub stage: Stage,
    /// Generation: the number of its current start.
    pub generation: ids::Generation,
    /// Offset of the record that last changed it.
    pub revision: ids::Revision,
    /// Offset of its latest return from maintenance, 0 before the first.
    #[serde(rename = "maintained")]
    pub maintained_offset: ids::Offset,
    /// Requests that the worker runs concurrently.
    pub slots: u16,
    /// Connections that the worker accepts.
    pub connections: u16,
}

/// `Pool` is a set of hosts that run one service, or that are spare.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Service that its hosts run, none for the spare pool.
    pub service: Option<ids::Service>,
    /// Number of hosts that the sheet requests.
    pub target: u32,
    /// Term of the claim in force, 0 before the first.
    pub term: ids::Term,
    /// Process that holds the claim, none before the first claim or after the process left.
    pub holder: Option<ids::Instance>,
}

/// `Wave` is a maintenance wave over a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    /// Pool whose hosts are maintained.
    pub pool: ids::Pool,
    /// Maximum number of hosts out of service at the same time.
    pub batch: u32,
    /// Offset of the sheet that started the wave; hosts maintained after it count as done.
    #[serde(rename = "since")]
    pub sheet_offset: ids::Offset,
    /// Progress of the wave.
    pub phase: Phase,
    /// Number of hosts that did not return since the wave last started or resumed.
    #[serde(rename = "failed")]
    pub failed_count: u32,
    /// Reason for the phase, as text for the operator.
    pub reason: String,
}

impl Default for State {
    fn default() -> Self {
        Self {
            next_offset: 0,
            log_time: SystemTime::UNIX_EPOCH,
            snapshot_offset: 0,
            revision: 0,
            sheet: None,
            members: Map::default(),
            hosts: Map::default(),
            serving_counts: Map::default(),
            pools: [(super::SPARE.into(), Pool::default())]
                .into_iter()
                .collect(),
            budgets: Map::default(),
            quotas: Map::default(),
            pins: Map::default(),
            waves: Map::default(),
            move_count: 0,
            keys: Keys::default(),
        }
    }
}

impl Host {
    /// Returns whether the host is in service.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Returns the wave that keeps the host out of service.
    #[must_use]
    pub fn wave(&self) -> Option<&ids::Wave> {
        match &self.stage {
            Stage::Draining { wave, .. } => Some(wave),
            Stage::Stopping { wave } => wave.as_ref(),
            Stage::Lost | Stage::Serving => None,
        }
    }
}

impl State {
    /// Returns the service that a pool's hosts run.
    #[must_use]
    pub fn service_of(&self, pool: &ids::Pool) -> Option<&ids::Service> {
        self.pools.get(pool)?.service.as_ref()
    }

    /// Returns the number of hosts in service for a service.
    #[must_use]
    pub fn serving_hosts(&self, service: &ids::Service) -> u32 {
        let pools = self
            .pools
            .iter()
            .filter(|(_, pool)| pool.service.as_ref() == Some(service));
        pools
            .filter_map(|(name, _)| self.serving_counts.get(name))
            .sum()
    }
}
