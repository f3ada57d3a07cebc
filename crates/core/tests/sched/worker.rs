//! A simulated worker that follows the platform's specification and has its own clock.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytestring::ByteString;
use persimmongate_core::ids;
use persimmongate_core::job::Task;
use persimmongate_core::sched::{
    Answer, Call, Cause, Command, Exit, Inventory, Report, Resources, Status,
};

/// Time that a worker takes to stop a run.
const STOP_DURATION: Duration = Duration::from_millis(300);

/// Time that a long-running task takes until it works.
const STARTUP_DURATION: Duration = Duration::from_millis(500);

/// `Active` is a run in progress on a simulated worker.
#[derive(Clone, Debug)]
pub(crate) struct Active {
    pub(crate) run: ids::Run,
    pub(crate) resources: Resources,
    pub(crate) started_at: Instant,
    /// Time and status of its exit; `None` for a long-running task.
    pub(crate) exit: Option<(Instant, Cause)>,
    pub(crate) stop_requested_at: Option<Instant>,
}

impl Active {
    /// Checks if the task has started up and is not being stopped.
    pub(crate) fn is_working(&self, now: Instant) -> bool {
        self.stop_requested_at.is_none() && now - self.started_at >= STARTUP_DURATION
    }
}

/// `Worker` is a simulated worker; a restart loses all of its state.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) report: Report,
    pub(crate) is_up: bool,
    pub(crate) is_reachable: bool,
    started_at: Instant,
    /// Rate of its clock, in parts per thousand of real time.
    clock_rate: u64,
    pub(crate) token: ids::Term,
    lease_expiry_ms: u64,
    pub(crate) runs: BTreeMap<Task, Active>,
    /// Highest run of each task that ended or was stopped on the worker.
    highest_runs: BTreeMap<Task, ids::Run>,
    pub(crate) exits: Vec<Exit>,
    /// Times of the exits, by sequence number.
    exit_times: BTreeMap<u64, Instant>,
    last_sequence: u64,
    /// Response time that its tasks report.
    pub(crate) reported_latency_ms: u64,
    /// Saved progress that its tasks report; empty if they save none.
    pub(crate) reported_checkpoint: ByteString,
    /// Paces that it received, in percent.
    pub(crate) received_paces: Vec<u32>,
    /// Latest time at which its lease was expired.
    lease_expired_at: Option<Instant>,
}

/// `ExitReport` is an exit: its sequence number, task, run and status.
pub(crate) type ExitReport = (u64, Task, ids::Run, Cause);

impl Worker {
    pub(crate) fn new(report: Report, started_at: Instant, clock_rate: u64) -> Self {
        Self {
            report,
            is_up: true,
            is_reachable: true,
            started_at,
            clock_rate,
            token: 0,
            lease_expiry_ms: 0,
            runs: BTreeMap::new(),
            highest_runs: BTreeMap::new(),
            exits: Vec::new(),
            exit_times: BTreeMap::new(),
            last_sequence: 0,
            reported_latency_ms: 0,
            reported_checkpoint: ByteString::new(),
            received_paces: Vec::new(),
            lease_expired_at: None,
        }
    }

