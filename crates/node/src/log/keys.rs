//! Claims on idempotency keys whose verdict has not been read from the log yet.

use std::time::{Duration, Instant};

use actix::Recipient;
use persimmongate_core::gate;
use persimmongate_core::ids;
use persimmongate_core::map::{Map, Set};
use persimmongate_core::outcome::Refusal;

use super::message::Claimed;

/// `Pending` is a request that waits for the verdict on its key.
#[derive(Debug)]
struct Pending {
    request: ids::Request,
    reply: Recipient<Claimed>,
    added_at: Instant,
}

/// `Claims` holds the claims from their arrival to their verdict.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    /// Keys not yet sent in an append, in order of arrival.
    queued: Vec<ids::IdempotencyKey>,
    pending: Map<ids::IdempotencyKey, Pending>,
    /// Keys whose request timed out while the append was in flight.
    abandoned: Set<ids::IdempotencyKey>,
}

impl Claims {
    /// Adds a claim; it is lost at once if another request already waits for the key.
    pub(crate) fn add(&mut self, now: Instant, claim: super::Claim) {
        let super::Claim {
            request,
            key,
            reply,
        } = claim;
        if self.pending.contains_key(&key) || self.abandoned.contains(&key) {
            reply.do_send(Claimed {
                request,
                claim: gate::ClaimResult::Lost,
            });
            return;
        }
        self.queued.push(key);
        self.pending.insert(
            key,
            Pending {
                request,
                reply,
                added_at: now,
            },
        );
    }

    /// Takes the keys for the next append.
    pub(crate) fn take_queued(&mut self) -> Vec<ids::IdempotencyKey> {
        std::mem::take(&mut self.queued)
    }

    /// Answers the claims of a record; returns the keys won for requests that have timed out.
    pub(crate) fn resolve(
        &mut self,
        keys: &[ids::IdempotencyKey],
        claim_result: impl Fn(ids::IdempotencyKey) -> gate::ClaimResult,
    ) -> Vec<ids::IdempotencyKey> {
        let mut unused_keys = Vec::new();
        for key in keys {
            let claim = claim_result(*key);
            if self.abandoned.remove(key) && claim == gate::ClaimResult::Won {
                unused_keys.push(*key);
            }
            if let Some(pending_claim) = self.pending.remove(key) {
                pending_claim.reply.do_send(Claimed {
                    request: pending_claim.request,
                    claim,
                });
            }
        }
        unused_keys
    }

    /// Ends claims that are older than the time-out: as failed if their key was not sent yet, as
    /// undecided if its append is in flight.
    pub(crate) fn expire(&mut self, now: Instant, timeout: Duration) {
        let has_timed_out = |pending_claim: &Pending| {
            now.saturating_duration_since(pending_claim.added_at) >= timeout
        };
        let keys = self
            .pending
            .iter()
            .filter(|(_, pending_claim)| has_timed_out(pending_claim))
            .map(|(key, _)| *key);
        let keys: Vec<ids::IdempotencyKey> = keys.collect();
        for key in keys {
            let Some(pending_claim) = self.pending.remove(&key) else {
                continue;
            };
            let queued_before = self.queued.len();
            self.queued.retain(|other| *other != key);
            let claim = if self.queued.len() < queued_before {
                gate::ClaimResult::Failed(Refusal::LogDown)
            } else {
                self.abandoned.insert(key);
                gate::ClaimResult::Undecided
            };
            pending_claim.reply.do_send(Claimed {
                request: pending_claim.request,
                claim,
            });
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }
}
