//! A worker as the platform's pages describe it, with a clock of its own.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytestring::ByteString;
use persimmongate_core::ids;
use persimmongate_core::job::Task;
use persimmongate_core::sched::{
    Answer, Call, Command, Completion, Exit, Inventory, Report, Resources, Status,
};

/// Time that a worker takes to stop a run.
const STOP: Duration = Duration::from_millis(300);

/// `Going` is a run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Going {
    pub(crate) run: ids::Run,
    pub(crate) room: Resources,
    pub(crate) since: Instant,
    /// Time at which it ends by itself, and how; nothing for a lasting task.
    pub(crate) end: Option<(Instant, Completion)>,
    pub(crate) stopping: Option<Instant>,
}

/// `Worker` is one host's worker; a new life forgets everything.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) report: Report,
    pub(crate) up: bool,
    pub(crate) reachable: bool,
    begin: Instant,
    /// Thousandths of its clock's speed.
    rate: u64,
    pub(crate) token: ids::Term,
    until: u64,
    pub(crate) runs: BTreeMap<Task, Going>,
    /// Highest run of each task that ended or was stopped here.
    closed: BTreeMap<Task, ids::Run>,
    pub(crate) ended: Vec<Exit>,
    /// Times of the ends, by number.
    times: BTreeMap<u64, Instant>,
    numbers: u64,
    /// Response time that its serving tasks show, in milliseconds.
    pub(crate) figure: u64,
    /// Shares that tasks were limited to.
    pub(crate) paces: Vec<u32>,
    /// Time at which its lease was last over.
    lapsed: Option<Instant>,
}

/// `Outcome` is how a run ended on a worker.
pub(crate) type Outcome = (u64, Task, ids::Run, Completion);

impl Worker {
    pub(crate) fn new(report: Report, begin: Instant, rate: u64) -> Self {
        Self {
            report,
            up: true,
            reachable: true,
            begin,
            rate,
            token: 0,
            until: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ended: Vec::new(),
            times: BTreeMap::new(),
            numbers: 0,
            figure: 0,
            paces: Vec::new(),
            lapsed: None,
        }
    }

    /// Starts a new life under the same name.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.report.started_at_ms += 1 + u64::try_from((now - self.begin).as_millis()).unwrap();
        *self = Self::new(self.report.clone(), now, self.rate);
    }

    fn clock(&self, now: Instant) -> u64 {
        u64::try_from((now - self.begin).as_millis()).unwrap() * self.rate / 1_000 + 5_000
    }

    pub(crate) fn used(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used.cpu_millicores += run.room.cpu_millicores;
            used.memory_mb += run.room.memory_mb;
        }
        used
    }

    /// Ends what is due; gets what ended.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<Outcome> {
        let lapsed = self.clock(now) > self.until;
        if lapsed {
            self.lapsed = Some(now);
        }
        let mut ended = Vec::new();
        for (task, run) in &self.runs {
            let stopped = run.stopping.is_some_and(|at| at + STOP <= now);
            let end = match run.end {
                Some((at, end)) if at <= now => Some(end),
                _ if stopped || lapsed => Some(Completion::Interrupted),
                _ => None,
            };
            ended.extend(end.map(|end| (task.clone(), run.run, end)));
        }
        let mut outcomes = Vec::new();
        for (task, run, end) in ended {
            self.runs.remove(&task);
            self.numbers += 1;
            self.closed.insert(task.clone(), run);
            self.times.insert(self.numbers, now);
            self.ended.push(Exit {
                sequence: self.numbers,
                task: task.clone(),
                run,
                status: end,
                checkpoint: ByteString::new(),
            });
            outcomes.push((self.numbers, task, run, end));
        }
        outcomes
    }

    /// Answers a question about its runs; gets the ends that were acknowledged.
    pub(crate) fn hold(
        &mut self,
        now: Instant,
        token: ids::Term,
        ack: u64,
        until: Option<u64>,
    ) -> (Result<Inventory, Answer>, Vec<Outcome>) {
        if token < self.token {
            return (Err(Answer::Fenced), Vec::new());
        }
        self.token = token;
        self.until = self.until.max(until.unwrap_or(0));
        let mut noted = Vec::new();
        for ending in &self.ended {
            // An end counts as taken note of unless the lease ran out since.
            let at = self.times.get(&ending.sequence);
            let stands = at.is_some_and(|at| self.lapsed.is_none_or(|lapsed| lapsed < *at));
            if ending.sequence <= ack && stands {
                noted.push((
                    ending.sequence,
                    ending.task.clone(),
                    ending.run,
                    ending.status,
                ));
            }
        }
        self.ended.retain(|ending| ending.sequence > ack);
        let row = |(task, run): (&Task, &Going)| Status {
            task: task.clone(),
            run: run.run,
            checkpoint: ByteString::new(),
            percent: match run.end {
                None => 100,
                Some((end, _)) => {
                    let whole = (end - run.since).as_millis().max(1);
                    u32::try_from((now - run.since).as_millis() * 100 / whole).unwrap()
                }
            },
            measurement: self.figure,
        };
        let listing = Inventory {
            started_at_ms: self.report.started_at_ms,
            clock_ms: self.clock(now),
            running: self.runs.iter().map(row).collect(),
            exits: self.ended.clone(),
        };
        (Ok(listing), noted)
    }

    /// Carries an order out; gets whether a run started.
    pub(crate) fn call(
        &mut self,
        now: Instant,
        call: &Call,
        going: impl FnOnce() -> Going,
    ) -> (Answer, bool) {
        if call.token < self.token {
            return (Answer::Fenced, false);
        }
        self.token = call.token;
        match &call.command {
            Command::Start {
                lease_expiry_ms: until,
                ..
            } => {
                if *until < self.clock(now) {
                    return (Answer::Late, false);
                }
                self.until = self.until.max(*until);
                if self
                    .runs
                    .get(&call.task)
                    .is_some_and(|run| run.run == call.run)
                {
                    return (Answer::Done, false);
                }
                if self
                    .closed
                    .get(&call.task)
                    .is_some_and(|run| *run >= call.run)
                {
                    return (Answer::Old, false);
                }
                self.runs.insert(call.task.clone(), going());
                (Answer::Done, true)
            }
            Command::Stop => {
                let closed = self.closed.entry(call.task.clone()).or_default();
                *closed = (*closed).max(call.run);
                if let Some(run) = self.runs.get_mut(&call.task)
                    && run.run <= call.run
                {
                    run.stopping.get_or_insert(now);
                }
                (Answer::Done, false)
            }
            Command::Pace(percent) => {
                self.paces.push(*percent);
                (Answer::Done, false)
            }
        }
    }
}
