//! Decisions about single requests, under the failures that they are meant for.

mod fixture;

use std::time::Duration;

use fixture::{Desk, answer};
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
    let policy = Options {
        initial_retries: 0.0,
        ..options()
    };
    let mut desk = Desk::new(&[("finder", 2)], policy);
    let id = desk.arrive("finder", Kind::Idempotent, DEADLINE);
    for _ in 0..10 {
        let sends = desk.take_sends(id);
        assert_eq!(sends.len(), 1, "a refused request is sent again");
        desk.done(id, &sends[0], Exchange::Refused);
        desk.pass(STEP);
    }
    let sends = desk.take_sends(id);
    desk.done(id, &sends[0], answer());
    assert!(matches!(desk.told(id), Some(Outcome::Answered(_))));
}

#[test]
fn verify_refused_request_ends_in_time() {
    let mut desk = Desk::new(&[("finder", 1)], options());
    let id = desk.arrive("finder", Kind::Idempotent, DEADLINE);
    for _ in 0..30 {
        for host in desk.take_sends(id) {
            desk.done(id, &host, Exchange::Refused);
        }
        desk.pass(STEP);
    }
    assert_eq!(desk.told(id), Some(&Outcome::NotRun(Refusal::Deadline)));
}

#[test_case(Exchange::Refused)]
#[test_case(Exchange::Unsent)]
#[test_case(Exchange::Rejected)]
fn verify_not_run_is_not_said_after_a_broken_send(second: Exchange) {
    let mut desk = Desk::new(&[("finder", 2)], options());
    let id = desk.arrive("finder", Kind::Idempotent, DEADLINE);
    let first = desk.take_sends(id).remove(0);
    desk.done(id, &first, Exchange::Broken);
    let next = desk.take_sends(id).remove(0);
    assert_ne!(first, next, "the host that failed is avoided");
    desk.done(id, &next, second);
    for _ in 0..30 {
        for host in desk.take_sends(id) {
            desk.done(id, &host, Exchange::Unsent);
        }
        desk.pass(STEP);
    }
    assert_eq!(desk.told(id), Some(&Outcome::Unknown(Doubt::Broken)));
}

#[test]
fn verify_cancelled_requeue_after_a_broken_send_is_unknown() {
    let mut desk = Desk::new(&[("finder", 1)], options());
    let id = desk.arrive("finder", Kind::Idempotent, DEADLINE);
    let host = desk.take_sends(id).remove(0);
    desk.done(id, &host, Exchange::Broken);
    desk.step(Event::Cancel(id));
    assert_eq!(desk.told(id), Some(&Outcome::Unknown(Doubt::Broken)));
}

#[test_case(Exchange::Broken)]
#[test_case(Exchange::Mismatch)]
#[test_case(Exchange::Timeout)]
fn verify_once_request_is_never_sent_again(exchange: Exchange) {
    let mut desk = Desk::new(&[("finder", 3)], options());
    let id = desk.arrive("finder", Kind::Once(7), DEADLINE);
    desk.step(Event::Claimed(id, Claim::Won));
    let host = desk.take_sends(id).remove(0);
    desk.done(id, &host, exchange);
    // A verdict that comes twice changes nothing.
    desk.step(Event::Claimed(id, Claim::Won));
    desk.pass(STEP);
    assert!(desk.take_sends(id).is_empty());
    assert!(matches!(desk.told(id), Some(Outcome::Unknown(_))));
    let end = Action::End {
        key: 7,
        end: End::Unknown,
    };
    assert!(desk.actions.contains(&end));
}

#[test]
fn verify_second_verdict_does_not_send_twice() {
    let mut desk = Desk::new(&[("finder", 3)], options());
    let id = desk.arrive("finder", Kind::Once(7), DEADLINE);
    desk.step(Event::Claimed(id, Claim::Won));
    desk.step(Event::Claimed(id, Claim::Won));
    assert_eq!(desk.take_sends(id).len(), 1);
}

#[test]
fn verify_slot_is_held_after_a_timeout() {
    let mut desk = Desk::new(&[("finder", 1)], options());
    let id = desk.arrive("finder", Kind::Once(7), DEADLINE);
    desk.step(Event::Claimed(id, Claim::Won));
    let host = desk.take_sends(id).remove(0);
    desk.pass(DEADLINE);
    assert_eq!(desk.told(id), Some(&Outcome::Unknown(Doubt::Timeout)));
    assert_eq!(desk.gate.in_flight_count(&host), 1);
    let abandon = Action::Abandon {
        request: id,
        host: host.clone(),
    };
    assert!(desk.actions.contains(&abandon));
    desk.done(id, &host, answer());
    assert_eq!(desk.gate.in_flight_count(&host), 0);
    let end = Action::End {
        key: 7,
        end: End::Answered,
    };
    assert!(desk.actions.contains(&end), "the key keeps that it ran");
}

