//! Executes the actions of entry hosts and simulates the exchanges with workers that follow.

use std::time::Duration;

use bytes::Bytes;
use persimmongate_core::gate::{Action, ClaimResult, Event, Exchange};
use persimmongate_core::ids;
use persimmongate_core::outcome::{Answer, Outcome, Refusal};
use persimmongate_core::record::Completion;
use rand::RngExt;

use super::plan::{Mode, SLOTS, ZONES};
use super::setup;
use super::world::{Call, Timer, World};

/// One-way network latency inside an availability zone.
const INTRA_ZONE_LATENCY: Duration = Duration::from_micros(250);
/// Time after which a connection attempt to an unreachable worker fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the deadline of a call at which an exchange without an answer times out.
const EXCHANGE_GRACE: Duration = Duration::from_secs(30);
/// Time from the append of a claim until its verdict is read back, in milliseconds.
const CLAIM_LATENCY_MS: std::ops::Range<u64> = 5..15;
/// Time after which a claim without a verdict fails.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time after which a caller sends a key again, in milliseconds.
const MAX_RESEND_DELAY_MS: u64 = 4000;

impl World {
    pub(super) fn execute(&mut self, entry: usize, action: Action) {
        match action {
            Action::Claim { request, key } => {
                let delay = Duration::from_millis(self.rng.random_range(CLAIM_LATENCY_MS));
                self.schedule(delay, Timer::Claim(entry, request, key));
            }
            Action::ReportKeyOutcome { key, outcome } => {
                let now = self.now;
                self.log.record_outcome(entry, now, key, outcome);
            }
            Action::Finish { request, outcome } => self.finish(request, &outcome),
            Action::Send { request, host, .. } => {
                let worker = self.worker_indices[&host];
                let call = usize::try_from(request).unwrap_or(0);
                let latency = self.latency(entry, worker);
                let stats = &mut self.service_stats[self.calls[call].service];
                stats.send_count += 1;
                stats.cross_zone_sends += u64::from(latency > INTRA_ZONE_LATENCY);
                let worker_state = &mut self.workers[worker];
                worker_state.open_exchanges += 1;
                worker_state.max_open_exchanges = worker_state
                    .max_open_exchanges
                    .max(worker_state.open_exchanges);
                self.schedule(latency, Timer::ReachWorker(call, worker));
            }
            _ => {}
        }
    }

    fn latency(&self, entry: usize, worker: usize) -> Duration {
        if entry % ZONES == setup::worker_zone(worker) {
            INTRA_ZONE_LATENCY
        } else {
            self.plan.deployment.cross_zone_latency
        }
    }

    fn finish(&mut self, request: ids::Request, outcome: &Outcome) {
        let call_id = usize::try_from(request).unwrap_or(0);
        let call = &mut self.calls[call_id];
        if call.outcome.is_some() {
            self.second_outcomes += 1;
            return;
        }
        call.outcome = Some(outcome.as_str());
        let is_in_time = self.now <= call.deadline;
        if let Outcome::Answered(answer) = outcome {
            self.wrong_answers += u64::from(answer.body[..] != call_id.to_be_bytes());
        }
        let stats = &mut self.service_stats[call.service];
        stats.record(
            outcome,
            self.now.saturating_sub(call.submitted_at),
            is_in_time,
        );
        let is_answered = matches!(outcome, Outcome::Answered(_)) && is_in_time;
        stats.steady_callers.0 += u64::from(is_answered && call.is_steady);
        let flood = self
            .plan
            .floods
            .iter()
            .find(|flood| flood.service == call.service);
        if is_answered && flood.is_some_and(|flood| (flood.from..flood.until).contains(&self.now)) {
            stats.flood_work_s += call.work_time.as_secs_f64();
        }
        if matches!(outcome, Outcome::NotRun(_)) && call.run_count > 0 {
            self.false_not_run += 1;
        }
        if !matches!(outcome, Outcome::Answered(_)) {
            self.schedule_resend(call_id);
        }
    }

