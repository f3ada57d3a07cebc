use std::sync::Arc;
use std::time::{Duration, Instant};

use super::balance::Balance;
use super::event::{Action, Answer, Command, Event, Operation};
use super::history::History;
use super::host::{Host, Listing, State};
use super::transition::Transition;
use super::wave::Rollout;
use crate::ids;
use crate::journal::{Drain, Load};
use crate::map::Map;
use crate::queue::Config;

/// Maximum age of the last read of the log that found no newer term, for commands to be sent. A new leader
/// waits longer, so that its predecessor has stopped by then.
const MAX_TERM_CHECK_AGE: Duration = Duration::from_millis(1_500);
/// Time without the host in an answer of the host list after which the host counts as lost for good.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay of the host list, for which a host counts as down beyond its maintenance time.
const HOST_LIST_LAG: Duration = Duration::from_millis(1_500);
/// Shortest time between two passes of planning, per host of the fleet, as a pass looks at each. It bounds the
/// share of the processor that planning takes.
const PLAN_INTERVAL_PER_HOST: Duration = Duration::from_micros(100);
/// Longest such time, which is short compared with a move.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Time before a command is repeated that found its host busy, was rate-limited or has an unknown outcome.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Demand that counts for a service whose turn is about to start: its hosts are needed as much as those of a
/// service that uses all of them.
const UPCOMING_DEMAND_PERCENT: u64 = 100;

/// `Predecessor` is what is known of the leader before, whose commands may be in flight or not show in the host list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Predecessor {
    /// There was none.
    Absent,
    /// It sends no further commands.
    Resigned,
    /// It may still send commands.
    Active,
}

/// `Options` holds the limits of a planner.
#[derive(Clone, Debug)]
pub struct Options {
    /// Lease of a leader: time that a new leader waits, as its predecessor may still send commands.
    pub lease: Duration,
    /// Time for which a host is down for maintenance.
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

/// `Planner` plans maintenance and moves of the hosts of the fleet in one term.
#[derive(Debug)]
pub struct Planner {
    pub(super) options: Options,
    pub(super) node: ids::Instance,
    pub(super) term: ids::Term,
    pub(super) config: Arc<Config>,
    pub(super) hosts: Map<ids::Host, Host>,
    /// Time at which each host was last in the host list.
    listed_at: Map<ids::Host, Instant>,
    pub(super) loads: Map<ids::Service, Load>,
    pub(super) rollouts: Vec<Rollout>,
    pub(super) balance: Balance,
    pub(super) transitions: Map<ids::Host, Transition>,
    /// Hosts whose latest transition was refused or took too long, with the time. They come after all others.
    pub(super) setbacks: Map<ids::Host, Instant>,
    /// Number of transitions planned in this term.
    pub(super) transition_count: u64,
    /// Hosts that are down for maintenance or may be, with the time since when.
    pub(super) down_since: Map<ids::Host, Instant>,
    /// Drains that the log records or that were requested.
    pub(super) drains: Map<ids::Worker, Drain>,
    /// Drains whose withdrawal the log does not hold yet, with the time of the latest withdrawal.
    pub(super) withdrawals: Map<ids::Worker, (Drain, Instant)>,
    /// Workers of hosts that were maintained or moved, with the time. The host list may still name them.
    pub(super) departed: Map<ids::Worker, Instant>,
    /// Time of the latest read of the log that found no newer term.
    term_confirmed_at: Instant,
    /// Time from which this leader plans; until then a command of its predecessor may be in flight.
    active_from: Instant,
    /// Time from which it takes hosts down; until then the host list may lack those that its predecessor took down.
    pub(super) maintains_from: Instant,
    /// Time of the latest pass of planning.
    planned_at: Option<Instant>,
    /// Whether `Event::PlanDue` is to come.
    is_plan_scheduled: bool,
}

impl Planner {
    /// Creates a planner for a new term, with what its process remembers of the demand.
    ///
    #[must_use]
    pub fn new(
        options: Options,
        node: ids::Instance,
        term: ids::Term,
        predecessor: Predecessor,
        history: History,
        now: Instant,
    ) -> Self {
        let (wait, list_lag) = match predecessor {
            Predecessor::Absent => (Duration::ZERO, Duration::ZERO),
            Predecessor::Resigned => (Duration::ZERO, HOST_LIST_LAG),
            Predecessor::Active => (options.lease + MAX_TERM_CHECK_AGE, Duration::ZERO),
        };
        Self {
            options,
            node,
            term,
            config: Arc::default(),
            hosts: Map::default(),
            listed_at: Map::default(),
            loads: Map::default(),
            rollouts: Vec::new(),
            balance: Balance::new(history),
            transitions: Map::default(),
            setbacks: Map::default(),
            transition_count: 0,
            down_since: Map::default(),
            drains: Map::default(),
            withdrawals: Map::default(),
            departed: Map::default(),
            term_confirmed_at: now,
            active_from: now + wait,
            maintains_from: now + wait + list_lag,
            planned_at: None,
            is_plan_scheduled: false,
        }
    }

