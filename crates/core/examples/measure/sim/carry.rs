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
use super::world::{Call, Happening, World};

/// One way inside a zone.
const INSIDE: Duration = Duration::from_micros(250);
/// Time in which a connection to a vanished worker is given up.
const CONNECT: Duration = Duration::from_secs(1);
/// Time after a deadline at which an exchange is given up.
const LINGER: Duration = Duration::from_secs(30);
/// Shortest and longest time for an append and the read of its verdict, in milliseconds.
const CLAIM_MS: std::ops::Range<u64> = 5..15;
/// Time after which a claim without a verdict is given up.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time after which a caller sends a key again, in milliseconds.
const RESEND_MS: u64 = 4000;

impl World {
    pub(super) fn carry_out(&mut self, entry: usize, action: Action) {
        match action {
            Action::Claim { request, key } => {
                let wait = Duration::from_millis(self.chance.random_range(CLAIM_MS));
                self.after(wait, Happening::Claim(entry, request, key));
            }
            Action::End { key, end } => {
                let now = self.now;
                self.log.end(entry, now, key, end);
            }
            Action::Finish { request, outcome } => self.finish(request, &outcome),
            Action::Send { request, host, .. } => {
                let worker = self.numbers[&host];
                let call = usize::try_from(request).unwrap_or(0);
                let way = self.way(entry, worker);
                let tally = &mut self.tallies[self.calls[call].service];
                tally.sends += 1;
                tally.remote += u64::from(way > INSIDE);
                let worker_state = &mut self.workers[worker];
                worker_state.open += 1;
                worker_state.open_max = worker_state.open_max.max(worker_state.open);
                self.after(way, Happening::Reach(call, worker));
            }
            _ => {}
        }
    }

    fn way(&self, entry: usize, worker: usize) -> Duration {
        if entry % ZONES == setup::zone_of(worker) {
            INSIDE
        } else {
            self.plan.deployment.between
        }
    }

