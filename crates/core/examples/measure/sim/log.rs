//! The log with the real fold, appended to by the entry hosts.

use std::time::{Duration, SystemTime};

use persimmongate_core::gate::Claim;
use persimmongate_core::ids;
use persimmongate_core::record::{Body, End, Record};
use persimmongate_core::state::{Change, KeyStatus, State, Verdict};

use super::setup;

/// `Log` folds what the entry hosts append.
#[derive(Debug, Default)]
pub(crate) struct Log {
    state: State,
    sequences: Vec<ids::Sequence>,
    incarnations: Vec<ids::Incarnation>,
}

impl Log {
    /// Makes a log that the entry hosts joined.
    pub(crate) fn new(entries: usize) -> Self {
        let mut log = Self {
            state: State::default(),
            sequences: vec![0; entries],
            incarnations: vec![0; entries],
        };
        for entry in 0..entries {
            log.join(entry, Duration::ZERO);
        }
        log
    }

    /// Lets a new run of an entry host join.
    pub(crate) fn join(&mut self, entry: usize, now: Duration) {
        self.incarnations[entry] += 1;
        self.sequences[entry] = 0;
        self.append(entry, now, Body::Join(setup::about(entry)));
    }

    /// Claims a key for an entry host.
    pub(crate) fn claim(&mut self, entry: usize, now: Duration, key: ids::IdempotencyKey) -> Claim {
        let changes = self.append(entry, now, Body::Keys { keys: vec![key] });
        let won = changes
            .iter()
            .any(|change| matches!(change, Change::Keys(_, won) if won.contains(&key)));
        if won {
            return Claim::Won;
        }
        match self.state.keys.status(key, self.state.log_time) {
            KeyStatus::Expired => Claim::Expired,
            KeyStatus::Claimed | KeyStatus::Free => Claim::Lost,
        }
    }

    /// Records the end of a key's request.
    pub(crate) fn end(&mut self, entry: usize, now: Duration, key: ids::IdempotencyKey, end: End) {
        self.append(
            entry,
            now,
            Body::Outcomes {
                ends: vec![(key, end)],
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
        assert_eq!(verdict, Verdict::Accepted, "entry hosts append what counts");
        changes
    }
}

/// Gets the time of day at a time of the run.
pub(crate) fn clock(now: Duration) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(1_000) + now
}
