//! The follower of one process: its fold, its appends and its claims.

use std::time::SystemTime;

use persimmongate_core::gate::Claim;
use persimmongate_core::ids;
use persimmongate_core::invariant::{self, Breach};
use persimmongate_core::map::Map;
use persimmongate_core::outcome::Refusal;
use persimmongate_core::record::{Body, End, Member, Record, Role};
use persimmongate_core::state::{Change, KeyStatus, State, Verdict};

use super::SECOND;
use super::log::Log;

/// Steps between two renewals.
const RENEW_STEPS: u64 = 2 * SECOND;
/// Steps before an append without an answer is repeated.
const RETRY_STEPS: u64 = 20;
/// Steps after which a claim is given up.
const CLAIM_STEPS: u64 = 3 * SECOND;

/// `Notice` is something that the process is told.
#[derive(Debug)]
pub(crate) enum Notice {
    Caught,
    Change(Change),
    Claimed(ids::Request, Claim),
    Settled(u64, Option<Verdict>),
}

/// `Wait` is a request that waits for its key.
#[derive(Clone, Debug)]
struct Wait {
    request: ids::Request,
    key: ids::IdempotencyKey,
    since: u64,
    queued: bool,
}

/// `Follower` folds the log for one process.
pub(crate) struct Follower {
    pub(crate) state: State,
    instance: ids::Instance,
    role: Role,
    incarnation: ids::Incarnation,
    sequence: ids::Sequence,
    watch: invariant::Replica,
    queue: Vec<(Body, Option<u64>)>,
    ends: Vec<(ids::IdempotencyKey, End)>,
    waits: Vec<Wait>,
    /// Keys whose request was given up while the append was under way.
    abandoned: Vec<ids::IdempotencyKey>,
    batch: Vec<Record>,
    retry_at: u64,
    renew_at: u64,
    unsettled: Map<ids::Sequence, (Option<u64>, Vec<ids::IdempotencyKey>)>,
    ready: bool,
    down: bool,
}

impl Follower {
    pub(crate) fn new(instance: ids::Instance, role: Role, incarnation: ids::Incarnation) -> Self {
        let mut follower = Self {
            state: State::default(),
            instance,
            role,
            incarnation,
            sequence: 0,
            watch: invariant::Replica::default(),
            queue: Vec::new(),
            ends: Vec::new(),
            waits: Vec::new(),
            abandoned: Vec::new(),
            batch: Vec::new(),
            retry_at: 0,
            renew_at: 0,
            unsettled: Map::default(),
            ready: false,
            down: false,
        };
        follower.join(&mut Vec::new());
        follower
    }

    /// Joins under a new run; what was under way has no verdict.
    fn join(&mut self, notices: &mut Vec<Notice>) {
        self.incarnation += 1;
        self.sequence = 0;
        self.batch.clear();
        let mut open: Vec<_> = self.unsettled.drain().collect();
        open.sort_by_key(|(sequence, _)| *sequence);
        for (_, (token, _)) in open {
            notices.extend(token.map(|token| Notice::Settled(token, None)));
        }
        let address = ([127, 0, 0, 1], 1).into();
        let about = Member {
            role: self.role,
            peer: address,
            http: address,
            zone: "zone-0".into(),
        };
        self.queue.insert(0, (Body::Join(about), None));
    }

    pub(crate) fn push(&mut self, body: Body, token: Option<u64>) {
        self.queue.push((body, token));
    }

    pub(crate) fn end(&mut self, key: ids::IdempotencyKey, end: End) {
        self.ends.push((key, end));
    }

    /// Adds a claim; a key that waits already is another request's.
    pub(crate) fn claim(
        &mut self,
        step: u64,
        request: ids::Request,
        key: ids::IdempotencyKey,
    ) -> Option<Notice> {
        if self.waits.iter().any(|wait| wait.key == key) || self.abandoned.contains(&key) {
            return Some(Notice::Claimed(request, Claim::Lost));
        }
        self.waits.push(Wait {
            request,
            key,
            since: step,
            queued: true,
        });
        None
    }

    /// Gives up claims that waited too long.
    pub(crate) fn expire(&mut self, step: u64) -> Vec<Notice> {
        let late = |wait: &mut Wait| step.saturating_sub(wait.since) >= CLAIM_STEPS;
        let gone: Vec<Wait> = self.waits.extract_if(.., late).collect();
        let mut notices = Vec::new();
        for wait in gone {
            let claim = if wait.queued {
                Claim::Failed(Refusal::LogDown)
            } else {
                self.abandoned.push(wait.key);
                Claim::Undecided
            };
            notices.push(Notice::Claimed(wait.request, claim));
        }
        notices
    }

    /// Takes over a peer's fold when it is ahead of the own one.
    pub(crate) fn restore(&mut self, state: &State) -> Vec<Notice> {
        if state.next_offset <= self.state.next_offset {
            return Vec::new();
        }
        let changes = state.changes_since(&self.state);
        self.state = state.clone();
        self.ready = true;
        changes.into_iter().map(Notice::Change).collect()
    }

