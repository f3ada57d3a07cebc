//! What entry hosts ask for, carried out by the fakes.

use std::time::Duration;

use bytes::Bytes;
use persimmongate_core::gate::{Action, Claim, Event, Exchange};
use persimmongate_core::ids;
use persimmongate_core::outcome::{Answer, Outcome, Refusal};
use persimmongate_core::record::End;
use rand::RngExt;

use super::plan::{Mode, SLOTS, ZONES};
use super::setup;
use super::world::{Call, Timer, World};

/// One way inside a zone.
const INTRA_ZONE_LATENCY: Duration = Duration::from_micros(250);
/// Time in which a connection to a vanished worker is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a deadline at which an exchange is given up.
const EXCHANGE_GRACE: Duration = Duration::from_secs(30);
/// Shortest and longest time for an append and the read of its verdict, in milliseconds.
const CLAIM_LATENCY_MS: std::ops::Range<u64> = 5..15;
/// Time after which a claim without a verdict is given up.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time after which a caller sends a key again, in milliseconds.
const MAX_RESEND_DELAY_MS: u64 = 4000;

impl World {
    pub(super) fn execute(&mut self, entry: usize, action: Action) {
        match action {
            Action::Claim { request, key } => {
                let wait = Duration::from_millis(self.random.random_range(CLAIM_LATENCY_MS));
                self.schedule(wait, Timer::Claim(entry, request, key));
            }
            Action::End { key, end } => {
                let now = self.now;
                self.log.record_end(entry, now, key, end);
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
        let id = usize::try_from(request).unwrap_or(0);
        let call = &mut self.calls[id];
        if call.outcome.is_some() {
            self.second_outcomes += 1;
            return;
        }
        call.outcome = Some(outcome.as_str());
        let in_time = self.now <= call.deadline;
        if let Outcome::Answered(answer) = outcome {
            self.wrong_answers += u64::from(answer.body[..] != id.to_be_bytes());
        }
        let stats = &mut self.service_stats[call.service];
        stats.record(outcome, self.now.saturating_sub(call.submitted_at), in_time);
        let answered = matches!(outcome, Outcome::Answered(_)) && in_time;
        stats.steady_callers.0 += u64::from(answered && call.is_steady);
        let flood = self
            .plan
            .floods
            .iter()
            .find(|flood| flood.service == call.service);
        if answered && flood.is_some_and(|it| (it.from..it.until).contains(&self.now)) {
            stats.flood_work_s += call.work_time.as_secs_f64();
        }
        if matches!(outcome, Outcome::NotRun(_)) && call.run_count > 0 {
            self.false_not_run += 1;
        }
        if !matches!(outcome, Outcome::Answered(_)) {
            self.plan_resend(id);
        }
    }

    /// Lets a caller go away; it may come back with the same key.
    pub(super) fn cancel(&mut self, id: usize) {
        if self.calls[id].outcome.is_some() {
            return;
        }
        let entry = self.calls[id].entry;
        self.step(entry, Event::Cancel(id as u64));
        if self.calls[id].outcome.is_none() {
            self.calls[id].outcome = Some("gone");
            self.plan_resend(id);
        }
    }

    /// Lets the caller send a non-idempotent call again, in some of the cases.
    fn plan_resend(&mut self, id: usize) {
        let idempotent = self.plan.deployment.services[self.calls[id].service].is_idempotent;
        let Some(chaos) = self.plan.chaos.filter(|_| !idempotent) else {
            return;
        };
        if self.random.random::<f64>() < chaos.resend_probability {
            let wait = Duration::from_millis(self.random.random_range(0..MAX_RESEND_DELAY_MS));
            self.schedule(wait, Timer::Resend(id));
        }
    }

    pub(super) fn resend(&mut self, id: usize) {
        let old = &self.calls[id];
        let service = self.plan.deployment.services[old.service];
        let call = Call {
            entry: self.random.random_range(0..self.dispatchers.len()),
            submitted_at: self.now,
            deadline: self.now + Duration::from_millis(service.deadline_ms),
            run_count: 0,
            outcome: None,
            ..*old
        };
        self.service_stats[call.service].arrived += 1;
        self.calls.push(call);
        self.submit(self.calls.len() - 1, 1);
    }

    /// Lets an entry host lose all that it knows; its callers hear nothing.
    pub(super) fn crash(&mut self) {
        let Some(chaos) = self
            .plan
            .chaos
            .filter(|_| self.now < self.plan.last_arrival)
        else {
            return;
        };
        let entry = self.random.random_range(0..self.dispatchers.len());
        self.incarnations[entry] += 1;
        self.dispatchers[entry] = self.initial_dispatchers[entry].clone();
        self.log.join(entry, self.now);
        let lost: Vec<usize> = (0..self.calls.len())
            .filter(|id| self.calls[*id].entry == entry && self.calls[*id].outcome.is_none())
            .collect();
        for id in lost {
            self.calls[id].outcome = Some("lost");
            self.plan_resend(id);
        }
        self.apply_initial_changes(entry);
        self.schedule(chaos.crash_interval, Timer::Crash);
    }

    /// Decides a claim, or leaves it open while the log is down.
    pub(super) fn claim(&mut self, entry: usize, request: ids::Request, key: ids::IdempotencyKey) {
        let call = &self.calls[usize::try_from(request).unwrap_or(0)];
        // A claim of an earlier run was appended or not; the fold of the new one does not know it.
        if call.entry != entry || call.outcome == Some("lost") {
            self.log.claim(entry, self.now, key);
            return;
        }
        let chaos = self.plan.chaos;
        let down = chaos.is_some_and(|it| {
            self.now.as_nanos() % it.outage_interval.as_nanos() < it.outage_duration.as_nanos()
        });
        let late = chaos.is_some_and(|it| self.random.random::<f64>() < it.undecided_probability);
        let (verdict, wait) = if down {
            (Claim::Failed(Refusal::LogDown), CLAIM_TIMEOUT)
        } else if late {
            // Appended; the verdict is read after the request was given up, and frees the key.
            let won = self.log.claim(entry, self.now, key) == Claim::Won;
            if won {
                self.log.record_end(entry, self.now, key, End::NotRun);
            }
            (Claim::Undecided, CLAIM_TIMEOUT)
        } else {
            (self.log.claim(entry, self.now, key), Duration::ZERO)
        };
        let event = Box::new(Event::Claimed(request, verdict));
        self.schedule(wait, Timer::Deliver(entry, self.incarnations[entry], event));
    }

    /// Ends an exchange after a time.
    fn reply(&mut self, call: usize, worker: usize, exchange: Exchange, wait: Duration) {
        let entry = self.calls[call].entry;
        let done = Event::Done {
            request: call as u64,
            host: setup::host_name(worker),
            exchange,
        };
        let run = self.incarnations[entry];
        let twice = self
            .plan
            .chaos
            .is_some_and(|it| self.random.random::<f64>() < it.duplicate_probability);
        if twice {
            self.workers[worker].open_exchanges += 1;
            let done = Box::new(done.clone());
            self.schedule(wait, Timer::Deliver(entry, run, done));
        }
        self.schedule(wait, Timer::Deliver(entry, run, Box::new(done)));
    }

    pub(super) fn reach_worker(&mut self, call: usize, worker: usize) {
        let latency = self.latency(self.calls[call].entry, worker);
        let state = &mut self.workers[worker];
        let slow = match state.mode {
            Mode::Unreachable => {
                return self.reply(call, worker, Exchange::Unsent, CONNECT_TIMEOUT);
            }
            Mode::Failing => return self.reply(call, worker, Exchange::Broken, latency),
            Mode::Slow(factor) => factor,
            Mode::Healthy => 1.0,
        };
        if state.busy_slots >= SLOTS {
            self.service_stats[self.calls[call].service].refused += 1;
            return self.reply(call, worker, Exchange::Refused, latency);
        }
        let chaos = self.plan.chaos;
        if chaos.is_some_and(|it| self.random.random::<f64>() < it.break_probability) {
            return self.reply(call, worker, Exchange::Broken, latency);
        }
        self.run_call(call);
        if self.calls[call].is_poison {
            return self.reply(call, worker, Exchange::Broken, latency);
        }
        let state = &mut self.workers[worker];
        state.busy_slots += 1;
        state.max_busy_slots = state.max_busy_slots.max(state.busy_slots);
        let start = state.start_count;
        let work = self.calls[call].work_time.mul_f64(slow);
        self.schedule(work, Timer::Complete(call, worker, start));
    }

    fn run_call(&mut self, id: usize) {
        let call = &mut self.calls[id];
        call.run_count += 1;
        let idempotent = self.plan.deployment.services[call.service].is_idempotent;
        self.false_not_run += u64::from(call.outcome == Some("not-run"));
        if !idempotent {
            let run_count = self.run_counts.entry(call.key).or_default();
            *run_count += 1;
            self.second_runs += u64::from(*run_count > 1);
        }
    }

    pub(super) fn complete_run(&mut self, call: usize, worker: usize, start: u64) {
        let latency = self.latency(self.calls[call].entry, worker);
        let state = &mut self.workers[worker];
        if state.start_count != start {
            // Cut without an answer; the exchange is given up some time after its deadline.
            let left = (self.calls[call].deadline + EXCHANGE_GRACE).saturating_sub(self.now);
            return self.reply(call, worker, Exchange::Timeout, left);
        }
        state.busy_slots -= 1;
        let chaos = self.plan.chaos;
        if chaos.is_some_and(|it| self.random.random::<f64>() < it.answer_loss_probability) {
            let crossed = self.random.random();
            let end = if crossed {
                Exchange::Mismatch
            } else {
                Exchange::Broken
            };
            return self.reply(call, worker, end, latency);
        }
        let answer = Answer {
            status: 200,
            body: Bytes::copy_from_slice(&call.to_be_bytes()),
        };
        self.reply(call, worker, Exchange::Answered(answer), latency);
    }
}
