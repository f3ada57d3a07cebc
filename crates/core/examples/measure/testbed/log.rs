//! The log with its fold, and a member's side of it.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use persimmongate_core::ids;
use persimmongate_core::record::{Body, Member, Record, Role};
use persimmongate_core::state::{Change, State, Verdict};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Time between two renewals.
const RENEW: Duration = Duration::from_secs(2);
/// Milliseconds that an append takes.
const APPEND_MS: std::ops::Range<u64> = 2..20;

/// `Log` holds all records, folded once for everyone.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) state: State,
    pub(crate) records: Vec<Record>,
    changes: Vec<Rc<[Change]>>,
}

impl Log {
    pub(crate) fn append(&mut self, record: &Record) -> Verdict {
        let mut changes = Vec::new();
        let verdict = fold(&mut self.state, record, &mut changes);
        self.records.push(record.clone());
        self.changes.push(changes.into());
        verdict
    }

    /// Gets the number of records.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Gets the changes of the record at a position.
    pub(crate) fn changes(&self, position: usize) -> Rc<[Change]> {
        Rc::clone(&self.changes[position])
    }

    /// Gets whether another fold of the same records gives the same state.
    pub(crate) fn is_repeatable(&self) -> bool {
        let mut state = State::default();
        for record in &self.records {
            fold(&mut state, record, &mut Vec::new());
        }
        state == self.state
    }
}

fn fold(state: &mut State, record: &Record, changes: &mut Vec<Change>) -> Verdict {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(state.next_offset);
    state.apply(state.next_offset, at, record, changes)
}

/// `Follower` is a member's side of the log.
#[derive(Debug)]
pub(crate) struct Follower {
    pub(crate) name: ids::Instance,
    about: Member,
    incarnation: ids::Incarnation,
    sequence: ids::Sequence,
    /// Records that wait for the log: when they arrive, the run they belong to, their token.
    outbox: VecDeque<(Instant, ids::Incarnation, Option<u64>, Body)>,
    /// Position of the next record to read.
    pub(crate) position: usize,
    renewed: Instant,
    /// Verdicts to tell once the position was read.
    settled: VecDeque<(usize, u64, Verdict)>,
    /// Time until which appends take longer.
    pub(crate) slow: Option<Instant>,
    joined: bool,
}

impl Follower {
    pub(crate) fn new(name: String, role: Role, now: Instant, random: &mut ChaCha8Rng) -> Self {
        let address = ([127, 0, 0, 1], 1).into();
        let about = Member {
            role,
            peer: address,
            http: address,
            zone: "z".into(),
        };
        let mut follower = Self {
            name: name.into(),
            about,
            incarnation: 0,
            sequence: 0,
            outbox: VecDeque::new(),
            position: 0,
            renewed: now + RENEW.mul_f64(random.random()),
            settled: VecDeque::new(),
            slow: None,
            joined: false,
        };
        follower.join(now);
        follower
    }

    fn join(&mut self, now: Instant) {
        self.incarnation += 1;
        self.sequence = 0;
        self.joined = false;
        let join = Body::Join(self.about.clone());
        self.outbox.push_back((now, self.incarnation, None, join));
    }

    /// Queues a record.
    pub(crate) fn append(
        &mut self,
        now: Instant,
        token: Option<u64>,
        body: Body,
        random: &mut ChaCha8Rng,
    ) {
        let latency = Duration::from_millis(random.random_range(APPEND_MS));
        let last = self.outbox.back().map_or(now, |(at, ..)| *at);
        let slow = self.slow.filter(|at| *at > now).unwrap_or(now);
        let due = last.max(slow) + latency;
        self.outbox.push_back((due, self.incarnation, token, body));
    }

    /// Delays everything that was not sent until a time.
    pub(crate) fn delay(&mut self, until: Instant) {
        for (due, ..) in &mut self.outbox {
            *due = until.max(*due);
        }
    }

    /// Lands the records that are due; now and then the answer is lost and one lands twice.
    pub(crate) fn land(
        &mut self,
        now: Instant,
        log: &mut Log,
        twice: u32,
        random: &mut ChaCha8Rng,
    ) {
        while self.outbox.front().is_some_and(|(due, ..)| *due <= now) {
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
                self.settled.push_back((log.len(), token, verdict));
            }
            if random.random_range(0..100) < twice {
                log.append(&record);
            }
        }
    }

    /// Renews, and joins again when others removed this run; returns tokens that failed by it.
    pub(crate) fn keep(
        &mut self,
        now: Instant,
        log: Option<&Log>,
        random: &mut ChaCha8Rng,
    ) -> Vec<u64> {
        if now.saturating_duration_since(self.renewed) >= RENEW {
            self.renewed = now;
            self.append(now, None, Body::Renew, random);
        }
        let Some(log) = log else {
            return Vec::new();
        };
        let member = log.state.members.get(&self.name);
        if member.is_some_and(|member| member.incarnation == self.incarnation) {
            self.joined = true;
        } else if self.joined {
            let failed = self.outbox.drain(..).filter_map(|(_, _, token, _)| token);
            let failed = failed.collect();
            self.join(now);
            return failed;
        }
        Vec::new()
    }

    /// Gets the next change to read, and the verdicts that are known with it.
    pub(crate) fn read(&mut self, log: Option<&Log>) -> Option<Rc<[Change]>> {
        let log = log?;
        let changes = (self.position < log.len()).then(|| log.changes(self.position))?;
        self.position += 1;
        Some(changes)
    }

    /// Gets the next verdict on an own record that was read back.
    pub(crate) fn verdict(&mut self) -> Option<(u64, Verdict)> {
        let read = self.position;
        let known = self.settled.front().is_some_and(|(at, ..)| *at <= read);
        let (_, token, verdict) = known.then(|| self.settled.pop_front())??;
        Some((token, verdict))
    }
}
