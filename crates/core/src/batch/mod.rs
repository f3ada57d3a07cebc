//! Appends of callers' records, several in one call.
//!
//! Load pattern: many callers submit at once while the log is slow. A partition carries out one append after
//! another, so that an append for each record would make all of them wait beyond their deadlines. Records that
//! arrive while an append is in flight therefore go together in the next one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids;

/// Pause before records are appended again after a failure of the log.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Age from which on an append in flight is taken for lost, so that another one follows beside it.
const LOST_AGE: Duration = Duration::from_secs(1);
/// Most appends in flight.
const MAX_IN_FLIGHT: usize = 2;
/// Duration of an append from which on the log counts as slow: several times what it takes in calm.
const SLOW_APPEND: Duration = Duration::from_millis(40);

/// `Entry` is a record of a caller.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Request of the caller.
    pub request: ids::Request,
    /// The record.
    pub record: T,
    /// Size of the record in an append, in bytes.
    pub size: usize,
    /// Time until which the caller waits for the outcome.
    pub deadline: Instant,
}

/// `Verdict` is the outcome of an append, or of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The log has stored it; the offset is that of the first record.
    Stored(ids::Offset),
    /// It has no effect, now or later.
    Ineffective,
    /// It may have taken effect or may do so later.
    Unknown,
    /// The log refuses the contents.
    Refused(u16),
}

/// `Event` is an input of a batcher.
#[derive(Clone, Debug)]
pub enum Event<T> {
    /// A caller's record is to be stored.
    Submitted(Entry<T>),
    /// An append was answered or given up.
    Answered(ids::Sequence, Verdict),
    /// The delay of [`Action::Wake`] has passed.
    Due,
}

/// `Action` is an output of a batcher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action<T> {
    /// Append records in one call.
    Append(ids::Sequence, Vec<T>),
    /// Give up an append, so that it is not delivered any more: all of its requests are answered.
    Abandon(ids::Sequence),
    /// Answer a request.
    Answer(ids::Request, Verdict),
    /// Deliver [`Event::Due`] after a delay.
    Wake(Duration),
}

/// `Waiting` is a record whose request is not answered.
#[derive(Debug)]
struct Waiting<T> {
    entry: Entry<T>,
    /// Whether an earlier append of it may still take effect.
    may_take_effect: bool,
    /// Whether it is appended alone, as the log refused an append that it was part of.
    is_alone: bool,
}

/// `Batch` is the records of an append in flight.
#[derive(Debug)]
struct Batch<T> {
    number: ids::Sequence,
    sent_at: Instant,
    members: Vec<Waiting<T>>,
    /// Requests of members that were answered at their deadlines.
    answered: Vec<ids::Request>,
}

/// `Batcher` is the records of callers that the log does not hold yet, of one partition.
#[derive(Debug)]
pub struct Batcher<T> {
    /// Maximum size of an append, in bytes.
    append_bytes: usize,
    waiting: VecDeque<Waiting<T>>,
    in_flight: Vec<Batch<T>>,
    next_number: ids::Sequence,
    /// Time before which nothing is appended, after a failure.
    not_before: Option<Instant>,
    /// Duration of the latest append that was answered.
    latest_duration: Duration,
}

impl<T: Clone> Batcher<T> {
    /// Creates a batcher without records; `append_bytes` is the maximum size of an append.
    #[must_use]
    pub fn new(append_bytes: usize) -> Self {
        Self {
            append_bytes,
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            next_number: 0,
            not_before: None,
            latest_duration: Duration::ZERO,
        }
    }

    /// Checks if the latest append took long, or one in flight does.
    #[must_use]
    pub fn is_slow(&self, now: Instant) -> bool {
        let ages = self.in_flight.iter().map(|batch| batch.age(now));
        ages.fold(self.latest_duration, Duration::max) > SLOW_APPEND
    }

