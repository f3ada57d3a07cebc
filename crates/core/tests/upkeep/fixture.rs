//! A planner with simulated hosts, host service and loads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmongate_core::ids;
use persimmongate_core::journal::{Drain, Load};
use persimmongate_core::queue::{Config, Service};
use persimmongate_core::sched::Resources;
use persimmongate_core::upkeep::{
    Action, Answer, Command, Event, History, Host, Listing, Operation, Options, Planner,
    Predecessor, State, Wave,
};

/// Processor capacity of a host.
pub(crate) const HOST_CPU_MILLICORES: u64 = 8_000;
/// Service of the spare pool.
const SPARE: &str = "spare";

/// `Fixture` is a planner with simulated hosts and time.
pub(crate) struct Fixture {
    pub(crate) planner: Planner,
    pub(crate) now: Instant,
    pub(crate) hosts: Vec<Host>,
    /// Hosts that are moving or under maintenance, with the time at which each returns and the pool that it returns to.
    pub(crate) returning: Vec<(Instant, ids::Host, ids::Service)>,
    pub(crate) drains: Vec<(ids::Worker, Drain)>,
    pub(crate) undrained: Vec<ids::Worker>,
    pub(crate) commands: Vec<Command>,
    /// Workers that are never drained.
    pub(crate) stuck: Vec<ids::Worker>,
    /// Hosts whose commands the host service refuses.
    pub(crate) refused: Vec<ids::Host>,
    pub(crate) wave_reports: Vec<(ids::WaveNumber, bool)>,
    pub(crate) loads: Vec<Load>,
    /// Highest number of hosts that were under maintenance at once.
    pub(crate) peak_down_count: usize,
    config: Arc<Config>,
    /// What another process remembers of the loads.
    history: History,
    /// Time at which the next pass of planning is due.
    plan_due_at: Option<Instant>,
}

impl Fixture {
    pub(crate) fn new(has_predecessor: bool) -> Self {
        let pools = [("one", 4), ("two", 4), (SPARE, 2)];
        Self::with_hosts(has_predecessor, &pools)
    }

    /// Creates a fleet of services with equal pools, and as many hosts in the spare pool.
    pub(crate) fn with_pools(services: &[&str], hosts: usize) -> Self {
        let pools = services.iter().map(|service| (*service, hosts));
        let pools: Vec<_> = pools.chain([(SPARE, hosts)]).collect();
        Self::with_hosts(false, &pools)
    }

    fn with_hosts(has_predecessor: bool, pools: &[(&str, usize)]) -> Self {
        let now = Instant::now();
        let predecessor = if has_predecessor {
            Predecessor::Active
        } else {
            Predecessor::Absent
        };
        let planner = Planner::new(
            Options::default(),
            "node".into(),
            7,
            predecessor,
            History::default(),
            now,
        );
        let service = |(name, _): &(&str, usize)| Service {
            name: (*name).into(),
            rejects_overload: false,
            is_spare: *name == SPARE,
        };
        let services = pools.iter().map(service);
        let config = Config::new(1, Vec::new(), services.collect());
        let mut fixture = Self {
            planner,
            now,
            hosts: Vec::new(),
            returning: Vec::new(),
            drains: Vec::new(),
            undrained: Vec::new(),
            commands: Vec::new(),
            stuck: Vec::new(),
            refused: Vec::new(),
            wave_reports: Vec::new(),
            loads: Vec::new(),
            peak_down_count: 0,
            config: Arc::new(config),
            history: History::default(),
            plan_due_at: None,
        };
        for (service, count) in pools {
            for number in 0..*count {
                fixture.hosts.push(host(service, number));
            }
        }
        fixture.step(Event::Config(fixture.config.clone()));
        fixture
    }

    /// Puts a planner of the next term in place of the present one; its process has seen the same loads.
    pub(crate) fn succeed(&mut self) {
        let history = self.history.clone();
        let options = Options::default();
        self.planner = Planner::new(
            options,
            "next".into(),
            8,
            Predecessor::Resigned,
            history,
            self.now,
        );
        self.plan_due_at = None;
        self.step(Event::Config(self.config.clone()));
        self.refresh();
    }

    /// Passes an event to the planner, and waits until it has planned.
    pub(crate) fn step(&mut self, event: Event) {
        self.step_once(event);
        self.wait_for_plan();
    }

    fn wait_for_plan(&mut self) {
        while let Some(due_at) = self.plan_due_at.take() {
            self.now = self.now.max(due_at);
            self.step_once(Event::PlanDue);
        }
    }

