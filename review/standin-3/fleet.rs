//! Stand-ins of the workers and of the service that lists their machines, as PROTOCOL.md describes them.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, Server};
use crate::json::{Value, parse, quote};
use crate::log::Log;

/// Longest lease (`HoldMaxMs`).
const HOLD_MAX_MS: u64 = 10_000;
/// Time that a stop takes, below `StopMs`.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Ends in one answer.
const ENDS_PER_ANSWER: usize = 500;
/// Longest wait of an answer for an end.
const MAX_WAIT_MS: u64 = 2_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time of silence after which the entry of a worker is removed.
const ENTRY_TTL: Duration = Duration::from_millis(4_500);
/// Time after which a task that was made to fail ends.
const FAILURE_TIME: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    Started,
    Ended(&'static str),
    /// The end was taken note of, and no lease of the worker lapsed between the two.
    Noted(&'static str),
}

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub what: What,
}

/// `Journal` is what the workers did, in order.
pub struct Journal {
    pub began: Instant,
    pub events: Mutex<Vec<Event>>,
}

impl Journal {
    fn add(&self, worker: &str, task: &str, run: u64, what: What) {
        self.events.lock().unwrap().push(Event {
            at: self.began.elapsed(),
            worker: worker.to_owned(),
            task: task.to_owned(),
            run,
            what,
        });
    }
}

struct Run {
    number: u64,
    ends_at: Instant,
    how: &'static str,
    began: Instant,
    length: Duration,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    has_lapsed: bool,
}

/// `Life` is one incarnation of a worker.
struct Life {
    born_ms: u64,
    began: Instant,
    token: u64,
    until_ms: u64,
    runs: BTreeMap<String, Run>,
    highest: HashMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

impl Life {
    fn new() -> Self {
        Self {
            born_ms: unix_ms(),
            began: Instant::now(),
            token: 0,
            until_ms: 0,
            runs: BTreeMap::new(),
            highest: HashMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap() + 1_000
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

pub struct Worker {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub rack: String,
    cpu: u64,
    life: Mutex<Option<Life>>,
    ended: Condvar,
    server: Mutex<Option<Server>>,
    journal: Arc<Journal>,
}

impl Worker {
    pub fn start(
        number: usize,
        service: &str,
        cpu: u64,
        log: &Arc<Log>,
        journal: &Arc<Journal>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: format!("i-{number:04}"),
            machine: format!("m-{number:04}"),
            service: service.to_owned(),
            rack: format!("r{}", number / 4),
            cpu,
            life: Mutex::new(Some(Life::new())),
            ended: Condvar::new(),
            server: Mutex::default(),
            journal: journal.clone(),
        });
        let handling = worker.clone();
        let server = Server::start(Arc::new(move |request| handling.handle(request)));
        *worker.server.lock().unwrap() = Some(server);
        let (ticking, beating, log) = (worker.clone(), worker.clone(), log.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                if let Some(life) = &mut *ticking.life.lock().unwrap() {
                    ticking.advance(life);
                }
            }
        });
        thread::spawn(move || beating.beat(&log));
        worker
    }

    /// Writes the entry of the worker, which expires when it is silent.
    fn beat(&self, log: &Log) {
        let (mut sequence, mut written_at) = (0, None);
        loop {
            let born = self.life.lock().unwrap().as_ref().map(|life| life.born_ms);
            let address = self.server.lock().unwrap().as_ref().map(|s| s.address);
            if let (Some(born), Some(address)) = (born, address) {
                sequence += 1;
                written_at = Some(Instant::now());
                let entry = format!(
                    "{{\"Backend\":{},\"Address\":\"{address}\",\"Zone\":\"z-a\",\"Version\":\"v1\",\"Slots\":8,\
                     \"State\":\"ready\",\"ColdLeftMs\":0,{},\"Machine\":{},\"born\":{born},\"Sequence\":{sequence}}}",
                    quote(&self.service), self.shape(), quote(&self.machine)
                );
                log.write("keyed.servers", &self.id, &entry);
            } else if written_at.is_some_and(|at| at.elapsed() > ENTRY_TTL) {
                written_at = None;
                log.write("keyed.servers", &self.id, "");
            }
            let until = Instant::now() + HEARTBEAT;
            while Instant::now() < until {
                thread::sleep(Duration::from_millis(50));
                let is_down = self.life.lock().unwrap().is_none();
                if is_down != born.is_none() && !is_down {
                    break;
                }
            }
        }
    }

