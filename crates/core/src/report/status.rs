//! The status of the fleet at a glance.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::record::{self, Phase, Role};
use crate::state::State;

/// `Status` is the state of the fleet at an offset.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Offset after the last record folded.
    #[serde(rename = "next")]
    pub next_offset: ids::Offset,
    /// Time since the process that answers read the log up to its end, as far as it knows.
    #[serde(rename = "age")]
    pub log_age: Option<Duration>,
    /// Offset of the sheet in force.
    pub revision: ids::Revision,
    /// Operator who applied it.
    pub operator: Option<ids::Operator>,
    /// Moves accepted so far.
    #[serde(rename = "moves")]
    pub accepted_moves: u64,
    /// Pools by name.
    pub pools: Vec<Pool>,
    /// Services by name.
    pub services: Vec<Service>,
    /// Waves by name.
    pub waves: Vec<Wave>,
    /// Processes by name.
    pub members: Vec<Member>,
}

/// `Member` is one process of the status.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// Name of the process.
    pub name: ids::Instance,
    /// What it does.
    pub role: Role,
    /// Availability zone it runs in.
    pub zone: ids::Zone,
    /// Address of its HTTP interface.
    pub http: SocketAddr,
}

/// `Pool` is one pool of the status.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: ids::Pool,
    /// Service that its hosts run.
    pub service: Option<ids::Service>,
    /// Process that decides for it.
    pub holder: Option<ids::Instance>,
    /// Hosts that the sheet asks for.
    #[serde(rename = "target")]
    pub target_count: u32,
    /// Hosts in the pool.
    #[serde(rename = "hosts")]
    pub host_count: usize,
    /// Hosts of it that get work.
    #[serde(rename = "serving")]
    pub serving_count: usize,
}

/// `Service` is one service of the status.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: ids::Service,
    /// Hosts that it promises.
    #[serde(rename = "promised")]
    pub budget: u32,
    /// Hosts that serve it.
    #[serde(rename = "serving")]
    pub serving_count: u32,
}

/// `Wave` is one wave of the status.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Wave {
    /// Name of the wave.
    pub name: ids::Wave,
    /// Pool that it maintains.
    pub pool: ids::Pool,
    /// Where it stands.
    pub phase: Phase,
    /// Why it stands there.
    pub reason: String,
    /// Hosts maintained.
    #[serde(rename = "done")]
    pub maintained_count: usize,
    /// Hosts being drained or stopped.
    #[serde(rename = "out")]
    pub out_of_service_count: usize,
    /// Hosts of the pool.
    #[serde(rename = "hosts")]
    pub host_count: usize,
}

/// Gets the status of a state.
#[must_use]
pub fn summarize(state: &State) -> Status {
    let mut pools: Vec<Pool> = state.pools.keys().map(|name| pool(state, name)).collect();
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
        .filter_map(|name| wave(state, name))
        .collect();
    waves.sort_by(|a, b| a.name.cmp(&b.name));
    let mut members: Vec<Member> = state
        .members
        .iter()
        .map(|(name, entry)| member(name, &entry.announcement))
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

fn member(name: &ids::Instance, about: &record::Member) -> Member {
    Member {
        name: name.clone(),
        role: about.role,
        zone: about.zone.clone(),
        http: about.http,
    }
}

fn pool(state: &State, name: &ids::Pool) -> Pool {
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

fn wave(state: &State, name: &ids::Wave) -> Option<Wave> {
    let entry = state.waves.get(name)?;
    let hosts = || state.hosts.values().filter(|host| host.pool == entry.pool);
    let out = |host: &&crate::state::Host| host.wave() == Some(name);
    Some(Wave {
        name: name.clone(),
        pool: entry.pool.clone(),
        phase: entry.phase,
        reason: entry.reason.clone(),
        maintained_count: hosts()
            .filter(|host| host.maintained_offset >= entry.sheet_offset)
            .count(),
        out_of_service_count: hosts().filter(out).count(),
        host_count: hosts().count(),
    })
}
