//! Status summary of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::record::{self, Phase, Role};
use crate::state::State;

/// `Status` is a summary of the fleet at one offset of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Offset after the last applied record.
    #[serde(rename = "next")]
    pub next_offset: ids::Offset,
    /// Time since the answering process last read the log up to its end; `None` if it never has.
    #[serde(rename = "age")]
    pub log_age: Option<Duration>,
    /// Offset of the sheet in force.
    pub revision: ids::Revision,
    /// Operator who applied the sheet in force.
    pub operator: Option<ids::Operator>,
    /// Number of host moves accepted so far.
    #[serde(rename = "moves")]
    pub accepted_moves: u64,
    /// Pools, sorted by name.
    pub pools: Vec<Pool>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Waves, sorted by name.
    pub waves: Vec<Wave>,
    /// Processes, sorted by name.
    pub members: Vec<Member>,
}

/// `Member` is one process of the system.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// Name of the process.
    pub name: ids::Instance,
    /// Role of the process.
    pub role: Role,
    /// Availability zone that it runs in.
    pub zone: ids::Zone,
    /// Address of its HTTP interface.
    pub http: SocketAddr,
}

/// `Pool` is the summary of one pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: ids::Pool,
    /// Service that its hosts run.
    pub service: Option<ids::Service>,
    /// Process that manages the pool at present.
    pub holder: Option<ids::Instance>,
    /// Number of hosts that the sheet asks for.
    #[serde(rename = "target")]
    pub target_count: u32,
    /// Number of hosts in the pool.
    #[serde(rename = "hosts")]
    pub host_count: usize,
    /// Number of its hosts that get requests.
    #[serde(rename = "serving")]
    pub serving_count: usize,
}

/// `Service` is the summary of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: ids::Service,
    /// Availability budget: the number of hosts that must serve at any time.
    #[serde(rename = "promised")]
    pub budget: u32,
    /// Number of hosts that serve it.
    #[serde(rename = "serving")]
    pub serving_count: u32,
}

/// `Wave` is the summary of one maintenance wave.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Wave {
    /// Name of the wave.
    pub name: ids::Wave,
    /// Pool that it maintains.
    pub pool: ids::Pool,
    /// Phase that the wave is in.
    pub phase: Phase,
    /// Why it is in this phase.
    pub reason: String,
    /// Number of hosts maintained by it so far.
    #[serde(rename = "done")]
    pub maintained_count: usize,
    /// Number of hosts that it drains or restarts at present.
    #[serde(rename = "out")]
    pub out_of_service_count: usize,
    /// Number of hosts of the pool.
    #[serde(rename = "hosts")]
    pub host_count: usize,
}

/// Summarizes a state.
#[must_use]
pub fn summarize(state: &State) -> Status {
    let mut pools: Vec<Pool> = state
        .pools
        .keys()
        .map(|name| summarize_pool(state, name))
        .collect();
    pools.sort_by(|a, b| a.name.cmp(&b.name));
    let mut services: Vec<Service> = state
        .budgets
        .iter()
        .map(|(name, budget)| Service {
            name: name.clone(),
            budget: *budget,
            serving_count: state.serving_hosts(name),
        })
        .collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    let mut waves: Vec<Wave> = state
        .waves
        .keys()
        .filter_map(|name| summarize_wave(state, name))
        .collect();
    waves.sort_by(|a, b| a.name.cmp(&b.name));
    let mut members: Vec<Member> = state
        .members
        .iter()
        .map(|(name, entry)| summarize_member(name, &entry.announcement))
        .collect();
    members.sort_by(|a, b| a.name.cmp(&b.name));
    let (next_offset, revision, accepted_moves) =
        (state.next_offset, state.revision, state.move_count);
    Status {
        next_offset,
        log_age: None,
        revision,
        operator: state.sheet.as_ref().map(|sheet| sheet.operator.clone()),
        accepted_moves,
        pools,
        services,
        waves,
        members,
    }
}

fn summarize_member(name: &ids::Instance, about: &record::Announcement) -> Member {
    Member {
        name: name.clone(),
        role: about.role,
        zone: about.zone.clone(),
        http: about.http,
    }
}

fn summarize_pool(state: &State, name: &ids::Pool) -> Pool {
    let entry = state.pools.get(name).cloned().unwrap_or_default();
    let hosts = || state.hosts.values().filter(|host| host.pool == *name);
    Pool {
        name: name.clone(),
        service: entry.service,
        holder: entry.holder,
        target_count: entry.target,
        host_count: hosts().count(),
        serving_count: hosts().filter(|host| host.is_serving()).count(),
    }
}

fn summarize_wave(state: &State, name: &ids::Wave) -> Option<Wave> {
    let entry = state.waves.get(name)?;
    let hosts = || state.hosts.values().filter(|host| host.pool == entry.pool);
    let is_out = |host: &&crate::state::Host| host.wave() == Some(name);
    Some(Wave {
        name: name.clone(),
        pool: entry.pool.clone(),
        phase: entry.phase,
        reason: entry.reason.clone(),
        maintained_count: hosts()
            .filter(|host| host.maintained_offset >= entry.sheet_offset)
            .count(),
        out_of_service_count: hosts().filter(is_out).count(),
        host_count: hosts().count(),
    })
}