    fn step_once(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.planner.step(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Drain(worker, drain) => self.drains.push((worker, drain)),
                Action::Undrain(worker, _) => self.undrained.push(worker),
                Action::CallHostService(command) => self.carry_out(command),
                Action::ReportWave(wave, complete) => self.wave_reports.push((wave, complete)),
                Action::RecordMaintained(..) => {}
                Action::SchedulePlan(wait) => self.plan_due_at = Some(self.now + wait),
            }
        }
    }

    /// Requests a wave.
    pub(crate) fn request_wave(&mut self, wave: Wave) {
        self.step(Event::WaveRequested(wave, self.now));
    }

    /// Carries a command out; the planner gets the answer in the next round.
    pub(crate) fn carry_out(&mut self, command: Command) {
        if self.refused.contains(&command.host) {
            self.commands.push(command);
            return;
        }
        let pool = match &command.operation {
            Operation::Move(service) => service.clone(),
            Operation::Maintain(_) => self.find(&command.host).service.clone(),
        };
        let returns_at = self.now + Duration::from_secs(2);
        self.returning
            .push((returns_at, command.host.clone(), pool));
        let state = match command.operation {
            Operation::Move(_) => State::Moving,
            Operation::Maintain(_) => State::Maintenance,
        };
        let host = self
            .hosts
            .iter_mut()
            .find(|host| host.name == command.host)
            .unwrap();
        host.state = state;
        host.worker = None;
        let down = self
            .hosts
            .iter()
            .filter(|host| host.state == State::Maintenance);
        self.peak_down_count = self.peak_down_count.max(down.count());
        self.commands.push(command);
    }

    pub(crate) fn find(&self, host: &ids::Host) -> &Host {
        self.hosts.iter().find(|entry| entry.name == *host).unwrap()
    }

    /// Returns the host list as the host service sends it.
    pub(crate) fn listing(&self) -> Listing {
        Listing {
            hosts: self.hosts.clone(),
            is_complete: true,
        }
    }

    /// Sends the current state of the log, the hosts and the loads to the planner.
    pub(crate) fn refresh(&mut self) {
        self.step(Event::TermConfirmed(self.now));
        self.step(Event::Hosts(self.listing()));
        for load in &self.loads {
            self.history.add_sample(self.now, load);
        }
        self.step(Event::Loads(self.loads.clone()));
    }

    /// Advances the time; the shards drain workers at once.
    pub(crate) fn run(&mut self, seconds: u64) {
        self.run_for(Duration::from_secs(seconds));
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        let mut answered = self.commands.len();
        while self.now < end {
            self.now += Duration::from_millis(200);
            let now = self.now;
            for (_, host, pool) in self
                .returning
                .extract_if(.., |(returns_at, ..)| *returns_at <= now)
            {
                let entry = self
                    .hosts
                    .iter_mut()
                    .find(|entry| entry.name == host)
                    .unwrap();
                entry.state = State::Up;
                entry.worker = (pool != SPARE).then(|| format!("w-{host}").into());
                entry.service = pool;
            }
            self.refresh();
            for (worker, _) in std::mem::take(&mut self.drains) {
                if !self.stuck.contains(&worker) {
                    self.step_once(Event::Drained(worker));
                }
            }
            self.wait_for_plan();
            while answered < self.commands.len() {
                let command = self.commands[answered].clone();
                answered += 1;
                let answer = if self.refused.contains(&command.host) {
                    Answer::Refused
                } else {
                    Answer::Done
                };
                self.step_once(Event::Answered(command, answer));
            }
            self.step(Event::Tick);
        }
    }

    /// Returns the hosts of a service that are up, the first ones first.
    pub(crate) fn hosts_of(&self, service: &str) -> Vec<ids::Host> {
        let hosts = self.hosts.iter();
        let hosts = hosts.filter(|host| host.service == *service && host.state == State::Up);
        hosts.map(|host| host.name.clone()).collect()
    }

    pub(crate) fn pool_size(&self, service: &str) -> usize {
        self.hosts
            .iter()
            .filter(|host| host.service == *service)
            .count()
    }
}

pub(crate) fn host(service: &str, number: usize) -> Host {
    let name = format!("{service}-{number}");
    Host {
        service: service.into(),
        state: State::Up,
        worker: (service != SPARE).then(|| format!("w-{name}").into()),
        resources: Resources {
            cpu_millicores: HOST_CPU_MILLICORES,
            memory_mb: 1_000,
            gpus: 0,
        },
        labels: Vec::new(),
        name: name.into(),
    }
}

pub(crate) fn load(
    service: &str,
    used_millicores: u64,
    backlog_millicores: u64,
    short_running_workers: &[&str],
) -> Load {
    Load {
        service: service.into(),
        used: used_millicores,
        backlog: backlog_millicores,
        capacity: 4 * HOST_CPU_MILLICORES,
        arrival_rate: used_millicores,
        min_hosts: 2,
        short_running_workers: short_running_workers
            .iter()
            .map(|worker| ((*worker).into(), 0))
            .collect(),
        ..Load::default()
    }
}

/// Creates the load of a service whose four hosts are idle and which has no long-running tasks.
pub(crate) fn idle_load(service: &str) -> Load {
    let workers: Vec<String> = (0..4).map(|n| format!("w-{service}-{n}")).collect();
    let workers: Vec<&str> = workers.iter().map(String::as_str).collect();
    Load {
        min_hosts: 0,
        ..load(service, 0, 0, &workers)
    }
}

pub(crate) fn wave(max_down: usize) -> Wave {
    let hosts = (0..4).flat_map(|n| [format!("one-{n}").into(), format!("two-{n}").into()]);
    Wave {
        number: 1,
        hosts: hosts.collect(),
        time_limit: Duration::from_secs(30),
        max_down,
    }
}
