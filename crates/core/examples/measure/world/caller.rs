//! Callers, and the outcome that each learned of its request.

use bytes::Bytes;
use persimmongate_core::ids;
use persimmongate_core::invariant::{Breach, Check};
use persimmongate_core::map::{Map, Set};
use persimmongate_core::outcome::Outcome;
use persimmongate_core::request::{Repeatability, Request, Urgency, make_key};
use rand::{Rng, RngExt};
use std::time::{Instant, SystemTime};

use super::{SECOND, STEP};

/// Services that callers send requests to.
pub(crate) const SERVICES: [&str; 2] = ["finder", "catalogue"];
/// Number of client accounts, each of which calls every service.
const CALLER_COUNT: usize = 3;
/// Maximum number of attempts of a caller for one request.
const MAX_ATTEMPTS: u32 = 4;

/// `Call` is one attempt of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Number of this attempt among all attempts.
    pub(crate) nonce: u64,
    pub(crate) key: Option<ids::IdempotencyKey>,
    /// Time from the arrival to the deadline, in steps.
    pub(crate) timeout_steps: u64,
    service: usize,
    caller: usize,
    attempts: u32,
}

/// `Ledger` records which attempts workers ran and which outcomes callers learned.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    last_nonce: u64,
    /// Attempts that a worker has started.
    started: Set<u64>,
    /// Attempts whose caller was told that they had not run.
    rejected: Set<u64>,
    runs_by_key: Map<ids::IdempotencyKey, u32>,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
}

impl Call {
    /// Makes the request that an entry host passes to its gate.
    pub(crate) fn request(&self, id: ids::Request, now: Instant) -> Request {
        let timeout_steps = u32::try_from(self.timeout_steps).unwrap_or(u32::MAX);
        Request {
            id,
            service: SERVICES[self.service].into(),
            caller: format!("caller-{}", self.caller).into(),
            urgency: Urgency::Normal,
            repeatability: self
                .key
                .map_or(Repeatability::Idempotent, Repeatability::Once),
            deadline: now + STEP * timeout_steps,
            path: Bytes::new(),
            body: Bytes::copy_from_slice(&self.nonce.to_be_bytes()),
        }
    }
}

impl Ledger {
    /// Makes the first attempt of a random request.
    pub(crate) fn new_call<R: Rng>(&mut self, now: SystemTime, rng: &mut R) -> Call {
        self.last_nonce += 1;
        let once = rng.random_range(0..3) == 0;
        Call {
            nonce: self.last_nonce,
            key: once.then(|| make_key(now, rng.random())),
            timeout_steps: rng.random_range(SECOND..3 * SECOND),
            service: rng.random_range(0..SERVICES.len()),
            caller: rng.random_range(0..CALLER_COUNT),
            attempts: 1,
        }
    }

    /// Records that a worker starts an attempt, and checks that it may.
    pub(crate) fn record_start(
        &mut self,
        nonce: u64,
        key: Option<ids::IdempotencyKey>,
        breaches: &mut Vec<Breach>,
    ) {
        self.started.insert(nonce);
        if self.rejected.contains(&nonce) {
            breaches.push(Check::NotRun.breach(format!(
                "attempt {nonce} runs after its caller was told that it had not run"
            )));
        }
        if let Some(key) = key {
            let runs = self.runs_by_key.entry(key).or_default();
            *runs += 1;
            if *runs > 1 {
                breaches
                    .push(Check::Once.breach(format!("attempt {nonce} is run {runs} of its key")));
            }
        }
    }

    /// Records the outcome of an attempt, or `None` if the connection broke off; returns the next
    /// attempt of the caller, if it makes one.
    pub(crate) fn record_outcome(
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
                    breaches.push(
                        Check::Answer
                            .breach(format!("attempt {nonce} got the answer to another one")),
                    );
                }
                return None;
            }
            Some(Outcome::NotRun(_)) => {
                self.not_run += 1;
                self.rejected.insert(nonce);
                if self.started.contains(&nonce) {
                    breaches.push(Check::NotRun.breach(format!(
                        "attempt {nonce} ran, but its caller was told that it had not"
                    )));
                }
            }
            // A broken connection leaves the caller without an outcome too.
            Some(Outcome::Unknown(_)) | None => self.unknown += 1,
        }
        if call.key.is_none() || call.attempts >= MAX_ATTEMPTS {
            return None;
        }
        self.last_nonce += 1;
        Some(Call {
            nonce: self.last_nonce,
            attempts: call.attempts + 1,
            ..call.clone()
        })
    }

    /// Gets the number of attempts that ended with an outcome or a broken connection.
    pub(crate) fn ended_count(&self) -> u64 {
        self.answered + self.not_run + self.unknown
    }

    /// Gets the number of attempts made.
    pub(crate) fn attempt_count(&self) -> u64 {
        self.last_nonce
    }
}
