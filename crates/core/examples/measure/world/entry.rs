//! Simulated entry hosts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use bytes::Bytes;
use persimmongate_core::gate::{Action, Event, Exchange, Gate, Options};
use persimmongate_core::invariant::{self, Breach};
use persimmongate_core::map::Set;
use persimmongate_core::outcome::Answer;
use persimmongate_core::record::Role;
use persimmongate_core::state::Stage;
use persimmongate_core::{fleet, ids};
use rand::RngExt;

use super::SECOND;
use super::caller::Call;
use super::follower::{Follower, Notification};
use super::message::{Message, Process};
use super::platform::{Completion, Job};
use super::run::World;

/// Interval of the ticks at which the gate checks deadlines, in steps.
const TICK_INTERVAL_STEPS: u64 = 2;
/// Interval of the reports on draining hosts, in steps.
const DRAIN_REPORT_INTERVAL_STEPS: u64 = 50;
/// Upper limit on the delay of a write while writes are delayed, in steps.
const WRITE_DELAY_LIMIT_STEPS: u64 = 6 * SECOND;

/// `Entry` is an entry host from one start to its replacement.
pub(crate) struct Entry {
    pub(crate) process: Process,
    pub(crate) gate: Gate,
    pub(crate) checker: invariant::Gate,
    pub(crate) follower: Follower,
    pub(crate) frozen_until: u64,
    pub(crate) partitioned_until: u64,
    /// Events that the gate has not handled yet, among them those that came while it was frozen.
    pub(crate) inbox: VecDeque<Event>,
    /// Calls whose caller waits for the outcome.
    pub(crate) calls: BTreeMap<ids::Request, Call>,
    /// Calls whose caller closed the connection.
    pub(crate) disconnected_calls: BTreeMap<ids::Request, Call>,
    /// Exchanges that have not ended.
    pub(crate) open_exchanges: Set<u64>,
    last_request: ids::Request,
}

impl Entry {
    pub(crate) fn new(process: Process, seed: u64) -> Self {
        let options = Options {
            zone: format!("zone-{}", process.index).into(),
            ..Options::default()
        };
        Self {
            process,
            gate: Gate::new(options, seed),
            checker: invariant::Gate::default(),
            follower: Follower::new(
                process.instance("entry"),
                Role::Entry,
                process.start_count << 32,
            ),
            frozen_until: 0,
            partitioned_until: 0,
            inbox: VecDeque::new(),
            calls: BTreeMap::new(),
            disconnected_calls: BTreeMap::new(),
            open_exchanges: Set::default(),
            last_request: 0,
        }
    }

    /// Accepts a call that the load balancer has assigned to this host.
    pub(crate) fn accept(&mut self, call: Call, now: Instant) {
        self.last_request += 1;
        let request = call.request(self.last_request, now);
        self.calls.insert(self.last_request, call);
        self.inbox.push_back(Event::Arrive(request));
    }

    fn apply_notifications(&mut self, notifications: Vec<Notification>) {
        for notification in notifications {
            match notification {
                Notification::Change(change) => self.inbox.push_back(Event::Change(change)),
                Notification::ClaimCompleted(request, claim) => {
                    self.inbox.push_back(Event::Claimed(request, claim));
                }
                Notification::CaughtUp | Notification::AppendCompleted(..) => {}
            }
        }
    }

    fn handle_next(&mut self, now: Instant, breaches: &mut Vec<Breach>) -> Option<Vec<Action>> {
        let event = self.inbox.pop_front()?;
        let mut actions = Vec::new();
        self.gate.step(now, event.clone(), &mut actions);
        self.checker.observe(&event, &actions, breaches);
        Some(actions)
    }
}

impl World {
    /// Advances an entry host by one step unless it is frozen.
    pub(crate) fn advance_entry(&mut self, index: usize) {
        let (step, now, log_time) = (self.step, self.now(), self.log_time());
        let peer_state = self.peer_state(index, usize::MAX);
        let entry = &mut self.entries[index];
        if step < entry.frozen_until {
            return;
        }
        let is_partitioned = step < entry.partitioned_until;
        if let Some(state) = peer_state.filter(|_| !is_partitioned) {
            let notifications = entry.follower.restore(&state);
            entry.apply_notifications(notifications);
        }
        let log = (!is_partitioned).then_some(&self.log);
        let mut notifications = entry.follower.read_log(log, &mut self.breaches);
        notifications.extend(entry.follower.expire_claims(step));
        entry.apply_notifications(notifications);
        if step.is_multiple_of(TICK_INTERVAL_STEPS) {
            entry.inbox.push_back(Event::Tick);
        }
        while let Some(actions) = self.entries[index].handle_next(now, &mut self.breaches) {
            for action in actions {
                self.execute_entry_action(index, action);
            }
        }
        if step.is_multiple_of(DRAIN_REPORT_INTERVAL_STEPS) {
            self.send_drain_reports(index);
        }
        let log = (!is_partitioned && !self.appends_stopped).then_some(&mut self.log);
        self.entries[index].follower.flush(step, log_time, log);
    }

