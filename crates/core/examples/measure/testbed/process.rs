//! Fleet instance that runs the production manager.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use persimmongate_core::fleet::{Action, Call, Event, Manager, Options, Status};
use persimmongate_core::ids;
use persimmongate_core::record::{Body, Role};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::log::{Follower, Log};
use super::platform::Platform;

/// Time between two reads of the host list.
const LIST_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time of a call to the platform in each direction, in milliseconds.
const CALL_LATENCY_MS: std::ops::Range<u64> = 5..80;
/// Percentage of calls that are lost before they take effect; as many answers are lost after it.
const CALL_LOST_PERCENT: u32 = 2;

/// `Pending` is a call in flight to the platform.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) arrives_at: Instant,
    pub(crate) token: u64,
    pub(crate) host: ids::Host,
    pub(crate) generation: ids::Generation,
    pub(crate) call: Call,
}

/// `Process` is a fleet instance.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) follower: Follower,
    pub(crate) manager: Manager,
    pub(crate) frozen_until: Option<Instant>,
    /// Calls that have not reached the platform.
    pub(crate) calls: VecDeque<Pending>,
    /// Answers and reports in flight to the instance, with the time of arrival.
    inbox: VecDeque<(Instant, Event)>,
    last_list_read_at: Instant,
    has_loaded_state: bool,
}

impl Process {
    pub(crate) fn new(name: String, options: Options, now: Instant, rng: &mut ChaCha8Rng) -> Self {
        let follower = Follower::new(name, Role::Fleet, now, rng);
        Self {
            manager: Manager::new(follower.name.clone(), options),
            follower,
            frozen_until: None,
            calls: VecDeque::new(),
            inbox: VecDeque::new(),
            last_list_read_at: now,
            has_loaded_state: false,
        }
    }

    /// Sends an event to the instance that arrives at a time.
    pub(crate) fn enqueue(&mut self, arrives_at: Instant, event: Event) {
        self.inbox.push_back((arrives_at, event));
    }

    /// Processes the events that have arrived and the log, and executes the manager's actions.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        log: Option<&Log>,
        platform: &Platform,
        rng: &mut ChaCha8Rng,
    ) {
        let mut actions = Vec::new();
        // Events that arrived while the process was frozen have no fixed order relative to the log.
        self.process_inbox(now, &mut actions);
        for token in self.follower.renew(now, log, rng) {
            let completed = Event::AppendCompleted {
                token,
                verdict: None,
            };
            self.manager.step(now, completed, &mut actions);
        }
        if let Some(log) = log.filter(|_| !self.has_loaded_state) {
            self.has_loaded_state = true;
            self.follower.next_position = log.len();
            for change in log.state.changes() {
                self.manager.step(now, Event::Change(change), &mut actions);
            }
        }
        while let Some(changes) = self.follower.next_changes(log) {
            for change in changes.iter().cloned() {
                self.manager.step(now, Event::Change(change), &mut actions);
            }
        }
        while let Some((token, verdict)) = self.follower.next_verdict() {
            let verdict = Some(verdict);
            let completed = Event::AppendCompleted { token, verdict };
            self.manager.step(now, completed, &mut actions);
        }
        if now.saturating_duration_since(self.last_list_read_at) >= LIST_READ_INTERVAL {
            self.last_list_read_at = now;
            let listed = Event::HostsListed(platform.list());
            self.manager.step(now, listed, &mut actions);
        }
        self.manager.step(now, Event::Tick, &mut actions);
        self.execute_actions(now, actions, rng);
    }

    fn process_inbox(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let (due, not_due) = self
            .inbox
            .drain(..)
            .partition(|(arrives_at, _)| *arrives_at <= now);
        self.inbox = not_due;
        let due: VecDeque<(Instant, Event)> = due;
        for (_, event) in due {
            self.manager.step(now, event, actions);
        }
    }

    fn execute_actions(&mut self, now: Instant, actions: Vec<Action>, rng: &mut ChaCha8Rng) {
        for action in actions {
            match action {
                Action::Append { token, body } => {
                    self.follower.append(now, Some(token), body, rng);
                }
                Action::Call {
                    token,
                    host,
                    generation,
                    call,
                } => {
                    let latency = Duration::from_millis(rng.random_range(CALL_LATENCY_MS));
                    self.calls.push_back(Pending {
                        arrives_at: now + latency,
                        token,
                        host,
                        generation,
                        call,
                    });
                }
            }
        }
    }

    /// Appends a record of an operator.
    pub(crate) fn publish(&mut self, now: Instant, body: Body, rng: &mut ChaCha8Rng) {
        self.follower.append(now, None, body, rng);
    }

    /// Executes the calls that have reached the platform and sends the answers back.
    pub(crate) fn deliver_calls(
        &mut self,
        now: Instant,
        platform: &mut Platform,
        rng: &mut ChaCha8Rng,
    ) {
        let (due, not_due) = self
            .calls
            .drain(..)
            .partition(|call| call.arrives_at <= now);
        self.calls = not_due;
        let due: VecDeque<Pending> = due;
        for pending in due {
            let status = execute(now, &pending, platform, rng);
            let latency = Duration::from_millis(rng.random_range(CALL_LATENCY_MS));
            let token = pending.token;
            let event = Event::CallAnswered { token, status };
            self.enqueue(now + latency, event);
        }
    }
}

/// Executes a call, unless it is lost; returns the status, unless the answer is lost.
pub(crate) fn execute(
    now: Instant,
    pending: &Pending,
    platform: &mut Platform,
    rng: &mut ChaCha8Rng,
) -> Option<Status> {
    let loss_roll = rng.random_range(0..100);
    if loss_roll < CALL_LOST_PERCENT {
        return None;
    }
    let status = platform.call(now, &pending.host, pending.generation, pending.call, rng);
    status.filter(|_| loss_roll >= 2 * CALL_LOST_PERCENT)
}
