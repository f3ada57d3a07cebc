//! Maintenance waves: which hosts to take out of service, and when.

use std::time::Instant;

use super::event::{Action, Operation};
use super::host::{Host, State};
use super::planner::Planner;
use super::transition::Transition;
use super::wave::Rollout;
use crate::ids;
use crate::map::{Map, Set};

/// `Cost` is the cost of taking a host out of service; its values are the demand on the pool in percent of
/// its processor time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Cost {
    /// Its worker has a drain already, of an earlier leader.
    Adopted,
    /// The host runs long-running tasks, whose move would end too late if it began later.
    Due,
    /// The host is in the spare pool.
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
    /// Hosts with long-running tasks take longest, as their tasks move a few at a time, so some of each service are
    /// drained from the start on. Of the others, hosts without cost go as soon as the wave's limit of hosts down at once
    /// permits, the rest spread over the part of its time limit within which it is planned to end.
    pub(super) fn plan_waves(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut planned: Vec<(ids::Host, Operation)> = Vec::new();
        let usage = self.usage();
        for rollout in &self.rollouts {
            let number = rollout.wave.number;
            let own = Operation::Maintain(number);
            let of_wave = |transition: &&Transition| transition.operation == own;
            let in_progress: Vec<&Transition> = self.transitions.values().filter(of_wave).collect();
            let down = rollout.wave.hosts.iter();
            let down = down.filter(|host| self.down_since.contains_key(*host));
            let mut candidates = self.wave_candidates(rollout, &usage);
            let concurrency = rollout.concurrency(now, candidates.len() + in_progress.len());
            // Drains of hosts with long-running tasks take long, so the others don't wait for them.
            let mut migrating = in_progress.iter().filter(|t| t.is_migration()).count();
            let mut others = in_progress.len() - migrating + down.count();
            self.promote_migrations(now, rollout, &in_progress, &mut candidates);
            candidates.sort_by_key(|(cost, host)| {
                let setback = self.setbacks.get(&host.name);
                (setback.copied(), *cost, host.name.clone())
            });
            for (cost, host) in candidates {
                let (taken, limit) = match cost {
                    Cost::Adopted | Cost::None => (others, rollout.wave.max_down),
                    Cost::Idle(_) | Cost::ShortRunning(_) => (others, concurrency),
                    Cost::Due | Cost::Migrating(_) => (migrating + others, concurrency),
                };
                if taken >= limit {
                    continue;
                }
                match cost {
                    Cost::Due | Cost::Migrating(_) => migrating += 1,
                    Cost::Adopted | Cost::None | Cost::Idle(_) | Cost::ShortRunning(_) => {
                        others += 1;
                    }
                }
                planned.push((host.name.clone(), own.clone()));
            }
        }
        for (host, operation) in planned {
            self.start_transition(now, &host, operation, actions);
        }
    }

    /// Marks some hosts with long-running tasks of each service as those that are drained first.
    fn promote_migrations(
        &self,
        now: Instant,
        rollout: &Rollout,
        in_progress: &[&Transition],
        candidates: &mut [(Cost, &Host)],
    ) {
        let mut started: Map<&ids::Service, usize> = Map::default();
        for transition in in_progress.iter().filter(|other| other.is_migration()) {
            if let Some((_, drain)) = &transition.drain {
                *started.entry(&drain.service).or_default() += 1;
            }
        }
        let mut remaining = started.clone();
        let is_migration = |cost: &Cost| matches!(cost, Cost::Migrating(_));
        for (_, host) in candidates.iter().filter(|(cost, _)| is_migration(cost)) {
            *remaining.entry(&host.service).or_default() += 1;
        }
        let migrations = candidates.iter_mut();
        for (cost, host) in migrations.filter(|(cost, _)| is_migration(cost)) {
            let started = started.entry(&host.service).or_default();
            let remaining = remaining.get(&host.service).copied().unwrap_or(0);
            if !self.setbacks.contains_key(&host.name)
                && *started < rollout.migrations(now, remaining)
            {
                *started += 1;
                *cost = Cost::Due;
            }
        }
    }

    /// Returns the hosts of a wave that may be drained now, with what that costs.
    fn wave_candidates(
        &self,
        rollout: &Rollout,
        usage: &Map<&ids::Worker, u64>,
    ) -> Vec<(Cost, &Host)> {
        let hosts = rollout.wave.hosts.iter();
        let open = hosts.filter(|host| {
            !rollout.maintained.contains(*host) && !self.transitions.contains_key(*host)
        });
        open.filter_map(|host| self.hosts.get(host))
            // The host list may still show a host where it was before its move.
            .filter(|host| host.state == State::Up && !self.balance.is_moving(&host.name))
            .map(|host| (self.cost(host, usage), host))
            .collect()
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
        if self.is_spare(&host.service) {
            return Cost::None;
        }
        if host.worker.as_ref().is_some_and(has_drain) {
            return Cost::Adopted;
        }
        let used = host.worker.as_ref().and_then(|worker| usage.get(worker));
        // There is no entry for a worker with long-running tasks or of a service without a load report.
        match used {
            Some(0) => Cost::Idle(self.demand_percent(&host.service)),
            Some(_) => Cost::ShortRunning(self.demand_percent(&host.service)),
            None => Cost::Migrating(self.demand_percent(&host.service)),
        }
    }

    /// Checks if a host of a wave was not maintained yet.
    pub(super) fn awaits_maintenance(&self, host: &ids::Host) -> bool {
        let mut rollouts = self.rollouts.iter();
        rollouts.any(|rollout| rollout.is_open(host))
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
