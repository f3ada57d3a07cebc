//! Admission of connections and of bodies at a listener: limits, fairness in a crowd, and times.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use persimmongate_core::admission::{Action, Activity, Event, Limits, Phase, Reason, Table};
use test_case::test_case;

/// `Fixture` is a table with a simulated clock and the activities of its connections.
struct Fixture {
    table: Table,
    now: Instant,
    activities: BTreeMap<SocketAddr, Activity>,
}

fn connection(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

impl Fixture {
    /// Creates a table for three connections and two bodies of 100 bytes.
    fn new() -> Self {
        let limits = Limits {
            connections: 3,
            body_bytes: 100,
            total_body_bytes: 200,
            ..Limits::default()
        };
        Self {
            table: Table::new(limits),
            now: Instant::now(),
            activities: BTreeMap::new(),
        }
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let activities = &self.activities;
        let activity = |id| activities.get(&id).copied();
        self.table.step(self.now, event, activity, &mut actions);
        actions
    }

    fn open(&mut self, number: u16) -> Vec<Action> {
        let id = connection(number);
        self.activities.insert(id, Activity::new(self.now));
        self.step(Event::Opened(id))
    }

    fn close(&mut self, number: u16) -> Vec<Action> {
        let actions = self.step(Event::Closed(connection(number)));
        self.activities.remove(&connection(number));
        actions
    }

    fn begin(&mut self, number: u16, phase: Phase) {
        let activity = self.activities.get_mut(&connection(number)).unwrap();
        (activity.phase, activity.since, activity.progress_at) = (phase, self.now, self.now);
    }

    fn ask(&mut self, number: u16) -> Vec<Action> {
        let actions = self.step(Event::Asked(connection(number), 100));
        self.begin(number, Phase::Body);
        actions
    }
}

#[test]
fn verify_connection_above_the_limit_ends_the_one_without_progress() {
    let mut fixture = Fixture::new();
    for number in 1..=3 {
        assert_eq!(fixture.open(number), []);
        fixture.advance(Duration::from_millis(10));
    }
    let close = Action::Close(connection(1), Reason::TooMany);
    assert_eq!(fixture.open(4), [close, Action::Begin(Reason::TooMany)]);
    // The next one ends another connection, even if the first has not closed yet.
    let close = Action::Close(connection(2), Reason::TooMany);
    assert_eq!(fixture.open(5), [close]);
    fixture.close(1);
    fixture.close(2);
    assert_eq!(fixture.table.len(), 3);
    fixture.close(5);
    assert_eq!(fixture.open(6), []);
}

#[test]
fn verify_requests_in_progress_are_not_ended() {
    let mut fixture = Fixture::new();
    for number in 1..=3 {
        fixture.open(number);
        fixture.begin(number, Phase::Request);
    }
    let close = Action::Close(connection(4), Reason::TooMany);
    assert_eq!(fixture.open(4), [close, Action::Begin(Reason::TooMany)]);
}

#[test]
fn verify_connections_that_were_served_outlast_those_that_were_not() {
    let mut fixture = Fixture::new();
    for number in 1..=3 {
        fixture.open(number);
        fixture.advance(Duration::from_millis(10));
    }
    let first = fixture.activities.get_mut(&connection(1)).unwrap();
    first.is_served = true;
    let close = Action::Close(connection(2), Reason::TooMany);
    assert_eq!(fixture.open(4), [close, Action::Begin(Reason::TooMany)]);
}

#[test]
fn verify_room_is_granted_in_turn() {
    let mut fixture = Fixture::new();
    for number in 1..=3 {
        fixture.open(number);
    }
    assert_eq!(fixture.ask(1), [Action::Grant(connection(1))]);
    assert_eq!(fixture.ask(2), [Action::Grant(connection(2))]);
    assert_eq!(fixture.ask(3), [Action::Begin(Reason::Crowded)]);
    let returned = fixture.step(Event::Returned(connection(1)));
    assert_eq!(returned, [Action::Grant(connection(3))]);
    // A closed connection gives its room back, and one that waits its place.
    assert_eq!(fixture.ask(1), []);
    assert_eq!(fixture.close(1), []);
    assert_eq!(fixture.table.waiting_count(), 0);
    fixture.close(2);
    assert_eq!(fixture.table.granted_bytes(), 100);
}

#[test]
fn verify_body_without_progress_gives_its_room_to_one_that_waits() {
    let mut fixture = Fixture::new();
    for number in 1..=3 {
        fixture.open(number);
    }
    fixture.ask(1);
    fixture.ask(2);
    fixture.advance(Limits::default().stall);
    fixture.begin(2, Phase::Body);
    let revoke = Action::Revoke(connection(1), Reason::Crowded);
    assert_eq!(fixture.ask(3), [Action::Begin(Reason::Crowded), revoke]);
    // It gets the room when the other one has given it back, and no other room is revoked meanwhile.
    fixture.advance(Limits::default().stall);
    assert_eq!(fixture.step(Event::Checked), []);
    let returned = fixture.step(Event::Returned(connection(1)));
    assert_eq!(returned, [Action::Grant(connection(3))]);
    assert_eq!(fixture.table.granted_bytes(), 200);
}

#[test]
fn verify_bodies_with_progress_and_requests_keep_their_room() {
    let mut fixture = Fixture::new();
    for number in 1..=3 {
        fixture.open(number);
    }
    fixture.ask(1);
    fixture.ask(2);
    fixture.begin(1, Phase::Request);
    fixture.advance(Limits::default().stall / 2);
    fixture.begin(2, Phase::Body);
    fixture.advance(Limits::default().stall / 2);
    assert_eq!(fixture.ask(3), [Action::Begin(Reason::Crowded)]);
    assert_eq!(fixture.step(Event::Checked), []);
}

#[test]
fn verify_body_that_can_never_have_room_is_refused() {
    let mut fixture = Fixture::new();
    fixture.open(1);
    let asked = fixture.step(Event::Asked(connection(1), 201));
    assert_eq!(asked, [Action::Revoke(connection(1), Reason::BodyTooLong)]);
}

#[test_case(Phase::Idle, false, 5, Some(Reason::Idle); "silent from the start")]
#[test_case(Phase::Idle, true, 5, None; "idle for a short time")]
#[test_case(Phase::Idle, true, 20, Some(Reason::Idle); "idle for long")]
#[test_case(Phase::Head, true, 5, Some(Reason::SlowHead); "a slow head after an answer")]
#[test_case(Phase::Drain, true, 10, Some(Reason::SlowBody); "a refused body without an end")]
#[test_case(Phase::Request, false, 600, None; "a request in progress")]
fn verify_connection_ends_after_its_time(
    phase: Phase,
    is_served: bool,
    seconds: u64,
    reason: Option<Reason>,
) {
    let mut fixture = Fixture::new();
    fixture.open(1);
    fixture.begin(1, phase);
    fixture
        .activities
        .get_mut(&connection(1))
        .unwrap()
        .is_served = is_served;
    fixture.advance(Duration::from_secs(seconds));
    assert_eq!(fixture.step(Event::Checked), []);
    fixture.advance(Duration::from_millis(1));
    let close = reason.map(|reason| Action::Close(connection(1), reason));
    assert_eq!(fixture.step(Event::Checked), Vec::from_iter(close));
    // It is told once.
    assert_eq!(fixture.step(Event::Checked), []);
}

#[test]
fn verify_unread_answer_ends_the_connection() {
    let mut fixture = Fixture::new();
    fixture.open(1);
    fixture.begin(1, Phase::Request);
    let activity = fixture.activities.get_mut(&connection(1)).unwrap();
    activity.blocked_since = Some(fixture.now);
    fixture.advance(Duration::from_secs(11));
    let close = Action::Close(connection(1), Reason::UnreadAnswer);
    assert_eq!(fixture.step(Event::Checked), [close]);
}

#[test]
fn verify_crowd_ends_when_no_shortage_was_seen_for_a_while() {
    let mut fixture = Fixture::new();
    for number in 1..=4 {
        fixture.open(number);
    }
    fixture.advance(Duration::from_secs(1));
    // Another shortage of the same crowd is not reported.
    assert_eq!(fixture.open(5).len(), 1);
    for number in 1..=5 {
        fixture.close(number);
    }
    fixture.advance(Duration::from_secs(9));
    assert_eq!(fixture.step(Event::Checked), []);
    fixture.advance(Duration::from_secs(1));
    let end = Action::End(Duration::from_secs(1));
    assert_eq!(fixture.step(Event::Checked), [end]);
    assert_eq!(fixture.step(Event::Checked), []);
}
