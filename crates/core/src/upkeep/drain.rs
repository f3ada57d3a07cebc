//! Drains: workers that are freed of tasks before their hosts are told to go.

use std::time::{Duration, Instant};

use super::event::{Action, Operation};
use super::planner::{Planner, Task};
use crate::ids;
use crate::journal::Drain;

/// Time after which a drain for a move is given up: by then the demand has changed.
const MOVE_DRAIN_MAX: Duration = Duration::from_secs(9);
/// Time after which a drain for maintenance is given up: lasting tasks leave one by one.
const MAINTAIN_DRAIN_MAX: Duration = Duration::from_secs(20);
/// Time after its host was told to go in which the list may still name a worker: its entry stays for
/// some heartbeats.
const UNLISTED: Duration = Duration::from_secs(12);

impl Planner {
    /// Gives up drains that nobody waits for, or whose worker is gone.
    pub(super) fn drop_stale(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let hosts = &self.hosts;
        let mut stale = Vec::new();
        for (host, task) in &self.tasks {
            let worker = hosts.get(host).and_then(|host| host.worker.clone());
            let other = task
                .drain
                .as_ref()
                .is_some_and(|(known, _)| worker.as_ref() != Some(known));
            let most = match task.kind {
                Operation::Maintain(_) => MAINTAIN_DRAIN_MAX,
                Operation::Move(_) => MOVE_DRAIN_MAX,
            };
            let slow = !task.vacated && now.saturating_duration_since(task.since) > most;
            if !task.sent && !task.doubtful && (other || slow) {
                stale.push(host.clone());
            }
        }
        for host in stale {
            self.drop_task(&host, actions);
        }
    }

    /// Gives workers back that nobody wants drained any more.
    pub(super) fn drop_orphans(&mut self, now: Instant, actions: &mut Vec<Action>) {
        // A new leader takes on what an older one drained, once it knows the hosts.
        if self.hosts.is_empty() {
            return;
        }
        self.ended
            .retain(|_, at| now.saturating_duration_since(*at) < UNLISTED);
        let wanted = |worker: &ids::Worker| {
            let task = |task: &Task| {
                task.drain
                    .as_ref()
                    .is_some_and(|(known, _)| known == worker)
            };
            self.ended.contains_key(worker) || self.tasks.values().any(task)
        };
        let orphans = self.drains.iter().filter(|(worker, _)| !wanted(worker));
        let orphans: Vec<(ids::Worker, Drain)> = orphans
            .map(|(worker, drain)| (worker.clone(), drain.clone()))
            .collect();
        for (worker, drain) in orphans {
            self.drains.remove(&worker);
            actions.push(Action::Undrain(worker, drain));
        }
    }

    /// Notes that the log has no drain of a worker any more: it may run tasks again.
    pub(super) fn note_undrained(&mut self, worker: &ids::Worker) {
        self.drains.remove(worker);
        for task in self.tasks.values_mut().filter(|task| !task.sent) {
            let own = task
                .drain
                .as_ref()
                .is_some_and(|(known, _)| known == worker);
            task.vacated &= !own;
        }
    }

    /// Asks again for drains that the log has lost sight of: an older command to give the worker back
    /// may have taken effect late.
    pub(super) fn repeat_drains(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.tasks.values().filter(|task| !task.vacated);
        let lost = waiting
            .filter_map(|task| task.drain.clone())
            .filter(|(worker, _)| !self.drains.contains_key(worker));
        for (worker, drain) in lost.collect::<Vec<_>>() {
            self.drains.insert(worker.clone(), drain.clone());
            actions.push(Action::Drain(worker, drain));
        }
    }

    /// Gives up what was planned for a host, and gives its worker back.
    pub(super) fn drop_task(&mut self, host: &ids::Host, actions: &mut Vec<Action>) {
        if let Some(task) = self.tasks.remove(host)
            && let Some((worker, drain)) = task.drain
        {
            self.drains.remove(&worker);
            actions.push(Action::Undrain(worker, drain));
        }
    }
}
