//! The part of the fold that the manager decides on.

use std::collections::BTreeSet;

use crate::ids;
use crate::map::Map;
use crate::record::Role;
use crate::state::{Change, Host, Member, Pool, Wave};

/// `View` follows the fold by its changes, with hosts indexed by pool.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Hosts by name.
    pub hosts: Map<ids::Host, Host>,
    /// Names of the hosts of each pool, in order.
    pub by_pool: Map<ids::Pool, BTreeSet<ids::Host>>,
    /// Pools by name.
    pub pools: Map<ids::Pool, Pool>,
    /// Serving hosts that each service promises.
    pub budgets: Map<ids::Service, u32>,
    /// Waves by name.
    pub waves: Map<ids::Wave, Wave>,
    /// Members by name.
    pub members: Map<ids::Instance, Member>,
}

impl View {
    /// Takes over a change.
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
        let pool = host.pool.clone();
        if let Some(old) = self.hosts.insert(name.clone(), host)
            && old.pool != pool
            && let Some(names) = self.by_pool.get_mut(&old.pool)
        {
            names.remove(&name);
        }
        self.by_pool.entry(pool).or_default().insert(name);
    }

    /// Gets the hosts of a pool in the order of their names.
    pub fn hosts_of<'a>(
        &'a self,
        pool: &ids::Pool,
    ) -> impl Iterator<Item = (&'a ids::Host, &'a Host)> + use<'a> {
        let names = self.by_pool.get(pool).into_iter().flatten();
        names.filter_map(|name| self.hosts.get_key_value(name))
    }

    /// Gets the number of hosts that serve a service.
    #[must_use]
    pub fn serving(&self, service: &ids::Service) -> u32 {
        let pools = self
            .pools
            .iter()
            .filter(|(_, pool)| pool.service.as_ref() == Some(service));
        let hosts = pools.flat_map(|(name, _)| self.hosts_of(name));
        u32::try_from(hosts.filter(|(_, host)| host.is_serving()).count()).unwrap_or(u32::MAX)
    }

    /// Gets the hosts that a pool's service can spare now.
    #[must_use]
    pub fn headroom(&self, pool: &ids::Pool) -> u32 {
        let Some(service) = self.pools.get(pool).and_then(|pool| pool.service.as_ref()) else {
            return u32::MAX;
        };
        let promised = self.budgets.get(service).copied().unwrap_or(0);
        self.serving(service).saturating_sub(promised)
    }

    /// Gets the entry hosts that are members.
    pub fn entries(&self) -> impl Iterator<Item = &ids::Instance> {
        let entry =
            |(name, member): (_, &Member)| (member.about.role == Role::Entry).then_some(name);
        self.members.iter().filter_map(entry)
    }
}
