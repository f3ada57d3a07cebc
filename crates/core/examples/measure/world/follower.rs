//! The log client of one process: its replayed state, its appends and its claims of keys.

use std::time::SystemTime;

use persimmongate_core::gate::ClaimResult;
use persimmongate_core::ids;
use persimmongate_core::invariant::{self, Breach};
use persimmongate_core::map::Map;
use persimmongate_core::outcome::Refusal;
use persimmongate_core::record::{Announcement, Body, Completion, Record, Role};
use persimmongate_core::state::{Change, State, Status, Verdict};

use super::SECOND;
use super::log::Log;

/// Interval at which the process renews its membership, in steps.
const RENEWAL_INTERVAL_STEPS: u64 = 2 * SECOND;
/// Delay before an append without an answer is repeated, in steps.
const RETRY_DELAY_STEPS: u64 = 20;
/// Time after which a claim without a verdict fails, in steps.
const CLAIM_TIMEOUT_STEPS: u64 = 3 * SECOND;

/// `Notification` is what the follower reports to its process.
#[derive(Debug)]
pub(crate) enum Notification {
    /// The state has caught up with the log, after the start or an outage.
    CaughtUp,
    /// The state has changed.
    Change(Change),
    /// The claim of a request has ended.
    ClaimCompleted(ids::Request, ClaimResult),
    /// The append with this token has ended with a verdict, or with `None` if the verdict can no
    /// longer be known.
    AppendCompleted(u64, Option<Verdict>),
}

/// `Pending` is a request that waits for the verdict on its key.
#[derive(Clone, Debug)]
struct Pending {
    request: ids::Request,
    key: ids::IdempotencyKey,
    start_step: u64,
    /// Whether the claim has not been put into a batch yet.
    is_queued: bool,
}

/// `Follower` replays the log and appends to it for one process.
pub(crate) struct Follower {
    pub(crate) state: State,
    instance: ids::Instance,
    role: Role,
    incarnation: ids::Incarnation,
    sequence: ids::Sequence,
    checker: invariant::Replica,
    /// Records to append, each with the token under which the process expects the verdict.
    queue: Vec<(Body, Option<u64>)>,
    /// Outcomes of requests to append.
    outcomes: Vec<(ids::IdempotencyKey, Completion)>,
    pending_claims: Vec<Pending>,
    /// Keys whose claim timed out while its append was in flight.
    abandoned_keys: Vec<ids::IdempotencyKey>,
    /// Records of the append in flight.
    batch: Vec<Record>,
    next_append_step: u64,
    next_renewal_step: u64,
    /// Appended records without a verdict, each with its token and the keys that it claims.
    undecided: Map<ids::Sequence, (Option<u64>, Vec<ids::IdempotencyKey>)>,
    /// Whether the state has been read once, from the log or a peer.
    has_state: bool,
    /// Whether the last read found the log unreachable.
    log_was_down: bool,
}

impl Follower {
    pub(crate) fn new(instance: ids::Instance, role: Role, incarnation: ids::Incarnation) -> Self {
        let mut follower = Self {
            state: State::default(),
            instance,
            role,
            incarnation,
            sequence: 0,
            checker: invariant::Replica::default(),
            queue: Vec::new(),
            outcomes: Vec::new(),
            pending_claims: Vec::new(),
            abandoned_keys: Vec::new(),
            batch: Vec::new(),
            next_append_step: 0,
            next_renewal_step: 0,
            undecided: Map::default(),
            has_state: false,
            log_was_down: false,
        };
        follower.join(&mut Vec::new());
        follower
    }

    /// Joins under a new incarnation; the appends in flight get no verdict any more.
    fn join(&mut self, notifications: &mut Vec<Notification>) {
        self.incarnation += 1;
        self.sequence = 0;
        self.batch.clear();
        let mut lost: Vec<_> = self.undecided.drain().collect();
        lost.sort_by_key(|(sequence, _)| *sequence);
        for (_, (token, _)) in lost {
            notifications.extend(token.map(|token| Notification::AppendCompleted(token, None)));
        }
        let address = ([127, 0, 0, 1], 1).into();
        let announcement = Announcement {
            role: self.role,
            peer: address,
            http: address,
            zone: "zone-0".into(),
        };
        self.queue.insert(0, (Body::Join(announcement), None));
    }