    /// Handles an event and adds the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Config(config) => self.config = config,
            Event::Hosts(listing) => self.update_hosts(now, listing),
            Event::WaveRequested(wave, requested_at) => {
                if !self
                    .rollouts
                    .iter()
                    .any(|rollout| rollout.wave.number == wave.number)
                {
                    self.rollouts.push(Rollout::new(wave, requested_at));
                }
            }
            Event::MaintainedHosts(number, hosts) => {
                if let Some(rollout) = self
                    .rollouts
                    .iter_mut()
                    .find(|rollout| rollout.wave.number == number)
                {
                    rollout.maintained.extend(hosts);
                }
            }
            Event::DrainRecorded(worker, drain) => {
                match drain {
                    Some(drain) => {
                        self.drains.insert(worker, drain);
                    }
                    None => self.note_withdrawn_drain(&worker),
                }
                return;
            }
            Event::Drained(worker) => {
                for transition in self.transitions.values_mut() {
                    transition.is_drained |= transition
                        .drain
                        .as_ref()
                        .is_some_and(|(known, _)| *known == worker);
                }
            }
            Event::Loads(loads) => {
                for load in loads {
                    self.balance.history.add_sample(now, &load);
                    self.balance.reported_at.insert(load.service.clone(), now);
                    self.loads.insert(load.service.clone(), load);
                }
            }
            Event::Answered(command, answer) => self.handle_answer(now, &command, answer, actions),
            Event::TermConfirmed(sent_at) => {
                self.term_confirmed_at = self.term_confirmed_at.max(sent_at);
                return;
            }
            Event::PlanDue => self.is_plan_scheduled = false,
            Event::Tick => {}
        }
        self.plan_if_due(now, actions);
    }

    /// Plans if the latest pass is long enough ago, or schedules the next pass.
    fn plan_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        let interval = PLAN_INTERVAL_PER_HOST.saturating_mul(hosts);
        let interval = interval.min(MAX_PLAN_INTERVAL);
        let due_at = self.planned_at.map(|planned_at| planned_at + interval);
        match due_at.filter(|due_at| *due_at > now) {
            Some(due_at) if !self.is_plan_scheduled => {
                self.is_plan_scheduled = true;
                actions.push(Action::SchedulePlan(due_at - now));
            }
            Some(_) => {}
            None => {
                self.planned_at = Some(now);
                self.plan(now, actions);
            }
        }
    }

    fn update_hosts(&mut self, now: Instant, listing: Listing) {
        if !listing.is_complete {
            // A host that is missing may be one that could not be read.
            for listed_at in self.listed_at.values_mut() {
                *listed_at = now;
            }
        }
        for host in listing.hosts {
            self.listed_at.insert(host.name.clone(), now);
            self.balance.update_move(now, &host);
            if host.state == State::Maintenance {
                self.down_since.insert(host.name.clone(), now);
            }
            self.hosts.insert(host.name.clone(), host);
        }
        let listed_at = &self.listed_at;
        let is_listed = |host: &ids::Host| {
            listed_at
                .get(host)
                .is_some_and(|at| now.saturating_duration_since(*at) < UNLISTED_TIMEOUT)
        };
        self.hosts.retain(|host, _| is_listed(host));
        self.setbacks.retain(|host, _| is_listed(host));
    }

    fn handle_answer(
        &mut self,
        now: Instant,
        command: &Command,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Some(transition) = self.transitions.get_mut(&command.host) else {
            return;
        };
        transition.has_command_in_flight = false;
        match answer {
            Answer::Done => self.finish(now, &command.host, actions),
            Answer::Busy | Answer::Limited => transition.not_before = now + RETRY_DELAY,
            Answer::Unknown => {
                transition.not_before = now + RETRY_DELAY;
                transition.is_outcome_unknown = true;
                self.down_since.insert(command.host.clone(), now);
            }
            Answer::Fenced => transition.not_before = now + self.options.lease,
            // A host whose command is rejected is not maintained, so operators see the wave as incomplete.
            Answer::Refused => {
                self.setbacks.insert(command.host.clone(), now);
                self.cancel_transition(now, &command.host, actions);
            }
        }
    }

    fn finish(&mut self, now: Instant, host: &ids::Host, actions: &mut Vec<Action>) {
        let Some(transition) = self.transitions.remove(host) else {
            return;
        };
        self.setbacks.remove(host);
        if let Some((worker, drain)) = transition.drain {
            // The worker has ended, but the host list may still name it. It keeps its drain, so that no
            // task is started there.
            self.departed.insert(worker.clone(), now);
            self.drains.insert(worker, drain);
        }
        match transition.operation {
            Operation::Maintain(number) => self.record_maintenance(now, host, number, actions),
            Operation::Move(service) => self.balance.record_move(now, host, &service),
        }
    }

    fn plan(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.active_from
            || now.saturating_duration_since(self.term_confirmed_at) > MAX_TERM_CHECK_AGE
        {
            return;
        }
        // The host list lags, so a host counts as down for longer than its maintenance takes.
        let down_time = self.options.maintenance_time + HOST_LIST_LAG;
        self.down_since
            .retain(|_, down_at| now.saturating_duration_since(*down_at) < down_time);
        self.foresee_turns(now);
        self.report_waves(actions);
        self.cancel_stale(now, actions);
        self.plan_waves(now, actions);
        self.plan_moves(now, actions);
        self.withdraw_orphaned_drains(now, actions);
        self.repeat_drains(actions);
        self.repeat_withdrawals(now, actions);
        self.send_commands(now, actions);
    }

    /// Returns the demand of a service in percent of its processor time; the spare pool has 0, below every
    /// service.
    pub(super) fn demand_percent(&self, service: &ids::Service) -> u64 {
        if self.is_spare(service) {
            return 0;
        }
        let is_upcoming = self.balance.upcoming.contains_key(service);
        let upcoming_percent = if is_upcoming {
            UPCOMING_DEMAND_PERCENT
        } else {
            0
        };
        self.current_demand_percent(service).max(upcoming_percent)
    }

    fn current_demand_percent(&self, service: &ids::Service) -> u64 {
        self.loads.get(service).map_or(100, |load| {
            let demand = load.used.saturating_add(load.long_running);
            let demand = demand.saturating_add(load.backlog);
            (demand.saturating_mul(100) / load.capacity.max(1)).saturating_add(1)
        })
    }

    pub(super) fn is_spare(&self, service: &ids::Service) -> bool {
        self.config
            .service(service)
            .is_some_and(|service| service.is_spare)
    }
}
