//! The part of the replayed state that the manager decides on.

use std::collections::BTreeSet;

use crate::ids;
use crate::map::Map;
use crate::record::Role;
use crate::state::{Change, Host, Member, Pool, Wave};

/// `View` is a copy of the replayed state, kept up to date by its changes, with hosts indexed by pool.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Hosts by name.
    pub hosts: Map<ids::Host, Host>,
    /// Index of the hosts of each pool.
    pub pool_index: Map<ids::Pool, Index>,
    /// Pools by name.
    pub pools: Map<ids::Pool, Pool>,
    /// Availability budget of each service: serving hosts that it must keep.
    pub budgets: Map<ids::Service, u32>,
    /// Waves by name.
    pub waves: Map<ids::Wave, Wave>,
    /// Members by name.
    pub members: Map<ids::Instance, Member>,
    /// Pools to which the sheet pins hosts by name.
    pub pins: Map<ids::Host, ids::Pool>,
}

/// `Index` counts and sorts the hosts of one pool.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// Names of all hosts, in order.
    pub names: BTreeSet<ids::Host>,
    /// Names of the hosts out of service, in order.
    pub out_of_service: BTreeSet<ids::Host>,
    /// Number of serving hosts by rack.
    pub serving_by_rack: Map<ids::Rack, u32>,
    /// Number of serving hosts.
    pub serving_count: u32,
}

impl Index {
    fn add(&mut self, name: &ids::Host, host: &Host) {
        self.names.insert(name.clone());
        if host.is_serving() {
            self.serving_count += 1;
            *self.serving_by_rack.entry(host.rack.clone()).or_default() += 1;
        } else {
            self.out_of_service.insert(name.clone());
        }
    }

    fn remove(&mut self, name: &ids::Host, host: &Host) {
        self.names.remove(name);
        self.out_of_service.remove(name);
        if host.is_serving() {
            self.serving_count -= 1;
            if let Some(count) = self.serving_by_rack.get_mut(&host.rack) {
                *count -= 1;
                if *count == 0 {
                    self.serving_by_rack.remove(&host.rack);
                }
            }
        }
    }
}

impl View {
    /// Applies a change of the replayed state.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Budget(service, hosts) => {
                self.budgets.insert(service, hosts);
            }
            Change::Host(name, host) => self.set_host(name, host),
            Change::Member(name, Some(member)) => {
                self.members.insert(name, member);
            }
            Change::Member(name, None) => {
                self.members.remove(&name);
            }
            Change::Pin(host, Some(pool)) => {
                self.pins.insert(host, pool);
            }
            Change::Pin(host, None) => {
                self.pins.remove(&host);
            }
            Change::Pool(name, pool) => {
                self.pools.insert(name, pool);
            }
            Change::Wave(name, wave) => {
                self.waves.insert(name, wave);
            }
            Change::Keys(..) | Change::Quota(..) | Change::Renewed(_) => {}
        }
    }

    fn set_host(&mut self, name: ids::Host, host: Host) {
        if let Some(old) = self.hosts.get(&name)
            && let Some(index) = self.pool_index.get_mut(&old.pool)
        {
            index.remove(&name, old);
        }
        let index = self.pool_index.entry(host.pool.clone()).or_default();
        index.add(&name, &host);
        self.hosts.insert(name, host);
    }

    /// Returns the hosts of a pool in the order of their names.
    pub fn hosts_of<'a>(
        &'a self,
        pool: &ids::Pool,
    ) -> impl Iterator<Item = (&'a ids::Host, &'a Host)> + use<'a> {
        let names = self.pool_index.get(pool).map(|index| &index.names);
        let names = names.into_iter().flatten();
        names.filter_map(|name| self.hosts.get_key_value(name))
    }

    /// Returns the hosts of a pool that are out of service, in the order of their names.
    pub fn out_of_service_in<'a>(
        &'a self,
        pool: &ids::Pool,
    ) -> impl Iterator<Item = (&'a ids::Host, &'a Host)> + use<'a> {
        let names = self.pool_index.get(pool).map(|index| &index.out_of_service);
        let names = names.into_iter().flatten();
        names.filter_map(|name| self.hosts.get_key_value(name))
    }

    /// Returns the number of serving hosts of a pool.
    #[must_use]
    pub fn serving_in(&self, pool: &ids::Pool) -> u32 {
        self.pool_index
            .get(pool)
            .map_or(0, |index| index.serving_count)
    }

    /// Returns the pools of a service.
    pub(crate) fn pools_of<'a>(
        &'a self,
        service: &'a ids::Service,
    ) -> impl Iterator<Item = &'a ids::Pool> {
        let pools = self.pools.iter();
        pools.filter_map(|(name, pool)| (pool.service.as_ref() == Some(service)).then_some(name))
    }

    /// Returns the number of hosts that serve a service.
    #[must_use]
    pub fn serving_hosts(&self, service: &ids::Service) -> u32 {
        self.pools_of(service)
            .map(|pool| self.serving_in(pool))
            .sum()
    }

    /// Returns the availability budget of a service, in serving hosts.
    #[must_use]
    pub fn budget(&self, service: &ids::Service) -> u32 {
        self.budgets.get(service).copied().unwrap_or(0)
    }

    /// Returns the number of serving hosts of a service in the rack that has the most of them.
    #[must_use]
    pub fn largest_rack_size(&self, service: &ids::Service) -> u32 {
        let mut racks: Map<&ids::Rack, u32> = Map::default();
        for pool in self.pools_of(service) {
            for (rack, count) in self
                .pool_index
                .get(pool)
                .into_iter()
                .flat_map(|index| &index.serving_by_rack)
            {
                *racks.entry(rack).or_default() += count;
            }
        }
        racks.into_values().max().unwrap_or(0)
    }

    /// Returns the entry hosts that are members.
    pub fn entry_hosts(&self) -> impl Iterator<Item = &ids::Instance> {
        let entry_host = |(name, member): (_, &Member)| {
            (member.announcement.role == Role::Entry).then_some(name)
        };
        self.members.iter().filter_map(entry_host)
    }
}