    /// Queues a record for the next append; a token asks for a notification of the verdict.
    pub(crate) fn enqueue(&mut self, body: Body, token: Option<u64>) {
        self.queue.push((body, token));
    }

    /// Queues the outcome of the request with a key for the next append.
    pub(crate) fn report_outcome(&mut self, key: ids::IdempotencyKey, outcome: Completion) {
        self.outcomes.push((key, outcome));
    }

    /// Claims a key for a request. The claim is lost at once if another request has claimed the key
    /// and the verdict is outstanding.
    pub(crate) fn claim(
        &mut self,
        step: u64,
        request: ids::Request,
        key: ids::IdempotencyKey,
    ) -> Option<Notification> {
        if self.pending_claims.iter().any(|pending| pending.key == key)
            || self.abandoned_keys.contains(&key)
        {
            return Some(Notification::ClaimCompleted(request, ClaimResult::Lost));
        }
        self.pending_claims.push(Pending {
            request,
            key,
            start_step: step,
            is_queued: true,
        });
        None
    }

    /// Ends the claims that have timed out.
    pub(crate) fn expire_claims(&mut self, step: u64) -> Vec<Notification> {
        let has_timed_out =
            |pending: &mut Pending| step.saturating_sub(pending.start_step) >= CLAIM_TIMEOUT_STEPS;
        let expired: Vec<Pending> = self.pending_claims.extract_if(.., has_timed_out).collect();
        let mut notifications = Vec::new();
        for pending in expired {
            let claim = if pending.is_queued {
                ClaimResult::Failed(Refusal::LogDown)
            } else {
                self.abandoned_keys.push(pending.key);
                ClaimResult::Undecided
            };
            notifications.push(Notification::ClaimCompleted(pending.request, claim));
        }
        notifications
    }

    /// Replaces the state by a peer's if that one is ahead.
    pub(crate) fn restore(&mut self, state: &State) -> Vec<Notification> {
        if state.next_offset <= self.state.next_offset {
            return Vec::new();
        }
        let changes = state.changes_since(&self.state);
        self.state = state.clone();
        self.has_state = true;
        changes.into_iter().map(Notification::Change).collect()
    }

    /// Replays the new records of the log.
    pub(crate) fn read_log(
        &mut self,
        log: Option<&Log>,
        breaches: &mut Vec<Breach>,
    ) -> Vec<Notification> {
        let mut notifications = Vec::new();
        let Some(entries) = log.and_then(|log| log.read(self.state.next_offset)) else {
            self.log_was_down = true;
            return notifications;
        };
        let mut changes = Vec::new();
        let mut completed = Vec::new();
        for (appended_at, record) in entries {
            self.replay(*appended_at, record, &mut changes, &mut completed, breaches);
        }
        let has_caught_up = self.log_was_down || !self.has_state;
        if !self.has_state {
            changes = self.state.changes();
        }
        self.has_state = true;
        self.log_was_down = false;
        notifications.extend(changes.into_iter().map(Notification::Change));
        if has_caught_up {
            notifications.push(Notification::CaughtUp);
        }
        for (sequence, verdict, won_keys) in completed {
            self.complete_append(sequence, verdict, &won_keys, &mut notifications);
        }
        let member = self.state.members.get(&self.instance);
        let is_member = member.is_some_and(|member| member.incarnation == self.incarnation);
        let is_joining = self
            .queue
            .iter()
            .any(|(body, _)| matches!(body, Body::Join(_)));
        if !is_member && !is_joining && !self.undecided.contains_key(&1) {
            self.join(&mut notifications);
        }
        notifications
    }