    /// Cancels a call; its caller may send the same key again later.
    pub(super) fn cancel(&mut self, call_id: usize) {
        if self.calls[call_id].outcome.is_some() {
            return;
        }
        let entry = self.calls[call_id].entry;
        self.step(entry, Event::Cancel(call_id as u64));
        if self.calls[call_id].outcome.is_none() {
            self.calls[call_id].outcome = Some("gone");
            self.schedule_resend(call_id);
        }
    }

    /// Schedules that a non-idempotent call is sent again, with the probability of the plan.
    fn schedule_resend(&mut self, call_id: usize) {
        let is_idempotent =
            self.plan.deployment.services[self.calls[call_id].service].is_idempotent;
        let Some(faults) = self.plan.chaos.filter(|_| !is_idempotent) else {
            return;
        };
        if self.rng.random::<f64>() < faults.resend_probability {
            let delay = Duration::from_millis(self.rng.random_range(0..MAX_RESEND_DELAY_MS));
            self.schedule(delay, Timer::Resend(call_id));
        }
    }

    pub(super) fn resend(&mut self, call_id: usize) {
        let previous = &self.calls[call_id];
        let service = self.plan.deployment.services[previous.service];
        let call = Call {
            entry: self.rng.random_range(0..self.dispatchers.len()),
            submitted_at: self.now,
            deadline: self.now + Duration::from_millis(service.deadline_ms),
            run_count: 0,
            outcome: None,
            ..*previous
        };
        self.service_stats[call.service].arrived += 1;
        self.calls.push(call);
        self.submit(self.calls.len() - 1, 1);
    }

    /// Restarts an entry host without its state; its open calls get no answer.
    pub(super) fn crash(&mut self) {
        let Some(faults) = self
            .plan
            .chaos
            .filter(|_| self.now < self.plan.last_arrival)
        else {
            return;
        };
        let entry = self.rng.random_range(0..self.dispatchers.len());
        self.incarnations[entry] += 1;
        self.dispatchers[entry] = self.initial_dispatchers[entry].clone();
        self.log.join(entry, self.now);
        let lost: Vec<usize> = (0..self.calls.len())
            .filter(|call_id| {
                self.calls[*call_id].entry == entry && self.calls[*call_id].outcome.is_none()
            })
            .collect();
        for call_id in lost {
            self.calls[call_id].outcome = Some("lost");
            self.schedule_resend(call_id);
        }
        self.apply_initial_changes(entry);
        self.schedule(faults.crash_interval, Timer::Crash);
    }

    /// Decides a claim, or lets it fail while the log is unavailable.
    pub(super) fn claim(&mut self, entry: usize, request: ids::Request, key: ids::IdempotencyKey) {
        let call = &self.calls[usize::try_from(request).unwrap_or(0)];
        // The claim of an earlier incarnation may have reached the log before the restart; the new
        // incarnation never learns its verdict.
        if call.entry != entry || call.outcome == Some("lost") {
            self.log.claim(entry, self.now, key);
            return;
        }
        let faults = self.plan.chaos;
        let is_log_down = faults.is_some_and(|faults| {
            self.now.as_nanos() % faults.outage_interval.as_nanos()
                < faults.outage_duration.as_nanos()
        });
        let is_late =
            faults.is_some_and(|faults| self.rng.random::<f64>() < faults.undecided_probability);
        let (verdict, delay) = if is_log_down {
            (ClaimResult::Failed(Refusal::LogDown), CLAIM_TIMEOUT)
        } else if is_late {
            // The claim is appended, but its verdict is read only after the request timed out, so
            // the key is released.
            let has_won = self.log.claim(entry, self.now, key) == ClaimResult::Won;
            if has_won {
                self.log
                    .record_outcome(entry, self.now, key, Completion::NotRun);
            }
            (ClaimResult::Undecided, CLAIM_TIMEOUT)
        } else {
            (self.log.claim(entry, self.now, key), Duration::ZERO)
        };
        let event = Box::new(Event::Claimed(request, verdict));
        self.schedule(
            delay,
            Timer::Deliver(entry, self.incarnations[entry], event),
        );
    }

