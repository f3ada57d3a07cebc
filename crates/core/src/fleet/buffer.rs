//! Size of the spare pool, which keeps the availability budgets through waves and failures.

use serde::Serialize;

use super::View;
use crate::ids;
use crate::record::Phase;

/// `Need` is the number of hosts that one service needs from the spare pool, with the summands that give it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Need {
    /// Service that needs the hosts.
    pub service: ids::Service,
    /// Availability budget: serving hosts that the service must keep.
    #[serde(rename = "promised")]
    pub budget: u32,
    /// Largest number of hosts that an unfinished wave may take out of service at once.
    #[serde(rename = "wave")]
    pub wave_batch: u32,
    /// Serving hosts of the service in the rack that has the most of them.
    #[serde(rename = "domain")]
    pub largest_rack: u32,
    /// Error of the failure forecast, in hosts.
    #[serde(rename = "error")]
    pub forecast_error: u32,
    /// Hosts that the sheet assigns to the pools of the service.
    #[serde(rename = "target")]
    pub target_hosts: u32,
}

impl Need {
    /// Returns the number of hosts that keep the budget through a wave, the loss of the largest rack and an
    /// error of the forecast at once.
    #[must_use]
    pub fn required_hosts(&self) -> u32 {
        self.budget + self.wave_batch + self.largest_rack + self.forecast_error
    }

    /// Returns the number of required hosts that the pools of the service do not have.
    #[must_use]
    pub fn deficit(&self) -> u32 {
        self.required_hosts().saturating_sub(self.target_hosts)
    }
}

/// `Buffer` is the required size of the spare pool, computed from the needs of the services.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Buffer {
    /// Needs of the services, in the order of their names.
    pub needs: Vec<Need>,
    /// Hosts required in a spare pool that all services share.
    #[serde(rename = "shared")]
    pub shared_hosts: u32,
    /// Hosts that a spare pool for each service would require in total.
    #[serde(rename = "separate")]
    pub separate_hosts: u32,
    /// Serving hosts in the spare pool now.
    #[serde(rename = "spare")]
    pub spare_hosts: u32,
}

/// Computes the size of the spare pool from the budgets, waves and hosts of a view.
///
/// Only one wave and one lost rack at a time draw on the spare pool, so it needs the largest of the
/// deficits and not their sum. The forecast error is counted once, for the whole fleet.
///
/// `repair_percent` is the share of hosts that are expected to be under repair.
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
        shared_hosts: largest + forecast_error(hosts, repair_percent),
        separate_hosts: needs.iter().map(Need::deficit).sum(),
        spare_hosts: view.serving_in(&crate::state::SPARE.into()),
        needs,
    }
}

fn need(view: &View, service: &ids::Service, repair_percent: u32) -> Need {
    let pools = || view.pools_of(service);
    let target = pools().filter_map(|pool| view.pools.get(pool));
    let target = target.map(|pool| pool.target).sum();
    let open_waves = view.waves.values().filter(|wave| {
        let is_open = matches!(wave.phase, Phase::Paused | Phase::Running);
        is_open && pools().any(|pool| *pool == wave.pool)
    });
    Need {
        service: service.clone(),
        budget: view.budget(service),
        wave_batch: open_waves.map(|wave| wave.batch).max().unwrap_or(0),
        largest_rack: view.largest_rack_size(service),
        forecast_error: forecast_error(target, repair_percent),
        target_hosts: target,
    }
}

fn forecast_error(hosts: u32, repair_percent: u32) -> u32 {
    hosts.saturating_mul(repair_percent).div_ceil(100)
}
