//! Operators, who apply sheets and control waves through a fleet instance.

use persimmongate_core::ids;
use persimmongate_core::record::{Body, Command};
use persimmongate_core::sheet::Intent;
use rand::RngExt;

use super::caller::SERVICES;
use super::run::World;

/// Commands that operators send to waves.
const COMMANDS: [Command; 3] = [Command::Abort, Command::Pause, Command::Resume];

impl World {
    /// Applies a random sheet on top of the revision that a fleet instance has replayed.
    pub(crate) fn apply_sheet(&mut self, index: usize) {
        let base_revision = self.fleets[index].follower.state.revision;
        let mut intents = Vec::new();
        for service in SERVICES {
            intents.push(Intent::Pool {
                name: service.into(),
                service: Some(service.into()),
                hosts: self.rng.random_range(5..10),
            });
            intents.push(Intent::Budget {
                service: service.into(),
                hosts: self.rng.random_range(2..6),
            });
        }
        let pool = SERVICES[self.rng.random_range(0..SERVICES.len())];
        intents.push(Intent::Wave {
            name: format!("wave-{}", self.step).into(),
            pool: pool.into(),
            batch: self.rng.random_range(1..4),
        });
        let body = Body::Sheet {
            base_revision,
            operator: "operator".into(),
            intents,
        };
        self.fleets[index].follower.enqueue(body, None);
    }

    /// Sends a random command to the last wave by name that a fleet instance has replayed.
    pub(crate) fn command_wave(&mut self, index: usize) {
        let state = &self.fleets[index].follower.state;
        let mut waves: Vec<ids::Wave> = state.waves.keys().cloned().collect();
        waves.sort();
        let Some(wave) = waves.pop() else {
            return;
        };
        let command = COMMANDS[self.rng.random_range(0..COMMANDS.len())];
        let body = Body::Command {
            wave,
            command,
            operator: "operator".into(),
        };
        self.fleets[index].follower.enqueue(body, None);
    }
}
