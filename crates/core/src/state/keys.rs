//! Claimed idempotency keys.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::record::Completion;
use crate::request::key_timestamp;

/// Retention period of claimed keys, counted from the time stamp in the key.
pub const KEY_RETENTION: Duration = Duration::from_hours(1);
/// Maximum time by which a key's time stamp may be ahead of the log's time.
const MAX_KEY_LEAD: Duration = Duration::from_mins(5);

/// `Claim` is one claimed key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Process that may run the request.
    pub instance: ids::Instance,
    /// Incarnation of that process.
    pub incarnation: ids::Incarnation,
    /// How the request ended, none until reported.
    #[serde(rename = "end")]
    pub outcome: Option<Completion>,
}

/// `Status` is the status of an idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It is not claimed and may be claimed.
    Free,
    /// It is claimed, and its request may have run.
    Claimed,
    /// Its time stamp is older than the retention period or too far ahead of the log's time.
    Expired,
}

/// `Keys` holds the claimed keys, oldest first.
///
/// A key carries its own time stamp, so an evicted key is refused as expired and can never be
/// claimed again.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Keys {
    claims: BTreeMap<ids::IdempotencyKey, Claim>,
}

impl Keys {
    /// Returns the status of a key at a log time.
    #[must_use]
    pub fn status(&self, key: ids::IdempotencyKey, log_time: SystemTime) -> Status {
        if key_timestamp(key) + KEY_RETENTION < log_time
            || key_timestamp(key) > log_time + MAX_KEY_LEAD
        {
            return Status::Expired;
        }
        if self.claims.contains_key(&key) {
            Status::Claimed
        } else {
            Status::Free
        }
    }

    /// Returns the claim on a key.
    #[must_use]
    pub fn claim(&self, key: ids::IdempotencyKey) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// Returns the number of claimed keys kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claimed key is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    pub(crate) fn insert(&mut self, key: ids::IdempotencyKey, claim: Claim) {
        self.claims.insert(key, claim);
    }

    /// Records the outcome of a key's request if the reporter holds the claim; returns whether it does.
    ///
    /// The key of a request that did not run is freed.
    pub(crate) fn record_outcome(
        &mut self,
        key: ids::IdempotencyKey,
        instance: &ids::Instance,
        incarnation: ids::Incarnation,
        outcome: Completion,
    ) -> bool {
        let Some(claim) = self.claims.get_mut(&key) else {
            return false;
        };
        if claim.instance != *instance || claim.incarnation != incarnation {
            return false;
        }
        if outcome == Completion::NotRun {
            self.claims.remove(&key);
        } else {
            claim.outcome = Some(outcome);
        }
        true
    }

    /// Evicts keys older than the retention period. The time stamp forms the leading bits of a key,
    /// so the oldest keys come first.
    pub(crate) fn evict_expired(&mut self, log_time: SystemTime) {
        while let Some(entry) = self.claims.first_entry() {
            if key_timestamp(*entry.key()) + KEY_RETENTION >= log_time {
                return;
            }
            entry.remove();
        }
    }
}
