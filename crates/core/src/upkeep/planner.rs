use std::sync::Arc;
use std::time::{Duration, Instant};

use super::balance::Balance;
use super::event::{Action, Answer, Command, Event, Operation};
use super::host::{Host, State};
use super::wave::Tour;
use crate::ids;
use crate::journal::{Drain, Load};
use crate::map::Map;
use crate::queue::Config;

/// Time since the log was reached for which commands are given; a new leader waits longer.
const FRESH: Duration = Duration::from_millis(1_500);
/// Time without an answer of the host list after which a host counts as gone for good.
const GONE: Duration = Duration::from_secs(6);
/// Time for which a host counts as down after a command, as the list lags.
const LAG: Duration = Duration::from_millis(1_500);
/// Time before a host that was busy is tried again.
const AGAIN: Duration = Duration::from_millis(400);
/// `Options` holds the limits of a planner.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time in which two holders must not both give commands.
    pub lease: Duration,
    /// Time that a host is down for maintenance.
    pub maintenance_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            maintenance_time: Duration::from_secs(2),
        }
    }
}

/// `Task` is a host that is being freed or told something.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) kind: Operation,
    /// Worker that is freed, with its service; nothing for a host that runs none.
    pub(super) drain: Option<(ids::Worker, Drain)>,
    pub(super) vacated: bool,
    pub(super) since: Instant,
    /// Whether a command is on its way.
    pub(super) sent: bool,
    /// Time before which no further command is given.
    pub(super) after: Instant,
    /// Whether a command may have been carried out.
    pub(super) doubtful: bool,
}

/// `Planner` decides for the hosts of the fleet in one term.
#[derive(Debug)]
pub struct Planner {
    pub(super) options: Options,
    node: ids::Instance,
    term: ids::Term,
    pub(super) config: Arc<Config>,
    pub(super) hosts: Map<ids::Host, Host>,
    /// Time at which a host was last listed.
    listed: Map<ids::Host, Instant>,
    pub(super) loads: Map<ids::Service, Load>,
    pub(super) tours: Vec<Tour>,
    pub(super) balance: Balance,
    pub(super) tasks: Map<ids::Host, Task>,
    /// Hosts that were told to go down, with the time.
    pub(super) down: Map<ids::Host, Instant>,
    /// Drains that the log has.
    pub(super) drains: Map<ids::Worker, Drain>,
    /// Workers whose host was told to go, which the list may still have for a while.
    pub(super) ended: Map<ids::Worker, Instant>,
    confirmed: Instant,
    /// Time before which an older holder may have a command on its way.
    starts: Instant,
}

impl Planner {
    /// Makes a planner for a new term.
    ///
    /// `has_predecessor` is false when no leader came before that may have a command on its way.
    #[must_use]
    pub fn new(
        options: Options,
        node: ids::Instance,
        term: ids::Term,
        has_predecessor: bool,
        now: Instant,
    ) -> Self {
        let wait = if has_predecessor {
            options.lease + FRESH
        } else {
            Duration::ZERO
        };
        Self {
            options,
            node,
            term,
            config: Arc::default(),
            hosts: Map::default(),
            listed: Map::default(),
            loads: Map::default(),
            tours: Vec::new(),
            balance: Balance::default(),
            tasks: Map::default(),
            down: Map::default(),
            drains: Map::default(),
            ended: Map::default(),
            confirmed: now,
            starts: now + wait,
        }
    }

