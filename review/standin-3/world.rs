//! A small deployment: a store, workers of one service, and gateways as processes of their own.

use std::fmt::Write;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Journal, What, Worker};
use crate::http::{Response, Server, call};
use crate::json::parse;
use crate::log::Log;

const PROGRAM: &str = "target/release/persimmongate-gateway";
pub const HOST: &str = "queue.example";
/// Time that a client waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);

/// Gateways that run, by their process ids.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Time after which a case ends in any event.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// Ends the gateways and this process when the time is up.
pub fn watch_time() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        for id in &*RUNNING.lock().unwrap() {
            let _ = Command::new("kill").arg("-9").arg(id.to_string()).status();
        }
        eprintln!("the case could not run: it took too long");
        std::process::exit(2);
    });
}

#[allow(dead_code)]
pub struct Gateway {
    name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    pub fn start(&mut self) -> Result<(), String> {
        let output = File::options().create(true).append(true).open(&self.output);
        let output = output.map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("PERSIMMONGATE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn();
        let child = child.map_err(|error| format!("{PROGRAM}: {error}"))?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    fn is_ready(&self) -> bool {
        call(self.ready, "GET", "ready", "/ready", "", DEADLINE).is_some_and(|(s, _)| s == 200)
    }

    /// Returns the last line of the output with a text, as its position in the output.
    fn last(&self, text: &str) -> Option<usize> {
        std::fs::read_to_string(&self.output).ok()?.rfind(text)
    }

    /// Checks if it leads a shard of jobs, by what it has written.
    pub fn leads(&self) -> bool {
        let became = self.last("became leader of shard");
        self.child.is_some() && became.is_some() && became > self.last("no longer leader of shard")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct World {
    pub log: Arc<Log>,
    pub journal: Arc<Journal>,
    pub workers: Vec<Arc<Worker>>,
    pub gateways: Vec<Gateway>,
    pub notes: Mutex<String>,
    folder: PathBuf,
    _store: Server,
    _machines: Server,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

impl World {
    /// Starts a store, workers and gateways, and waits until the gateways are ready.
    pub fn start(workers: usize, gateways: usize, config: &str) -> Result<Self, String> {
        let log = Arc::new(Log::default());
        let journal = Arc::new(Journal {
            began: Instant::now(),
            events: Mutex::default(),
        });
        let store = log.clone();
        let store = Server::start(Arc::new(move |request| store.handle(request)));
        let start = |number| Worker::start(number, "finder", 64_000, &log, &journal);
        let workers: Vec<Arc<Worker>> = (0..workers).map(start).collect();
        let listed = workers.clone();
        let machines = Server::start(Arc::new(move |request| {
            if request.path != "/machines" {
                return Response::new(409, "{\"Reason\":\"busy\"}");
            }
            let rows: Vec<String> = listed.iter().map(|worker| worker.row()).collect();
            let rows = rows.join(",");
            Response::new(200, format!("{{\"Machines\":[{rows}],\"NextToken\":null}}"))
        }));
        log.write("keyed.op", "config", config);
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut world = Self {
            log,
            journal,
            workers,
            gateways: Vec::new(),
            notes: Mutex::default(),
            folder,
            _store: store,
            _machines: machines,
        };
        for number in 0..gateways {
            let gateway = world.gateway(number)?;
            world.gateways.push(gateway);
        }
        for gateway in &mut world.gateways {
            gateway.start()?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        while !world.gateways.iter().all(Gateway::is_ready) || world.leader().is_none() {
            if Instant::now() > until {
                return Err("the gateways are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        // The leader has to hear from each worker.
        thread::sleep(Duration::from_secs(3));
        world.note("all gateways are ready");
        Ok(world)
    }

    /// Writes the settings of a gateway as the template of the deploy file gives them.
    fn gateway(&self, number: usize) -> Result<Gateway, String> {
        let name = format!("front-z-a-{number}");
        let (front, ready, admin) = (free_address(), free_address(), free_address());
        let settings = format!(
            "instance = \"{name}\"\nzone = \"z-a\"\nlisten = \"{front}\"\nready = \"{ready}\"\nadmin = \"{admin}\"\n\
             log = \"{}\"\nrecord_bytes = 262144\nappend_bytes = 2097152\nhosts = [\"{}\"]\nadvice = []\n\
             shards = 24\nprocessor = 0.25\ndescriptors = 4100\nmemory = \"260MiB\"\nlease_max = \"10000ms\"\n\
             stop = \"900ms\"\nholder_lease = \"3000ms\"\nmaintenance = \"2s\"\nconfig_max_age = \"2000ms\"\n",
            self._store.address, self._machines.address
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        Ok(Gateway {
            output: self.folder.join(format!("{name}.out")),
            name,
            front,
            ready,
            settings: path,
            child: None,
        })
    }

    /// Returns the number of the gateway that leads the jobs.
    pub fn leader(&self) -> Option<usize> {
        self.gateways.iter().position(Gateway::leads)
    }

    #[allow(dead_code)]
    pub fn name(&self, gateway: usize) -> &str {
        &self.gateways[gateway].name
    }

    pub fn now(&self) -> Duration {
        self.journal.began.elapsed()
    }

    pub fn note(&self, text: &str) {
        let mut notes = self.notes.lock().unwrap();
        let _ = writeln!(notes, "{:8.3} {text}", self.now().as_secs_f64());
    }

    /// Makes a call, and again at another gateway while it is not answered or refused, as a client does.
    pub fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        self.call_at(0, method, path, body)
    }

    /// Makes a call, the first attempt at a given gateway.
    pub fn call_at(&self, first: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let until = Instant::now() + Duration::from_secs(15);
        let mut attempt = first;
        loop {
            let front = self.gateways[attempt % self.gateways.len()].front;
            let answer = call(front, method, HOST, path, body, DEADLINE);
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            self.note(&format!("client: {method} {path} at gateway {}: {status} {}",
                attempt % self.gateways.len(), answer.as_ref().map_or("", |(_, body)| body)));
            match answer {
                Some((status, body)) if ![429, 502, 503, 504].contains(&status) => {
                    return (status, body);
                }
                _ if Instant::now() > until => return (status, String::new()),
                _ => {}
            }
            attempt += 1;
            thread::sleep(Duration::from_millis(300));
        }
    }

    /// Returns the state of a job, or the status of the answer if it has none.
    pub fn state(&self, path: &str) -> String {
        self.state_at(0, path)
    }

    /// Returns the state of a job as a given gateway shows it first.
    pub fn state_at(&self, first: usize, path: &str) -> String {
        let (status, body) = self.call_at(first, "GET", path, "");
        let state = parse(&body).and_then(|body| body.text("State").map(str::to_owned));
        state.unwrap_or_else(|| status.to_string())
    }

    /// Returns the record: notes, and what the workers did.
    pub fn record(&self, summary: &str) -> String {
        let mut lines = vec![summary.to_owned(), "--- calls and disruptions".to_owned()];
        lines.extend(self.notes.lock().unwrap().lines().map(str::to_owned));
        lines.push("--- workers: time, worker, what, task, run".to_owned());
        for event in &*self.journal.events.lock().unwrap() {
            let what = match event.what {
                What::Started => "start".to_owned(),
                What::Ended(how) => how.to_owned(),
                What::Noted(how) => format!("{how}-noted"),
            };
            let (at, worker) = (event.at.as_secs_f64(), &event.worker);
            lines.push(format!("{at:8.3} {worker} {what} {} {}", event.task, event.run));
        }
        lines.join("\n") + "\n"
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
