//! Delivery of the leaders' calls to the workers and the log, with the faults that are injected.

use std::time::{Duration, Instant};

use persimmongate_core::ids;
use persimmongate_core::journal::Record;
use persimmongate_core::sched::{Action, Answer, Call, Cause, Command, Event, Poll, Resources};
use rand::RngExt;

use super::{Activity, CALL_TIMEOUT, LATENCY, NO_LEADER, World};
use crate::worker::Active;

impl World {
    pub(super) fn append(&mut self, leader: usize, records: Vec<Record>) {
        let is_newest = leader + 1 == self.leaders.len();
        if !self.leaders[leader].is_log_reachable {
            let at = self.now + Duration::from_millis(150);
            self.schedule(at, Activity::Append(leader, records));
            return;
        }
        if !is_newest {
            self.leaders[leader].is_up = false;
            return;
        }
        for record in &records {
            if let Record::Accepted(stub) = record {
                self.stub_count += usize::from(stub.steps.is_empty());
            }
            self.offset += 1;
            self.index.apply(self.offset, record);
            self.ledger.apply(record);
        }
        self.schedule(
            self.now + LATENCY,
            Activity::Deliver(leader, Box::new(Event::Appended)),
        );
    }

    /// Lets the worker that an action is addressed to carry it out, unless a fault prevents this.
    pub(super) fn receive_action(&mut self, leader: usize, action: Action) {
        let name = addressee(&action);
        let is_cut = self.cuts.contains(&(leader, name.clone()));
        let is_answering = self.workers[&name].is_up && self.workers[&name].is_reachable;
        if !is_answering || is_cut {
            self.fail_call(leader, &action, self.now);
            return;
        }
        let is_command = matches!(action, Action::Call(_));
        let is_delayed = self.rng.random_range(0..1_000) < self.faults.delayed_calls
            || (is_command && self.is_drawn(self.faults.delayed_commands));
        if is_delayed {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.fail_call(leader, &action, self.now);
            let started_at_ms = self.workers[&name].report.started_at_ms;
            self.schedule(
                self.now + delay,
                Activity::DelayedCall(action, started_at_ms),
            );
            return;
        }
        self.advance_worker(&name);
        let is_answer_lost = self.rng.random_range(0..1_000) < self.faults.unanswered_calls
            || (is_command && self.is_drawn(self.faults.unanswered_commands));
        match action {
            Action::Poll(Poll {
                token,
                acknowledged_through,
                lease_expiry_ms,
                max_wait,
                ..
            }) => {
                let is_answer_lost = is_answer_lost
                    || self.rng.random_range(0..1_000) < self.faults.lost_poll_answers;
                self.poll(
                    &name,
                    leader,
                    (token, acknowledged_through, lease_expiry_ms, max_wait),
                    is_answer_lost,
                );
            }
            Action::Call(call) => self.call(&name, leader, call, is_answer_lost),
            _ => {}
        }
    }

