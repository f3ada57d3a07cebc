//! Invariants and figures of a run.

use std::time::{Duration, Instant};

use persimmongate_core::fleet::buffer;
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::Body;
use persimmongate_core::state::SPARE;

use super::{Policy, STEP, Service, World, wave_name};

impl World {
    /// Compares what serves with what is promised.
    pub(super) fn check(&mut self) {
        let mut serving: Map<&str, u32> = Map::default();
        let mut planned: Map<&str, u32> = Map::default();
        let mut failed: Map<&str, u32> = Map::default();
        let mut racks: Map<(&str, &str), u32> = Map::default();
        for (name, host) in &self.log.state.hosts {
            let pool = &*host.pool;
            *racks.entry((pool, &*host.rack)).or_default() += 1;
            let kind = if host.wave().is_some() {
                &mut planned
            } else if host.is_serving() && self.platform.is_serving(name) {
                &mut serving
            } else {
                &mut failed
            };
            *kind.entry(pool).or_default() += 1;
        }
        let of =
            |kind: &Map<&str, u32>, service: &Service| kind.get(service.name).copied().unwrap_or(0);
        for service in &self.plan.services {
            if of(&serving, service) >= service.promised {
                continue;
            }
            self.outcome.shortfall += STEP.as_secs_f64();
            let rack = racks.iter().filter(|((pool, _), _)| *pool == service.name);
            let rack = rack.map(|(_, count)| *count).max().unwrap_or(0);
            if of(&planned, service) > 0 && of(&failed, service) <= rack {
                self.outcome.violations += STEP.as_secs_f64();
            }
        }
    }

    /// Looks for the claim after the loss of a holder, and for the first act under it.
    pub(super) fn check_takeover(&mut self, lost: Instant, from: usize, holder: &ids::Instance) {
        let Some((pool, _)) = self.plan.waves.first() else {
            return;
        };
        let entry = self.log.state.pools.get(*pool);
        let Some(next) = entry.and_then(|entry| entry.holder.clone()) else {
            return;
        };
        if next == *holder || self.outcome.takeover.is_some_and(|(_, act)| !act.is_zero()) {
            return;
        }
        let time = self.now - lost;
        let acted = self.log.records[from..]
            .iter()
            .any(|record| record.author == next && matches!(&record.body, Body::Drain { .. }));
        let claimed = *self.claimed.get_or_insert(time);
        if acted {
            self.outcome.takeover = Some((claimed, time));
        }
    }

    /// Works out the figures of the end.
    pub(super) fn finish(&mut self, from: usize) {
        let drains = self.log.records[from..].iter();
        let drains = drains.filter(|record| matches!(record.body, Body::Drain { .. }));
        self.outcome.drained = drains.count();
        let agreed = self.processes.iter().all(|process| {
            let view = process.manager.view();
            let hosts = self.log.state.hosts.iter();
            let mut equal = hosts.map(|(name, host)| view.hosts.get(name) == Some(host));
            let indexed: usize = view
                .pool_index
                .values()
                .map(|index| index.names.len())
                .sum();
            equal.all(|equal| equal) && indexed == self.log.state.hosts.len()
        });
        let silent = matches!(self.plan.policy, Policy::Fixed(_));
        self.outcome.equal = (agreed || silent) && self.log.is_repeatable();
        if let Some(process) = self.processes.first() {
            let buffer = buffer(process.manager.view(), self.plan.options.repair_percent);
            self.outcome.buffer = (buffer.shared_hosts, buffer.separate_hosts);
        }
        let waves = self.plan.waves.iter();
        let bound = waves.filter_map(|(pool, _)| self.bound(pool)).max();
        self.outcome.bound = bound.unwrap_or_default();
    }

    /// Gets the shortest time in which the budget lets a pool be maintained.
    fn bound(&self, pool: &str) -> Option<Duration> {
        let mut services = self.plan.services.iter();
        let service = services.find(|service| service.name == pool)?;
        let since = self.log.state.waves.get(&wave_name(pool))?.sheet_offset;
        let hosts = self.log.state.hosts.iter();
        let own = hosts.filter(|(_, host)| host.maintained_offset >= since && &*host.pool != SPARE);
        let own = own.filter(|(_, host)| &*host.pool == pool);
        let own: Vec<Duration> = own
            .filter_map(|(name, _)| self.platform.machines[name].own)
            .collect();
        let total: Duration = own.iter().sum();
        let mean = total / u32::try_from(own.len()).ok().filter(|count| *count > 0)?;
        Some(mean * service.hosts / self.plan.batch.min(service.hosts - service.promised))
    }
}
