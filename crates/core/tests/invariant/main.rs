//! Each invariant check accepts a run that keeps the invariant and reports one that violates it.

use persimmongate_core::fleet::{Health, Status, View};
use persimmongate_core::gate::{Action, ClaimResult, Event, Exchange};
use persimmongate_core::ids;
use persimmongate_core::invariant::{self, Breach, Check};
use persimmongate_core::outcome::{Answer, Outcome, Refusal};
use persimmongate_core::record::{Body, Phase};
use persimmongate_core::request::{Repeatability, Request, Urgency};
use persimmongate_core::state::{Change, Host, Pool, Stage, State, Wave};
use test_case::test_case;
use tokio::time::{Duration, Instant};

const HOST: &str = "h0";

fn host(stage: Stage) -> Host {
    Host {
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        rack: "r".into(),
        pool: "finder".into(),
        stage,
        generation: 1,
        revision: 5,
        maintained_offset: 0,
        slots: 8,
        connections: 64,
    }
}

fn draining() -> Stage {
    Stage::Draining {
        wave: "w".into(),
        since: 4,
    }
}

fn request(repeatability: Repeatability) -> Request {
    Request {
        id: 1,
        service: "finder".into(),
        caller: "c".into(),
        urgency: Urgency::Normal,
        repeatability,
        deadline: Instant::now().into_std() + Duration::from_secs(1),
        path: ids::Service::new().into_bytes(),
        body: ids::Service::new().into_bytes(),
    }
}

fn send() -> Action {
    Action::Send {
        request: 1,
        host: HOST.into(),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn done(request: ids::Request, exchange: Exchange) -> Event {
    Event::ExchangeEnded {
        request,
        host: HOST.into(),
        exchange,
    }
}

fn answer() -> Answer {
    Answer {
        status: 200,
        body: ids::Service::new().into_bytes(),
    }
}

fn finish(outcome: Outcome) -> Vec<Action> {
    vec![Action::Finish {
        request: 1,
        outcome,
    }]
}

/// Feeds a serving host and the steps to a gate monitor and returns the checks that failed.
fn failed_checks(repeatability: Repeatability, steps: Vec<(Event, Vec<Action>)>) -> Vec<Check> {
    let mut monitor = invariant::Gate::default();
    let mut breaches = Vec::new();
    let serving = Event::Change(Change::Host(HOST.into(), host(Stage::Serving)));
    monitor.observe(&serving, &[], &mut breaches);
    monitor.observe(&Event::Arrive(request(repeatability)), &[], &mut breaches);
    for (event, actions) in steps {
        monitor.observe(&event, &actions, &mut breaches);
    }
    breaches.into_iter().map(|breach| breach.check).collect()
}

#[test_case(vec![
    (Event::Claimed(1, ClaimResult::Won), vec![send()]),
    (done(1, Exchange::Unavailable), vec![send()]),
    (done(1, Exchange::Answered(answer())), finish(Outcome::Answered(answer()))),
], &[]; "a refused request may be sent again")]
#[test_case(vec![(Event::Tick, vec![send()])], &[Check::Once]; "sent without a claim")]
#[test_case(vec![
    (Event::Claimed(1, ClaimResult::Won), vec![send()]),
    (done(1, Exchange::Broken), vec![send()]),
], &[Check::Once]; "sent again after it may have run")]
#[test_case(vec![
    (Event::Claimed(1, ClaimResult::Won), vec![send()]),
    (done(1, Exchange::Timeout), finish(Outcome::NotRun(Refusal::NoWorker))),
], &[Check::NotRun]; "reported as not run after a timeout")]
#[test_case(vec![
    (Event::Tick, finish(Outcome::NotRun(Refusal::Deadline))),
    (Event::Tick, vec![send()]),
], &[Check::NotRun]; "sent after it was reported as not run")]
#[test_case(vec![
    (Event::Claimed(1, ClaimResult::Won), vec![send()]),
    (done(2, Exchange::Answered(answer())), finish(Outcome::Answered(answer()))),
], &[Check::Answer]; "given the answer of another exchange")]
#[test_case(vec![
    (Event::Change(Change::Host(HOST.into(), host(draining()))), vec![]),
    (Event::Claimed(1, ClaimResult::Won), vec![send()]),
], &[Check::NotServing]; "sent to a draining host")]
#[test_case(vec![
    (Event::Change(Change::Host(HOST.into(), Host { revision: 4, ..host(Stage::Serving) })), vec![]),
], &[Check::Revision]; "a host goes back to an older revision")]
fn verify_gate_monitor(steps: Vec<(Event, Vec<Action>)>, expected: &[Check]) {
    assert_eq!(failed_checks(Repeatability::Once(1), steps), expected);
}

#[test_case(Health::Drained, 0, true; "drained and idle")]
#[test_case(Health::Draining, 0, false; "still draining")]
#[test_case(Health::Drained, 1, false; "an entry host reports a request in flight")]
fn verify_stop(health: Health, in_flight: u32, is_allowed: bool) {
    let status = Status {
        generation: 1,
        health,
    };
    let verdict = invariant::check_stop(&HOST.into(), 1, Some(status), [in_flight].iter());
    assert_eq!(verdict.is_ok(), is_allowed);
}

#[test_case(1, true; "budget kept")]
#[test_case(2, false; "budget violated")]
fn verify_budget(promised: u32, is_allowed: bool) {
    let mut state = State::default();
    let pool = Pool {
        service: Some("finder".into()),
        ..Pool::default()
    };
    state.pools.insert("finder".into(), pool);
    state.budgets.insert("finder".into(), promised);
    state.hosts.insert(HOST.into(), host(draining()));
    state.hosts.insert("h1".into(), host(Stage::Serving));
    let wave = Wave {
        pool: "finder".into(),
        batch: 1,
        sheet_offset: 1,
        phase: Phase::Running,
        failed_count: 0,
        reason: String::new(),
    };
    state.waves.insert("w".into(), wave);
    let body = Body::Drain {
        host: HOST.into(),
        generation: 1,
        wave: "w".into(),
        term: 1,
    };
    assert_eq!(invariant::check_budget(&state, &body).is_ok(), is_allowed);
}

#[test]
fn verify_pool() {
    let mut view = View::default();
    view.apply(Change::Host(HOST.into(), host(Stage::Serving)));
    assert_eq!(invariant::check_pool(&view, &HOST.into()), Ok(()));
    view.pool_index
        .entry("spare".into())
        .or_default()
        .names
        .insert(HOST.into());
    let breach: Result<(), Breach> = invariant::check_pool(&view, &HOST.into());
    assert_eq!(breach.map_err(|breach| breach.check), Err(Check::Pool));
}