#[test]
fn verify_cancelled_wave_leaves_the_queue_and_holds_slots() {
    let mut desk = Desk::new(&[("finder", 1)], options());
    let ids: Vec<u64> = (0..20)
        .map(|_| desk.arrive("finder", Kind::Idempotent, DEADLINE))
        .collect();
    assert_eq!(desk.gate.queued_count(&"finder".into()), 12);
    for id in &ids {
        desk.step(Event::Cancel(*id));
    }
    assert_eq!(desk.gate.queued_count(&"finder".into()), 0);
    assert_eq!(desk.gate.in_flight_count(&"finder-0".into()), 8);
    assert_eq!(desk.gate.unfinished_count(), 0);
    let next = desk.arrive("finder", Kind::Idempotent, DEADLINE);
    assert!(desk.take_sends(next).is_empty(), "all slots still run");
    desk.done(ids[0], &"finder-0".into(), answer());
    assert_eq!(desk.take_sends(next).len(), 1);
}

#[test]
fn verify_request_rejected_by_several_is_unrunnable() {
    let mut desk = Desk::new(&[("finder", 5)], options());
    let id = desk.arrive("finder", Kind::Once(7), DEADLINE);
    desk.step(Event::Claimed(id, Claim::Won));
    for _ in 0..3 {
        let host = desk.take_sends(id).remove(0);
        desk.done(id, &host, Exchange::Rejected);
    }
    assert!(desk.take_sends(id).is_empty());
    assert_eq!(desk.told(id), Some(&Outcome::NotRun(Refusal::Unrunnable)));
}

#[test]
fn verify_request_broken_off_by_several_is_stopped() {
    let mut desk = Desk::new(&[("finder", 5)], options());
    let id = desk.arrive("finder", Kind::Idempotent, DEADLINE);
    for _ in 0..3 {
        let host = desk.take_sends(id).remove(0);
        desk.done(id, &host, Exchange::Broken);
    }
    assert!(desk.take_sends(id).is_empty());
    assert_eq!(desk.told(id), Some(&Outcome::Unknown(Doubt::Unrunnable)));
}

#[test]
fn verify_what_cannot_start_is_refused_at_once() {
    let mut desk = Desk::new(&[("finder", 1)], options());
    let mut sent: Vec<u64> = Vec::new();
    for _ in 0..120 {
        sent.push(desk.arrive("finder", Kind::Idempotent, DEADLINE));
    }
    // Eight slots at 100 ms each start 80 requests in a second.
    for _ in 0..10 {
        desk.pass(STEP);
        let started: Vec<u64> = sent
            .extract_if(.., |id| !desk.take_sends(*id).is_empty())
            .collect();
        for id in started {
            desk.done(id, &"finder-0".into(), answer());
        }
    }
    while desk.gate.queued_count(&"finder".into()) < 400 {
        let id = desk.arrive("finder", Kind::Idempotent, DEADLINE);
        if desk.told(id) == Some(&Outcome::NotRun(Refusal::Deadline)) {
            return;
        }
    }
    panic!("400 requests wait for a deadline that 160 can meet");
}

#[test]
fn verify_loans_stop_while_the_owner_needs_its_slots() {
    let mut desk = Desk::new(&[("finder", 1), ("public", 2)], options());
    // The first answers tell how long requests take.
    let first = desk.arrive("finder", Kind::Idempotent, DEADLINE);
    desk.now += STEP;
    let host = desk.take_sends(first).remove(0);
    desk.done(first, &host, answer());
    for _ in 0..40 {
        desk.arrive("finder", Kind::Idempotent, DEADLINE);
    }
    let lent = |desk: &Desk| {
        desk.gate.in_flight_count(&"public-0".into())
            + desk.gate.in_flight_count(&"public-1".into())
    };
    assert_eq!(lent(&desk), 4, "two slots of each of the other's hosts");
    let own = desk.arrive("public", Kind::Idempotent, DEADLINE);
    let host = desk.take_sends(own).remove(0);
    desk.done(own, &host, Exchange::Refused);
    let sent = desk.actions.clone();
    for action in sent {
        if let Action::Send { request, host, .. } = action
            && host.starts_with("public")
            && request != own
        {
            desk.done(request, &host, answer());
        }
    }
    // The owner's request went to its other host.
    assert_eq!(lent(&desk), 1, "loans end and none is started");
}