    /// Ends an exchange after a delay, twice if the fault for duplicates occurs.
    fn reply(&mut self, call: usize, worker: usize, exchange: Exchange, delay: Duration) {
        let entry = self.calls[call].entry;
        let completion = Event::ExchangeEnded {
            request: call as u64,
            host: setup::host_name(worker),
            exchange,
        };
        let incarnation = self.incarnations[entry];
        let is_duplicated = self
            .plan
            .chaos
            .is_some_and(|faults| self.rng.random::<f64>() < faults.duplicate_probability);
        if is_duplicated {
            self.workers[worker].open_exchanges += 1;
            let duplicate = Box::new(completion.clone());
            self.schedule(delay, Timer::Deliver(entry, incarnation, duplicate));
        }
        self.schedule(
            delay,
            Timer::Deliver(entry, incarnation, Box::new(completion)),
        );
    }

    pub(super) fn reach_worker(&mut self, call: usize, worker: usize) {
        let latency = self.latency(self.calls[call].entry, worker);
        let state = &mut self.workers[worker];
        let slowdown = match state.mode {
            Mode::Unreachable => {
                return self.reply(call, worker, Exchange::Unsent, CONNECT_TIMEOUT);
            }
            Mode::Failing => return self.reply(call, worker, Exchange::Broken, latency),
            Mode::Slow(factor) => factor,
            Mode::Healthy => 1.0,
        };
        if state.busy_slots >= SLOTS {
            self.service_stats[self.calls[call].service].refused += 1;
            return self.reply(call, worker, Exchange::Unavailable, latency);
        }
        let faults = self.plan.chaos;
        if faults.is_some_and(|faults| self.rng.random::<f64>() < faults.break_probability) {
            return self.reply(call, worker, Exchange::Broken, latency);
        }
        self.run_call(call);
        if self.calls[call].is_poison {
            return self.reply(call, worker, Exchange::Broken, latency);
        }
        let state = &mut self.workers[worker];
        state.busy_slots += 1;
        state.max_busy_slots = state.max_busy_slots.max(state.busy_slots);
        let outage_count = state.outage_count;
        let work = self.calls[call].work_time.mul_f64(slowdown);
        self.schedule(work, Timer::Complete(call, worker, outage_count));
    }

    fn run_call(&mut self, call_id: usize) {
        let call = &mut self.calls[call_id];
        call.run_count += 1;
        let is_idempotent = self.plan.deployment.services[call.service].is_idempotent;
        self.false_not_run += u64::from(call.outcome == Some("not-run"));
        if !is_idempotent {
            let run_count = self.run_counts.entry(call.key).or_default();
            *run_count += 1;
            self.second_runs += u64::from(*run_count > 1);
        }
    }

    pub(super) fn complete_run(&mut self, call: usize, worker: usize, outage_count: u64) {
        let latency = self.latency(self.calls[call].entry, worker);
        let state = &mut self.workers[worker];
        if state.outage_count != outage_count {
            // The worker went down while the call ran, so the exchange times out.
            let delay = (self.calls[call].deadline + EXCHANGE_GRACE).saturating_sub(self.now);
            return self.reply(call, worker, Exchange::Timeout, delay);
        }
        state.busy_slots -= 1;
        let faults = self.plan.chaos;
        if faults.is_some_and(|faults| self.rng.random::<f64>() < faults.answer_loss_probability) {
            let is_mismatch = self.rng.random();
            let exchange = if is_mismatch {
                Exchange::Mismatch
            } else {
                Exchange::Broken
            };
            return self.reply(call, worker, exchange, latency);
        }
        let answer = Answer {
            status: 200,
            body: Bytes::copy_from_slice(&call.to_be_bytes()),
        };
        self.reply(call, worker, Exchange::Answered(answer), latency);
    }
}
