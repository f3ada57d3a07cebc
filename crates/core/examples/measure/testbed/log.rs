//! Log with the state that results from its records, and the client of a member.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use persimmongate_core::ids;
use persimmongate_core::record::{Announcement, Body, Record, Role};
use persimmongate_core::state::{Change, State, Verdict};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Time between two renewals of a member.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Time from an append until its record is in the log, in milliseconds.
const APPEND_LATENCY_MS: std::ops::Range<u64> = 2..20;

/// `Log` holds all records; their changes are computed once for all members.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) state: State,
    pub(crate) records: Vec<Record>,
    changes: Vec<Rc<[Change]>>,
}

impl Log {
    pub(crate) fn append(&mut self, record: &Record) -> Verdict {
        let mut changes = Vec::new();
        let verdict = apply(&mut self.state, record, &mut changes);
        self.records.push(record.clone());
        self.changes.push(changes.into());
        verdict
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the changes that the record at a position caused.
    pub(crate) fn changes(&self, position: usize) -> Rc<[Change]> {
        Rc::clone(&self.changes[position])
    }

    /// Returns whether the same records yield the same state when they are applied again.
    pub(crate) fn is_repeatable(&self) -> bool {
        let mut state = State::default();
        for record in &self.records {
            apply(&mut state, record, &mut Vec::new());
        }
        state == self.state
    }
}

fn apply(state: &mut State, record: &Record, changes: &mut Vec<Change>) -> Verdict {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(state.next_offset);
    state.apply(state.next_offset, at, record, changes)
}

/// `Follower` is the log client of a member.
#[derive(Debug)]
pub(crate) struct Follower {
    pub(crate) name: ids::Instance,
    announcement: Announcement,
    incarnation: ids::Incarnation,
    sequence: ids::Sequence,
    /// Records in flight to the log: time of arrival, incarnation of the author, token and content.
    outbox: VecDeque<(Instant, ids::Incarnation, Option<u64>, Body)>,
    /// Position of the record to read next.
    pub(crate) next_position: usize,
    last_renewal_at: Instant,
    /// Verdicts on own records, known once the records before the position have been read.
    pending_verdicts: VecDeque<(usize, u64, Verdict)>,
    /// Time before which no record arrives, after a fault that delays appends.
    pub(crate) slow_until: Option<Instant>,
    has_joined: bool,
}

impl Follower {
    pub(crate) fn new(name: String, role: Role, now: Instant, rng: &mut ChaCha8Rng) -> Self {
        let address = ([127, 0, 0, 1], 1).into();
        let announcement = Announcement {
            role,
            peer: address,
            http: address,
            zone: "z".into(),
        };
        let mut follower = Self {
            name: name.into(),
            announcement,
            incarnation: 0,
            sequence: 0,
            outbox: VecDeque::new(),
            next_position: 0,
            last_renewal_at: now + RENEWAL_INTERVAL.mul_f64(rng.random()),
            pending_verdicts: VecDeque::new(),
            slow_until: None,
            has_joined: false,
        };
        follower.join(now);
        follower
    }

    fn join(&mut self, now: Instant) {
        self.incarnation += 1;
        self.sequence = 0;
        self.has_joined = false;
        let join = Body::Join(self.announcement.clone());
        self.outbox.push_back((now, self.incarnation, None, join));
    }

    /// Sends a record to the log; it arrives after all records sent before.
    pub(crate) fn append(
        &mut self,
        now: Instant,
        token: Option<u64>,
        body: Body,
        rng: &mut ChaCha8Rng,
    ) {
        let latency = Duration::from_millis(rng.random_range(APPEND_LATENCY_MS));
        let previous = self.outbox.back().map_or(now, |(at, ..)| *at);
        let not_before = self.slow_until.filter(|at| *at > now).unwrap_or(now);
        let arrives_at = previous.max(not_before) + latency;
        self.outbox
            .push_back((arrives_at, self.incarnation, token, body));
    }

    /// Delays the arrival of all records in flight until a time.
    pub(crate) fn delay_appends(&mut self, until: Instant) {
        for (arrives_at, ..) in &mut self.outbox {
            *arrives_at = until.max(*arrives_at);
        }
    }

    /// Appends the records that have arrived, some of them twice, as after a lost answer.
    pub(crate) fn append_due(
        &mut self,
        now: Instant,
        log: &mut Log,
        duplicate_percent: u32,
        rng: &mut ChaCha8Rng,
    ) {
        while self
            .outbox
            .front()
            .is_some_and(|(arrives_at, ..)| *arrives_at <= now)
        {
            let Some((_, incarnation, token, body)) = self.outbox.pop_front() else {
                return;
            };
            self.sequence += 1;
            let record = Record {
                author: self.name.clone(),
                incarnation,
                sequence: self.sequence,
                body,
            };
            let verdict = log.append(&record);
            if let Some(token) = token {
                self.pending_verdicts.push_back((log.len(), token, verdict));
            }
            if rng.random_range(0..100) < duplicate_percent {
                log.append(&record);
            }
        }
    }

    /// Renews the membership, and joins again if other members expired this incarnation; returns
    /// the tokens of the records that are lost as a result.
    pub(crate) fn renew(
        &mut self,
        now: Instant,
        log: Option<&Log>,
        rng: &mut ChaCha8Rng,
    ) -> Vec<u64> {
        if now.saturating_duration_since(self.last_renewal_at) >= RENEWAL_INTERVAL {
            self.last_renewal_at = now;
            self.append(now, None, Body::Renew, rng);
        }
        let Some(log) = log else {
            return Vec::new();
        };
        let member = log.state.members.get(&self.name);
        if member.is_some_and(|member| member.incarnation == self.incarnation) {
            self.has_joined = true;
        } else if self.has_joined {
            let failed_tokens = self.outbox.drain(..).filter_map(|(_, _, token, _)| token);
            let failed_tokens = failed_tokens.collect();
            self.join(now);
            return failed_tokens;
        }
        Vec::new()
    }

    /// Returns the changes of the next record, if there is one and the log is available.
    pub(crate) fn next_changes(&mut self, log: Option<&Log>) -> Option<Rc<[Change]>> {
        let log = log?;
        let changes = (self.next_position < log.len()).then(|| log.changes(self.next_position))?;
        self.next_position += 1;
        Some(changes)
    }

    /// Returns the next verdict on an own record that was read back, with its token.
    pub(crate) fn next_verdict(&mut self) -> Option<(u64, Verdict)> {
        let next_position = self.next_position;
        let is_read = self
            .pending_verdicts
            .front()
            .is_some_and(|(position, ..)| *position <= next_position);
        let (_, token, verdict) = is_read.then(|| self.pending_verdicts.pop_front())??;
        Some((token, verdict))
    }
}
