//! Maintenance waves: which hosts to take out of service, and when.

use std::time::Instant;

use super::event::{Action, Operation};
use super::host::{Host, State};
use super::planner::Planner;
use super::wave::Rollout;
use crate::ids;
use crate::map::{Map, Set};

/// `Cost` is the cost of taking a host out of service; its values are the demand on the pool in percent of
/// its processor time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Cost {
    /// The host is in the spare pool, or its worker has a drain already.
    None,
    /// The host runs no task.
    Idle(u64),
    /// The host runs only tasks that end by themselves.
    ShortRunning(u64),
    /// The host runs long-running tasks, which must move to other hosts.
    Migrating(u64),
}

impl Planner {
    /// Reports to operators which waves began or completed.
    pub(super) fn report_waves(&mut self, actions: &mut Vec<Action>) {
        let has_hosts = !self.hosts.is_empty();
        for rollout in &mut self.rollouts {
            let is_open = |host: &&ids::Host| {
                !rollout.maintained.contains(*host) && self.hosts.contains_key(*host)
            };
            let is_complete = has_hosts && !rollout.wave.hosts.iter().any(|host| is_open(&host));
            if rollout.reported_complete.is_none()
                || (rollout.reported_complete == Some(false) && is_complete)
            {
                rollout.reported_complete = Some(is_complete);
                actions.push(Action::ReportWave(rollout.wave.number, is_complete));
            }
        }
    }

    /// Starts to drain the next hosts of each wave.
    ///
    /// Hosts without cost go as soon as the wave's limit of hosts down at once permits, the others spread
    /// over the part of its time limit within which it is planned to end.
    pub(super) fn plan_waves(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut planned: Vec<(ids::Host, Operation)> = Vec::new();
        let usage = self.usage();
        for rollout in &self.rollouts {
            let number = rollout.wave.number;
            let in_progress = self
                .transitions
                .values()
                .filter(|transition| transition.operation == Operation::Maintain(number))
                .count();
            let down = rollout
                .wave
                .hosts
                .iter()
                .filter(|host| self.down_since.contains_key(*host))
                .count();
            let mut candidates: Vec<(Cost, &Host)> = rollout
                .wave
                .hosts
                .iter()
                .filter(|host| {
                    !rollout.maintained.contains(*host) && !self.transitions.contains_key(*host)
                })
                .filter_map(|host| self.hosts.get(host))
                // The host list may still show a host where it was before its move.
                .filter(|host| host.state == State::Up && !self.balance.is_moving(&host.name))
                .map(|host| (self.cost(host, &usage), host))
                .collect();
            candidates.sort_by_key(|(cost, host)| {
                let setback = self.setbacks.get(&host.name);
                (setback.copied(), *cost, host.name.clone())
            });
            let concurrency = rollout.concurrency(now, candidates.len() + in_progress);
            for (taken, (cost, host)) in (in_progress + down..).zip(candidates) {
                let limit = if cost == Cost::None {
                    rollout.wave.max_down
                } else {
                    concurrency
                };
                if taken >= limit {
                    break;
                }
                planned.push((host.name.clone(), Operation::Maintain(number)));
            }
        }
        for (host, operation) in planned {
            self.start_transition(now, &host, operation, actions);
        }
    }

    /// Returns the processor time in use of the workers without long-running tasks, in millicores.
    fn usage(&self) -> Map<&ids::Worker, u64> {
        let workers = self.loads.values();
        let workers = workers.flat_map(|load| &load.short_running_workers);
        workers.map(|(worker, used)| (worker, *used)).collect()
    }

    /// Returns the cost of taking a host out of service now.
    fn cost(&self, host: &Host, usage: &Map<&ids::Worker, u64>) -> Cost {
        let has_drain = |worker| self.drains.contains_key(worker);
        if self.is_spare(&host.service) || host.worker.as_ref().is_some_and(has_drain) {
            return Cost::None;
        }
        let used = host.worker.as_ref().and_then(|worker| usage.get(worker));
        // There is no entry for a worker with long-running tasks or of a service without a load report.
        match used {
            Some(0) => Cost::Idle(self.demand_percent(&host.service)),
            Some(_) => Cost::ShortRunning(self.demand_percent(&host.service)),
            None => Cost::Migrating(self.demand_percent(&host.service)),
        }
    }

    /// Returns the hosts of a wave that are down or have a command in flight.
    pub(super) fn down_hosts(&self, number: ids::WaveNumber) -> Set<ids::Host> {
        let has_command = |host: &ids::Host| {
            self.transitions
                .get(host)
                .is_some_and(|transition| transition.has_command_in_flight)
        };
        let hosts = self.rollout(number).into_iter();
        let hosts = hosts.flat_map(|rollout| &rollout.wave.hosts);
        hosts
            .filter(|host| has_command(host) || self.down_since.contains_key(*host))
            .cloned()
            .collect()
    }

    /// Checks if a host of a wave may go down, beside those that are down, without exceeding the wave's limit.
    pub(super) fn may_go_down(
        &self,
        number: ids::WaveNumber,
        host: &ids::Host,
        down: &Set<ids::Host>,
    ) -> bool {
        let others_down = down.len() - usize::from(down.contains(host));
        self.rollout(number)
            .is_some_and(|rollout| others_down < rollout.wave.max_down)
    }

    fn rollout(&self, number: ids::WaveNumber) -> Option<&Rollout> {
        let mut rollouts = self.rollouts.iter();
        rollouts.find(|rollout| rollout.wave.number == number)
    }

    /// Records that the maintenance of a host began.
    pub(super) fn record_maintenance(
        &mut self,
        now: Instant,
        host: &ids::Host,
        number: ids::WaveNumber,
        actions: &mut Vec<Action>,
    ) {
        self.down_since.insert(host.clone(), now);
        if let Some(entry) = self.hosts.get_mut(host) {
            entry.state = State::Maintenance;
        }
        if let Some(rollout) = self
            .rollouts
            .iter_mut()
            .find(|rollout| rollout.wave.number == number)
        {
            rollout.maintained.insert(host.clone());
            actions.push(Action::RecordMaintained(
                number,
                rollout.maintained.iter().cloned().collect(),
            ));
        }
    }
}