    fn shape(&self) -> String {
        format!(
            "\"Labels\":[\"a\",{}],\"Capacity\":{{\"Cpu\":{},\"MemMb\":262144,\"Gpu\":0}}",
            quote(&self.rack),
            self.cpu
        )
    }

    /// Returns the row of its machine in the list of machines.
    pub fn row(&self) -> String {
        let is_up = self.life.lock().unwrap().is_some();
        let (state, id) = if is_up { ("up", self.id.as_str()) } else { ("down", "") };
        format!(
            "{{\"Machine\":{},\"Pool\":{},\"State\":\"{state}\",\"Zone\":\"z-a\",{},\"Id\":{}}}",
            quote(&self.machine),
            quote(&self.service),
            self.shape(),
            quote(id)
        )
    }

    /// Ends the worker without a word. What it ran and knew is gone.
    pub fn crash(&self) {
        let lost = self.life.lock().unwrap().take();
        for (task, run) in lost.into_iter().flat_map(|life| life.runs) {
            self.journal.add(&self.id, &task, run.number, What::Ended("crash"));
        }
        self.server.lock().unwrap().as_ref().unwrap().take_down();
    }

    /// Starts the worker again under its id.
    pub fn restart(&self) {
        *self.life.lock().unwrap() = Some(Life::new());
        self.server.lock().unwrap().as_ref().unwrap().bring_up();
    }

    /// Returns the tasks that it runs.
    pub fn tasks(&self) -> Vec<String> {
        let life = self.life.lock().unwrap();
        let runs = life.iter().flat_map(|life| life.runs.keys().cloned());
        runs.collect()
    }

    /// Ends what is due, and everything if the lease has expired.
    fn advance(&self, life: &mut Life) {
        let has_lapsed = life.clock_ms() > life.until_ms;
        let now = Instant::now();
        let mut ended = Vec::new();
        for (task, run) in &life.runs {
            if run.ends_at <= now {
                ended.push((run.ends_at, task.clone(), run.number, run.how));
            } else if has_lapsed {
                ended.push((now, task.clone(), run.number, "lapsed"));
            }
        }
        ended.sort();
        for (_, task, run, how) in ended {
            life.runs.remove(&task);
            self.list_end(life, &task, run, how);
        }
        if has_lapsed {
            life.ends.iter_mut().for_each(|end| end.has_lapsed = true);
        }
    }