    /// Applies one record to the state and notes the verdict on each of the process's own records.
    fn replay(
        &mut self,
        appended_at: SystemTime,
        record: &Record,
        changes: &mut Vec<Change>,
        completed: &mut Vec<(ids::Sequence, Verdict, Vec<ids::IdempotencyKey>)>,
        breaches: &mut Vec<Breach>,
    ) {
        let earlier_changes = changes.len();
        let offset = self.state.next_offset;
        let verdict = self.state.apply(offset, appended_at, record, changes);
        self.checker
            .observe(&self.state, &record.body, &verdict, breaches);
        if record.author == self.instance && record.incarnation == self.incarnation {
            let won_keys = changes[earlier_changes..]
                .iter()
                .find_map(|change| match change {
                    Change::Keys(_, keys) => Some(keys.clone()),
                    _ => None,
                });
            completed.push((record.sequence, verdict, won_keys.unwrap_or_default()));
        }
    }

    /// Reports the verdict on one of the process's own records and on the claims in it.
    fn complete_append(
        &mut self,
        sequence: ids::Sequence,
        verdict: Verdict,
        won_keys: &[ids::IdempotencyKey],
        notifications: &mut Vec<Notification>,
    ) {
        if verdict == Verdict::Duplicate {
            return;
        }
        let Some((token, keys)) = self.undecided.remove(&sequence) else {
            return;
        };
        notifications
            .extend(token.map(|token| Notification::AppendCompleted(token, Some(verdict))));
        for key in keys {
            let claim = match self.state.keys.status(key, self.state.log_time) {
                _ if won_keys.contains(&key) => ClaimResult::Won,
                Status::Claimed => ClaimResult::Lost,
                Status::Expired => ClaimResult::Expired,
                Status::Free => ClaimResult::Failed(Refusal::Stale),
            };
            if let Some(index) = self.abandoned_keys.iter().position(|other| *other == key) {
                self.abandoned_keys.swap_remove(index);
                if claim == ClaimResult::Won {
                    self.outcomes.push((key, Completion::NotRun));
                }
            }
            if let Some(index) = self
                .pending_claims
                .iter()
                .position(|pending| pending.key == key)
            {
                let pending = self.pending_claims.remove(index);
                notifications.push(Notification::ClaimCompleted(pending.request, claim));
            }
        }
    }

    /// Appends the queued records, or repeats the append in flight once its retry is due.
    pub(crate) fn flush(&mut self, step: u64, now: SystemTime, log: Option<&mut Log>) {
        if !self.has_state || step < self.next_append_step {
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
            self.next_append_step = step + RETRY_DELAY_STEPS;
        }
    }

    /// Makes the next batch of the queued records, claims and outcomes, and of a renewal if it is
    /// due.
    fn make_batch(&mut self, step: u64) {
        let queue = std::mem::take(&mut self.queue);
        let mut bodies: Vec<_> = queue
            .into_iter()
            .map(|(body, token)| (body, token, Vec::new()))
            .collect();
        let queued = self
            .pending_claims
            .iter_mut()
            .filter(|pending| pending.is_queued);
        let keys: Vec<ids::IdempotencyKey> = queued
            .map(|pending| {
                pending.is_queued = false;
                pending.key
            })
            .collect();
        if !keys.is_empty() {
            bodies.push((Body::Keys { keys: keys.clone() }, None, keys));
        }
        if !self.outcomes.is_empty() {
            let outcomes = std::mem::take(&mut self.outcomes);
            bodies.push((Body::Outcomes { outcomes }, None, Vec::new()));
        }
        if step >= self.next_renewal_step {
            self.next_renewal_step = step + RENEWAL_INTERVAL_STEPS;
            bodies.push((Body::Renew, None, Vec::new()));
        }
        for (body, token, keys) in bodies {
            self.sequence += 1;
            self.undecided.insert(self.sequence, (token, keys));
            self.batch.push(Record {
                author: self.instance.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
                body,
            });
        }
    }
}
