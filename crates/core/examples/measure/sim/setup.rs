//! The fold's changes with which a run begins.

use std::net::SocketAddr;

use persimmongate_core::ids;
use persimmongate_core::record::{self, Role};
use persimmongate_core::state::{Change, Host, Member, Pool, Stage};

use super::plan::{CONNECTIONS, Deployment, RACK_HOSTS, SLOTS, ZONES};

/// Gets the name of the zone with a number.
pub(super) fn zone_name(zone: usize) -> ids::Zone {
    format!("zone-{zone}").into()
}

/// Gets the zone that a worker stands in.
pub(super) fn zone_of(worker: usize) -> usize {
    worker / RACK_HOSTS % ZONES
}

/// Gets the name of the host with a number.
pub(super) fn host_name(worker: usize) -> ids::Host {
    format!("host-{worker:03}").into()
}

/// Gets the name of the entry host with a number.
pub(super) fn entry_name(entry: usize) -> ids::Instance {
    format!("entry-{entry}").into()
}

/// Gets the changes that make every entry host know the fleet.
pub(super) fn changes(deployment: &Deployment, entries: usize) -> Vec<Change> {
    let mut changes: Vec<Change> = (0..entries).map(join).collect();
    let mut worker = 0;
    for service in &deployment.services {
        let pool = Pool {
            service: Some(service.name.into()),
            target: u32::try_from(service.workers).unwrap_or(0),
            ..Pool::default()
        };
        changes.push(Change::Pool(service.name.into(), pool));
        for _ in 0..service.workers {
            changes.push(Change::Host(host_name(worker), host(worker, service.name)));
            worker += 1;
        }
    }
    changes
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// Gets what an entry host announces of itself.
pub(super) fn about(entry: usize) -> record::Member {
    record::Member {
        role: Role::Entry,
        peer: address(),
        http: address(),
        zone: zone_name(entry % ZONES),
    }
}

fn join(entry: usize) -> Change {
    let member = Member {
        announcement: about(entry),
        incarnation: 1,
        sequence: 1,
        renewed_offset: 0,
    };
    Change::Member(entry_name(entry), Some(member))
}

fn host(worker: usize, pool: &'static str) -> Host {
    Host {
        address: address(),
        zone: zone_name(zone_of(worker)),
        rack: format!("rack-{}", worker / RACK_HOSTS).into(),
        pool: pool.into(),
        stage: Stage::Serving,
        generation: 1,
        revision: 0,
        maintained_offset: 0,
        slots: SLOTS,
        connections: CONNECTIONS,
    }
}
