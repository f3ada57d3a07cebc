//! Outcomes of single requests under the failures of workers, claims and callers.

mod fixture;

use std::time::Duration;

use fixture::{Harness, answer};
use persimmongate_core::gate::{Action, Claim, Event, Exchange, Options};
use persimmongate_core::outcome::{Doubt, Outcome, Refusal};
use persimmongate_core::record::End;
use persimmongate_core::request::Kind;
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(100);

fn options() -> Options {
    Options {
        instance: "entry-0".into(),
        zone: "a".into(),
        ..Options::default()
    }
}

#[test]
fn verify_full_workers_cost_no_retries() {
    let no_retries = Options {
        initial_retries: 0.0,
        ..options()
    };
    let mut harness = Harness::new(&[("finder", 2)], no_retries);
    let id = harness.arrive("finder", Kind::Idempotent, DEADLINE);
    for _ in 0..10 {
        let sends = harness.take_sends(id);
        assert_eq!(sends.len(), 1, "a refused request is sent again");
        harness.done(id, &sends[0], Exchange::Refused);
        harness.advance(STEP);
    }
    let sends = harness.take_sends(id);
    harness.done(id, &sends[0], answer());
    assert!(matches!(harness.outcome_of(id), Some(Outcome::Answered(_))));
}

#[test]
fn verify_refused_request_ends_in_time() {
    let mut harness = Harness::new(&[("finder", 1)], options());
    let id = harness.arrive("finder", Kind::Idempotent, DEADLINE);
    for _ in 0..30 {
        for host in harness.take_sends(id) {
            harness.done(id, &host, Exchange::Refused);
        }
        harness.advance(STEP);
    }
    assert_eq!(
        harness.outcome_of(id),
        Some(&Outcome::NotRun(Refusal::Deadline))
    );
}

#[test_case(Exchange::Refused)]
#[test_case(Exchange::Unsent)]
#[test_case(Exchange::Rejected)]
fn verify_not_run_is_not_said_after_a_broken_send(second: Exchange) {
    let mut harness = Harness::new(&[("finder", 2)], options());
    let id = harness.arrive("finder", Kind::Idempotent, DEADLINE);
    let first = harness.take_sends(id).remove(0);
    harness.done(id, &first, Exchange::Broken);
    let next = harness.take_sends(id).remove(0);
    assert_ne!(first, next, "the host that failed is avoided");
    harness.done(id, &next, second);
    for _ in 0..30 {
        for host in harness.take_sends(id) {
            harness.done(id, &host, Exchange::Unsent);
        }
        harness.advance(STEP);
    }
    assert_eq!(
        harness.outcome_of(id),
        Some(&Outcome::Unknown(Doubt::Broken))
    );
}

#[test]
fn verify_cancelled_requeue_after_a_broken_send_is_unknown() {
    let mut harness = Harness::new(&[("finder", 1)], options());
    let id = harness.arrive("finder", Kind::Idempotent, DEADLINE);
    let host = harness.take_sends(id).remove(0);
    harness.done(id, &host, Exchange::Broken);
    harness.step(Event::Cancel(id));
    assert_eq!(
        harness.outcome_of(id),
        Some(&Outcome::Unknown(Doubt::Broken))
    );
}

#[test_case(Exchange::Broken)]
#[test_case(Exchange::Mismatch)]
#[test_case(Exchange::Timeout)]
fn verify_once_request_is_never_sent_again(exchange: Exchange) {
    let mut harness = Harness::new(&[("finder", 3)], options());
    let id = harness.arrive("finder", Kind::Once(7), DEADLINE);
    harness.step(Event::Claimed(id, Claim::Won));
    let host = harness.take_sends(id).remove(0);
    harness.done(id, &host, exchange);
    // A repeated verdict changes nothing.
    harness.step(Event::Claimed(id, Claim::Won));
    harness.advance(STEP);
    assert!(harness.take_sends(id).is_empty());
    assert!(matches!(harness.outcome_of(id), Some(Outcome::Unknown(_))));
    let end = Action::End {
        key: 7,
        end: End::Unknown,
    };
    assert!(harness.actions.contains(&end));
}

#[test]
fn verify_second_verdict_does_not_send_twice() {
    let mut harness = Harness::new(&[("finder", 3)], options());
    let id = harness.arrive("finder", Kind::Once(7), DEADLINE);
    harness.step(Event::Claimed(id, Claim::Won));
    harness.step(Event::Claimed(id, Claim::Won));
    assert_eq!(harness.take_sends(id).len(), 1);
}

#[test]
fn verify_slot_is_held_after_a_timeout() {
    let mut harness = Harness::new(&[("finder", 1)], options());
    let id = harness.arrive("finder", Kind::Once(7), DEADLINE);
    harness.step(Event::Claimed(id, Claim::Won));
    let host = harness.take_sends(id).remove(0);
    harness.advance(DEADLINE);
    assert_eq!(
        harness.outcome_of(id),
        Some(&Outcome::Unknown(Doubt::Timeout))
    );
    assert_eq!(harness.gate.in_flight_count(&host), 1);
    let abandon = Action::Abandon {
        request: id,
        host: host.clone(),
    };
    assert!(harness.actions.contains(&abandon));
    harness.done(id, &host, answer());
    assert_eq!(harness.gate.in_flight_count(&host), 0);
    let end = Action::End {
        key: 7,
        end: End::Answered,
    };
    assert!(
        harness.actions.contains(&end),
        "the key records that the request ran"
    );
}

