//! Workers, a log and leaders that follow each other, with checks of what must always hold.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmongate_core::ids;
use persimmongate_core::job::{Job, Outcome, Progress, Schedule, Step, Task};
use persimmongate_core::journal::{Index, Record};
use persimmongate_core::queue::{Advice, Config, Queue, Service};
use persimmongate_core::sched::{
    Action, Answer, Call, Command, Completion, Event, Options, Poll, Query, Report, Resources,
    Scheduler, Ticket,
};
use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::worker::{Going, Worker};

/// Time for which a ticket holds.
const VALID: Duration = Duration::from_secs(3);
/// Time that a message takes one way.
const HOP: Duration = Duration::from_millis(2);
/// Time after which an order without an answer counts as lost.
const LIMIT: Duration = Duration::from_millis(700);
/// Runs of a task that may end as failed.
pub(crate) const ATTEMPTS: u32 = 2;
/// Service of all workers.
pub(crate) const SERVICE: &str = "service";

/// `Faults` is how often something goes wrong, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Calls that are carried out and not answered.
    pub(crate) lost: u32,
    /// Calls that are carried out seconds later and not answered.
    pub(crate) late: u32,
    /// Runs that end as failed.
    pub(crate) failed: u32,
    /// Answers about runs that are lost.
    pub(crate) silent: u32,
}

/// `Item` is something that happens at a time.
#[derive(Clone, Debug)]
enum Item {
    Arrive(usize, Action),
    /// A call that the given life of a worker carries out late.
    Late(Action, u64),
    Deliver(usize, Box<Event>),
    Waited(String, usize, Instant, u64),
    Taken(usize, Vec<Record>),
    Advance,
}

/// `Leader` is a process that leads, or thinks so.
pub(crate) struct Leader {
    pub(crate) scheduler: Scheduler,
    pub(crate) term: ids::Term,
    /// Whether it reaches the log.
    pub(crate) linked: bool,
    /// Whether it runs.
    pub(crate) up: bool,
}

/// `Known` is the end of a run of a task, and whether the task was done.
type Known = (Task, ids::Run, bool);

/// `World` is all of it, with its time.
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) begin: Instant,
    rng: SmallRng,
    pub(crate) faults: Faults,
    queue: BTreeMap<(Instant, u64), Item>,
    order: u64,
    pub(crate) leaders: Vec<Leader>,
    pub(crate) workers: BTreeMap<String, Worker>,
    /// Questions that wait for an end, by worker: leader, time sent.
    waiting: BTreeMap<String, (usize, Instant)>,
    pub(crate) book: Index,
    pub(crate) jobs: BTreeMap<ids::Job, Arc<Job>>,
    canceled: BTreeSet<ids::Job>,
    offset: ids::Offset,
    /// Tasks that ended as done on a worker.
    done: BTreeSet<Task>,
    /// Runs that ended as done or failed, and were taken note of.
    noted: BTreeSet<Known>,
    /// Runs that ended as done or failed.
    ended: BTreeSet<Known>,
    /// Starts, with the ends of the task that came before.
    begun: Vec<(String, Vec<Known>)>,
    /// Jobs of which the log keeps the name only.
    pub(crate) stubs: usize,
    /// Workers that the policy service allows; nothing for queues without it.
    pub(crate) allowed: Option<Vec<ids::Worker>>,
    pub(crate) starts: u64,
    pub(crate) breaches: Vec<String>,
}

