//! Simulation of workers, a log and successive leaders, with checks of invariants.

mod check;
mod disturbance;
mod fixture;
mod transport;
mod units;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmongate_core::account::Directory;
use persimmongate_core::ids;
use persimmongate_core::job::{Job, Outcome, Progress, Schedule, Step, Task};
use persimmongate_core::journal::{Index, Record};
use persimmongate_core::limit;
use persimmongate_core::queue::Policy;
use persimmongate_core::sched::{
    Action, Cause, Event, Options, Query, Report, Resources, Scheduler, Ticket,
};
use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::availability::Ledger;
use crate::worker::Worker;
use fixture::config;
use transport::addressee;

pub(crate) use fixture::{LOW_PRIORITY_QUEUE, long_running, report, step};
pub(crate) use units::accounts;

/// Time for which a ticket is valid.
const TICKET_VALIDITY: Duration = Duration::from_secs(3);
/// Latency of a message in one direction.
const LATENCY: Duration = Duration::from_millis(2);
/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Failed runs after which a task fails.
pub(crate) const ATTEMPTS: u32 = 2;
/// Stands for the leader of a delayed call, whose answer nobody waits for any more.
const NO_LEADER: usize = usize::MAX;
/// Service of all workers.
pub(crate) const SERVICE: &str = "service";

/// `Faults` is the probabilities of faults, in parts per thousand.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Calls that are carried out but not answered.
    pub(crate) unanswered_calls: u32,
    /// Calls that are carried out seconds later and not answered.
    pub(crate) delayed_calls: u32,
    /// Starts whose run fails.
    pub(crate) failed_runs: u32,
    /// Polls whose answer is lost.
    pub(crate) lost_poll_answers: u32,
    /// Commands that are carried out but not answered.
    pub(crate) unanswered_commands: u32,
    /// Commands that are carried out seconds later and not answered.
    pub(crate) delayed_commands: u32,
}

/// `Activity` is a scheduled event of the simulation.
#[derive(Clone, Debug)]
enum Activity {
    /// A poll or command of a leader that arrives at its worker.
    Arrive(usize, Action),
    /// A call that the given incarnation of a worker carries out late.
    DelayedCall(Action, u64),
    /// An event that reaches a leader.
    Deliver(usize, Box<Event>),
    /// The end of the wait of a poll: worker, leader, time of the poll and incarnation of the worker.
    PollTimeout(String, usize, Instant, u64),
    Append(usize, Vec<Record>),
    Advance,
    /// The crash of a worker.
    Crash(String),
    /// The restart of a worker that crashed.
    Restart(String),
    HostList,
}

/// `Leader` is a process that leads, or has not noticed yet that it no longer does.
pub(crate) struct Leader {
    pub(crate) scheduler: Scheduler,
    pub(crate) term: ids::Term,
    /// Whether it can reach the log.
    pub(crate) is_log_reachable: bool,
    /// Whether its process runs.
    pub(crate) is_up: bool,
    /// Events that wait while its process gets no processor time; `None` while it gets some.
    pub(crate) backlog: Option<Vec<Event>>,
}

/// `TaskExit` is the exit of a run of a task, and whether the run was done.
type TaskExit = (Task, ids::Run, bool);

