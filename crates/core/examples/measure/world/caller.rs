//! Callers, and what each was told of its request.

use bytes::Bytes;
use persimmongate_core::ids;
use persimmongate_core::invariant::{Breach, Check};
use persimmongate_core::map::{Map, Set};
use persimmongate_core::outcome::Outcome;
use persimmongate_core::request::{Kind, Request, Urgency, make_key};
use rand::{Rng, RngExt};
use std::time::{Instant, SystemTime};

use super::{SECOND, STEP};

/// Services that callers address.
pub(crate) const SERVICES: [&str; 2] = ["finder", "catalogue"];
/// Callers of each service.
const CALLERS: usize = 3;
/// Times that a caller sends one request, at most.
const TRIES_MAX: u32 = 4;

/// `Call` is one try of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Tells this try from all others.
    pub(crate) nonce: u64,
    pub(crate) key: Option<ids::IdempotencyKey>,
    pub(crate) steps: u64,
    service: usize,
    caller: usize,
    tries: u32,
}

/// `Ledger` is what truly ran and what callers were told.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    latest: u64,
    ran: Set<u64>,
    refused: Set<u64>,
    runs: Map<ids::IdempotencyKey, u32>,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
}

impl Call {
    pub(crate) fn request(&self, id: ids::Request, now: Instant) -> Request {
        let steps = u32::try_from(self.steps).unwrap_or(u32::MAX);
        Request {
            id,
            service: SERVICES[self.service].into(),
            caller: format!("caller-{}", self.caller).into(),
            urgency: Urgency::Normal,
            kind: self.key.map_or(Kind::Idempotent, Kind::Once),
            deadline: now + STEP * steps,
            path: Bytes::new(),
            body: Bytes::copy_from_slice(&self.nonce.to_be_bytes()),
        }
    }
}

impl Ledger {
    pub(crate) fn call<R: Rng>(&mut self, now: SystemTime, rng: &mut R) -> Call {
        self.latest += 1;
        let once = rng.random_range(0..3) == 0;
        Call {
            nonce: self.latest,
            key: once.then(|| make_key(now, rng.random())),
            steps: rng.random_range(SECOND..3 * SECOND),
            service: rng.random_range(0..SERVICES.len()),
            caller: rng.random_range(0..CALLERS),
            tries: 1,
        }
    }

    /// Notes that a worker starts a request.
    pub(crate) fn start(
        &mut self,
        nonce: u64,
        key: Option<ids::IdempotencyKey>,
        breaches: &mut Vec<Breach>,
    ) {
        self.ran.insert(nonce);
        if self.refused.contains(&nonce) {
            breaches.push(Check::NotRun.breach(format!("{nonce} runs after it was refused")));
        }
        if let Some(key) = key {
            let runs = self.runs.entry(key).or_default();
            *runs += 1;
            if *runs > 1 {
                breaches.push(Check::Once.breach(format!("{nonce} is run {runs} of its key")));
            }
        }
    }

    /// Notes what a caller is told, and gets its next try.
    pub(crate) fn told(
        &mut self,
        call: &Call,
        outcome: Option<&Outcome>,
        breaches: &mut Vec<Breach>,
    ) -> Option<Call> {
        let nonce = call.nonce;
        match outcome {
            Some(Outcome::Answered(answer)) => {
                self.answered += 1;
                if *answer.body != nonce.to_be_bytes() {
                    breaches.push(Check::Answer.breach(format!("{nonce} got another's answer")));
                }
                return None;
            }
            Some(Outcome::NotRun(_)) => {
                self.not_run += 1;
                self.refused.insert(nonce);
                if self.ran.contains(&nonce) {
                    breaches.push(Check::NotRun.breach(format!("{nonce} ran and was refused")));
                }
            }
            // A connection that breaks off tells the caller nothing either.
            Some(Outcome::Unknown(_)) | None => self.unknown += 1,
        }
        if call.key.is_none() || call.tries >= TRIES_MAX {
            return None;
        }
        self.latest += 1;
        Some(Call {
            nonce: self.latest,
            tries: call.tries + 1,
            ..call.clone()
        })
    }

    /// Gets the number of tries that were told an outcome, or broke off.
    pub(crate) fn ended(&self) -> u64 {
        self.answered + self.not_run + self.unknown
    }

    /// Gets the number of tries made.
    pub(crate) fn made(&self) -> u64 {
        self.latest
    }
}
