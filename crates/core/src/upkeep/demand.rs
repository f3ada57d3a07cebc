//! Demand of the services for processor time, and a forecast of its growth.
//!
//! Load pattern: the services peak one after another. All peaks have about the same size, and demand rises
//! to a peak faster than hosts can be moved.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids;
use crate::journal::Load;
use crate::map::Map;

/// Window over which the growth of demand is measured.
const GROWTH_WINDOW: Duration = Duration::from_millis(1_200);
/// Time for which the growth is extrapolated: a host whose move begins now runs tasks by then.
const FORECAST_TIME: Duration = Duration::from_millis(2_200);
/// Rise of demand within the growth window, in percent of the highest demand seen, that counts as the start
/// of a peak: more than a single large job between two peaks.
const PEAK_START_PERCENT: u128 = 25;

/// `Demand` is the recent demand of the services.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Samples of each service within the growth window, in millicores.
    samples: Map<ids::Service, VecDeque<(Instant, u64)>>,
    /// Highest demand that any service had, in millicores.
    peak: u64,
}

impl Demand {
    /// Adds a sample from the load that a leader reported.
    pub(super) fn add_sample(&mut self, now: Instant, load: &Load) {
        let samples = self.samples.entry(load.service.clone()).or_default();
        samples.push_back((now, short_running_demand(load)));
        self.peak = self.peak.max(short_running_demand(load));
        while samples.len() > 1 && now.saturating_duration_since(samples[1].0) >= GROWTH_WINDOW {
            samples.pop_front();
        }
    }

    /// Forecasts the growth of a service's demand until a host whose move begins now runs tasks, in millicores.
    pub(super) fn growth(&self, service: &ids::Service) -> u64 {
        let samples = self.samples.get(service);
        let window = samples.and_then(|samples| samples.front().zip(samples.back()));
        let Some(((first_at, first), (last_at, last))) = window else {
            return 0;
        };
        let elapsed_ms = last_at.saturating_duration_since(*first_at).as_millis();
        let increase = u128::from(last.saturating_sub(*first));
        let growth =
            increase * FORECAST_TIME.as_millis() / elapsed_ms.max(GROWTH_WINDOW.as_millis() / 2);
        let growth = u64::try_from(growth).unwrap_or(u64::MAX);
        // Once a peak has begun, demand reaches the height of earlier peaks sooner than hosts can be moved.
        let has_peak_begun = increase * 100 >= u128::from(self.peak) * PEAK_START_PERCENT;
        let rise_to_peak = if has_peak_begun {
            self.peak.saturating_sub(*last)
        } else {
            0
        };
        growth.max(rise_to_peak)
    }
}

/// Returns the demand of the tasks of a service that are not long-running, in millicores.
pub(super) fn short_running_demand(load: &Load) -> u64 {
    load.used.max(load.arrival_rate)
}