/// `World` is the state of the simulation, with its clock.
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) started_at: Instant,
    rng: SmallRng,
    pub(crate) faults: Faults,
    /// Options of the leaders that are elected from now on.
    pub(crate) options: Options,
    /// Times that a task takes away from its data as long as near it.
    pub(crate) remote_factor: u32,
    /// Share of its estimate that a task takes, in percent.
    pub(crate) run_percent: u32,
    activities: BTreeMap<(Instant, u64), Activity>,
    next_order: u64,
    pub(crate) leaders: Vec<Leader>,
    pub(crate) workers: BTreeMap<String, Worker>,
    /// Polls that wait for an exit, by worker: leader and the time at which the poll was sent.
    waiting_polls: BTreeMap<String, (usize, Instant)>,
    pub(crate) index: Index,
    pub(crate) jobs: BTreeMap<ids::Job, Arc<Job>>,
    canceled: BTreeSet<ids::Job>,
    offset: ids::Offset,
    /// Tasks that were done on a worker.
    done: BTreeSet<Task>,
    /// Acknowledged exits of runs that were done or failed.
    acknowledged: BTreeSet<TaskExit>,
    /// Exits of runs that were done or failed.
    exits: BTreeSet<TaskExit>,
    /// Starts, each with the earlier exits of its task.
    task_starts: Vec<(String, Vec<TaskExit>)>,
    /// Completed jobs of which the log keeps only a stub.
    pub(crate) stub_count: usize,
    /// Hosts on their way to the pool, with their processor time in millicores.
    pub(crate) arriving: Vec<(ids::Host, ids::Service, u64)>,
    /// Workers that the policy service permits; `None` if the queue uses no policy service.
    pub(crate) permitted_workers: Option<Vec<ids::Worker>>,
    /// Jobs about which the policy service does not answer in time.
    pub(crate) unanswered_jobs: BTreeSet<ids::Job>,
    /// Log lines about workers, recovery and idle tasks.
    pub(crate) lines: Vec<Action>,
    /// Workers that the worker list does not contain when a leader takes over.
    pub(crate) lapsed: BTreeSet<String>,
    /// Workers whose host is listed without them.
    pub(crate) vacated: BTreeSet<String>,
    /// Workers whose host is no longer listed.
    pub(crate) removed: BTreeSet<String>,
    /// Whether the host list is said to have all hosts.
    pub(crate) has_complete_hosts: bool,
    /// Leaders that can't reach a worker that others reach.
    pub(crate) cuts: BTreeSet<(usize, String)>,
    pub(crate) start_count: u64,
    /// Starts that leaders sent again.
    pub(crate) repeated_start_count: u64,
    /// Payloads of the starts that workers carried out.
    pub(crate) payloads_sent: Vec<String>,
    /// Jobs whose payloads were deleted.
    pub(crate) dropped_payloads: Vec<ids::Job>,
    /// Stops that leaders sent.
    pub(crate) stop_count: u64,
    /// Polls that were sent.
    pub(crate) poll_count: u64,
    pub(crate) violations: Vec<String>,
    availability: Ledger,
    /// Workers whose capacity has shrunk, with the time and the capacity before.
    shrunk: BTreeMap<String, (Instant, Resources)>,
    /// Number of the shard.
    pub(crate) shard: ids::Shard,
    /// Client accounts of the configuration.
    pub(crate) accounts: Directory,
    /// Units of the accounts' limits, replayed from the log.
    pub(crate) ledger: limit::Ledger,
    /// Records for the lender of the limits, each with the leader that sends them.
    pub(crate) outbox: Vec<(usize, Vec<Record>)>,
    /// Whether workers refuse the commands of older leaders.
    pub(crate) has_fencing: bool,
    /// Jobs whose first task crashes each worker that starts it.
    pub(crate) crashing_jobs: BTreeSet<ids::Job>,
    /// Starts of such tasks.
    pub(crate) crashing_starts: BTreeMap<Task, usize>,
}

impl World {
    pub(crate) fn new(workers: usize, seed: u64) -> Self {
        Self::with_accounts(0, workers, seed, Directory::default())
    }

