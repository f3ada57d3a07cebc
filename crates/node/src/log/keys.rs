//! Claims on idempotency keys that wait for the log.

use std::time::{Duration, Instant};

use actix::Recipient;
use persimmongate_core::gate;
use persimmongate_core::ids;
use persimmongate_core::map::{Map, Set};
use persimmongate_core::outcome::Refusal;

use super::message::ClaimCompleted;

/// `Waiter` is a request that waits for its key.
#[derive(Debug)]
struct Waiter {
    request: ids::Request,
    reply: Recipient<ClaimCompleted>,
    since: Instant,
}

/// `Waiting` holds the claims between their arrival and their verdict.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    /// Keys that are not in an append yet, in order of arrival.
    queued: Vec<ids::IdempotencyKey>,
    waiters: Map<ids::IdempotencyKey, Waiter>,
    /// Keys whose request was given up while the append was under way.
    abandoned: Set<ids::IdempotencyKey>,
}

impl Waiting {
    /// Adds a claim; a key that waits already is another request's.
    pub(crate) fn add(&mut self, now: Instant, claim: super::ClaimKey) {
        let super::ClaimKey {
            request,
            key,
            reply,
        } = claim;
        if self.waiters.contains_key(&key) || self.abandoned.contains(&key) {
            reply.do_send(ClaimCompleted {
                request,
                claim: gate::Claim::Lost,
            });
            return;
        }
        self.queued.push(key);
        self.waiters.insert(
            key,
            Waiter {
                request,
                reply,
                since: now,
            },
        );
    }

    /// Takes the keys for the next append.
    pub(crate) fn take(&mut self) -> Vec<ids::IdempotencyKey> {
        std::mem::take(&mut self.queued)
    }

    /// Settles the keys of an own record and returns the won ones whose request was given up.
    pub(crate) fn settle(
        &mut self,
        keys: &[ids::IdempotencyKey],
        verdict: impl Fn(ids::IdempotencyKey) -> gate::Claim,
    ) -> Vec<ids::IdempotencyKey> {
        let mut unused = Vec::new();
        for key in keys {
            let claim = verdict(*key);
            if self.abandoned.remove(key) && claim == gate::Claim::Won {
                unused.push(*key);
            }
            if let Some(waiter) = self.waiters.remove(key) {
                waiter.reply.do_send(ClaimCompleted {
                    request: waiter.request,
                    claim,
                });
            }
        }
        unused
    }

    /// Gives up claims that waited too long.
    pub(crate) fn expire(&mut self, now: Instant, timeout: Duration) {
        let late = |waiter: &Waiter| now.saturating_duration_since(waiter.since) >= timeout;
        let keys = self
            .waiters
            .iter()
            .filter(|(_, waiter)| late(waiter))
            .map(|(key, _)| *key);
        let keys: Vec<ids::IdempotencyKey> = keys.collect();
        for key in keys {
            let Some(waiter) = self.waiters.remove(&key) else {
                continue;
            };
            let queued = self.queued.len();
            self.queued.retain(|other| *other != key);
            let claim = if self.queued.len() < queued {
                gate::Claim::Failed(Refusal::LogDown)
            } else {
                self.abandoned.insert(key);
                gate::Claim::Undecided
            };
            waiter.reply.do_send(ClaimCompleted {
                request: waiter.request,
                claim,
            });
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }
}