    /// Draws whether a fault occurs, without a draw for a fault that is switched off.
    fn is_drawn(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    /// Delivers the failure of an unanswered call to its leader.
    fn fail_call(&mut self, leader: usize, action: &Action, sent_at: Instant) {
        let (event, timeout) = match action {
            Action::Poll(poll) => {
                let event = Event::Polled {
                    worker: poll.worker.clone(),
                    sent_at,
                    answer: Err(Answer::Unknown),
                };
                (event, poll.max_wait + CALL_TIMEOUT)
            }
            Action::Call(call) => {
                let event = Event::Called {
                    call: call.clone(),
                    sent_at,
                    answer: Answer::Unknown,
                    clock_ms: None,
                };
                (event, CALL_TIMEOUT)
            }
            _ => return,
        };
        if leader != NO_LEADER {
            self.schedule(
                self.now + timeout,
                Activity::Deliver(leader, Box::new(event)),
            );
        }
    }

    fn poll(
        &mut self,
        name: &str,
        leader: usize,
        (token, acknowledged_through, lease_expiry_ms, max_wait): (
            ids::Term,
            u64,
            Option<u64>,
            Duration,
        ),
        is_answer_lost: bool,
    ) {
        let now = self.now;
        let worker = self.workers.get_mut(name).unwrap();
        let started_at_ms = worker.report.started_at_ms;
        let (answer, acknowledged) = worker.poll(now, token, acknowledged_through, lease_expiry_ms);
        for (_, task, run, status) in acknowledged {
            self.check_acknowledged(&task, run, status);
        }
        let id: ids::Worker = name.into();
        if leader == NO_LEADER {
            return;
        }
        let sent_at = now.checked_sub(LATENCY).unwrap();
        let is_empty = answer
            .as_ref()
            .is_ok_and(|inventory| inventory.exits.is_empty());
        if is_answer_lost {
            let event = Event::Polled {
                worker: id,
                sent_at,
                answer: Err(Answer::Unknown),
            };
            self.schedule(
                now + max_wait + CALL_TIMEOUT,
                Activity::Deliver(leader, Box::new(event)),
            );
        } else if is_empty && !max_wait.is_zero() {
            let replaced = self
                .waiting_polls
                .insert(name.to_owned(), (leader, sent_at));
            // The poll of an older leader ends without an answer.
            if let Some((leader, sent_at)) = replaced {
                let event = Event::Polled {
                    worker: id,
                    sent_at,
                    answer: Err(Answer::Unknown),
                };
                let at = now + max_wait + CALL_TIMEOUT;
                self.schedule(at, Activity::Deliver(leader, Box::new(event)));
            }
            self.schedule(
                now + max_wait,
                Activity::PollTimeout(name.to_owned(), leader, sent_at, started_at_ms),
            );
        } else {
            let event = Event::Polled {
                worker: id,
                sent_at,
                answer,
            };
            self.schedule(now + LATENCY, Activity::Deliver(leader, Box::new(event)));
        }
    }

    /// Answers a poll that was waiting.
    pub(super) fn answer_poll(
        &mut self,
        name: &str,
        leader: usize,
        sent_at: Instant,
        started_at_ms: u64,
    ) {
        let now = self.now;
        let worker = self.workers.get_mut(name).unwrap();
        let (answer, _) = worker.poll(now, self.leaders[leader].term, 0, None);
        let is_answering = worker.is_up
            && worker.is_reachable
            && worker.report.started_at_ms == started_at_ms
            && !self.cuts.contains(&(leader, name.to_owned()));
        let event = Event::Polled {
            worker: name.into(),
            sent_at,
            answer: if is_answering {
                answer
            } else {
                Err(Answer::Unknown)
            },
        };
        self.schedule(now + LATENCY, Activity::Deliver(leader, Box::new(event)));
    }

    fn call(&mut self, name: &str, leader: usize, call: Call, is_answer_lost: bool) {
        let now = self.now;
        let step = self.jobs[&call.task.job].steps[call.task.step as usize].clone();
        let is_failing = self.rng.random_range(0..1_000) < self.faults.failed_runs;
        let status = if is_failing {
            Cause::Failed
        } else {
            Cause::Done
        };
        let labels = &self.workers[name].report.labels;
        let is_remote = step
            .data_rack
            .as_ref()
            .is_some_and(|rack| !labels.contains(rack));
        let factor = if is_remote { self.remote_factor } else { 1 };
        let run_time = step.estimate * factor * self.run_percent / 100;
        let active = Active {
            run: call.run,
            resources: Resources::reserved_by(&step),
            started_at: now,
            exit: (!step.is_long_running).then(|| (now + run_time, status)),
            stop_requested_at: None,
        };
        if matches!(call.command, Command::Stop) && leader != NO_LEADER {
            self.check_stop(name, &call);
        }
        let worker = self.workers.get_mut(name).unwrap();
        if !self.has_fencing {
            worker.token = 0;
        }
        let (answer, has_started) = worker.call(now, &call, || active);
        if has_started {
            self.start_count += 1;
            if let Command::Start { payload, .. } = &call.command {
                self.payloads_sent.push(payload.to_string());
            }
            self.check_start(name, &call);
            self.crash_if_deadly(name, &call.task);
        }
        if leader == NO_LEADER {
            return;
        }
        let event = Event::Called {
            call,
            sent_at: now.checked_sub(LATENCY).unwrap(),
            answer: if is_answer_lost {
                Answer::Unknown
            } else {
                answer
            },
            clock_ms: None,
        };
        let delay = if is_answer_lost {
            CALL_TIMEOUT
        } else {
            LATENCY
        };
        self.schedule(now + delay, Activity::Deliver(leader, Box::new(event)));
    }
}

/// Returns the worker that a call is addressed to.
pub(super) fn addressee(action: &Action) -> String {
    match action {
        Action::Poll(poll) => poll.worker.to_string(),
        Action::Call(call) => call.worker.to_string(),
        _ => String::new(),
    }
}