    /// Takes an event in.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Config(config) => self.config = config,
            Event::Hosts(hosts) => self.note_hosts(now, hosts),
            Event::WaveRequested(wave, asked) => {
                if !self
                    .tours
                    .iter()
                    .any(|tour| tour.wave.number == wave.number)
                {
                    self.tours.push(Tour::new(wave, asked));
                }
            }
            Event::MaintainedHosts(number, hosts) => {
                if let Some(tour) = self.tours.iter_mut().find(|t| t.wave.number == number) {
                    tour.done.extend(hosts);
                }
            }
            Event::DrainRecorded(worker, drain) => {
                match drain {
                    Some(drain) => {
                        self.drains.insert(worker, drain);
                    }
                    None => self.note_undrained(&worker),
                }
                return;
            }
            Event::Drained(worker) => {
                for task in self.tasks.values_mut() {
                    task.vacated |= task
                        .drain
                        .as_ref()
                        .is_some_and(|(known, _)| *known == worker);
                }
            }
            Event::Loads(loads) => {
                for load in loads {
                    self.balance.demand.note(now, &load);
                    self.loads.insert(load.service.clone(), load);
                }
            }
            Event::Answered(command, answer) => self.note_answer(now, &command, answer, actions),
            Event::TermConfirmed(at) => {
                self.confirmed = self.confirmed.max(at);
                return;
            }
            Event::Tick => {}
        }
        self.act(now, actions);
    }

    fn note_hosts(&mut self, now: Instant, hosts: Vec<Host>) {
        for host in hosts {
            self.listed.insert(host.name.clone(), now);
            self.balance.note_host(now, &host);
            if host.state == State::Maintenance {
                self.down.insert(host.name.clone(), now);
            }
            self.hosts.insert(host.name.clone(), host);
        }
        let listed = &self.listed;
        let fresh = |host: &ids::Host| {
            listed
                .get(host)
                .is_some_and(|at| now.saturating_duration_since(*at) < GONE)
        };
        self.hosts.retain(|host, _| fresh(host));
    }

    fn note_answer(
        &mut self,
        now: Instant,
        command: &Command,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Some(task) = self.tasks.get_mut(&command.host) else {
            return;
        };
        task.sent = false;
        match answer {
            Answer::Done => self.finish(now, &command.host, actions),
            Answer::Busy | Answer::Limited => task.after = now + AGAIN,
            Answer::Unknown => {
                task.after = now + AGAIN;
                task.doubtful = true;
                self.down.insert(command.host.clone(), now);
            }
            Answer::Fenced => task.after = now + self.options.lease,
            // A host that can't be told is not maintained; operators see the wave running.
            Answer::Refused => self.drop_task(&command.host, actions),
        }
    }

    fn finish(&mut self, now: Instant, host: &ids::Host, actions: &mut Vec<Action>) {
        let Some(task) = self.tasks.remove(host) else {
            return;
        };
        if let Some((worker, drain)) = task.drain {
            // Its life is over, but the list may go on naming it; nothing may start there.
            self.ended.insert(worker.clone(), now);
            self.drains.insert(worker, drain);
        }
        match task.kind {
            Operation::Maintain(number) => self.finish_upkeep(now, host, number, actions),
            Operation::Move(service) => self.balance.note_move(now, host, &service),
        }
    }

    fn act(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.starts || now.saturating_duration_since(self.confirmed) > FRESH {
            return;
        }
        // The list lags, so a host that was told to go down counts as down for a while.
        let gone = self.options.maintenance_time + LAG;
        self.down
            .retain(|_, at| now.saturating_duration_since(*at) < gone);
        self.tell(actions);
        self.drop_stale(now, actions);
        self.plan_waves(now, actions);
        self.plan_moves(now, actions);
        self.drop_orphans(now, actions);
        self.repeat_drains(actions);
        self.steer(now, actions);
    }

    /// Gets how full a service is, in percent of its room; spare hosts come first.
    pub(super) fn press(&self, service: &ids::Service) -> u64 {
        if self.is_spare(service) {
            return 0;
        }
        self.loads.get(service).map_or(100, |load| {
            1 + (load.used + load.long_running + load.backlog) * 100 / load.capacity.max(1)
        })
    }

    pub(super) fn is_spare(&self, service: &ids::Service) -> bool {
        self.config
            .service(service)
            .is_some_and(|service| service.is_spare)
    }

    pub(super) fn begin(
        &mut self,
        now: Instant,
        host: &ids::Host,
        kind: Operation,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.hosts.get(host) else {
            return;
        };
        let spare = self.is_spare(&entry.service);
        let worker = entry.worker.clone().filter(|_| !spare);
        let drain = worker.map(|worker| {
            let drain = Drain {
                host: host.clone(),
                service: entry.service.clone(),
            };
            (worker, drain)
        });
        if let Some((worker, drain)) = &drain {
            self.drains.insert(worker.clone(), drain.clone());
            actions.push(Action::Drain(worker.clone(), drain.clone()));
        }
        let task = Task {
            kind,
            vacated: drain.is_none(),
            drain,
            since: now,
            sent: false,
            after: now,
            doubtful: false,
        };
        self.tasks.insert(host.clone(), task);
    }

    /// Calls the host service for hosts that are free.
    fn steer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut free: Vec<(Instant, ids::Host)> = Vec::new();
        for (host, task) in &self.tasks {
            if task.vacated && !task.sent && task.after <= now {
                free.push((task.since, host.clone()));
            }
        }
        free.sort();
        for (_, host) in free {
            let Some(task) = self.tasks.get(&host) else {
                continue;
            };
            if let Operation::Maintain(number) = task.kind
                && !self.has_slot(number, &host)
            {
                continue;
            }
            let command = Command {
                host: host.clone(),
                operation: task.kind.clone(),
                holder: self.node.clone(),
                fencing_token: self.term,
            };
            if let Some(task) = self.tasks.get_mut(&host) {
                task.sent = true;
            }
            actions.push(Action::CallHostService(command));
        }
    }
}