    /// Folds what is new in the log.
    pub(crate) fn read(&mut self, log: Option<&Log>, breaches: &mut Vec<Breach>) -> Vec<Notice> {
        let mut notices = Vec::new();
        let Some(items) = log.and_then(|log| log.read(self.state.next_offset)) else {
            self.down = true;
            return notices;
        };
        let mut changes = Vec::new();
        let mut settled = Vec::new();
        for (at, record) in items {
            self.fold(*at, record, &mut changes, &mut settled, breaches);
        }
        let caught = self.down || !self.ready;
        if !self.ready {
            changes = self.state.changes();
        }
        self.ready = true;
        self.down = false;
        notices.extend(changes.into_iter().map(Notice::Change));
        if caught {
            notices.push(Notice::Caught);
        }
        for (sequence, verdict, won) in settled {
            self.settle(sequence, verdict, &won, &mut notices);
        }
        let member = self.state.members.get(&self.instance);
        let current = member.is_some_and(|member| member.incarnation == self.incarnation);
        let joining = self
            .queue
            .iter()
            .any(|(body, _)| matches!(body, Body::Join(_)));
        if !current && !joining && !self.unsettled.contains_key(&1) {
            self.join(&mut notices);
        }
        notices
    }

    fn fold(
        &mut self,
        at: SystemTime,
        record: &Record,
        changes: &mut Vec<Change>,
        settled: &mut Vec<(ids::Sequence, Verdict, Vec<ids::IdempotencyKey>)>,
        breaches: &mut Vec<Breach>,
    ) {
        let from = changes.len();
        let offset = self.state.next_offset;
        let verdict = self.state.apply(offset, at, record, changes);
        self.watch
            .observe(&self.state, &record.body, &verdict, breaches);
        if record.author == self.instance && record.incarnation == self.incarnation {
            let won = changes[from..].iter().find_map(|change| match change {
                Change::Keys(_, won) => Some(won.clone()),
                _ => None,
            });
            settled.push((record.sequence, verdict, won.unwrap_or_default()));
        }
    }

    fn settle(
        &mut self,
        sequence: ids::Sequence,
        verdict: Verdict,
        won: &[ids::IdempotencyKey],
        notices: &mut Vec<Notice>,
    ) {
        if verdict == Verdict::Duplicate {
            return;
        }
        let Some((token, keys)) = self.unsettled.remove(&sequence) else {
            return;
        };
        notices.extend(token.map(|token| Notice::Settled(token, Some(verdict))));
        for key in keys {
            let claim = match self.state.keys.status(key, self.state.log_time) {
                _ if won.contains(&key) => Claim::Won,
                KeyStatus::Claimed => Claim::Lost,
                KeyStatus::Expired => Claim::Expired,
                KeyStatus::Free => Claim::Failed(Refusal::Stale),
            };
            if let Some(index) = self.abandoned.iter().position(|other| *other == key) {
                self.abandoned.swap_remove(index);
                if claim == Claim::Won {
                    self.ends.push((key, End::NotRun));
                }
            }
            if let Some(index) = self.waits.iter().position(|wait| wait.key == key) {
                let wait = self.waits.remove(index);
                notices.push(Notice::Claimed(wait.request, claim));
            }
        }
    }

    /// Appends what waits unless an append waits for its answer.
    pub(crate) fn flush(&mut self, step: u64, now: SystemTime, log: Option<&mut Log>) {
        if !self.ready || step < self.retry_at {
            return;
        }
        if self.batch.is_empty() {
            self.make_batch(step);
        }
        if self.batch.is_empty() {
            return;
        }
        if log.is_some_and(|log| log.append(now, &self.batch)) {
            self.batch.clear();
        } else {
            self.retry_at = step + RETRY_STEPS;
        }
    }

    fn make_batch(&mut self, step: u64) {
        let queue = std::mem::take(&mut self.queue);
        let mut bodies: Vec<_> = queue
            .into_iter()
            .map(|(body, token)| (body, token, Vec::new()))
            .collect();
        let queued = self.waits.iter_mut().filter(|wait| wait.queued);
        let keys: Vec<ids::IdempotencyKey> = queued
            .map(|wait| {
                wait.queued = false;
                wait.key
            })
            .collect();
        if !keys.is_empty() {
            bodies.push((Body::Keys { keys: keys.clone() }, None, keys));
        }
        if !self.ends.is_empty() {
            let ends = std::mem::take(&mut self.ends);
            bodies.push((Body::Outcomes { ends }, None, Vec::new()));
        }
        if step >= self.renew_at {
            self.renew_at = step + RENEW_STEPS;
            bodies.push((Body::Renew, None, Vec::new()));
        }
        for (body, token, keys) in bodies {
            self.sequence += 1;
            self.unsettled.insert(self.sequence, (token, keys));
            self.batch.push(Record {
                author: self.instance.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
                body,
            });
        }
    }
}