    /// Restarts the worker under the same id.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.report.started_at_ms +=
            1 + u64::try_from((now - self.started_at).as_millis()).unwrap();
        *self = Self::new(self.report.clone(), now, self.clock_rate);
    }

    /// Returns the time on its own clock.
    fn clock_ms(&self, now: Instant) -> u64 {
        u64::try_from((now - self.started_at).as_millis()).unwrap() * self.clock_rate / 1_000
            + 5_000
    }

    pub(crate) fn used(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used.cpu_millicores += run.resources.cpu_millicores;
            used.memory_mb += run.resources.memory_mb;
        }
        used
    }

    /// Ends the runs that are due, and returns their exits.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<ExitReport> {
        let is_lease_expired = self.clock_ms(now) > self.lease_expiry_ms;
        if is_lease_expired {
            self.lease_expired_at = Some(now);
        }
        let mut exits = Vec::new();
        for (task, run) in &self.runs {
            let is_stopped = run
                .stop_requested_at
                .is_some_and(|at| at + STOP_DURATION <= now);
            let status = match run.exit {
                Some((at, status)) if at <= now => Some(status),
                _ if is_lease_expired => Some(Cause::Expired),
                _ if is_stopped => Some(Cause::Interrupted),
                _ => None,
            };
            exits.extend(status.map(|status| (task.clone(), run.run, status)));
        }
        let mut reports = Vec::new();
        for (task, run, status) in exits {
            self.runs.remove(&task);
            self.last_sequence += 1;
            self.highest_runs.insert(task.clone(), run);
            self.exit_times.insert(self.last_sequence, now);
            self.exits.push(Exit {
                sequence: self.last_sequence,
                task: task.clone(),
                run,
                status,
                checkpoint: ByteString::new(),
            });
            reports.push((self.last_sequence, task, run, status));
        }
        reports
    }

    /// Answers a poll, and returns the exits that it acknowledged.
    pub(crate) fn poll(
        &mut self,
        now: Instant,
        token: ids::Term,
        acknowledged_through: u64,
        lease_expiry_ms: Option<u64>,
    ) -> (Result<Inventory, Answer>, Vec<ExitReport>) {
        if token < self.token {
            return (Err(Answer::Fenced), Vec::new());
        }
        self.token = token;
        self.lease_expiry_ms = self.lease_expiry_ms.max(lease_expiry_ms.unwrap_or(0));
        let mut acknowledged = Vec::new();
        for exit in &self.exits {
            // An exit counts as acknowledged unless the lease has expired since.
            let at = self.exit_times.get(&exit.sequence);
            let is_valid = at.is_some_and(|at| {
                self.lease_expired_at
                    .is_none_or(|expired_at| expired_at < *at)
            });
            if exit.sequence <= acknowledged_through && is_valid {
                acknowledged.push((exit.sequence, exit.task.clone(), exit.run, exit.status));
            }
        }
        self.exits
            .retain(|exit| exit.sequence > acknowledged_through);
        let status_of = |(task, run): (&Task, &Active)| Status {
            task: task.clone(),
            run: run.run,
            checkpoint: self.reported_checkpoint.clone(),
            percent: match run.exit {
                None if now - run.started_at < STARTUP_DURATION => 50,
                None => 100,
                Some((exit_at, _)) => {
                    let duration = (exit_at - run.started_at).as_millis().max(1);
                    u32::try_from((now - run.started_at).as_millis() * 100 / duration).unwrap()
                }
            },
            measurement: self.reported_latency_ms,
        };
        let inventory = Inventory {
            started_at_ms: self.report.started_at_ms,
            clock_ms: self.clock_ms(now),
            running: self.runs.iter().map(status_of).collect(),
            exits: self.exits.clone(),
        };
        (Ok(inventory), acknowledged)
    }

    /// Carries out a command, and returns its result and whether a run started.
    pub(crate) fn call(
        &mut self,
        now: Instant,
        call: &Call,
        create_run: impl FnOnce() -> Active,
    ) -> (Answer, bool) {
        if call.token < self.token {
            return (Answer::Fenced, false);
        }
        self.token = call.token;
        match &call.command {
            Command::Start {
                lease_expiry_ms, ..
            } => {
                if *lease_expiry_ms < self.clock_ms(now) {
                    return (Answer::Late, false);
                }
                self.lease_expiry_ms = self.lease_expiry_ms.max(*lease_expiry_ms);
                if self
                    .runs
                    .get(&call.task)
                    .is_some_and(|run| run.run == call.run)
                {
                    return (Answer::Done, false);
                }
                if self
                    .highest_runs
                    .get(&call.task)
                    .is_some_and(|run| *run >= call.run)
                {
                    return (Answer::Old, false);
                }
                self.runs.insert(call.task.clone(), create_run());
                (Answer::Done, true)
            }
            Command::Stop => {
                let highest_run = self.highest_runs.entry(call.task.clone()).or_default();
                *highest_run = (*highest_run).max(call.run);
                if let Some(run) = self.runs.get_mut(&call.task)
                    && run.run <= call.run
                {
                    run.stop_requested_at.get_or_insert(now);
                }
                (Answer::Done, false)
            }
            Command::Pace(percent) => {
                self.received_paces.push(*percent);
                (Answer::Done, false)
            }
        }
    }
}
