//! Planned maintenance and moves of hosts: their start, and their commands to the host service.

use std::time::Instant;

use super::event::{Action, Command, Operation};
use super::planner::Planner;
use crate::ids;
use crate::journal::Drain;
use crate::map::{Map, Set};

/// `Occupancy` is what ran on a worker when its drain was planned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Occupancy {
    /// Long-running tasks, which must move to other workers.
    LongRunning,
    /// Only tasks that end by themselves, or none.
    ShortRunning,
}

/// `Transition` is a planned maintenance or move of a host.
#[derive(Clone, Debug)]
pub(super) struct Transition {
    pub(super) operation: Operation,
    /// Position among the transitions of the term, in the order in which they were planned.
    pub(super) number: u64,
    /// Worker to drain, with its drain; `None` for a host without a worker.
    pub(super) drain: Option<(ids::Worker, Drain)>,
    pub(super) is_drained: bool,
    pub(super) occupancy: Occupancy,
    pub(super) started_at: Instant,
    pub(super) has_command_in_flight: bool,
    /// Time before which no further command is sent.
    pub(super) not_before: Instant,
    /// Whether a command without an answer may have been carried out.
    pub(super) is_outcome_unknown: bool,
}

impl Transition {
    /// Checks if long-running tasks have to move to other workers.
    pub(super) fn is_migration(&self) -> bool {
        self.occupancy == Occupancy::LongRunning
    }
}

impl Planner {
    pub(super) fn start_transition(
        &mut self,
        now: Instant,
        host: &ids::Host,
        operation: Operation,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.hosts.get(host) else {
            return;
        };
        let is_spare = self.is_spare(&entry.service);
        let is_short_running = entry.worker.as_ref().is_none_or(|worker| {
            let load = self.loads.get(&entry.service);
            let mut workers = load
                .map_or(&[][..], |load| &load.short_running_workers)
                .iter();
            is_spare || workers.any(|(other, _)| other == worker)
        });
        let occupancy = if is_short_running {
            Occupancy::ShortRunning
        } else {
            Occupancy::LongRunning
        };
        let worker = entry.worker.clone().filter(|_| !is_spare);
        let drain = worker.map(|worker| {
            let drain = Drain {
                host: host.clone(),
                service: entry.service.clone(),
            };
            (worker, drain)
        });
        if let Some((worker, drain)) = &drain {
            self.drains.insert(worker.clone(), drain.clone());
            actions.push(Action::Drain(worker.clone(), drain.clone()));
        }
        self.transition_count += 1;
        let transition = Transition {
            operation,
            number: self.transition_count,
            is_drained: drain.is_none(),
            occupancy,
            drain,
            started_at: now,
            has_command_in_flight: false,
            not_before: now,
            is_outcome_unknown: false,
        };
        self.transitions.insert(host.clone(), transition);
    }

    /// Sends commands for hosts whose workers are drained, the oldest transition first.
    pub(super) fn send_commands(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut ready: Vec<(u64, ids::Host)> = Vec::new();
        for (host, transition) in &self.transitions {
            if transition.is_drained
                && !transition.has_command_in_flight
                && transition.not_before <= now
            {
                ready.push((transition.number, host.clone()));
            }
        }
        ready.sort();
        let mut down_hosts: Map<ids::WaveNumber, Set<ids::Host>> = Map::default();
        for (_, host) in ready {
            let Some(transition) = self.transitions.get(&host) else {
                continue;
            };
            if let Operation::Maintain(number) = transition.operation {
                let down = down_hosts
                    .entry(number)
                    .or_insert_with(|| self.down_hosts(number));
                if now < self.maintains_from || !self.may_go_down(number, &host, down) {
                    continue;
                }
                down.insert(host.clone());
            }
            let command = Command {
                host: host.clone(),
                operation: transition.operation.clone(),
                holder: self.node.clone(),
                fencing_token: self.term,
            };
            if let Some(transition) = self.transitions.get_mut(&host) {
                transition.has_command_in_flight = true;
            }
            actions.push(Action::CallHostService(command));
        }
    }
}
