//! How much the services ask for, and how much more they are going to.
//!
//! Load pattern: demand comes by turns of like size, and each grows faster than hosts move.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids;
use crate::journal::Load;
use crate::map::Map;

/// Time over which the growth of demand is seen.
const SEEN: Duration = Duration::from_millis(1_200);
/// Time for which demand is taken to grow on as it does: a host that is told to move is at work then.
const AHEAD: Duration = Duration::from_millis(2_200);
/// Share of the largest turn seen, in percent, by which demand must rise for a turn to have begun.
const TURN_PERCENT: u64 = 8;

/// `Demand` is what the services asked for lately.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Latest demands of each service, in thousandths of a core.
    latest: Map<ids::Service, VecDeque<(Instant, u64)>>,
    /// Largest demand of any service, in thousandths of a core.
    peak: u64,
}

impl Demand {
    /// Notes the demand that a leader tells of.
    pub(super) fn note(&mut self, now: Instant, load: &Load) {
        let latest = self.latest.entry(load.service.clone()).or_default();
        latest.push_back((now, asked(load)));
        self.peak = self.peak.max(asked(load));
        while latest.len() > 1 && now.saturating_duration_since(latest[1].0) >= SEEN {
            latest.pop_front();
        }
    }

    /// Gets by how much the demand of a service is going to grow while hosts move, in thousandths of a
    /// core.
    pub(super) fn growth(&self, service: &ids::Service) -> u64 {
        let latest = self.latest.get(service);
        let ends = latest.and_then(|latest| latest.front().zip(latest.back()));
        let Some(((from, before), (to, after))) = ends else {
            return 0;
        };
        let took = to.saturating_duration_since(*from).as_millis();
        let grown = u128::from(after.saturating_sub(*before));
        let growth = grown * AHEAD.as_millis() / took.max(SEEN.as_millis() / 2);
        let growth = u64::try_from(growth).unwrap_or(u64::MAX);
        // A turn that has begun grows to the size of earlier ones sooner than hosts move.
        let begun = after.saturating_sub(*before) * 100 >= self.peak * TURN_PERCENT;
        let rest = if begun {
            self.peak.saturating_sub(*after)
        } else {
            0
        };
        growth.max(rest)
    }
}

/// Gets the processor time that tasks which end ask of a service, in thousandths of a core.
pub(super) fn asked(load: &Load) -> u64 {
    load.used.max(load.offered_load)
}
