//! Demand of the services for processor time, and a forecast of its growth.
//!
//! Load pattern: the services peak one after another. All peaks have about the same size, and demand rises
//! to a peak faster than hosts can be moved. Jobs are few and large, so that the work that arrives in one second
//! is a third or twice that of the second before at the same demand.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids;
use crate::journal::Load;
use crate::map::Map;

/// Window over which the growth of demand is measured.
const GROWTH_WINDOW: Duration = Duration::from_millis(1_200);
/// Window over which the work that arrives is averaged for the height of a peak: most of a short peak. Work that
/// arrives faster for a second waits about as long as callers grant beyond the run time of a job.
const LEVEL_WINDOW: Duration = Duration::from_secs(4);
/// Time for which the growth is extrapolated: a host whose move begins now runs tasks by then.
const FORECAST_TIME: Duration = Duration::from_millis(2_200);
/// Rise of demand within the growth window, in percent of the highest demand seen, that counts as the start
/// of a peak: more than a single large job between two peaks.
const PEAK_START_PERCENT: u128 = 25;

/// `Sample` is the demand of a service at a time, in millicores.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    /// Processor time in use.
    used: u64,
    /// Work that arrived in the second before.
    arrived: u64,
}

impl Sample {
    fn demand(&self) -> u64 {
        self.used.max(self.arrived)
    }
}

/// `Demand` is the recent demand of the services.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Samples of each service within the longest window.
    samples: Map<ids::Service, VecDeque<Sample>>,
    /// Highest level that any service had, in millicores.
    peak: u64,
}

impl Demand {
    /// Adds a sample from the load that a leader reported.
    pub(super) fn add_sample(&mut self, now: Instant, load: &Load) {
        let samples = self.samples.entry(load.service.clone()).or_default();
        samples.push_back(Sample {
            at: now,
            used: load.used,
            arrived: load.arrival_rate,
        });
        while samples.len() > 1 && now.saturating_duration_since(samples[1].at) >= LEVEL_WINDOW {
            samples.pop_front();
        }
        self.peak = self.peak.max(self.level(&load.service));
    }

    /// Returns the demand of a service, in millicores: what its tasks use, or the work that arrives on average if
    /// that is more.
    pub(super) fn level(&self, service: &ids::Service) -> u64 {
        let samples = self.samples.get(service);
        let used = samples.and_then(VecDeque::back).map_or(0, |last| last.used);
        used.max(self.arriving(service))
    }

    /// Returns the work that arrives for a service in a second, averaged over `LEVEL_WINDOW`, in millicores.
    pub(super) fn arriving(&self, service: &ids::Service) -> u64 {
        self.average(service, LEVEL_WINDOW)
    }

    /// Returns the work that arrives for a service in a second, averaged over `GROWTH_WINDOW`, in millicores.
    pub(super) fn arriving_now(&self, service: &ids::Service) -> u64 {
        self.average(service, GROWTH_WINDOW)
    }

    fn average(&self, service: &ids::Service, window: Duration) -> u64 {
        let samples = self.samples.get(service);
        let Some(last) = samples.and_then(VecDeque::back) else {
            return 0;
        };
        let recent = samples.into_iter().flatten().rev();
        let is_recent = |sample: &&Sample| last.at.saturating_duration_since(sample.at) < window;
        let (mut sum, mut count) = (0_u128, 0_u128);
        for sample in recent.take_while(is_recent) {
            sum += u128::from(sample.arrived);
            count += 1;
        }
        u64::try_from(sum / count.max(1)).unwrap_or(u64::MAX)
    }

    /// Forecasts the growth of a service's demand until a host whose move begins now runs tasks, in millicores.
    pub(super) fn growth(&self, service: &ids::Service) -> u64 {
        let Some(last) = self.samples.get(service).and_then(VecDeque::back) else {
            return 0;
        };
        let mut samples = self.samples.get(service).into_iter().flatten().rev();
        let is_old =
            |sample: &Sample| last.at.saturating_duration_since(sample.at) >= GROWTH_WINDOW;
        let oldest = samples.find(|sample| is_old(sample));
        let first = oldest.or_else(|| self.samples.get(service)?.front());
        let Some(first) = first else {
            return 0;
        };
        let elapsed_ms = last.at.saturating_duration_since(first.at).as_millis();
        let increase = u128::from(last.demand().saturating_sub(first.demand()));
        let growth =
            increase * FORECAST_TIME.as_millis() / elapsed_ms.max(GROWTH_WINDOW.as_millis() / 2);
        let growth = u64::try_from(growth).unwrap_or(u64::MAX);
        // Once a peak has begun, demand reaches the height of earlier peaks sooner than hosts can be moved.
        let has_peak_begun = increase * 100 >= u128::from(self.peak) * PEAK_START_PERCENT;
        let rise_to_peak = if has_peak_begun {
            self.peak.saturating_sub(last.demand())
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
