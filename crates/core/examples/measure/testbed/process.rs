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
const LIST: Duration = Duration::from_secs(1);
/// Milliseconds that a call to the platform takes each way.
const CALL_MS: std::ops::Range<u64> = 5..80;
/// Percentage of calls that are lost before, and as many after, they took effect.
const CALL_LOST_PERCENT: u32 = 2;

/// `Asked` is a call on its way to the platform.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) due: Instant,
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
    pub(crate) frozen: Option<Instant>,
    /// Calls that it decided and that the platform has not got.
    pub(crate) calls: VecDeque<Asked>,
    /// Answers and reports on their way to it.
    mail: VecDeque<(Instant, Event)>,
    listed: Instant,
    ready: bool,
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
            frozen: None,
            calls: VecDeque::new(),
            mail: VecDeque::new(),
            listed: now,
            ready: false,
        }
    }

    /// Sends an event that arrives a little later.
    pub(crate) fn mail(&mut self, now: Instant, event: Event) {
        self.mail.push_back((now, event));
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
        self.take_mail(now, &mut actions);
        for token in self.follower.keep(now, log, random) {
            let failed = Event::AppendCompleted {
                token,
                verdict: None,
            };
            self.manager.step(now, failed, &mut actions);
        }
        if let Some(log) = log.filter(|_| !self.ready) {
            self.ready = true;
            self.follower.position = log.len();
            for change in log.state.changes() {
                self.manager.step(now, Event::Change(change), &mut actions);
            }
        }
        while let Some(changes) = self.follower.read(log) {
            for change in changes.iter().cloned() {
                self.manager.step(now, Event::Change(change), &mut actions);
            }
        }
        while let Some((token, verdict)) = self.follower.verdict() {
            let verdict = Some(verdict);
            let settled = Event::AppendCompleted { token, verdict };
            self.manager.step(now, settled, &mut actions);
        }
        if now.saturating_duration_since(self.listed) >= LIST {
            self.listed = now;
            let listed = Event::HostsListed(platform.list());
            self.manager.step(now, listed, &mut actions);
        }
        self.manager.step(now, Event::Tick, &mut actions);
        self.carry_out(now, actions, random);
    }

    fn take_mail(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let (ready, later) = self.mail.drain(..).partition(|(due, _)| *due <= now);
        self.mail = later;
        let ready: VecDeque<(Instant, Event)> = ready;
        for (_, event) in ready {
            self.manager.step(now, event, actions);
        }
    }

    fn carry_out(&mut self, now: Instant, actions: Vec<Action>, random: &mut ChaCha8Rng) {
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
                    let latency = Duration::from_millis(random.random_range(CALL_MS));
                    self.calls.push_back(Asked {
                        due: now + latency,
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
    pub(crate) fn deliver(
        &mut self,
        now: Instant,
        platform: &mut Platform,
        random: &mut ChaCha8Rng,
    ) {
        let (ready, later) = self.calls.drain(..).partition(|call| call.due <= now);
        self.calls = later;
        let ready: VecDeque<Asked> = ready;
        for asked in ready {
            let answer = carry(now, &asked, platform, random);
            let latency = Duration::from_millis(random.random_range(CALL_MS));
            let token = asked.token;
            let event = Event::CallAnswered {
                token,
                status: answer,
            };
            self.mail(now + latency, event);
        }
    }
}

/// Carries out a call, unless it or its answer is lost.
pub(crate) fn carry(
    now: Instant,
    asked: &Asked,
    platform: &mut Platform,
    random: &mut ChaCha8Rng,
) -> Option<Status> {
    let luck = random.random_range(0..100);
    if luck < CALL_LOST_PERCENT {
        return None;
    }
    let status = platform.call(now, &asked.host, asked.generation, asked.call, random);
    status.filter(|_| luck >= 2 * CALL_LOST_PERCENT)
}