    /// Handles an event and adds the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event<T>, actions: &mut Vec<Action<T>>) {
        match event {
            Event::Submitted(entry) => {
                let left = entry.deadline.saturating_duration_since(now);
                actions.push(Action::Wake(left));
                self.waiting.push_back(Waiting {
                    entry,
                    may_take_effect: false,
                    is_alone: false,
                });
            }
            Event::Answered(number, verdict) => self.finish(now, number, verdict, actions),
            Event::Due => {}
        }
        self.answer_overdue(now, actions);
        self.append_next(now, actions);
    }

    fn finish(
        &mut self,
        now: Instant,
        number: ids::Sequence,
        verdict: Verdict,
        actions: &mut Vec<Action<T>>,
    ) {
        let position = self
            .in_flight
            .iter()
            .position(|batch| batch.number == number);
        let Some(position) = position else {
            return;
        };
        let batch = self.in_flight.remove(position);
        self.latest_duration = batch.age(now);
        let count = batch.members.len();
        let is_answered = |member: &Waiting<T>| batch.answered.contains(&member.entry.request);
        let members = batch.members.iter().zip(0..);
        for (member, index) in members.filter(|(member, _)| !is_answered(member)) {
            let request = member.entry.request;
            match verdict {
                Verdict::Stored(offset) => {
                    let verdict = Verdict::Stored(offset + index);
                    actions.push(Action::Answer(request, verdict));
                }
                // An earlier append of the same record may still take effect.
                Verdict::Refused(_) if count == 1 && member.may_take_effect => {
                    actions.push(Action::Answer(request, Verdict::Unknown));
                }
                Verdict::Refused(_) if count == 1 => {
                    actions.push(Action::Answer(request, verdict));
                }
                Verdict::Refused(_) | Verdict::Ineffective | Verdict::Unknown => {
                    self.waiting.push_back(Waiting {
                        entry: member.entry.clone(),
                        may_take_effect: member.may_take_effect || verdict == Verdict::Unknown,
                        is_alone: member.is_alone || matches!(verdict, Verdict::Refused(_)),
                    });
                }
            }
        }
        if matches!(verdict, Verdict::Ineffective | Verdict::Unknown) {
            self.not_before = Some(now + RETRY_DELAY);
            actions.push(Action::Wake(RETRY_DELAY));
        }
    }

    /// Answers the requests whose callers wait no longer.
    fn answer_overdue(&mut self, now: Instant, actions: &mut Vec<Action<T>>) {
        self.waiting.retain(|waiting| {
            let is_overdue = waiting.entry.deadline <= now;
            if is_overdue {
                let verdict = if waiting.may_take_effect {
                    Verdict::Unknown
                } else {
                    Verdict::Ineffective
                };
                actions.push(Action::Answer(waiting.entry.request, verdict));
            }
            !is_overdue
        });
        for batch in &mut self.in_flight {
            for member in &batch.members {
                let request = member.entry.request;
                if member.entry.deadline <= now && !batch.answered.contains(&request) {
                    batch.answered.push(request);
                    actions.push(Action::Answer(request, Verdict::Unknown));
                }
            }
        }
        self.in_flight.retain(|batch| {
            let is_needed = batch.answered.len() < batch.members.len();
            if !is_needed {
                actions.push(Action::Abandon(batch.number));
            }
            is_needed
        });
    }

    /// Appends the waiting records unless an append is in flight.
    fn append_next(&mut self, now: Instant, actions: &mut Vec<Action<T>>) {
        let is_paused = self.not_before.is_some_and(|not_before| now < not_before);
        let is_free = self.in_flight.len() < MAX_IN_FLIGHT;
        let are_lost = self
            .in_flight
            .iter()
            .all(|batch| batch.age(now) >= LOST_AGE);
        if self.waiting.is_empty() || is_paused || !is_free || !are_lost {
            return;
        }
        let (mut members, mut size) = (Vec::new(), 0);
        while let Some(next) = self.waiting.front() {
            let is_full = size + next.entry.size > self.append_bytes;
            if !members.is_empty() && (is_full || next.is_alone) {
                break;
            }
            let is_alone = next.is_alone;
            size += next.entry.size;
            members.extend(self.waiting.pop_front());
            if is_alone {
                break;
            }
        }
        let number = self.next_number;
        self.next_number += 1;
        let records = members.iter().map(|member| member.entry.record.clone());
        actions.push(Action::Append(number, records.collect()));
        actions.push(Action::Wake(LOST_AGE));
        self.in_flight.push(Batch {
            number,
            sent_at: now,
            members,
            answered: Vec::new(),
        });
    }
}

impl<T> Batch<T> {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.sent_at)
    }
}
