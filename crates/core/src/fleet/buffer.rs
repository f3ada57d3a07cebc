//! The buffer: hosts kept so that the promises hold through waves and failures.

use super::View;
use crate::ids;
use crate::record::Phase;

/// `Need` is what one service asks of the buffer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Need {
    /// Service that asks.
    pub service: ids::Service,
    /// Hosts that it promises.
    pub promised: u32,
    /// Hosts that a wave may take out at once.
    pub wave: u32,
    /// Hosts in its largest failure domain.
    pub domain: u32,
    /// Hosts that the forecast of failures may be wrong by.
    pub error: u32,
    /// Hosts that the sheet gives its pools.
    pub target: u32,
}

impl Need {
    /// Gets the hosts with which the promise holds through a wave, a failure of the largest domain
    /// and an error of the forecast at once.
    #[must_use]
    pub fn wanted(&self) -> u32 {
        self.promised + self.wave + self.domain + self.error
    }

    /// Gets the hosts that the service lacks in its own pools.
    #[must_use]
    pub fn lacking(&self) -> u32 {
        self.wanted().saturating_sub(self.target)
    }
}

/// `Buffer` is the size of the spare pool with the needs that it is made of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Buffer {
    /// Needs of the services in the order of their names.
    pub needs: Vec<Need>,
    /// Hosts wanted in the spare pool that all services share.
    pub shared: u32,
    /// Hosts that one buffer for each service would take.
    pub separate: u32,
    /// Hosts in the spare pool now.
    pub spare: u32,
}

/// Sizes the buffer for the promises, waves and hosts of a view.
///
/// One wave at a time and one failure domain at a time draw on the spare pool, so it holds the
/// largest need and not their sum; the forecast error counts for the whole fleet, once.
#[must_use]
pub fn buffer(view: &View, repair_percent: u32) -> Buffer {
    let mut services: Vec<&ids::Service> = view.budgets.keys().collect();
    services.sort();
    let need = |service: &ids::Service| need(view, service, repair_percent);
    let needs: Vec<Need> = services.into_iter().map(need).collect();
    let largest = needs
        .iter()
        .map(|need| need.lacking() - need.error.min(need.lacking()));
    let largest = largest.max().unwrap_or(0);
    let hosts = u32::try_from(view.hosts.len()).unwrap_or(u32::MAX);
    Buffer {
        shared: largest + error(hosts, repair_percent),
        separate: needs.iter().map(Need::lacking).sum(),
        spare: view.serving_in(&crate::state::SPARE.into()),
        needs,
    }
}

fn need(view: &View, service: &ids::Service, repair_percent: u32) -> Need {
    let pools = || view.pools_of(service);
    let target = pools().filter_map(|pool| view.pools.get(pool));
    let target = target.map(|pool| pool.target).sum();
    let waves = view.waves.values().filter(|wave| {
        let open = matches!(wave.phase, Phase::Paused | Phase::Running);
        open && pools().any(|pool| *pool == wave.pool)
    });
    Need {
        service: service.clone(),
        promised: view.promised(service),
        wave: waves.map(|wave| wave.batch).max().unwrap_or(0),
        domain: view.largest_rack(service),
        error: error(target, repair_percent),
        target,
    }
}

fn error(hosts: u32, repair_percent: u32) -> u32 {
    hosts.saturating_mul(repair_percent).div_ceil(100)
}