    fn list_end(&self, life: &mut Life, task: &str, run: u64, how: &'static str) {
        life.last_end += 1;
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        life.ends.push(End {
            number: life.last_end,
            task: task.to_owned(),
            run,
            how,
            has_lapsed: false,
        });
        self.journal.add(&self.id, task, run, What::Ended(how));
        self.ended.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        if request.path == "/health" {
            return Response::new(200, "");
        }
        if request.header("x-expect-instance") != self.id {
            return Response::new(421, "");
        }
        let body = parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Value::Null);
        let mut guard = self.life.lock().unwrap();
        let Some(life) = &mut *guard else {
            return Response::new(503, "");
        };
        self.advance(life);
        let token = body.number("FencingToken").unwrap_or(0);
        if token < life.token {
            return refusal(life, "fence");
        }
        life.token = token;
        match request.path.as_str() {
            "/run-start" => self.start_run(life, &body),
            "/run-stop" => stop_run(life, &body),
            "/pace" => Response::new(200, format!("{{\"ClockMs\":{}}}", life.clock_ms())),
            "/hold" => {
                let position = body.number("AckPosition").unwrap_or(0);
                let (noted, kept) = std::mem::take(&mut life.ends)
                    .into_iter()
                    .partition(|end| end.number <= position);
                life.ends = kept;
                let noted: Vec<End> = noted;
                for end in noted.iter().filter(|end| !end.has_lapsed) {
                    self.journal.add(&self.id, &end.task, end.run, What::Noted(end.how));
                }
                extend(life, &body);
                let wait = body.number("WaitMs").unwrap_or(0).min(MAX_WAIT_MS);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let Some(life) = &*guard else {
                        return Response::new(503, "");
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.ends.is_empty() || left.is_zero() {
                        return inventory(life);
                    }
                    guard = self.ended.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => Response::new(404, ""),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Value) -> Response {
        let (Some(task), Some(run)) = (body.text("Task"), body.number("Run")) else {
            return Response::new(400, "");
        };
        let known = life.runs.get(task).map(|run| run.number);
        if known == Some(run) {
            extend(life, body);
            return Response::new(200, format!("{{\"ClockMs\":{}}}", life.clock_ms()));
        }
        extend(life, body);
        if known.max(life.highest.get(task).copied()) >= Some(run) {
            return refusal(life, "old");
        }
        if life.clock_ms() > life.until_ms {
            return refusal(life, "late");
        }
        let started = self.journal.events.lock().unwrap();
        let is_start = |event: &&Event| event.task == task && event.what == What::Started;
        let earlier = started.iter().rev().filter(is_start).count();
        drop(started);
        let (length, how) = work(body.text("Spec").unwrap_or(""), task, earlier);
        let now = Instant::now();
        let started = Run {
            number: run,
            ends_at: now + length,
            how,
            began: now,
            length,
        };
        life.runs.insert(task.to_owned(), started);
        self.journal.add(&self.id, task, run, What::Started);
        Response::new(200, format!("{{\"ClockMs\":{}}}", life.clock_ms()))
    }
}

/// Returns how long a run lasts and how it ends. A text `work MS SPREAD FAILURES` stands for a task of MS to MS + SPREAD
/// milliseconds, the first FAILURES runs of which fail.
fn work(spec: &str, task: &str, earlier_runs: usize) -> (Duration, &'static str) {
    let mut numbers = spec.split(' ').skip(1).filter_map(|n| n.parse::<u64>().ok());
    let base = numbers.next().unwrap_or(1_000);
    let spread = numbers.next().unwrap_or(0);
    let failures = numbers.next().unwrap_or(0);
    if (earlier_runs as u64) < failures {
        return (FAILURE_TIME, "failed");
    }
    let hash = task.bytes().fold(7_u64, |hash, byte| {
        hash.wrapping_mul(1_099_511_628_211).wrapping_add(byte.into())
    });
    let mixed = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let extra = (mixed >> 24) % (spread + 1);
    (Duration::from_millis(base + extra), "done")
}

fn extend(life: &mut Life, body: &Value) {
    if let Some(until) = body.number("UntilMs") {
        life.until_ms = life.until_ms.max(until.min(life.clock_ms() + HOLD_MAX_MS));
    }
}

fn refusal(life: &Life, reason: &str) -> Response {
    let body = format!("{{\"ClockMs\":{},\"Reason\":\"{reason}\"}}", life.clock_ms());
    Response::new(409, body)
}

fn stop_run(life: &mut Life, body: &Value) -> Response {
    let (Some(task), Some(run)) = (body.text("Task"), body.number("Run")) else {
        return Response::new(400, "");
    };
    let highest = life.highest.entry(task.to_owned()).or_default();
    *highest = run.max(*highest);
    if let Some(known) = life.runs.get_mut(task).filter(|known| known.number <= run) {
        let stopped_at = Instant::now() + STOP_TIME;
        if stopped_at < known.ends_at {
            known.ends_at = stopped_at;
            known.how = "stopped";
        }
    }
    Response::new(200, format!("{{\"ClockMs\":{}}}", life.clock_ms()))
}

fn inventory(life: &Life) -> Response {
    let mut running = String::new();
    for (task, run) in &life.runs {
        let share = run.began.elapsed().as_millis() * 100 / run.length.as_millis().max(1);
        let separator = if running.is_empty() { "" } else { "," };
        let _ = write!(
            running,
            "{separator}[{},{},\"\",{},0]",
            quote(task),
            run.number,
            share.min(99)
        );
    }
    let mut ended = String::new();
    for end in life.ends.iter().take(ENDS_PER_ANSWER) {
        let separator = if ended.is_empty() { "" } else { "," };
        let _ = write!(
            ended,
            "{separator}[{},{},{},\"{}\",\"\"]",
            end.number,
            quote(&end.task),
            end.run,
            end.how
        );
    }
    Response::new(
        200,
        format!(
            "{{\"ClockMs\":{},\"born\":{},\"Running\":[{running}],\"Ended\":[{ended}]}}",
            life.clock_ms(),
            life.born_ms
        ),
    )
}
