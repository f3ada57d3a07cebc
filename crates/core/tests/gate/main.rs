//! Outcomes of single requests under the failures of workers, claims and callers.

mod fixture;

use std::time::Duration;

use fixture::{Fixture, answer};
use persimmongate_core::gate::{Action, ClaimResult, Event, Exchange, Options};
use persimmongate_core::outcome::{Doubt, Outcome, Refusal};
use persimmongate_core::record::Completion;
use persimmongate_core::request::Repeatability;
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
fn verify_refusals_do_not_use_the_retry_budget() {
    let no_retries = Options {
        initial_retries: 0.0,
        ..options()
    };
    let mut fixture = Fixture::new(&[("finder", 2)], no_retries);
    let id = fixture.arrive("finder", Repeatability::Idempotent, DEADLINE);
    for _ in 0..10 {
        let sends = fixture.take_sends(id);
        assert_eq!(sends.len(), 1, "a refused request is sent again");
        fixture.done(id, &sends[0], Exchange::Unavailable);
        fixture.advance(STEP);
    }
    let sends = fixture.take_sends(id);
    fixture.done(id, &sends[0], answer());
    assert!(matches!(fixture.outcome_of(id), Some(Outcome::Answered(_))));
}

#[test]
fn verify_refused_request_ends_in_time() {
    let mut fixture = Fixture::new(&[("finder", 1)], options());
    let id = fixture.arrive("finder", Repeatability::Idempotent, DEADLINE);
    for _ in 0..30 {
        for host in fixture.take_sends(id) {
            fixture.done(id, &host, Exchange::Unavailable);
        }
        fixture.advance(STEP);
    }
    assert_eq!(
        fixture.outcome_of(id),
        Some(&Outcome::NotRun(Refusal::Deadline))
    );
}

#[test_case(Exchange::Unavailable)]
#[test_case(Exchange::Unsent)]
#[test_case(Exchange::RequestRejected)]
fn verify_not_run_is_not_reported_after_a_broken_send(second: Exchange) {
    let mut fixture = Fixture::new(&[("finder", 2)], options());
    let id = fixture.arrive("finder", Repeatability::Idempotent, DEADLINE);
    let first = fixture.take_sends(id).remove(0);
    fixture.done(id, &first, Exchange::Broken);
    let next = fixture.take_sends(id).remove(0);
    assert_ne!(first, next, "the host that failed is avoided");
    fixture.done(id, &next, second);
    for _ in 0..30 {
        for host in fixture.take_sends(id) {
            fixture.done(id, &host, Exchange::Unsent);
        }
        fixture.advance(STEP);
    }
    assert_eq!(
        fixture.outcome_of(id),
        Some(&Outcome::Unknown(Doubt::Broken))
    );
}

#[test]
fn verify_cancelled_requeue_after_a_broken_send_is_unknown() {
    let mut fixture = Fixture::new(&[("finder", 1)], options());
    let id = fixture.arrive("finder", Repeatability::Idempotent, DEADLINE);
    let host = fixture.take_sends(id).remove(0);
    fixture.done(id, &host, Exchange::Broken);
    fixture.step(Event::Cancel(id));
    assert_eq!(
        fixture.outcome_of(id),
        Some(&Outcome::Unknown(Doubt::Broken))
    );
}

#[test_case(Exchange::Broken)]
#[test_case(Exchange::Mismatch)]
#[test_case(Exchange::Timeout)]
fn verify_at_most_once_request_is_never_sent_again(exchange: Exchange) {
    let mut fixture = Fixture::new(&[("finder", 3)], options());
    let id = fixture.arrive("finder", Repeatability::Once(7), DEADLINE);
    fixture.step(Event::Claimed(id, ClaimResult::Won));
    let host = fixture.take_sends(id).remove(0);
    fixture.done(id, &host, exchange);
    // A repeated verdict changes nothing.
    fixture.step(Event::Claimed(id, ClaimResult::Won));
    fixture.advance(STEP);
    assert!(fixture.take_sends(id).is_empty());
    assert!(matches!(fixture.outcome_of(id), Some(Outcome::Unknown(_))));
    let end = Action::ReportKeyOutcome {
        key: 7,
        outcome: Completion::Unknown,
    };
    assert!(fixture.actions.contains(&end));
}

#[test]
fn verify_second_verdict_does_not_send_twice() {
    let mut fixture = Fixture::new(&[("finder", 3)], options());
    let id = fixture.arrive("finder", Repeatability::Once(7), DEADLINE);
    fixture.step(Event::Claimed(id, ClaimResult::Won));
    fixture.step(Event::Claimed(id, ClaimResult::Won));
    assert_eq!(fixture.take_sends(id).len(), 1);
}

#[test]
fn verify_slot_is_held_after_a_timeout() {
    let mut fixture = Fixture::new(&[("finder", 1)], options());
    let id = fixture.arrive("finder", Repeatability::Once(7), DEADLINE);
    fixture.step(Event::Claimed(id, ClaimResult::Won));
    let host = fixture.take_sends(id).remove(0);
    fixture.advance(DEADLINE);
    assert_eq!(
        fixture.outcome_of(id),
        Some(&Outcome::Unknown(Doubt::Timeout))
    );
    assert_eq!(fixture.gate.in_flight_count(&host), 1);
    let abandon = Action::Abandon {
        request: id,
        host: host.clone(),
    };
    assert!(fixture.actions.contains(&abandon));
    fixture.done(id, &host, answer());
    assert_eq!(fixture.gate.in_flight_count(&host), 0);
    let end = Action::ReportKeyOutcome {
        key: 7,
        outcome: Completion::Answered,
    };
    assert!(
        fixture.actions.contains(&end),
        "the key records that the request ran"
    );
}