#[test]
fn verify_cancelled_wave_leaves_the_queue_and_holds_slots() {
    let mut harness = Harness::new(&[("finder", 1)], options());
    let ids: Vec<u64> = (0..20)
        .map(|_| harness.arrive("finder", Kind::Idempotent, DEADLINE))
        .collect();
    assert_eq!(harness.gate.queued_count(&"finder".into()), 12);
    for id in &ids {
        harness.step(Event::Cancel(*id));
    }
    assert_eq!(harness.gate.queued_count(&"finder".into()), 0);
    assert_eq!(harness.gate.in_flight_count(&"finder-0".into()), 8);
    assert_eq!(harness.gate.unfinished_count(), 0);
    let next = harness.arrive("finder", Kind::Idempotent, DEADLINE);
    assert!(
        harness.take_sends(next).is_empty(),
        "all slots are still occupied"
    );
    harness.done(ids[0], &"finder-0".into(), answer());
    assert_eq!(harness.take_sends(next).len(), 1);
}

#[test]
fn verify_request_rejected_by_several_is_unrunnable() {
    let mut harness = Harness::new(&[("finder", 5)], options());
    let id = harness.arrive("finder", Kind::Once(7), DEADLINE);
    harness.step(Event::Claimed(id, Claim::Won));
    for _ in 0..3 {
        let host = harness.take_sends(id).remove(0);
        harness.done(id, &host, Exchange::Rejected);
    }
    assert!(harness.take_sends(id).is_empty());
    assert_eq!(
        harness.outcome_of(id),
        Some(&Outcome::NotRun(Refusal::Unrunnable))
    );
}

#[test]
fn verify_request_broken_off_by_several_is_stopped() {
    let mut harness = Harness::new(&[("finder", 5)], options());
    let id = harness.arrive("finder", Kind::Idempotent, DEADLINE);
    for _ in 0..3 {
        let host = harness.take_sends(id).remove(0);
        harness.done(id, &host, Exchange::Broken);
    }
    assert!(harness.take_sends(id).is_empty());
    assert_eq!(
        harness.outcome_of(id),
        Some(&Outcome::Unknown(Doubt::Unrunnable))
    );
}

#[test]
fn verify_what_cannot_start_is_refused_at_once() {
    let mut harness = Harness::new(&[("finder", 1)], options());
    let mut sent: Vec<u64> = Vec::new();
    for _ in 0..120 {
        sent.push(harness.arrive("finder", Kind::Idempotent, DEADLINE));
    }
    // Eight slots at 100 ms per request start 80 requests per second.
    for _ in 0..10 {
        harness.advance(STEP);
        let started: Vec<u64> = sent
            .extract_if(.., |id| !harness.take_sends(*id).is_empty())
            .collect();
        for id in started {
            harness.done(id, &"finder-0".into(), answer());
        }
    }
    while harness.gate.queued_count(&"finder".into()) < 400 {
        let id = harness.arrive("finder", Kind::Idempotent, DEADLINE);
        if harness.outcome_of(id) == Some(&Outcome::NotRun(Refusal::Deadline)) {
            return;
        }
    }
    panic!("400 requests are queued although only 160 can meet the deadline");
}

#[test]
fn verify_loans_stop_while_the_owner_needs_its_slots() {
    let mut harness = Harness::new(&[("finder", 1), ("public", 2)], options());
    // The first answer gives the gate a latency estimate, without which nothing is borrowed.
    let first = harness.arrive("finder", Kind::Idempotent, DEADLINE);
    harness.now += STEP;
    let host = harness.take_sends(first).remove(0);
    harness.done(first, &host, answer());
    for _ in 0..40 {
        harness.arrive("finder", Kind::Idempotent, DEADLINE);
    }
    let in_flight_on_public = |harness: &Harness| {
        harness.gate.in_flight_count(&"public-0".into())
            + harness.gate.in_flight_count(&"public-1".into())
    };
    assert_eq!(
        in_flight_on_public(&harness),
        4,
        "two slots on each host of the other service"
    );
    let own = harness.arrive("public", Kind::Idempotent, DEADLINE);
    let host = harness.take_sends(own).remove(0);
    harness.done(own, &host, Exchange::Refused);
    let sent = harness.actions.clone();
    for action in sent {
        if let Action::Send { request, host, .. } = action
            && host.starts_with("public")
            && request != own
        {
            harness.done(request, &host, answer());
        }
    }
    // The remaining request is the owner's, sent to its other host.
    assert_eq!(
        in_flight_on_public(&harness),
        1,
        "loans end and no new ones start"
    );
}
