//! Log to which the entry hosts append, with the production code that applies its records.

use std::time::{Duration, SystemTime};

use persimmongate_core::gate::ClaimResult;
use persimmongate_core::ids;
use persimmongate_core::record::{Body, Completion, Record};
use persimmongate_core::state::{Change, State, Status, Verdict};

use super::setup;

/// `Log` is the state that results from the records of the entry hosts.
#[derive(Debug, Default)]
pub(crate) struct Log {
    state: State,
    sequences: Vec<ids::Sequence>,
    incarnations: Vec<ids::Incarnation>,
}

impl Log {
    /// Creates a log that all entry hosts have joined.
    pub(crate) fn new(entry_count: usize) -> Self {
        let mut log = Self {
            state: State::default(),
            sequences: vec![0; entry_count],
            incarnations: vec![0; entry_count],
        };
        for entry in 0..entry_count {
            log.join(entry, Duration::ZERO);
        }
        log
    }

    /// Appends that a new incarnation of an entry host joins.
    pub(crate) fn join(&mut self, entry: usize, now: Duration) {
        self.incarnations[entry] += 1;
        self.sequences[entry] = 0;
        self.append(entry, now, Body::Join(setup::announcement(entry)));
    }

    /// Claims a key for an entry host.
    pub(crate) fn claim(
        &mut self,
        entry: usize,
        now: Duration,
        key: ids::IdempotencyKey,
    ) -> ClaimResult {
        let changes = self.append(entry, now, Body::Keys { keys: vec![key] });
        let has_won = changes
            .iter()
            .any(|change| matches!(change, Change::Keys(_, won) if won.contains(&key)));
        if has_won {
            return ClaimResult::Won;
        }
        match self.state.keys.status(key, self.state.log_time) {
            Status::Expired => ClaimResult::Expired,
            Status::Claimed | Status::Free => ClaimResult::Lost,
        }
    }

    /// Records the end of a key's request.
    pub(crate) fn record_outcome(
        &mut self,
        entry: usize,
        now: Duration,
        key: ids::IdempotencyKey,
        outcome: Completion,
    ) {
        self.append(
            entry,
            now,
            Body::Outcomes {
                outcomes: vec![(key, outcome)],
            },
        );
    }

    fn append(&mut self, entry: usize, now: Duration, body: Body) -> Vec<Change> {
        self.sequences[entry] += 1;
        let record = Record {
            author: setup::entry_name(entry),
            incarnation: self.incarnations[entry],
            sequence: self.sequences[entry],
            body,
        };
        let mut changes = Vec::new();
        let offset = self.state.next_offset;
        let verdict = self.state.apply(offset, clock(now), &record, &mut changes);
        assert_eq!(
            verdict,
            Verdict::Accepted,
            "the log accepts the records of entry hosts"
        );
        changes
    }
}

/// Converts a time of the run into a time of day.
pub(crate) fn clock(now: Duration) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(1_000) + now
}