impl World {
    pub(crate) fn new(workers: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            begin: now,
            rng: SmallRng::seed_from_u64(seed),
            faults: Faults::default(),
            queue: BTreeMap::new(),
            order: 0,
            leaders: Vec::new(),
            workers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            book: Index::default(),
            jobs: BTreeMap::new(),
            canceled: BTreeSet::new(),
            offset: 0,
            done: BTreeSet::new(),
            noted: BTreeSet::new(),
            ended: BTreeSet::new(),
            begun: Vec::new(),
            stubs: 0,
            allowed: None,
            starts: 0,
            breaches: Vec::new(),
        };
        for number in 0..workers {
            let report = report(number);
            let rate = world.rng.random_range(980..=1_000);
            let worker = Worker::new(report, now, rate);
            world.workers.insert(format!("w{number}"), worker);
        }
        world.lead();
        world.plan(now, Item::Advance);
        world
    }

    /// Lets a new process lead; older leaders go on until they notice.
    pub(crate) fn lead(&mut self) -> usize {
        let term = self.offset + 1;
        self.offset += 1;
        let succeeds = !self.leaders.is_empty();
        let options = Options::default();
        let scheduler = Scheduler::new(options, term, succeeds, false, self.now);
        self.leaders.push(Leader {
            scheduler,
            term,
            linked: true,
            up: true,
        });
        let leader = self.leaders.len() - 1;
        let advice = self.allowed.as_ref().map(|_| Advice {
            base_latency: HOP,
            latency_per_worker: Duration::ZERO,
            validity: VALID,
        });
        self.tell(leader, Event::Config(Arc::new(config(advice))));
        let jobs: Vec<_> = self
            .book
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
            self.tell(leader, event);
        }
        let reports: Vec<Report> = self.workers.values().map(|w| w.report.clone()).collect();
        let host = |report: &Report| (report.host.clone().unwrap(), Some(report.worker.clone()));
        let names = reports.iter().map(host).collect();
        for report in reports {
            self.tell(leader, Event::Listed(report));
        }
        self.tell(leader, Event::Hosts(names));
        leader
    }

    pub(crate) fn random(&mut self) -> &mut impl Rng {
        &mut self.rng
    }

    /// Hands a job in.
    pub(crate) fn submit(&mut self, id: &str, steps: Vec<Step>) {
        self.submit_at(id, steps, None);
    }

    /// Hands a job in that runs at set times, from the beginning of the world on.
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
        let job = Arc::new(Job {
            id: id.into(),
            queue: "queue".into(),
            service: SERVICE.into(),
            payload: "text".into(),
            steps,
            schedule,
            accepted_at_ms: self.wall(),
        });
        let offset = self.offset;
        self.offset += 1;
        self.book
            .apply(offset, &Record::Accepted(Box::new((*job).clone())));
        self.jobs.insert(job.id.clone(), job.clone());
        for leader in 0..self.leaders.len() {
            if self.follows(leader) {
                let event = Event::Job {
                    job: job.clone(),
                    offset,
                    progress: Box::default(),
                    is_canceled: false,
                };
                self.tell(leader, event);
            }
        }
    }

    /// Ends a job at a caller's wish.
    pub(crate) fn cancel(&mut self, id: &str) {
        self.offset += 1;
        let job: ids::Job = id.into();
        self.book.apply(self.offset, &Record::Canceled(job.clone()));
        self.canceled.insert(job.clone());
        for leader in 0..self.leaders.len() {
            if self.follows(leader) {
                self.tell(leader, Event::Canceled(job.clone()));
            }
        }
    }

    fn follows(&self, leader: usize) -> bool {
        let newest = leader + 1 == self.leaders.len();
        newest && self.leaders[leader].linked && self.leaders[leader].up
    }

    fn wall(&self) -> u64 {
        1_000_000 + u64::try_from((self.now - self.begin).as_millis()).unwrap()
    }

    fn plan(&mut self, at: Instant, item: Item) {
        self.order += 1;
        self.queue.insert((at, self.order), item);
    }

    pub(crate) fn tell(&mut self, leader: usize, event: Event) {
        if !self.leaders[leader].up {
            return;
        }
        let mut actions = Vec::new();
        let wall = self.wall();
        self.leaders[leader]
            .scheduler
            .step(self.now, wall, event, &mut actions);
        for action in actions {
            match action {
                Action::Append(records) => {
                    let at = self.now + HOP * 3;
                    self.plan(at, Item::Taken(leader, records));
                }
                Action::SchedulePoll(worker, wait) => {
                    let event = Box::new(Event::PollDue(worker));
                    self.plan(self.now + wait, Item::Deliver(leader, event));
                }
                Action::Poll(_) | Action::Call(_) => {
                    self.plan(self.now + HOP, Item::Arrive(leader, action));
                }
                Action::Fenced => self.leaders[leader].up = false,
                Action::RequestAdvice(Query {
                    job,
                    occurrence,
                    step,
                    workers,
                    ..
                }) => {
                    let allowed = self.allowed.clone().unwrap_or_default();
                    let good = workers
                        .into_iter()
                        .filter(|worker| allowed.contains(worker));
                    let ticket = |worker: ids::Worker| Ticket {
                        ticket: format!("ticket-{worker}").into(),
                        worker,
                    };
                    let event = Event::Advised {
                        job,
                        occurrence,
                        step,
                        sent_at: self.now,
                        answer: Some((good.map(ticket).collect(), VALID)),
                    };
                    self.plan(self.now + HOP, Item::Deliver(leader, Box::new(event)));
                }
                Action::LogRun { .. } | Action::LogStarts { .. } => {}
            }
        }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), item) = entry.remove_entry();
            self.now = at;
            self.happen(item);
        }
        self.now = end;
    }

    fn happen(&mut self, item: Item) {
        match item {
            Item::Advance => self.advance(),
            Item::Deliver(leader, event) => self.tell(leader, *event),
            Item::Taken(leader, records) => self.take(leader, records),
            Item::Waited(worker, leader, sent, born) => {
                let waits = self.waiting.get(&worker) == Some(&(leader, sent));
                if waits {
                    self.waiting.remove(&worker);
                    self.answer_hold(&worker, leader, sent, born);
                }
            }
            Item::Arrive(leader, action) => self.arrive(leader, action),
            Item::Late(action, born) => {
                // An order that a worker put off ends with the worker's life.
                let name = called(&action);
                if self.workers[&name].report.started_at_ms == born {
                    self.arrive(usize::MAX, action);
                }
            }
        }
    }

    /// Moves workers on, and ticks the leaders, each 100 ms.
    fn advance(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.advance_worker(&name);
        }
        for leader in 0..self.leaders.len() {
            let newest = leader + 1 == self.leaders.len();
            if self.leaders[leader].linked && newest {
                self.tell(leader, Event::Confirmed(self.now));
            } else if self.leaders[leader].linked && !newest {
                // It reads the newer claim.
                self.leaders[leader].up = false;
            }
            self.tell(leader, Event::Tick);
        }
        self.plan(self.now + Duration::from_millis(100), Item::Advance);
    }

    fn advance_worker(&mut self, name: &str) {
        let now = self.now;
        let worker = self.workers.get_mut(name).unwrap();
        if !worker.up {
            return;
        }
        let outcomes = worker.advance(now);
        let any = !outcomes.is_empty();
        for (_, task, run, end) in outcomes {
            if end == Completion::Done {
                self.done.insert(task.clone());
            }
            if end != Completion::Interrupted {
                self.ended.insert((task, run, end == Completion::Done));
            }
        }
        if any && let Some((leader, sent)) = self.waiting.remove(name) {
            let born = self.workers[name].report.started_at_ms;
            self.answer_hold(name, leader, sent, born);
        }
    }

    fn take(&mut self, leader: usize, records: Vec<Record>) {
        let newest = leader + 1 == self.leaders.len();
        if !self.leaders[leader].linked {
            let at = self.now + Duration::from_millis(150);
            self.plan(at, Item::Taken(leader, records));
            return;
        }
        if !newest {
            self.leaders[leader].up = false;
            return;
        }
        for record in &records {
            if let Record::Accepted(stub) = record {
                self.stubs += usize::from(stub.steps.is_empty());
            }
            self.offset += 1;
            self.book.apply(self.offset, record);
        }
        self.plan(
            self.now + HOP,
            Item::Deliver(leader, Box::new(Event::Appended)),
        );
    }

    fn arrive(&mut self, leader: usize, action: Action) {
        let name = called(&action);
        let reached = self.workers[&name].up && self.workers[&name].reachable;
        if !reached {
            self.lose(leader, &action, self.now);
            return;
        }
        if self.rng.random_range(0..1_000) < self.faults.late {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.lose(leader, &action, self.now);
            let born = self.workers[&name].report.started_at_ms;
            self.plan(self.now + delay, Item::Late(action, born));
            return;
        }
        self.advance_worker(&name);
        let lost = self.rng.random_range(0..1_000) < self.faults.lost;
        match action {
            Action::Poll(Poll {
                token,
                acknowledged_through: ack,
                lease_expiry_ms: until,
                max_wait: wait,
                ..
            }) => {
                let lost = lost || self.rng.random_range(0..1_000) < self.faults.silent;
                self.hold(&name, leader, (token, ack, until, wait), lost);
            }
            Action::Call(call) => self.call(&name, leader, call, lost),
            _ => {}
        }
    }

    /// Tells a leader that a call had no answer.
    fn lose(&mut self, leader: usize, action: &Action, sent: Instant) {
        let (event, limit) = match action {
            Action::Poll(hold) => {
                let event = Event::Polled {
                    worker: hold.worker.clone(),
                    sent_at: sent,
                    answer: Err(Answer::Unknown),
                };
                (event, hold.max_wait + LIMIT)
            }
            Action::Call(call) => {
                let event = Event::Called {
                    call: call.clone(),
                    sent_at: sent,
                    answer: Answer::Unknown,
                    clock_ms: None,
                };
                (event, LIMIT)
            }
            _ => return,
        };
        if leader != usize::MAX {
            self.plan(self.now + limit, Item::Deliver(leader, Box::new(event)));
        }
    }

    fn hold(
        &mut self,
        name: &str,
        leader: usize,
        (token, ack, until, wait): (ids::Term, u64, Option<u64>, Duration),
        lost: bool,
    ) {
        let now = self.now;
        let worker = self.workers.get_mut(name).unwrap();
        let born = worker.report.started_at_ms;
        let (answer, noted) = worker.hold(now, token, ack, until);
        for (_, task, run, end) in noted {
            self.check_noted(&task, run, end);
        }
        let id: ids::Worker = name.into();
        if leader == usize::MAX {
            return;
        }
        let sent = now.checked_sub(HOP).unwrap();
        let empty = answer
            .as_ref()
            .is_ok_and(|listing| listing.exits.is_empty());
        if lost {
            let event = Event::Polled {
                worker: id,
                sent_at: sent,
                answer: Err(Answer::Unknown),
            };
            self.plan(now + wait + LIMIT, Item::Deliver(leader, Box::new(event)));
        } else if empty && !wait.is_zero() {
            self.waiting.insert(name.to_owned(), (leader, sent));
            self.plan(
                now + wait,
                Item::Waited(name.to_owned(), leader, sent, born),
            );
        } else {
            let event = Event::Polled {
                worker: id,
                sent_at: sent,
                answer,
            };
            self.plan(now + HOP, Item::Deliver(leader, Box::new(event)));
        }
    }

    /// Answers a question that waited.
    fn answer_hold(&mut self, name: &str, leader: usize, sent: Instant, born: u64) {
        let now = self.now;
        let worker = self.workers.get_mut(name).unwrap();
        let (answer, _) = worker.hold(now, self.leaders[leader].term, 0, None);
        let reached = worker.up && worker.reachable && worker.report.started_at_ms == born;
        let event = Event::Polled {
            worker: name.into(),
            sent_at: sent,
            answer: if reached {
                answer
            } else {
                Err(Answer::Unknown)
            },
        };
        self.plan(now + HOP, Item::Deliver(leader, Box::new(event)));
    }

    fn call(&mut self, name: &str, leader: usize, call: Call, lost: bool) {
        let now = self.now;
        let step = self.jobs[&call.task.job].steps[call.task.step as usize].clone();
        let failed = self.rng.random_range(0..1_000) < self.faults.failed;
        let end = if failed {
            Completion::Failed
        } else {
            Completion::Done
        };
        let going = Going {
            run: call.run,
            room: Resources::reserved_by(&step),
            since: now,
            end: (!step.is_long_running).then(|| (now + step.estimate, end)),
            stopping: None,
        };
        let worker = self.workers.get_mut(name).unwrap();
        let (answer, started) = worker.call(now, &call, || going);
        if started {
            self.starts += 1;
            self.check_start(name, &call);
        }
        if leader == usize::MAX {
            return;
        }
        let event = Event::Called {
            call,
            sent_at: now.checked_sub(HOP).unwrap(),
            answer: if lost { Answer::Unknown } else { answer },
            clock_ms: None,
        };
        let wait = if lost { LIMIT } else { HOP };
        self.plan(now + wait, Item::Deliver(leader, Box::new(event)));
    }

    /// Checks what must hold when a run starts.
    fn check_start(&mut self, name: &str, call: &Call) {
        let task = &call.task;
        let mut breaches = Vec::new();
        for (other, worker) in &self.workers {
            if other != name && worker.up && worker.runs.contains_key(task) {
                breaches.push("runs twice");
            }
        }
        let worker = &self.workers[name];
        if !worker.report.capacity.covers(worker.used()) {
            breaches.push("starts without room");
        }
        let job = &self.jobs[&task.job];
        for after in &job.steps[task.step as usize].dependencies {
            for index in 0..job.steps[*after as usize].count {
                let before = Task {
                    step: *after,
                    index,
                    ..task.clone()
                };
                if !self.done.contains(&before) {
                    breaches.push("starts before an earlier step is done");
                }
            }
        }
        let order = matches!(call.command, Command::Start { .. });
        let breaches = breaches.into_iter().filter(|_| order);
        let at = self.now - self.begin;
        let found =
            breaches.map(|what| format!("{at:?}: {task:?} run {} on {name} {what}", call.run));
        self.breaches.extend(found);
        if !job.steps[task.step as usize].is_long_running {
            let before = self
                .ended
                .iter()
                .filter(|(known, ..)| known == task)
                .cloned()
                .collect();
            let start = format!("{at:?}: {task:?} run {} on {name}", call.run);
            self.begun.push((start, before));
        }
    }

    /// Gets the breaches, with those that show only when all ends are known: an end counts if it was
    /// taken note of before or after the start.
    pub(crate) fn found(&self) -> Vec<String> {
        let mut found = self.breaches.clone();
        for (start, before) in &self.begun {
            let noted = |done: bool| {
                let ends = before
                    .iter()
                    .filter(|end| end.2 == done && self.noted.contains(*end));
                ends.count()
            };
            if noted(true) > 0 {
                found.push(format!("{start} starts after it was done"));
            }
            if noted(false) >= ATTEMPTS as usize {
                found.push(format!("{start} starts after all attempts failed"));
            }
        }
        found
    }

    /// Checks that an end that is acknowledged is in the log.
    fn check_noted(&mut self, task: &Task, run: ids::Run, end: Completion) {
        let entry = self.book.get(&task.job).cloned().unwrap_or_default();
        let lasting = self.jobs[&task.job].steps[task.step as usize].is_long_running;
        let over = self.canceled.contains(&task.job) || entry.progress.outcome.is_some();
        let kept = match end {
            Completion::Done => entry.progress.is_done(task),
            Completion::Failed => {
                entry.progress.failure_count(task) > 0 || entry.progress.is_done(task)
            }
            Completion::Interrupted => true,
        };
        if !kept && !lasting && !over {
            let at = self.now - self.begin;
            self.breaches.push(format!(
                "{at:?}: end of {task:?} run {run} is not in the log"
            ));
        }
        if end != Completion::Interrupted && !lasting {
            self.noted
                .insert((task.clone(), run, end == Completion::Done));
        }
    }

    /// Gets the progress of a job as the log says.
    pub(crate) fn progress(&self, id: &str) -> Progress {
        self.book.get(&id.into()).unwrap().progress.clone()
    }

    pub(crate) fn outcome(&self, id: &str) -> Option<Outcome> {
        self.progress(id).outcome
    }

    /// Gets the workers that run a task of a job.
    pub(crate) fn running(&self, id: &str) -> Vec<String> {
        let runs = |worker: &Worker| worker.runs.keys().any(|task| task.job == *id);
        let workers = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.up && runs(worker));
        workers.map(|(name, _)| name.clone()).collect()
    }

    /// Tells the newest leader what the list says of a worker.
    pub(crate) fn list(&mut self, name: &str, listed: bool) {
        let report = self.workers[name].report.clone();
        let leader = self.leaders.len() - 1;
        let event = if listed {
            Event::Listed(report)
        } else {
            Event::Unlisted(report.worker)
        };
        self.tell(leader, event);
    }
}

