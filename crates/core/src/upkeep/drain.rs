//! Drains of workers, before their hosts are maintained or moved.

use std::time::{Duration, Instant};

use super::event::{Action, Operation};
use super::planner::Planner;
use crate::ids;
use crate::journal::Drain;
use crate::map::Set;

/// Time after which a drain for a move is canceled, as the demand has changed by then.
const MOVE_DRAIN_TIMEOUT: Duration = Duration::from_secs(9);
/// Time after which a drain for maintenance is canceled. It is longer than for a move, as long-running
/// tasks are moved one by one.
const MAINTENANCE_DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// The same for a host with long-running tasks: all such hosts of a pool are drained at once, and of a step one or two
/// tasks move at a time.
const MIGRATION_DRAIN_TIMEOUT: Duration = Duration::from_secs(40);
/// Time after which a withdrawal that the log does not hold is repeated: longer than its append is retried.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which the host list may still name the worker of a host that was maintained or moved, as the
/// list keeps a worker for several heartbeats.
const DEPARTED_RETENTION: Duration = Duration::from_secs(12);

impl Planner {
    /// Cancels transitions whose drain takes too long or whose worker was replaced.
    pub(super) fn cancel_stale(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let hosts = &self.hosts;
        let mut stale = Vec::new();
        for (host, transition) in &self.transitions {
            let worker = hosts.get(host).and_then(|host| host.worker.clone());
            let is_replaced = transition
                .drain
                .as_ref()
                .is_some_and(|(known, _)| worker.as_ref() != Some(known));
            let timeout = match transition.operation {
                Operation::Maintain(_) if transition.is_migration() => MIGRATION_DRAIN_TIMEOUT,
                Operation::Maintain(_) => MAINTENANCE_DRAIN_TIMEOUT,
                Operation::Move(_) => MOVE_DRAIN_TIMEOUT,
            };
            let is_overdue = !transition.is_drained
                && now.saturating_duration_since(transition.started_at) > timeout;
            if !transition.has_command_in_flight
                && !transition.is_outcome_unknown
                && (is_replaced || is_overdue)
            {
                stale.push((host.clone(), is_overdue));
            }
        }
        for (host, is_overdue) in stale {
            if is_overdue {
                self.setbacks.insert(host.clone(), now);
            }
            self.cancel_transition(now, &host, actions);
        }
    }

    /// Withdraws drains that belong to no transition.
    pub(super) fn withdraw_orphaned_drains(&mut self, now: Instant, actions: &mut Vec<Action>) {
        // A new leader adopts the drains of its predecessor, which needs the host list.
        if self.hosts.is_empty() {
            return;
        }
        self.departed.retain(|_, departed_at| {
            now.saturating_duration_since(*departed_at) < DEPARTED_RETENTION
        });
        let transitions = self.transitions.values();
        let leaving = transitions.filter_map(|transition| transition.drain.as_ref());
        let leaving: Set<&ids::Worker> = leaving.map(|(worker, _)| worker).collect();
        let is_needed =
            |worker: &ids::Worker| self.departed.contains_key(worker) || leaving.contains(worker);
        let orphans = self.drains.iter().filter(|(worker, _)| !is_needed(worker));
        let orphans: Vec<(ids::Worker, Drain)> = orphans
            .map(|(worker, drain)| (worker.clone(), drain.clone()))
            .collect();
        for (worker, drain) in orphans {
            self.withdraw_drain(now, worker, drain, actions);
        }
    }

    fn withdraw_drain(
        &mut self,
        now: Instant,
        worker: ids::Worker,
        drain: Drain,
        actions: &mut Vec<Action>,
    ) {
        self.drains.remove(&worker);
        self.withdrawals
            .insert(worker.clone(), (drain.clone(), now));
        actions.push(Action::Undrain(worker, drain));
    }

    /// Withdraws drains again whose withdrawal the log does not hold yet.
    pub(super) fn repeat_withdrawals(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let drains = &self.drains;
        self.withdrawals
            .retain(|worker, _| !drains.contains_key(worker));
        for (worker, (drain, withdrawn_at)) in &mut self.withdrawals {
            if now.saturating_duration_since(*withdrawn_at) >= WITHDRAWAL_TIMEOUT {
                *withdrawn_at = now;
                actions.push(Action::Undrain(worker.clone(), drain.clone()));
            }
        }
    }

    /// Handles the record that withdraws the drain of a worker, which may run tasks again.
    pub(super) fn note_withdrawn_drain(&mut self, worker: &ids::Worker) {
        self.drains.remove(worker);
        self.withdrawals.remove(worker);
        for transition in self
            .transitions
            .values_mut()
            .filter(|transition| !transition.has_command_in_flight)
        {
            let is_own = transition
                .drain
                .as_ref()
                .is_some_and(|(known, _)| known == worker);
            transition.is_drained &= !is_own;
        }
    }

    /// Requests drains again that the log no longer has, as an earlier withdrawal may have taken effect
    /// late.
    pub(super) fn repeat_drains(&mut self, actions: &mut Vec<Action>) {
        let unfinished = self
            .transitions
            .values()
            .filter(|transition| !transition.is_drained);
        let missing = unfinished
            .filter_map(|transition| transition.drain.clone())
            .filter(|(worker, _)| !self.drains.contains_key(worker));
        for (worker, drain) in missing.collect::<Vec<_>>() {
            self.drains.insert(worker.clone(), drain.clone());
            actions.push(Action::Drain(worker, drain));
        }
    }

    /// Cancels the transition of a host and withdraws the drain of its worker.
    pub(super) fn cancel_transition(
        &mut self,
        now: Instant,
        host: &ids::Host,
        actions: &mut Vec<Action>,
    ) {
        if let Some(transition) = self.transitions.remove(host)
            && let Some((worker, drain)) = transition.drain
        {
            self.withdraw_drain(now, worker, drain, actions);
        }
    }
}
