//! Changes that the simulation makes to workers and leaders.

use std::time::Duration;

use persimmongate_core::job::Task;
use persimmongate_core::sched::Event;

use super::check::SHRINK_NOTICE;
use super::{Activity, World};

/// Time that a worker takes to crash under a task that crashes it.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time after which a worker that crashed runs again.
const CRASH_DURATION: Duration = Duration::from_secs(3);
/// Time after a crash at which the host list shows it.
const HOST_LIST_LAG: Duration = Duration::from_millis(400);

impl World {
    /// Schedules the crash of a worker that has started a task which crashes workers.
    pub(super) fn crash_if_deadly(&mut self, name: &str, task: &Task) {
        if task.index > 0 || !self.crashing_jobs.contains(&task.job) {
            return;
        }
        let starts = self.crashing_starts.entry(task.clone()).or_default();
        *starts += 1;
        // Three crashes may show that the task is their cause, and two more starts may be on their way.
        if *starts > 5 {
            let violation = format!("{task:?} starts for the {starts}th time and crashes {name}");
            self.violations.push(violation);
        }
        self.schedule(self.now + CRASH_DELAY, Activity::Crash(name.to_owned()));
    }

    /// Crashes a worker, which runs again some seconds later.
    pub(crate) fn crash(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).unwrap();
        if !std::mem::replace(&mut worker.is_up, false) {
            return;
        }
        self.vacated.insert(name.to_owned());
        self.schedule(self.now + HOST_LIST_LAG, Activity::HostList);
        self.schedule(
            self.now + CRASH_DURATION,
            Activity::Restart(name.to_owned()),
        );
    }

    /// Changes the processor time that a worker has, which its next report shows to the newest leader.
    pub(crate) fn resize(&mut self, name: &str, cpu_millicores: u64) {
        let now = self.now;
        let capacity = &mut self.workers.get_mut(name).unwrap().report.capacity;
        if cpu_millicores < capacity.cpu_millicores {
            let known = self.shrunk.get(name);
            let known = known.filter(|(at, _)| now - *at < SHRINK_NOTICE);
            if known.is_none() {
                self.shrunk.insert(name.to_owned(), (now, *capacity));
            }
        } else {
            self.shrunk.remove(name);
        }
        capacity.cpu_millicores = cpu_millicores;
        self.set_listed(name, true);
    }

    /// Lets the newest leader handle a tick and then the events that waited.
    pub(crate) fn resume_leader(&mut self) {
        let leader = self.leaders.len() - 1;
        let backlog = self.leaders[leader].backlog.take().unwrap_or_default();
        for event in std::iter::once(Event::Tick).chain(backlog) {
            self.deliver(leader, event);
        }
    }

    /// Reports to the newest leader that a worker is listed, with its current entry, or no longer listed.
    pub(crate) fn set_listed(&mut self, name: &str, is_listed: bool) {
        let report = self.workers[name].report.clone();
        let leader = self.leaders.len() - 1;
        let event = if is_listed {
            Event::Listed(report)
        } else {
            Event::Unlisted(report.worker)
        };
        self.deliver(leader, event);
    }
}
