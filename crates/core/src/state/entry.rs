//! What the fold keeps.

use std::net::SocketAddr;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use super::Keys;
use crate::ids;
use crate::map::Map;
use crate::record::{self, Phase};
use crate::sheet::Intent;

/// `State` is the result of folding the log up to an offset.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Offset of the next record to fold.
    #[serde(rename = "next")]
    pub next_offset: ids::Offset,
    /// Latest time that the log gave a record.
    #[serde(rename = "at")]
    pub log_time: SystemTime,
    /// Offset that the latest complete snapshot in the log covers.
    #[serde(rename = "snapshot")]
    pub snapshot_offset: ids::Offset,
    /// Offset of the sheet in force.
    pub revision: ids::Revision,
    /// Sheet in force, none before the first.
    pub sheet: Option<Sheet>,
    /// Members by name.
    pub members: Map<ids::Instance, Member>,
    /// Hosts by name; a host is in exactly one pool because this map gives it one.
    pub hosts: Map<ids::Host, Host>,
    /// Serving hosts of each pool.
    #[serde(rename = "serving")]
    pub serving_counts: Map<ids::Pool, u32>,
    /// Pools by name.
    pub pools: Map<ids::Pool, Pool>,
    /// Serving hosts that each service promises.
    pub budgets: Map<ids::Service, u32>,
    /// Guaranteed slots by service and caller.
    pub quotas: Map<ids::Service, Map<ids::Caller, u32>>,
    /// Hosts that the sheet puts into a pool by name.
    pub pins: Map<ids::Host, ids::Pool>,
    /// Waves by name.
    pub waves: Map<ids::Wave, Wave>,
    /// Moves accepted so far.
    #[serde(rename = "moves")]
    pub move_count: u64,
    /// Idempotency keys that were claimed.
    pub keys: Keys,
}

/// `Sheet` is the day's intent as it was applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sheet {
    /// Operator who applied it.
    pub operator: ids::Operator,
    /// Time that the log gave its record.
    #[serde(rename = "at")]
    pub applied_at: SystemTime,
    /// Rows of the sheet.
    pub intents: Vec<Intent>,
}

/// `Member` is a process that joined.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The process as it announced itself.
    #[serde(rename = "about")]
    pub announcement: record::Member,
    /// Run of the process.
    pub incarnation: ids::Incarnation,
    /// Highest sequence applied.
    pub sequence: ids::Sequence,
    /// Offset of the latest record of the process.
    #[serde(rename = "renewed")]
    pub renewed_offset: ids::Offset,
}

/// `Stage` is where a host stands between service and maintenance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// Gets no new work and is about to be stopped.
    Draining {
        /// Wave the drain belongs to.
        wave: ids::Wave,
        /// Offset of the drain record; entries report against it.
        since: ids::Offset,
    },
    /// Failed without a plan.
    Lost,
    /// Gets work.
    Serving,
    /// Is being stopped; only a newer generation returns.
    Stopping {
        /// Wave the stop belongs to, none for a repair or a host that exceeded its time.
        wave: Option<ids::Wave>,
    },
}

/// `Host` is a host of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Address of the worker on it.
    pub address: SocketAddr,
    /// Availability zone it stands in.
    pub zone: ids::Zone,
    /// Rack it stands in.
    pub rack: ids::Rack,
    /// The one pool it belongs to.
    pub pool: ids::Pool,
    /// Where it stands between service and maintenance.
    pub stage: Stage,
    /// Number of its current start.
    pub generation: ids::Generation,
    /// Offset of the record that last changed it.
    pub revision: ids::Revision,
    /// Offset of its latest return from maintenance.
    #[serde(rename = "maintained")]
    pub maintained_offset: ids::Offset,
    /// Requests that the worker runs at once.
    pub slots: u16,
    /// Connections that the worker accepts.
    pub connections: u16,
}

/// `Pool` is a pool of hosts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Service that its hosts run, none for the spare pool.
    pub service: Option<ids::Service>,
    /// Hosts that the sheet asks for.
    pub target: u32,
    /// Term of the claim in force, 0 before the first.
    pub term: ids::Term,
    /// Process that decides for the pool.
    pub holder: Option<ids::Instance>,
}

/// `Wave` is a maintenance wave over a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    /// Pool whose hosts are maintained.
    pub pool: ids::Pool,
    /// Hosts out of service at once, at most.
    pub batch: u32,
    /// Offset of the sheet that asked for it; hosts maintained later are done.
    #[serde(rename = "since")]
    pub sheet_offset: ids::Offset,
    /// Where the wave stands.
    pub phase: Phase,
    /// Hosts that did not return since it last started or resumed.
    #[serde(rename = "failed")]
    pub failed_count: u32,
    /// Why it stands there, in words for the operator.
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
    /// Gets whether the host gets work.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Gets the wave that keeps the host out of service.
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
    /// Gets the service that a pool's hosts run.
    #[must_use]
    pub fn service_of(&self, pool: &ids::Pool) -> Option<&ids::Service> {
        self.pools.get(pool)?.service.as_ref()
    }

    /// Gets the number of hosts that serve a service.
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
