//! Invariants of the simulation.

use std::time::Duration;

use persimmongate_core::ids;
use persimmongate_core::job::Task;
use persimmongate_core::sched::{Call, Cause, Command};

use super::{ATTEMPTS, World};

/// Time after which a capacity that has shrunk must be respected.
pub(super) const SHRINK_NOTICE: Duration = Duration::from_secs(4);

impl World {
    /// Checks that a stop leaves enough tasks of a long-running step at work.
    pub(super) fn check_stop(&mut self, name: &str, call: &Call) {
        let job = &self.jobs[&call.task.job];
        let away = self
            .availability
            .observe_stop(self.now, call, name, &self.workers, job);
        if let Some(away) = away
            && !self.canceled.contains(&call.task.job)
        {
            let at = self.now - self.started_at;
            self.violations.push(format!(
                "{at:?}: {:?} is stopped on {name} while {away} others of its step are away",
                call.task
            ));
        }
    }

    /// Checks the invariants of a start.
    pub(super) fn check_start(&mut self, name: &str, call: &Call) {
        let task = &call.task;
        let mut violations = Vec::new();
        for (other, worker) in &self.workers {
            if other != name && worker.is_up && worker.runs.contains_key(task) {
                violations.push("runs twice");
            }
        }
        let worker = &self.workers[name];
        let notice = self.shrunk.get(name);
        let notice = notice.filter(|(at, _)| self.now - *at < SHRINK_NOTICE);
        let capacity = notice.map_or(worker.report.capacity, |(_, before)| *before);
        if !capacity.covers(worker.used()) {
            violations.push("starts without free resources");
        }
        let job = &self.jobs[&task.job];
        for dependency in &job.steps[task.step as usize].dependencies {
            for index in 0..job.steps[*dependency as usize].count {
                let required = Task {
                    step: *dependency,
                    index,
                    ..task.clone()
                };
                if !self.done.contains(&required) {
                    violations.push("starts before an earlier step is done");
                }
            }
        }
        let is_start = matches!(call.command, Command::Start { .. });
        let violations = violations.into_iter().filter(|_| is_start);
        let at = self.now - self.started_at;
        let messages = violations
            .map(|violation| format!("{at:?}: {task:?} run {} on {name} {violation}", call.run));
        self.violations.extend(messages);
        if !job.steps[task.step as usize].is_long_running {
            let earlier_exits = self
                .exits
                .iter()
                .filter(|(known, ..)| known == task)
                .cloned()
                .collect();
            let start = format!("{at:?}: {task:?} run {} on {name}", call.run);
            self.task_starts.push((start, earlier_exits));
        }
    }

    /// Returns the violations, including those that show only once all exits are known: an exit
    /// counts if it was acknowledged, whether before or after the start.
    pub(crate) fn violations_found(&self) -> Vec<String> {
        let mut found = self.violations.clone();
        for (start, earlier_exits) in &self.task_starts {
            let count = |done: bool| {
                let exits = earlier_exits
                    .iter()
                    .filter(|exit| exit.2 == done && self.acknowledged.contains(*exit));
                exits.count()
            };
            if count(true) > 0 {
                found.push(format!("{start} starts after it was done"));
            }
            if count(false) >= ATTEMPTS as usize {
                found.push(format!("{start} starts after all attempts failed"));
            }
        }
        found
    }

    /// Checks that an acknowledged exit is in the log.
    pub(super) fn check_acknowledged(&mut self, task: &Task, run: ids::Run, status: Cause) {
        let entry = self.index.get(&task.job).cloned().unwrap_or_default();
        let is_long_running = self.jobs[&task.job].steps[task.step as usize].is_long_running;
        let has_ended = self.canceled.contains(&task.job) || entry.progress.outcome.is_some();
        let is_recorded = match status {
            Cause::Done => entry.progress.is_done(task),
            Cause::Failed => entry.progress.failure_count(task) > 0 || entry.progress.is_done(task),
            Cause::Expired | Cause::Interrupted => true,
        };
        if !is_recorded && !is_long_running && !has_ended {
            let at = self.now - self.started_at;
            self.violations.push(format!(
                "{at:?}: exit of {task:?} run {run} is not in the log"
            ));
        }
        if matches!(status, Cause::Done | Cause::Failed) && !is_long_running {
            self.acknowledged
                .insert((task.clone(), run, status == Cause::Done));
        }
    }
}
