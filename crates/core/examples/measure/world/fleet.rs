//! Simulated fleet instances.

use std::collections::VecDeque;
use std::time::Instant;

use persimmongate_core::fleet::{Action, Call, Event, Manager, Options};
use persimmongate_core::ids;
use persimmongate_core::invariant::{self, Breach, Check};
use persimmongate_core::record::Role;
use rand::RngExt;

use super::SECOND;
use super::follower::{Follower, Notification};
use super::message::{Message, Process};
use super::run::World;

/// Interval of the ticks at which the manager compares the replayed state with the required one, in
/// steps.
const TICK_INTERVAL_STEPS: u64 = 10;
/// Upper limit on the delay of a call while writes are delayed, in steps.
const CALL_DELAY_LIMIT_STEPS: u64 = 6 * SECOND;
/// Interval of the reads of the host list, in steps.
const HOST_LIST_INTERVAL_STEPS: u64 = SECOND;

/// `Fleet` is a fleet instance from one start to its replacement.
pub(crate) struct Fleet {
    pub(crate) process: Process,
    pub(crate) manager: Manager,
    checker: invariant::Fleet,
    pub(crate) follower: Follower,
    pub(crate) frozen_until: u64,
    pub(crate) partitioned_until: u64,
    /// Events that the manager has not handled yet.
    pub(crate) inbox: VecDeque<Event>,
}

impl Fleet {
    pub(crate) fn new(process: Process) -> Self {
        let name = process.instance("fleet");
        Self {
            process,
            manager: Manager::new(name.clone(), Options::default()),
            checker: invariant::Fleet::default(),
            follower: Follower::new(name, Role::Fleet, process.start_count << 32),
            frozen_until: 0,
            partitioned_until: 0,
            inbox: VecDeque::new(),
        }
    }

    fn apply_notifications(&mut self, notifications: Vec<Notification>) {
        for notification in notifications {
            let event = match notification {
                Notification::CaughtUp => Event::CaughtUp,
                Notification::Change(change) => Event::Change(change),
                Notification::AppendCompleted(token, verdict) => {
                    Event::AppendCompleted { token, verdict }
                }
                Notification::ClaimCompleted(..) => continue,
            };
            self.inbox.push_back(event);
        }
    }

    fn handle_inbox(&mut self, now: Instant, breaches: &mut Vec<Breach>) -> Vec<Action> {
        let mut all_actions = Vec::new();
        while let Some(event) = self.inbox.pop_front() {
            let mut actions = Vec::new();
            self.manager.step(now, event.clone(), &mut actions);
            let view = self.manager.view();
            self.checker.observe(view, &event, &actions, breaches);
            all_actions.extend(actions);
        }
        all_actions
    }
}

impl World {
    /// Advances a fleet instance by one step unless it is frozen.
    pub(crate) fn advance_fleet(&mut self, index: usize) {
        let (step, now, log_time) = (self.step, self.now(), self.log_time());
        let peer_state = self.peer_state(usize::MAX, index);
        let fleet = &mut self.fleets[index];
        if step < fleet.frozen_until {
            return;
        }
        let is_partitioned = step < fleet.partitioned_until;
        if let Some(state) = peer_state.filter(|_| !is_partitioned) {
            let notifications = fleet.follower.restore(&state);
            fleet.apply_notifications(notifications);
        }
        let log = (!is_partitioned).then_some(&self.log);
        let notifications = fleet.follower.read_log(log, &mut self.breaches);
        fleet.apply_notifications(notifications);
        if step.is_multiple_of(TICK_INTERVAL_STEPS) {
            fleet.inbox.push_back(Event::Tick);
        }
        if step.is_multiple_of(HOST_LIST_INTERVAL_STEPS) && !is_partitioned {
            let hosts = self.platform.host_list.clone();
            fleet.inbox.push_back(Event::HostsListed(hosts));
        }
        let process = fleet.process;
        for action in fleet.handle_inbox(now, &mut self.breaches) {
            match action {
                Action::Append { token, body } => fleet.follower.enqueue(body, Some(token)),
                Action::Call {
                    token,
                    host,
                    generation,
                    call,
                } => {
                    let message = Message::Call {
                        fleet: process,
                        token,
                        host,
                        generation,
                        call,
                    };
                    let delay = if step < self.fault_ends.delayed_writes {
                        self.rng.random_range(0..CALL_DELAY_LIMIT_STEPS)
                    } else {
                        0
                    };
                    self.network.send(step + 1 + delay, message);
                }
            }
        }
        let log = (!is_partitioned && !self.appends_stopped).then_some(&mut self.log);
        fleet.follower.flush(step, log_time, log);
    }

    /// Delivers a call to the platform, even if its sender was frozen or replaced in the meantime.
    pub(crate) fn deliver_call(
        &mut self,
        (fleet, token): (Process, u64),
        host: &ids::Host,
        generation: ids::Generation,
        call: Call,
    ) {
        if self.step < self.fleets[fleet.index].partitioned_until {
            return;
        }
        let Some((status, interrupted_count)) =
            self.platform.call(self.step, host, generation, call)
        else {
            return;
        };
        if call == Call::Reboot {
            self.planned_stops += 1;
        }
        if interrupted_count > 0 {
            let detail =
                format!("the planned stop of {host} interrupted {interrupted_count} requests");
            self.breaches.push(Check::Stop.breach(detail));
        }
        if self.step >= self.fault_ends.lost_call_answers {
            let status = Some(status);
            let event = Event::CallAnswered { token, status };
            self.network
                .send(self.step + 1, Message::Fleet(fleet, event));
        }
    }

    /// Replaces a fleet instance by a new start of the same index.
    pub(crate) fn replace_fleet(&mut self, index: usize) {
        let start_count = self.fleets[index].process.start_count + 1;
        self.fleets[index] = Fleet::new(Process { index, start_count });
    }
}