    fn execute_entry_action(&mut self, index: usize, action: Action) {
        let step = self.step;
        let entry = &mut self.entries[index];
        match action {
            // Each simulated exchange has a connection of its own, so none has to be closed.
            Action::Abandon { .. } => {}
            Action::Claim { request, key } => {
                let notification = entry.follower.claim(step, request, key);
                entry.apply_notifications(notification.into_iter().collect());
            }
            Action::ReportKeyOutcome { key, outcome } => {
                entry.follower.report_outcome(key, outcome);
            }
            Action::Finish { request, outcome } => {
                let Some(call) = entry.calls.remove(&request) else {
                    return;
                };
                let retry = self
                    .ledger
                    .record_outcome(&call, Some(&outcome), &mut self.breaches);
                self.schedule_retry(retry);
            }
            Action::Report {
                host,
                drain_offset,
                in_flight,
            } => self.send_drain_report(index, &host, drain_offset, in_flight),
            Action::Send { request, host, .. } => self.send(index, request, host),
        }
    }

    fn send(&mut self, index: usize, request: ids::Request, host: ids::Host) {
        let delay = if self.step < self.fault_ends.delayed_writes {
            self.rng.random_range(0..WRITE_DELAY_LIMIT_STEPS)
        } else {
            0
        };
        let entry = &mut self.entries[index];
        let disconnected = entry.disconnected_calls.get(&request);
        let Some(call) = entry.calls.get(&request).or(disconnected) else {
            return;
        };
        self.last_exchange += 1;
        entry.open_exchanges.insert(self.last_exchange);
        let job = Job {
            entry: entry.process,
            exchange: self.last_exchange,
            request,
            nonce: call.nonce,
            key: call.key,
        };
        let timeout = Message::Exchange {
            entry: entry.process,
            exchange: self.last_exchange,
            event: done_event(request, &host, Exchange::Timeout),
        };
        self.network.send(self.step + call.timeout_steps, timeout);
        let delivery_step = self.step + 1 + delay;
        self.network.send(delivery_step, Message::Job(host, job));
    }

    /// Delivers a request to its worker.
    pub(crate) fn deliver(&mut self, host: &ids::Host, job: &Job) {
        let Some(worker) = self.platform.workers.get_mut(host) else {
            return;
        };
        let exchange = if worker.is_down() {
            Exchange::Unsent
        } else if worker.start(self.step, job.clone(), &mut self.rng) {
            self.ledger
                .record_start(job.nonce, job.key, &mut self.breaches);
            return;
        } else {
            Exchange::Unavailable
        };
        self.send_exchange_end(host, job, exchange);
    }

    /// Sends the completion of a job to its entry host. As on a real connection, an answer that
    /// names another process or request counts as a mismatch.
    pub(crate) fn complete_job(&mut self, host: &ids::Host, job: &Job, completion: &Completion) {
        let exchange = match completion {
            Completion::Answered { echo, .. } if *echo != (job.entry, job.request) => {
                Exchange::Mismatch
            }
            Completion::Answered { nonce, .. } => Exchange::Answered(Answer {
                status: 200,
                body: Bytes::copy_from_slice(&nonce.to_be_bytes()),
            }),
            Completion::Broken => Exchange::Broken,
        };
        self.send_exchange_end(host, job, exchange);
    }

    fn send_exchange_end(&mut self, host: &ids::Host, job: &Job, exchange: Exchange) {
        let message = Message::Exchange {
            entry: job.entry,
            exchange: job.exchange,
            event: done_event(job.request, host, exchange),
        };
        self.network.send(self.step + 1, message);
    }

    fn send_drain_report(
        &mut self,
        index: usize,
        host: &ids::Host,
        drain_offset: ids::Offset,
        in_flight: u32,
    ) {
        if self.step < self.entries[index].partitioned_until {
            return;
        }
        let instance = self.entries[index].process.instance("entry");
        for process in self.fleets.iter().map(|fleet| fleet.process) {
            let event = fleet::Event::Report {
                instance: instance.clone(),
                host: host.clone(),
                drain_offset,
                in_flight,
            };
            self.network
                .send(self.step + 1, Message::Fleet(process, event));
        }
    }

    fn send_drain_reports(&mut self, index: usize) {
        let entry = &self.entries[index];
        let hosts = entry.follower.state.hosts.iter();
        let mut drains: Vec<_> = hosts
            .filter_map(|(name, host)| match host.stage {
                Stage::Draining { since, .. } => {
                    Some((name.clone(), since, entry.gate.in_flight_count(name)))
                }
                _ => None,
            })
            .collect();
        drains.sort();
        for (host, drain_offset, in_flight) in drains {
            self.send_drain_report(index, &host, drain_offset, in_flight);
        }
    }

    /// Replaces an entry host, which breaks the connections of its callers.
    pub(crate) fn replace_entry(&mut self, index: usize) {
        let process = Process {
            index,
            start_count: self.entries[index].process.start_count + 1,
        };
        let seed = self.rng.random();
        let replaced = std::mem::replace(&mut self.entries[index], Entry::new(process, seed));
        for call in replaced.calls.into_values() {
            let retry = self.ledger.record_outcome(&call, None, &mut self.breaches);
            self.schedule_retry(retry);
        }
    }
}

fn done_event(request: ids::Request, host: &ids::Host, exchange: Exchange) -> Event {
    Event::ExchangeEnded {
        request,
        host: host.clone(),
        exchange,
    }
}