    fn finish(&mut self, request: ids::Request, outcome: &Outcome) {
        let id = usize::try_from(request).unwrap_or(0);
        let call = &mut self.calls[id];
        if call.outcome.is_some() {
            self.doubled += 1;
            return;
        }
        call.outcome = Some(outcome.as_str());
        let in_time = self.now <= call.deadline;
        if let Outcome::Answered(answer) = outcome {
            self.wrong += u64::from(answer.body[..] != id.to_be_bytes());
        }
        let tally = &mut self.tallies[call.service];
        tally.note(outcome, self.now.saturating_sub(call.since), in_time);
        let answered = matches!(outcome, Outcome::Answered(_)) && in_time;
        tally.calm.0 += u64::from(answered && call.calm);
        let flood = self
            .plan
            .floods
            .iter()
            .find(|flood| flood.service == call.service);
        if answered && flood.is_some_and(|it| (it.from..it.until).contains(&self.now)) {
            tally.work += call.work.as_secs_f64();
        }
        if matches!(outcome, Outcome::NotRun(_)) && call.runs > 0 {
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
        let idempotent = self.plan.deployment.services[self.calls[id].service].idempotent;
        let Some(chaos) = self.plan.chaos.filter(|_| !idempotent) else {
            return;
        };
        if self.chance.random::<f64>() < chaos.resends {
            let wait = Duration::from_millis(self.chance.random_range(0..RESEND_MS));
            self.after(wait, Happening::Resend(id));
        }
    }

    pub(super) fn resend(&mut self, id: usize) {
        let old = &self.calls[id];
        let service = self.plan.deployment.services[old.service];
        let call = Call {
            entry: self.chance.random_range(0..self.doors.len()),
            since: self.now,
            deadline: self.now + Duration::from_millis(service.deadline_ms),
            runs: 0,
            outcome: None,
            ..*old
        };
        self.tallies[call.service].offered += 1;
        self.calls.push(call);
        self.submit(self.calls.len() - 1, 1);
    }

    /// Lets an entry host lose all that it knows; its callers hear nothing.
    pub(super) fn crash(&mut self) {
        let Some(chaos) = self.plan.chaos.filter(|_| self.now < self.plan.until) else {
            return;
        };
        let entry = self.chance.random_range(0..self.doors.len());
        self.runs[entry] += 1;
        self.doors[entry] = self.fresh[entry].clone();
        self.log.join(entry, self.now);
        let lost: Vec<usize> = (0..self.calls.len())
            .filter(|id| self.calls[*id].entry == entry && self.calls[*id].outcome.is_none())
            .collect();
        for id in lost {
            self.calls[id].outcome = Some("lost");
            self.plan_resend(id);
        }
        self.follow(entry);
        self.after(chaos.crash, Happening::Crash);
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
            self.now.as_nanos() % it.outage.as_nanos() < it.outage_length.as_nanos()
        });
        let late = chaos.is_some_and(|it| self.chance.random::<f64>() < it.unsettled);
        let (verdict, wait) = if down {
            (Claim::Failed(Refusal::LogDown), CLAIM_TIMEOUT)
        } else if late {
            // Appended; the verdict is read after the request was given up, and frees the key.
            let won = self.log.claim(entry, self.now, key) == Claim::Won;
            if won {
                self.log.end(entry, self.now, key, End::NotRun);
            }
            (Claim::Undecided, CLAIM_TIMEOUT)
        } else {
            (self.log.claim(entry, self.now, key), Duration::ZERO)
        };
        let event = Box::new(Event::Claimed(request, verdict));
        self.after(wait, Happening::At(entry, self.runs[entry], event));
    }

    /// Ends an exchange after a time.
    fn reply(&mut self, call: usize, worker: usize, exchange: Exchange, wait: Duration) {
        let entry = self.calls[call].entry;
        let done = Event::Done {
            request: call as u64,
            host: setup::host_name(worker),
            exchange,
        };
        let run = self.runs[entry];
        let twice = self
            .plan
            .chaos
            .is_some_and(|it| self.chance.random::<f64>() < it.doubles);
        if twice {
            self.workers[worker].open += 1;
            let done = Box::new(done.clone());
            self.after(wait, Happening::At(entry, run, done));
        }
        self.after(wait, Happening::At(entry, run, Box::new(done)));
    }

    pub(super) fn reach(&mut self, call: usize, worker: usize) {
        let way = self.way(self.calls[call].entry, worker);
        let state = &mut self.workers[worker];
        let slow = match state.mode {
            Mode::Gone => return self.reply(call, worker, Exchange::Unsent, CONNECT),
            Mode::Fails => return self.reply(call, worker, Exchange::Broken, way),
            Mode::Slow(factor) => factor,
            Mode::Well => 1.0,
        };
        if state.busy >= SLOTS {
            self.tallies[self.calls[call].service].refused += 1;
            return self.reply(call, worker, Exchange::Refused, way);
        }
        let chaos = self.plan.chaos;
        if chaos.is_some_and(|it| self.chance.random::<f64>() < it.breaks) {
            return self.reply(call, worker, Exchange::Broken, way);
        }
        self.run_call(call);
        if self.calls[call].poison {
            return self.reply(call, worker, Exchange::Broken, way);
        }
        let state = &mut self.workers[worker];
        state.busy += 1;
        state.busy_max = state.busy_max.max(state.busy);
        let start = state.start;
        let work = self.calls[call].work.mul_f64(slow);
        self.after(work, Happening::End(call, worker, start));
    }

    fn run_call(&mut self, id: usize) {
        let call = &mut self.calls[id];
        call.runs += 1;
        let idempotent = self.plan.deployment.services[call.service].idempotent;
        self.false_not_run += u64::from(call.outcome == Some("not-run"));
        if !idempotent {
            let ran = self.ran.entry(call.key).or_default();
            *ran += 1;
            self.second_runs += u64::from(*ran > 1);
        }
    }

    pub(super) fn end(&mut self, call: usize, worker: usize, start: u64) {
        let way = self.way(self.calls[call].entry, worker);
        let state = &mut self.workers[worker];
        if state.start != start {
            // Cut without an answer; the exchange is given up some time after its deadline.
            let left = (self.calls[call].deadline + LINGER).saturating_sub(self.now);
            return self.reply(call, worker, Exchange::Timeout, left);
        }
        state.busy -= 1;
        let chaos = self.plan.chaos;
        if chaos.is_some_and(|it| self.chance.random::<f64>() < it.losses) {
            let crossed = self.chance.random();
            let end = if crossed {
                Exchange::Mismatch
            } else {
                Exchange::Broken
            };
            return self.reply(call, worker, end, way);
        }
        let answer = Answer {
            status: 200,
            body: Bytes::copy_from_slice(&call.to_be_bytes()),
        };
        self.reply(call, worker, Exchange::Answered(answer), way);
    }
}
