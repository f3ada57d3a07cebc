//! State changes that describe the deployment to each entry host at its start.

use std::net::SocketAddr;

use persimmongate_core::ids;
use persimmongate_core::record::{self, Role};
use persimmongate_core::state::{Change, Host, Member, Pool, Stage};

use super::plan::{CONNECTIONS, Deployment, HOSTS_PER_RACK, SLOTS, ZONES};

pub(super) fn zone_name(zone: usize) -> ids::Zone {
    format!("zone-{zone}").into()
}

/// Returns the index of a worker's availability zone.
pub(super) fn worker_zone(worker: usize) -> usize {
    worker / HOSTS_PER_RACK % ZONES
}

/// Returns the name of a worker's host.
pub(super) fn host_name(worker: usize) -> ids::Host {
    format!("host-{worker:03}").into()
}

pub(super) fn entry_name(entry: usize) -> ids::Instance {
    format!("entry-{entry}").into()
}

/// Returns the changes that describe all members, pools and hosts to an entry host.
pub(super) fn initial_changes(deployment: &Deployment, entry_count: usize) -> Vec<Change> {
    let mut changes: Vec<Change> = (0..entry_count).map(join).collect();
    let mut worker = 0;
    for service in &deployment.services {
        let pool = Pool {
            service: Some(service.name.into()),
            target: u32::try_from(service.worker_count).unwrap_or(0),
            ..Pool::default()
        };
        changes.push(Change::Pool(service.name.into(), pool));
        for _ in 0..service.worker_count {
            changes.push(Change::Host(host_name(worker), host(worker, service.name)));
            worker += 1;
        }
    }
    changes
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// Returns the announcement with which an entry host joins.
pub(super) fn announcement(entry: usize) -> record::Announcement {
    record::Announcement {
        role: Role::Entry,
        peer: address(),
        http: address(),
        zone: zone_name(entry % ZONES),
    }
}

fn join(entry: usize) -> Change {
    let member = Member {
        announcement: announcement(entry),
        incarnation: 1,
        sequence: 1,
        renewed_offset: 0,
    };
    Change::Member(entry_name(entry), Some(member))
}

fn host(worker: usize, pool: &'static str) -> Host {
    Host {
        address: address(),
        zone: zone_name(worker_zone(worker)),
        rack: format!("rack-{}", worker / HOSTS_PER_RACK).into(),
        pool: pool.into(),
        stage: Stage::Serving,
        generation: 1,
        revision: 0,
        maintained_offset: 0,
        slots: SLOTS,
        connections: CONNECTIONS,
    }
}
