//! The buffer: hosts kept so that the promises hold through waves and failures.

use serde::Serialize;

use super::View;
use crate::ids;
use crate::record::Phase;

/// `Need` is what one service asks of the buffer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Need {
    /// Service that asks.
    pub service: ids::Service,
    /// Hosts that it promises.
    #[serde(rename = "promised")]
    pub budget: u32,
    /// Hosts that a wave may take out at once.
    #[serde(rename = "wave")]
    pub wave_batch: u32,
    /// Hosts in its largest failure domain.
    #[serde(rename = "domain")]
    pub largest_domain: u32,
    /// Hosts that the forecast of failures may be wrong by.
    #[serde(rename = "error")]
    pub forecast_error: u32,
    /// Hosts that the sheet gives its pools.
    #[serde(rename = "target")]
    pub target_hosts: u32,
}

impl Need {
    /// Gets the hosts with which the promise holds through a wave, a failure of the largest domain
    /// and an error of the forecast at once.
    #[must_use]
    pub fn required_hosts(&self) -> u32 {
        self.budget + self.wave_batch + self.largest_domain + self.forecast_error
    }

    /// Gets the hosts that the service lacks in its own pools.
    #[must_use]
    pub fn deficit(&self) -> u32 {
        self.required_hosts().saturating_sub(self.target_hosts)
    }
}

/// `Buffer` is the size of the spare pool with the needs that it is made of.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Buffer {
    /// Needs of the services in the order of their names.
    pub needs: Vec<Need>,
    /// Hosts wanted in the spare pool that all services share.
    #[serde(rename = "shared")]
    pub shared_hosts: u32,
    /// Hosts that one buffer for each service would take.
    #[serde(rename = "separate")]
    pub separate_hosts: u32,
    /// Hosts in the spare pool now.
    #[serde(rename = "spare")]
    pub spare_hosts: u32,
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
        .map(|need| need.deficit() - need.forecast_error.min(need.deficit()));
    let largest = largest.max().unwrap_or(0);
    let hosts = u32::try_from(view.hosts.len()).unwrap_or(u32::MAX);
    Buffer {
        shared_hosts: largest + error(hosts, repair_percent),
        separate_hosts: needs.iter().map(Need::deficit).sum(),
        spare_hosts: view.serving_in(&crate::state::SPARE.into()),
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
        budget: view.budget(service),
        wave_batch: waves.map(|wave| wave.batch).max().unwrap_or(0),
        largest_domain: view.largest_rack_size(service),
        forecast_error: error(target, repair_percent),
        target_hosts: target,
    }
}

fn error(hosts: u32, repair_percent: u32) -> u32 {
    hosts.saturating_mul(repair_percent).div_ceil(100)
}
