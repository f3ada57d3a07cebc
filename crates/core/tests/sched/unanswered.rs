//! Polls without an answer, and when they are repeated.

use std::time::{Duration, Instant};

use persimmongate_core::sched::{Action, Answer, Event, Options, Scheduler};
use test_case::test_case;

use crate::world::report;

/// Passes an event to the scheduler and returns the delay until the next poll that it asks for.
fn delay_after(scheduler: &mut Scheduler, now: Instant, event: Event) -> Option<Duration> {
    let mut actions = Vec::new();
    scheduler.step(now, 0, event, &mut actions);
    actions.iter().find_map(|action| match action {
        Action::SchedulePoll(_, delay) => Some(*delay),
        _ => None,
    })
}

// Guards against a lease that ends as the connection of a poll was silent: a silent connection costs a poll its time
// limit, and the next poll uses another one.
#[test_case(Answer::Unknown, true; "no answer")]
#[test_case(Answer::Refused, false; "a refusal")]
fn verify_first_poll_without_an_answer_is_repeated_at_once(answer: Answer, at_once: bool) {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(Options::default(), 1, false, false, now);
    scheduler.step(now, 0, Event::TermConfirmed(now), &mut Vec::new());
    scheduler.step(now, 0, Event::Listed(report(0)), &mut Vec::new());
    let mut delays = Vec::new();
    for _ in 0..4 {
        let polled = Event::Polled {
            worker: "w0".into(),
            sent_at: now,
            answer: Err(answer),
        };
        delays.extend(delay_after(&mut scheduler, now, polled));
        scheduler.step(now, 0, Event::PollDue("w0".into()), &mut Vec::new());
    }
    assert_eq!(delays.len(), 4);
    assert_eq!(delays[0].is_zero(), at_once);
    // A worker that does not answer either is not flooded with polls.
    assert!(
        delays[1..]
            .iter()
            .all(|delay| *delay >= Duration::from_millis(250))
    );
    assert!(delays.is_sorted());
}
