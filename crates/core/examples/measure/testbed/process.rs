//! A fleet instance around the real manager.

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
/// Milliseconds that a call to the platform takes each way.
const CALL_LATENCY_MS: std::ops::Range<u64> = 5..80;
/// Percentage of calls that are lost before, and as many after, they took effect.
const CALL_LOST_PERCENT: u32 = 2;

/// `Asked` is a call on its way to the platform.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub(crate) arrives_at: Instant,
    pub(crate) token: u64,
    pub(crate) host: ids::Host,
    pub(crate) generation: ids::Generation,
    pub(crate) call: Call,
}

/// `Process` is one fleet instance.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) follower: Follower,
    pub(crate) manager: Manager,
    pub(crate) frozen_until: Option<Instant>,
    /// Calls that it decided and that the platform has not got.
    pub(crate) calls: VecDeque<PendingCall>,
    /// Answers and reports on their way to it.
    inbox: VecDeque<(Instant, Event)>,
    last_list_read_at: Instant,
    has_loaded_state: bool,
}

impl Process {
    pub(crate) fn new(
        name: String,
        options: Options,
        now: Instant,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let follower = Follower::new(name, Role::Fleet, now, random);
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

    /// Sends an event that arrives a little later.
    pub(crate) fn enqueue(&mut self, now: Instant, event: Event) {
        self.inbox.push_back((now, event));
    }

    /// Reads the log, takes what arrived and decides; returns the records that it wants.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        log: Option<&Log>,
        platform: &Platform,
        random: &mut ChaCha8Rng,
    ) {
        let mut actions = Vec::new();
        // What arrived while the process was frozen comes in any order with the log.
        self.process_inbox(now, &mut actions);
        for token in self.follower.renew(now, log, random) {
            let failed = Event::AppendCompleted {
                token,
                verdict: None,
            };
            self.manager.step(now, failed, &mut actions);
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
            let settled = Event::AppendCompleted { token, verdict };
            self.manager.step(now, settled, &mut actions);
        }
        if now.saturating_duration_since(self.last_list_read_at) >= LIST_READ_INTERVAL {
            self.last_list_read_at = now;
            let listed = Event::HostsListed(platform.list());
            self.manager.step(now, listed, &mut actions);
        }
        self.manager.step(now, Event::Tick, &mut actions);
        self.execute_actions(now, actions, random);
    }

    fn process_inbox(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let (ready, later) = self.inbox.drain(..).partition(|(due, _)| *due <= now);
        self.inbox = later;
        let ready: VecDeque<(Instant, Event)> = ready;
        for (_, event) in ready {
            self.manager.step(now, event, actions);
        }
    }

    fn execute_actions(&mut self, now: Instant, actions: Vec<Action>, random: &mut ChaCha8Rng) {
        for action in actions {
            match action {
                Action::Append { token, body } => {
                    self.follower.append(now, Some(token), body, random);
                }
                Action::Call {
                    token,
                    host,
                    generation,
                    call,
                } => {
                    let latency = Duration::from_millis(random.random_range(CALL_LATENCY_MS));
                    self.calls.push_back(PendingCall {
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
    pub(crate) fn publish(&mut self, now: Instant, body: Body, random: &mut ChaCha8Rng) {
        self.follower.append(now, None, body, random);
    }

    /// Carries the calls that are due to the platform and brings back the answers.
    pub(crate) fn deliver_calls(
        &mut self,
        now: Instant,
        platform: &mut Platform,
        random: &mut ChaCha8Rng,
    ) {
        let (ready, later) = self
            .calls
            .drain(..)
            .partition(|call| call.arrives_at <= now);
        self.calls = later;
        let ready: VecDeque<PendingCall> = ready;
        for call in ready {
            let answer = execute(now, &call, platform, random);
            let latency = Duration::from_millis(random.random_range(CALL_LATENCY_MS));
            let token = call.token;
            let event = Event::CallAnswered {
                token,
                status: answer,
            };
            self.enqueue(now + latency, event);
        }
    }
}

/// Carries out a call, unless it or its answer is lost.
pub(crate) fn execute(
    now: Instant,
    call: &PendingCall,
    platform: &mut Platform,
    random: &mut ChaCha8Rng,
) -> Option<Status> {
    let luck = random.random_range(0..100);
    if luck < CALL_LOST_PERCENT {
        return None;
    }
    let status = platform.call(now, &call.host, call.generation, call.call, random);
    status.filter(|_| luck >= 2 * CALL_LOST_PERCENT)
}
