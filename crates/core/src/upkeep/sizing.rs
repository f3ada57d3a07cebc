//! The number of hosts that each service has, requires and desires.

use std::time::Duration;

use super::demand::short_running_demand;
use super::event::Operation;
use super::host::State;
use super::planner::Planner;
use crate::ids;
use crate::journal::Load;
use crate::map::Map;

/// Time within which the work that waits now should be completed.
const BACKLOG_TARGET: Duration = Duration::from_millis(400);
/// Headroom above the measured demand, in percent of it, as jobs arrive unevenly.
const HEADROOM_PERCENT: u64 = 20;
/// Maximum number of hosts that a service gets for forecast growth, in percent of the fleet.
const MAX_GROWTH_PERCENT: usize = 50;
/// Hosts of a pool above those that its long-running tasks need, for the start of a peak.
const PEAK_RESERVE_HOSTS: usize = 3;
/// Share of the fleet that a pool has as such a reserve if this is more, as a divisor. Once the turns are foreseen, room
/// beside long-running tasks that are spread over many hosts is part of it.
const PEAK_RESERVE_DIVISOR: usize = 16;
/// Hosts above the minimum for its long-running tasks that a pool never lends.
const MIN_RETAINED_HOSTS: usize = 2;
/// Share of the fleet that a pool never lends if this is more, as a divisor, with the same exception.
const MIN_RETAINED_DIVISOR: usize = 24;
/// Most hosts that waiting work requires, in percent of those that the highest demand seen required. More would
/// arrive when the work is done.
const MAX_REQUIRED_PERCENT: u64 = 150;

/// `Pool` is the hosts of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pool {
    /// Hosts in the pool, with those moving to it and without those leaving it.
    host_count: usize,
    /// Processor time of its largest host, in millicores.
    host_cpu: u64,
}

/// `Sizing` is the number of hosts that a service has, requires and desires.
pub(super) struct Sizing {
    pub(super) service: ids::Service,
    /// Hosts in its pool, with those moving to it and without those leaving it.
    pub(super) host_count: usize,
    /// Hosts that its current work requires.
    pub(super) required: usize,
    /// Required hosts, or more if the reserve for a peak asks for it.
    pub(super) reserved: usize,
    /// Reserved hosts, or more if the demand with headroom and forecast growth asks for it.
    pub(super) desired: usize,
}

impl Planner {
    /// Counts the hosts of each pool, with those moving to it and without those leaving it.
    pub(super) fn pools(&self) -> Map<ids::Service, Pool> {
        let mut pools: Map<ids::Service, Pool> = Map::default();
        for host in self.hosts.values() {
            let size = &mut pools.entry(host.service.clone()).or_default().host_cpu;
            *size = (*size).max(host.resources.cpu_millicores);
            let target = match self.transitions.get(&host.name) {
                Some(transition) => match &transition.operation {
                    Operation::Move(service) => Some(service),
                    Operation::Maintain(_) => None,
                },
                None => match self.balance.moving.get(&host.name) {
                    Some((service, _)) => Some(service),
                    None => (host.state != State::Down).then_some(&host.service),
                },
            };
            if let Some(service) = target {
                pools.entry(service.clone()).or_default().host_count += 1;
            }
        }
        pools
    }

    /// Returns the host count of a pool and the hosts that its service requires and desires.
    pub(super) fn sizing(&self, service: &ids::Service, pools: &Map<ids::Service, Pool>) -> Sizing {
        let pool = pools.get(service).copied().unwrap_or_default();
        let host_count = pool.host_count;
        // A pool that the configuration doesn't have gets no hosts, whatever load is reported for it.
        let is_known = self.config.service(service).is_some();
        let Some(load) = self.loads.get(service).filter(|_| is_known) else {
            return Sizing {
                service: service.clone(),
                host_count,
                required: host_count,
                reserved: host_count,
                desired: host_count,
            };
        };
        let fleet_size = self.hosts.len();
        let host_cpu = match pool.host_cpu {
            0 => pools.values().map(|pool| pool.host_cpu).max().unwrap_or(1),
            host_cpu => host_cpu,
        };
        let hosts_for =
            |cpu: u64| usize::try_from(cpu.div_ceil(host_cpu.max(1))).unwrap_or(fleet_size);
        let with_headroom =
            |cpu: u64| cpu.saturating_add(cpu.saturating_mul(HEADROOM_PERCENT) / 100);
        let min_hosts = load.min_hosts as usize;
        let lasting_hosts = hosts_for(load.long_running);
        let history = &self.balance.history;
        // Until the turns are foreseen, their first seconds have nothing but the reserve.
        let spread_hosts = if history.turns.are_foreseen() {
            lasting_hosts
        } else {
            lasting_hosts.max(min_hosts)
        };
        let with_reserve = |hosts: usize, divisor: usize| {
            let share = spread_hosts.saturating_add(fleet_size / divisor);
            share.max(min_hosts + hosts)
        };
        let retained = with_reserve(MIN_RETAINED_HOSTS, MIN_RETAINED_DIVISOR);
        let reserve = with_reserve(PEAK_RESERVE_HOSTS, PEAK_RESERVE_DIVISOR);
        let peak = history.turns.peak().saturating_mul(MAX_REQUIRED_PERCENT) / 100;
        let most = load.long_running.saturating_add(peak.max(load.used));
        let required = hosts_for(current_demand(load).min(most));
        let required = required.max(retained).min(fleet_size);
        let reserved = required.max(reserve).min(fleet_size);
        let demand = history.forecast(load);
        let most_grown = host_cpu.saturating_mul(max_growth(fleet_size));
        let demand = demand.min(short_running_demand(load).saturating_add(most_grown));
        let upcoming = self.balance.upcoming.get(service).copied().unwrap_or(0);
        let demand = with_headroom(demand.max(upcoming));
        let desired = hosts_for(load.long_running.saturating_add(demand)).max(reserved);
        Sizing {
            service: service.clone(),
            host_count,
            required,
            reserved,
            desired: desired.min(fleet_size),
        }
    }
}

/// Returns the number of hosts that a service gets at most for forecast growth.
fn max_growth(fleet_size: usize) -> u64 {
    u64::try_from(fleet_size * MAX_GROWTH_PERCENT / 100).unwrap_or(u64::MAX)
}

/// Returns the processor time that the current and the waiting work of a service requires, in millicores.
fn current_demand(load: &Load) -> u64 {
    let backlog_target_ms = u64::try_from(BACKLOG_TARGET.as_millis()).unwrap_or(1);
    let backlog = load.backlog.saturating_mul(1_000) / backlog_target_ms;
    let running = load.long_running.saturating_add(load.used);
    running.saturating_add(backlog)
}
