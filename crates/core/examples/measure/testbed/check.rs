//! Checks and results of a run.

use std::time::{Duration, Instant};

use persimmongate_core::fleet::buffer;
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::Body;
use persimmongate_core::state::SPARE;

use super::{Policy, STEP, Service, World, wave_name};

impl World {
    /// Adds up the time for which services have fewer serving hosts than their budgets require.
    ///
    /// A shortfall is a violation if hosts are in maintenance while at most one rack of the pool's
    /// hosts has failed.
    pub(super) fn check_budgets(&mut self) {
        let mut serving: Map<&str, u32> = Map::default();
        let mut in_maintenance: Map<&str, u32> = Map::default();
        let mut failed: Map<&str, u32> = Map::default();
        let mut rack_sizes: Map<(&str, &str), u32> = Map::default();
        for (name, host) in &self.log.state.hosts {
            let pool = &*host.pool;
            *rack_sizes.entry((pool, &*host.rack)).or_default() += 1;
            let counts = if host.wave().is_some() {
                &mut in_maintenance
            } else if host.is_serving() && self.platform.is_serving(name) {
                &mut serving
            } else {
                &mut failed
            };
            *counts.entry(pool).or_default() += 1;
        }
        let count_in = |counts: &Map<&str, u32>, service: &Service| {
            counts.get(service.name).copied().unwrap_or(0)
        };
        for service in &self.plan.services {
            if count_in(&serving, service) >= service.required_hosts {
                continue;
            }
            self.outcome.shortfall_s += STEP.as_secs_f64();
            let pool_racks = rack_sizes
                .iter()
                .filter(|((pool, _), _)| *pool == service.name);
            let largest_rack = pool_racks.map(|(_, count)| *count).max().unwrap_or(0);
            if count_in(&in_maintenance, service) > 0 && count_in(&failed, service) <= largest_rack
            {
                self.outcome.violation_s += STEP.as_secs_f64();
            }
        }
    }

    /// Records when another instance claims the pool of a lost holder and when it drains first.
    pub(super) fn check_takeover(
        &mut self,
        lost_at: Instant,
        first_record: usize,
        lost_holder: &ids::Instance,
    ) {
        let Some((pool, _)) = self.plan.waves.first() else {
            return;
        };
        let pool_state = self.log.state.pools.get(*pool);
        let Some(new_holder) = pool_state.and_then(|pool| pool.holder.clone()) else {
            return;
        };
        if new_holder == *lost_holder
            || self
                .outcome
                .takeover
                .is_some_and(|(_, act_delay)| !act_delay.is_zero())
        {
            return;
        }
        let delay = self.now - lost_at;
        let has_acted = self.log.records[first_record..].iter().any(|record| {
            record.author == new_holder && matches!(&record.body, Body::Drain { .. })
        });
        let claim_delay = *self.claim_delay.get_or_insert(delay);
        if has_acted {
            self.outcome.takeover = Some((claim_delay, delay));
        }
    }

    /// Computes the results at the end of a run.
    pub(super) fn compute_outcome(&mut self, first_record: usize) {
        let drains = self.log.records[first_record..].iter();
        let drains = drains.filter(|record| matches!(record.body, Body::Drain { .. }));
        self.outcome.drained_hosts = drains.count();
        let views_match = self.processes.iter().all(|process| {
            let view = process.manager.view();
            let hosts = self.log.state.hosts.iter();
            let mut host_matches = hosts.map(|(name, host)| view.hosts.get(name) == Some(host));
            let indexed_hosts: usize = view
                .pool_index
                .values()
                .map(|index| index.names.len())
                .sum();
            host_matches.all(|is_equal| is_equal) && indexed_hosts == self.log.state.hosts.len()
        });
        let uses_baseline = matches!(self.plan.policy, Policy::Fixed(_));
        self.outcome.is_consistent = (views_match || uses_baseline) && self.log.is_repeatable();
        if let Some(process) = self.processes.first() {
            let buffer = buffer(process.manager.view(), self.plan.options.repair_percent);
            self.outcome.buffer_hosts = (buffer.shared_hosts, buffer.separate_hosts);
        }
        let waves = self.plan.waves.iter();
        let duration_bound = waves
            .filter_map(|(pool, _)| self.duration_bound(pool))
            .max();
        self.outcome.duration_bound = duration_bound.unwrap_or_default();
    }

    /// Returns the shortest time in which the budget allows the maintenance of a pool, given the
    /// mean time that the drain and reboot of a host took.
    fn duration_bound(&self, pool: &str) -> Option<Duration> {
        let mut services = self.plan.services.iter();
        let service = services.find(|service| service.name == pool)?;
        let sheet_offset = self.log.state.waves.get(&wave_name(pool))?.sheet_offset;
        let hosts = self.log.state.hosts.iter();
        let maintained = hosts
            .filter(|(_, host)| host.maintained_offset >= sheet_offset && &*host.pool != SPARE);
        let maintained = maintained.filter(|(_, host)| &*host.pool == pool);
        let maintenance_times: Vec<Duration> = maintained
            .filter_map(|(name, _)| self.platform.machines[name].maintenance_time)
            .collect();
        let total: Duration = maintenance_times.iter().sum();
        let mean = total
            / u32::try_from(maintenance_times.len())
                .ok()
                .filter(|count| *count > 0)?;
        Some(
            mean * service.host_count
                / self
                    .plan
                    .max_hosts_out
                    .min(service.host_count - service.required_hosts),
        )
    }
}