/// Gets the worker that a call goes to.
fn called(action: &Action) -> String {
    match action {
        Action::Poll(hold) => hold.worker.to_string(),
        Action::Call(call) => call.worker.to_string(),
        _ => String::new(),
    }
}

fn report(number: usize) -> Report {
    Report {
        worker: format!("w{number}").into(),
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        host: Some(format!("h{number}").into()),
        is_draining: false,
        started_at_ms: 1,
        capacity: Resources {
            cpu_millicores: 8_000,
            memory_mb: 8_000,
            gpus: 0,
        },
        labels: vec!["a".into(), format!("r{}", number / 2).into()],
    }
}

fn config(advice: Option<Advice>) -> Config {
    let queue = Queue {
        name: "queue".into(),
        hostname: "host".into(),
        path_prefix: "/queue/".into(),
        service: SERVICE.into(),
        priority: 0,
        max_attempts: ATTEMPTS,
        stretch: 2.0,
        allowance: Duration::from_secs(1),
        call_timeout: Duration::from_secs(3),
        advice,
    };
    let service = Service {
        name: SERVICE.into(),
        rejects_overload: false,
        is_spare: false,
    };
    Config::new(1, vec![queue], vec![service])
}

/// Makes a step of tasks that each take 2 cores and end after a time.
pub(crate) fn step(count: u32, millis: u64, after: &[u32]) -> Step {
    Step {
        count,
        cpu_millicores: 2_000,
        memory_mb: 500,
        estimate: Duration::from_millis(millis),
        dependencies: after.to_vec(),
        ..Step::default()
    }
}

/// Makes a step of lasting tasks, one on a worker.
pub(crate) fn lasting(count: u32, may_miss: u32) -> Step {
    Step {
        is_long_running: true,
        max_per_worker: Some(1),
        max_unavailable: may_miss,
        ..step(count, 500, &[])
    }
}