    /// Creates the world of a shard with client accounts.
    pub(crate) fn with_accounts(
        shard: ids::Shard,
        workers: usize,
        seed: u64,
        accounts: Directory,
    ) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            started_at: now,
            rng: SmallRng::seed_from_u64(seed),
            faults: Faults::default(),
            options: Options::default(),
            remote_factor: 1,
            run_percent: 100,
            activities: BTreeMap::new(),
            next_order: 0,
            leaders: Vec::new(),
            workers: BTreeMap::new(),
            waiting_polls: BTreeMap::new(),
            index: Index::default(),
            jobs: BTreeMap::new(),
            canceled: BTreeSet::new(),
            offset: 0,
            done: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            exits: BTreeSet::new(),
            task_starts: Vec::new(),
            stub_count: 0,
            arriving: Vec::new(),
            permitted_workers: None,
            unanswered_jobs: BTreeSet::new(),
            lines: Vec::new(),
            lapsed: BTreeSet::new(),
            vacated: BTreeSet::new(),
            removed: BTreeSet::new(),
            has_complete_hosts: true,
            cuts: BTreeSet::new(),
            start_count: 0,
            repeated_start_count: 0,
            payloads_sent: Vec::new(),
            dropped_payloads: Vec::new(),
            stop_count: 0,
            poll_count: 0,
            violations: Vec::new(),
            availability: Ledger::default(),
            shrunk: BTreeMap::new(),
            shard,
            accounts,
            ledger: limit::Ledger::default(),
            outbox: Vec::new(),
            has_fencing: true,
            crashing_jobs: BTreeSet::new(),
            crashing_starts: BTreeMap::new(),
        };
        for number in 0..workers {
            let report = report(number);
            let rate = world.rng.random_range(980..=1_000);
            let worker = Worker::new(report, now, rate);
            world.workers.insert(format!("w{number}"), worker);
        }
        world.elect_leader();
        world.schedule(now, Activity::Advance);
        world
    }

    /// Starts a new leader; older leaders continue until they notice it.
    pub(crate) fn elect_leader(&mut self) -> usize {
        let term = self.offset + 1;
        self.offset += 1;
        let has_predecessor = !self.leaders.is_empty();
        let options = Options {
            shard: self.shard,
            ..self.options.clone()
        };
        let scheduler = Scheduler::new(options, term, has_predecessor, false, self.now);
        self.leaders.push(Leader {
            scheduler,
            term,
            is_log_reachable: true,
            is_up: true,
            backlog: None,
        });
        let leader = self.leaders.len() - 1;
        let policy_service = self.permitted_workers.as_ref().map(|_| Policy {
            base_latency: LATENCY,
            latency_per_worker: Duration::ZERO,
            validity: TICKET_VALIDITY,
        });
        let config = config(policy_service).with_accounts(self.accounts.clone());
        self.deliver(leader, Event::Config(Arc::new(config)));
        self.deliver_loans(leader);
        let jobs: Vec<_> = self
            .index
            .jobs()
            .map(|(job, entry)| (job.clone(), entry.clone()))
            .collect();
        for (job, entry) in jobs {
            let event = Event::Job {
                job,
                offset: entry.offset,
                progress: Box::new(entry.progress),
                is_canceled: entry.is_canceled,
            };
            self.deliver(leader, event);
        }
        let listed = self
            .workers
            .iter()
            .filter(|(name, _)| !self.lapsed.contains(*name));
        let reports: Vec<Report> = listed.map(|(_, w)| w.report.clone()).collect();
        for report in reports {
            self.deliver(leader, Event::Listed(report));
        }
        self.report_hosts();
        leader
    }

    /// Reports the host list to the newest leader.
    pub(crate) fn report_hosts(&mut self) {
        let listed = self
            .workers
            .iter()
            .filter(|(name, _)| !self.removed.contains(*name));
        let hosts = listed.map(|(name, worker)| {
            let id = worker.report.worker.clone();
            let hosted = (!self.vacated.contains(name)).then_some(id);
            (worker.report.host.clone().unwrap(), hosted)
        });
        let hosts = hosts.collect();
        let is_complete = self.has_complete_hosts;
        let event = Event::Hosts {
            hosts,
            arriving: self.arriving.clone(),
            is_complete,
        };
        self.deliver(self.leaders.len() - 1, event);
    }

    pub(crate) fn random(&mut self) -> &mut impl Rng {
        &mut self.rng
    }

    /// Submits a job.
    pub(crate) fn submit(&mut self, id: &str, steps: Vec<Step>) {
        self.submit_at(id, steps, None);
    }

    /// Submits a job, scheduled by an interval and a number of occurrences if given.
    pub(crate) fn submit_at(
        &mut self,
        id: &str,
        steps: Vec<Step>,
        schedule: Option<(Duration, u32)>,
    ) {
        let schedule = schedule.map(|(interval, times)| {
            let interval = u64::try_from(interval.as_millis()).unwrap();
            Schedule {
                first_due_ms: 1_000_000 + interval,
                interval_ms: interval,
                occurrences: times,
            }
        });
        self.accept(Job {
            id: id.into(),
            queue: "queue".into(),
            service: SERVICE.into(),
            account: None,
            payload: "text".into(),
            steps,
            schedule,
            accepted_at_ms: self.unix_ms(),
            has_detached_payload: false,
        });
    }

    /// Submits a job of a client account.
    pub(crate) fn submit_for(&mut self, account: &str, id: &str, steps: Vec<Step>) {
        self.submit_to("queue", account, id, steps);
    }

    /// Submits a job of a client account to a queue.
    pub(crate) fn submit_to(&mut self, queue: &str, account: &str, id: &str, steps: Vec<Step>) {
        self.accept(Job {
            id: id.into(),
            queue: queue.into(),
            service: SERVICE.into(),
            account: Some(account.into()),
            payload: "text".into(),
            steps,
            schedule: None,
            accepted_at_ms: self.unix_ms(),
            has_detached_payload: false,
        });
    }

    /// Returns the processor time that the tasks of jobs have whose ids start so, in millicores.
    pub(crate) fn running_cpu(&self, prefix: &str) -> u64 {
        let runs = self.workers.values().flat_map(|worker| worker.runs.keys());
        let runs = runs.filter(|task| task.job.starts_with(prefix));
        let cpu = |task: &Task| self.jobs[&task.job].steps[task.step as usize].cpu_millicores;
        runs.map(cpu).sum()
    }

    /// Submits a job whose payload is a record of its own.
    pub(crate) fn submit_detached(&mut self, id: &str, steps: Vec<Step>) {
        self.accept(Job {
            id: id.into(),
            queue: "queue".into(),
            service: SERVICE.into(),
            account: None,
            payload: "".into(),
            steps,
            schedule: None,
            accepted_at_ms: self.unix_ms(),
            has_detached_payload: true,
        });
    }

    pub(crate) fn accept(&mut self, job: Job) {
        let job = Arc::new(job);
        let offset = self.offset;
        self.offset += 1;
        self.index
            .apply(offset, &Record::Accepted(Box::new((*job).clone())));
        self.jobs.insert(job.id.clone(), job.clone());
        for leader in 0..self.leaders.len() {
            if self.is_current(leader) {
                let event = Event::Job {
                    job: job.clone(),
                    offset,
                    progress: Box::default(),
                    is_canceled: false,
                };
                self.deliver(leader, event);
            }
        }
    }

    /// Cancels a job on behalf of a caller.
    pub(crate) fn cancel(&mut self, id: &str) {
        self.offset += 1;
        let job: ids::Job = id.into();
        self.index
            .apply(self.offset, &Record::Canceled(job.clone()));
        self.canceled.insert(job.clone());
        for leader in 0..self.leaders.len() {
            if self.is_current(leader) {
                self.deliver(leader, Event::Canceled(job.clone()));
            }
        }
    }

    pub(crate) fn is_current(&self, leader: usize) -> bool {
        let is_newest = leader + 1 == self.leaders.len();
        is_newest && self.leaders[leader].is_log_reachable && self.leaders[leader].is_up
    }

    pub(crate) fn unix_ms(&self) -> u64 {
        1_000_000 + u64::try_from((self.now - self.started_at).as_millis()).unwrap()
    }

    fn schedule(&mut self, at: Instant, activity: Activity) {
        self.next_order += 1;
        self.activities.insert((at, self.next_order), activity);
    }

    pub(crate) fn deliver(&mut self, leader: usize, event: Event) {
        if !self.leaders[leader].is_up {
            return;
        }
        if let Some(backlog) = &mut self.leaders[leader].backlog {
            backlog.push(event);
            return;
        }
        let mut actions = Vec::new();
        let unix_ms = self.unix_ms();
        self.leaders[leader]
            .scheduler
            .step(self.now, unix_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Append(records) => {
                    let at = self.now + LATENCY * 3;
                    self.schedule(at, Activity::Append(leader, records));
                }
                Action::SchedulePoll(worker, wait) => {
                    let event = Box::new(Event::PollDue(worker));
                    self.schedule(self.now + wait, Activity::Deliver(leader, event));
                }
                Action::SchedulePlacement(wait) => {
                    let event = Box::new(Event::PlacementDue);
                    self.schedule(self.now + wait, Activity::Deliver(leader, event));
                }
                Action::Poll(_) | Action::Call(_) => {
                    self.poll_count += u64::from(matches!(action, Action::Poll(_)));
                    self.schedule(self.now + LATENCY, Activity::Arrive(leader, action));
                }
                Action::NotifyLender(records) => self.outbox.push((leader, records)),
                Action::Fenced => self.leaders[leader].is_up = false,
                Action::RequestAdvice(Query {
                    job,
                    occurrence,
                    step,
                    workers,
                    timeout,
                }) => {
                    let permitted_workers = self.permitted_workers.clone().unwrap_or_default();
                    let permitted = workers
                        .into_iter()
                        .filter(|worker| permitted_workers.contains(worker));
                    let ticket = |worker: ids::Worker| Ticket {
                        ticket: format!("ticket-{worker}").into(),
                        worker,
                    };
                    let is_answered = !self.unanswered_jobs.contains(&job);
                    let tickets = permitted.map(ticket).collect();
                    let event = Event::Advised {
                        job,
                        occurrence,
                        step,
                        sent_at: self.now,
                        answer: is_answered.then_some((tickets, TICKET_VALIDITY)),
                    };
                    let latency = if is_answered { LATENCY } else { timeout };
                    self.schedule(
                        self.now + latency,
                        Activity::Deliver(leader, Box::new(event)),
                    );
                }
                Action::LogStop(_) => self.stop_count += 1,
                Action::LogRun { message, .. } => {
                    self.repeated_start_count += u64::from(message == "start repeated");
                }
                Action::DropPayloads(jobs) => self.dropped_payloads.extend(jobs),
                Action::LogStarts { .. } => {}
                Action::LogWorker(..)
                | Action::LogIdle(_)
                | Action::LogWaiting(..)
                | Action::LogLimited(_)
                | Action::LogPlaceWait(_)
                | Action::LogRecovery(_) => {
                    self.lines.push(action);
                }
            }
        }
    }

    /// Advances the simulation by a time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.activities.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), activity) = entry.remove_entry();
            self.now = at;
            self.carry_out(activity);
        }
        self.now = end;
    }

    fn carry_out(&mut self, activity: Activity) {
        match activity {
            Activity::Advance => self.advance(),
            Activity::Crash(name) => self.crash(&name),
            Activity::Restart(name) => {
                let now = self.now;
                self.vacated.remove(&name);
                self.workers.get_mut(&name).unwrap().restart(now);
                self.set_listed(&name, true);
                self.report_hosts();
            }
            Activity::HostList => self.report_hosts(),
            Activity::Deliver(leader, event) => self.deliver(leader, *event),
            Activity::Append(leader, records) => self.append(leader, records),
            Activity::PollTimeout(worker, leader, sent_at, started_at_ms) => {
                let is_waiting = self.waiting_polls.get(&worker) == Some(&(leader, sent_at));
                if is_waiting {
                    self.waiting_polls.remove(&worker);
                    self.answer_poll(&worker, leader, sent_at, started_at_ms);
                }
            }
            Activity::Arrive(leader, action) => self.receive_action(leader, action),
            Activity::DelayedCall(action, started_at_ms) => {
                // A delayed call is lost when the worker restarts.
                let name = addressee(&action);
                if self.workers[&name].report.started_at_ms == started_at_ms {
                    self.receive_action(NO_LEADER, action);
                }
            }
        }
    }

    /// Advances the workers and ticks the leaders every 100 ms.
    fn advance(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.advance_worker(&name);
        }
        self.availability
            .observe(self.now, &self.workers, &self.jobs);
        for leader in 0..self.leaders.len() {
            let is_newest = leader + 1 == self.leaders.len();
            if self.leaders[leader].is_log_reachable && is_newest {
                self.deliver(leader, Event::TermConfirmed(self.now));
            } else if self.leaders[leader].is_log_reachable && !is_newest {
                // It reads the newer claim in the log.
                self.leaders[leader].is_up = false;
            }
            self.deliver(leader, Event::Tick);
        }
        self.schedule(self.now + Duration::from_millis(100), Activity::Advance);
    }

    fn advance_worker(&mut self, name: &str) {
        let now = self.now;
        let worker = self.workers.get_mut(name).unwrap();
        if !worker.is_up {
            return;
        }
        let exits = worker.advance(now);
        let has_exited = !exits.is_empty();
        for (_, task, run, status) in exits {
            if status == Cause::Done {
                self.done.insert(task.clone());
            }
            if matches!(status, Cause::Done | Cause::Failed) {
                self.exits.insert((task, run, status == Cause::Done));
            }
        }
        if has_exited && let Some((leader, sent_at)) = self.waiting_polls.remove(name) {
            let started_at_ms = self.workers[name].report.started_at_ms;
            self.answer_poll(name, leader, sent_at, started_at_ms);
        }
    }

    /// Returns the progress of a job in the log.
    pub(crate) fn progress(&self, id: &str) -> Progress {
        self.index.get(&id.into()).unwrap().progress.clone()
    }

    /// Returns a count that the newest leader reports to operators.
    pub(crate) fn count(&self, name: &str) -> usize {
        let leader = self.leaders.last().unwrap();
        let counts = leader.scheduler.counts(self.now);
        counts.iter().find(|(known, _)| *known == name).unwrap().1
    }

    pub(crate) fn outcome(&self, id: &str) -> Option<Outcome> {
        self.progress(id).outcome
    }

    /// Returns the workers that run a task of a job.
    pub(crate) fn workers_running(&self, id: &str) -> Vec<String> {
        let runs = |worker: &Worker| worker.runs.keys().any(|task| task.job == *id);
        let workers = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_up && runs(worker));
        workers.map(|(name, _)| name.clone()).collect()
    }
}