#[test]
fn verify_cancelled_requests_leave_the_queue_but_keep_their_slots() {
    let mut fixture = Fixture::new(&[("finder", 1)], options());
    let ids: Vec<u64> = (0..20)
        .map(|_| fixture.arrive("finder", Repeatability::Idempotent, DEADLINE))
        .collect();
    assert_eq!(fixture.gate.queued_count(&"finder".into()), 12);
    for id in &ids {
        fixture.step(Event::Cancel(*id));
    }
    assert_eq!(fixture.gate.queued_count(&"finder".into()), 0);
    assert_eq!(fixture.gate.in_flight_count(&"finder-0".into()), 8);
    assert_eq!(fixture.gate.unfinished_count(), 0);
    let next = fixture.arrive("finder", Repeatability::Idempotent, DEADLINE);
    assert!(
        fixture.take_sends(next).is_empty(),
        "all slots are still occupied"
    );
    fixture.done(ids[0], &"finder-0".into(), answer());
    assert_eq!(fixture.take_sends(next).len(), 1);
}

#[test]
fn verify_request_that_three_workers_reject_is_unrunnable() {
    let mut fixture = Fixture::new(&[("finder", 5)], options());
    let id = fixture.arrive("finder", Repeatability::Once(7), DEADLINE);
    fixture.step(Event::Claimed(id, ClaimResult::Won));
    for _ in 0..3 {
        let host = fixture.take_sends(id).remove(0);
        fixture.done(id, &host, Exchange::RequestRejected);
    }
    assert!(fixture.take_sends(id).is_empty());
    assert_eq!(
        fixture.outcome_of(id),
        Some(&Outcome::NotRun(Refusal::Unrunnable))
    );
}

#[test]
fn verify_request_that_breaks_three_exchanges_is_not_retried() {
    let mut fixture = Fixture::new(&[("finder", 5)], options());
    let id = fixture.arrive("finder", Repeatability::Idempotent, DEADLINE);
    for _ in 0..3 {
        let host = fixture.take_sends(id).remove(0);
        fixture.done(id, &host, Exchange::Broken);
    }
    assert!(fixture.take_sends(id).is_empty());
    assert_eq!(
        fixture.outcome_of(id),
        Some(&Outcome::Unknown(Doubt::Unrunnable))
    );
}

#[test]
fn verify_request_that_would_miss_its_deadline_is_refused_on_arrival() {
    let mut fixture = Fixture::new(&[("finder", 1)], options());
    let mut sent: Vec<u64> = Vec::new();
    for _ in 0..120 {
        sent.push(fixture.arrive("finder", Repeatability::Idempotent, DEADLINE));
    }
    // Eight slots at 100 ms per request start 80 requests per second.
    for _ in 0..10 {
        fixture.advance(STEP);
        let started: Vec<u64> = sent
            .extract_if(.., |id| !fixture.take_sends(*id).is_empty())
            .collect();
        for id in started {
            fixture.done(id, &"finder-0".into(), answer());
        }
    }
    while fixture.gate.queued_count(&"finder".into()) < 400 {
        let id = fixture.arrive("finder", Repeatability::Idempotent, DEADLINE);
        if fixture.outcome_of(id) == Some(&Outcome::NotRun(Refusal::Deadline)) {
            return;
        }
    }
    panic!("400 requests are queued although only 160 can meet the deadline");
}

#[test]
fn verify_slots_are_not_borrowed_while_their_own_service_has_queued_requests() {
    let mut fixture = Fixture::new(&[("finder", 1), ("public", 2)], options());
    // The first answer gives the gate a latency estimate, without which nothing is borrowed.
    let first = fixture.arrive("finder", Repeatability::Idempotent, DEADLINE);
    fixture.now += STEP;
    let host = fixture.take_sends(first).remove(0);
    fixture.done(first, &host, answer());
    for _ in 0..40 {
        fixture.arrive("finder", Repeatability::Idempotent, DEADLINE);
    }
    let in_flight_on_public = |fixture: &Fixture| {
        fixture.gate.in_flight_count(&"public-0".into())
            + fixture.gate.in_flight_count(&"public-1".into())
    };
    assert_eq!(
        in_flight_on_public(&fixture),
        4,
        "two slots on each host of the other service"
    );
    let own = fixture.arrive("public", Repeatability::Idempotent, DEADLINE);
    let host = fixture.take_sends(own).remove(0);
    fixture.done(own, &host, Exchange::Unavailable);
    let sent = fixture.actions.clone();
    for action in sent {
        if let Action::Send { request, host, .. } = action
            && host.starts_with("public")
            && request != own
        {
            fixture.done(request, &host, answer());
        }
    }
    // The remaining request is that of the service that owns the hosts, sent to its other host.
    assert_eq!(
        in_flight_on_public(&fixture),
        1,
        "borrowed slots are returned and none is borrowed again"
    );
}
