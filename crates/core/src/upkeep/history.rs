//! What is remembered of the demand of the services, from which the hosts of the next peak are foreseen.
//!
//! Each process that may lead the fleet keeps it, so that a new leader foresees the next turn as its predecessor did.

use std::time::Instant;

use super::demand::{Demand, short_running_demand};
use super::turns::{Sample, Turns};
use crate::ids;
use crate::journal::Load;

/// `History` is the recent demand and the recent turns of the services.
#[derive(Clone, Debug, Default)]
pub struct History {
    demand: Demand,
    pub(super) turns: Turns,
}

impl History {
    /// Adds a sample from the load that a leader reported.
    pub fn add_sample(&mut self, now: Instant, load: &Load) {
        self.demand.add_sample(now, load);
        let sample = Sample {
            demand: short_running_demand(load),
            height: self.demand.arriving(&load.service),
            arrived: load.arrival_rate,
            arriving: self.demand.arriving_now(&load.service),
        };
        self.turns.add_sample(now, &load.service, &sample);
    }

    /// Forecasts the demand of a service when a host whose move begins now runs tasks, in millicores.
    ///
    /// In a turn it is the height that the turn is known to reach, whatever arrives from one second to the next.
    pub(super) fn forecast(&self, load: &Load) -> u64 {
        let service: &ids::Service = &load.service;
        let demand = short_running_demand(load);
        let height = self.turns.height(service);
        let expected = if self.turns.is_in_turn(service, load.arrival_rate) {
            let average = self.demand.arriving(service);
            load.used.max(average).max(height)
        } else {
            demand
        };
        // A single large job between two turns is no reason to expect more.
        if !self.turns.is_start(demand) {
            return expected;
        }
        let grown = demand.saturating_add(self.demand.growth(service));
        let limit = if height == 0 { u64::MAX } else { height };
        expected.max(grown.min(limit))
    }
}
