//! Idempotency keys that were claimed.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::record::End;
use crate::request::key_timestamp;

/// Period for which claimed keys are remembered, by the time stamp in the key.
pub const KEY_WINDOW: Duration = Duration::from_hours(1);
/// Furthest that a key's time stamp may lie ahead of the log's time.
const KEY_AHEAD: Duration = Duration::from_mins(5);

/// `Claim` is one claimed key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Process that may run the request.
    pub instance: ids::Instance,
    /// Run of that process.
    pub incarnation: ids::Incarnation,
    /// How the request ended, once reported.
    pub end: Option<End>,
}

/// `KeyStatus` is what the fold knows of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyStatus {
    /// Nobody claimed it and it may be claimed.
    Free,
    /// It was claimed and may have run.
    Claimed,
    /// Its time stamp lies outside the period in which keys are remembered.
    Expired,
}

/// `Keys` holds the claimed keys, oldest first.
///
/// A key carries its own time stamp, so a forgotten key is refused as expired and never claimed
/// anew.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Keys {
    claims: BTreeMap<ids::IdempotencyKey, Claim>,
}

impl Keys {
    /// Gets what is known of a key at a time of the log.
    #[must_use]
    pub fn status(&self, key: ids::IdempotencyKey, at: SystemTime) -> KeyStatus {
        if key_timestamp(key) + KEY_WINDOW < at || key_timestamp(key) > at + KEY_AHEAD {
            return KeyStatus::Expired;
        }
        if self.claims.contains_key(&key) {
            KeyStatus::Claimed
        } else {
            KeyStatus::Free
        }
    }

    /// Gets the claim on a key.
    #[must_use]
    pub fn claim(&self, key: ids::IdempotencyKey) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// Gets the number of keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Gets whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    pub(crate) fn insert(&mut self, key: ids::IdempotencyKey, claim: Claim) {
        self.claims.insert(key, claim);
    }

    /// Records the end of a key when the reporter holds its claim.
    pub(crate) fn finish(
        &mut self,
        key: ids::IdempotencyKey,
        instance: &ids::Instance,
        incarnation: ids::Incarnation,
        end: End,
    ) -> bool {
        let Some(claim) = self.claims.get_mut(&key) else {
            return false;
        };
        if claim.instance != *instance || claim.incarnation != incarnation {
            return false;
        }
        if end == End::NotRun {
            self.claims.remove(&key);
        } else {
            claim.end = Some(end);
        }
        true
    }

    /// Forgets keys that left the window; the time stamp leads the key, so these come first.
    pub(crate) fn forget(&mut self, at: SystemTime) {
        while let Some(entry) = self.claims.first_entry() {
            if key_timestamp(*entry.key()) + KEY_WINDOW >= at {
                return;
            }
            entry.remove();
        }
    }
}
