//! Claims on a shard.

use std::time::{Duration, Instant};

use persimmongate_core::journal::Heartbeat;
use persimmongate_core::term::{Action, Election, Event, LEADER_TIMEOUT, election_timeout};
use test_case::test_case;

fn beat(term: u64, node: &str, nonce: u64, resigned: bool) -> Heartbeat {
    Heartbeat {
        term,
        node: node.into(),
        nonce,
        has_resigned: resigned,
        ..Heartbeat::default()
    }
}

/// `Stage` is an election with its time.
struct Stage {
    election: Election,
    now: Instant,
}

impl Stage {
    fn new(nonce: u64) -> Self {
        let now = Instant::now();
        let patience = Duration::from_millis(100);
        Self {
            election: Election::new("own".into(), nonce, patience),
            now,
        }
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.election.step(self.now, event, &mut actions);
        actions
    }

    fn read(&mut self, end: u64, later: Duration) -> Vec<Action> {
        self.now += later;
        let sent = self.now;
        self.step(Event::Read { sent_at: sent, end })
    }

    fn beat(&mut self, offset: u64, beat: Heartbeat) -> Vec<Action> {
        self.step(Event::Heartbeat {
            offset,
            heartbeat: beat,
        })
    }
}

#[test]
fn verify_shard_without_a_leader_is_claimed_at_its_end() {
    let mut stage = Stage::new(5);
    // Time before the first read does not count: processes that start together differ by chance.
    assert_eq!(stage.read(7, Duration::from_secs(1)), []);
    assert_eq!(
        stage.election.time_until_claim(stage.now),
        Some(Duration::from_millis(100))
    );
    let claim = Action::Claim {
        expected_end: 7,
        nonce: 5,
    };
    assert_eq!(stage.read(7, Duration::from_millis(200)), [claim]);
    // The claim is looked for at once.
    assert_eq!(
        stage.election.time_until_claim(stage.now),
        Some(Duration::ZERO)
    );
}

#[test]
fn verify_only_the_claim_in_the_log_makes_a_leader() {
    let mut stage = Stage::new(5);
    stage.read(7, Duration::ZERO);
    stage.read(7, Duration::from_secs(1));
    // Another process claimed at the same offset; both got the same answer.
    assert_eq!(stage.beat(7, beat(0, "other", 5, false)), []);
    assert!(!stage.election.is_leader());
    let mut stage = Stage::new(5);
    stage.read(7, Duration::ZERO);
    stage.read(7, Duration::from_secs(1));
    let lead = Action::Lead {
        term: 8,
        has_predecessor: false,
        predecessor_resigned: false,
    };
    assert_eq!(stage.beat(7, beat(0, "own", 5, false)), [lead]);
}

#[test]
fn verify_leader_is_left_alone_until_it_is_silent() {
    let mut stage = Stage::new(5);
    stage.beat(7, beat(8, "other", 1, false));
    assert_eq!(stage.read(9, LEADER_TIMEOUT), []);
    let claim = Action::Claim {
        expected_end: 9,
        nonce: 5,
    };
    assert_eq!(stage.read(9, Duration::from_millis(200)), [claim]);
}

#[test_case("other", true; "a leader that resigned")]
#[test_case("own", false; "an earlier life of the process")]
fn verify_nobody_waits_for_a_leader_that_is_gone(node: &str, resigned: bool) {
    let mut stage = Stage::new(5);
    stage.beat(7, beat(8, node, 1, resigned));
    let claim = Action::Claim {
        expected_end: 9,
        nonce: 5,
    };
    assert_eq!(stage.read(9, Duration::from_millis(200)), [claim]);
    let lead = Action::Lead {
        term: 10,
        has_predecessor: true,
        predecessor_resigned: true,
    };
    assert_eq!(stage.beat(9, beat(0, "own", 5, false)), [lead]);
}

#[test]
fn verify_newer_claim_ends_a_leadership() {
    let mut stage = Stage::new(5);
    stage.read(7, Duration::ZERO);
    stage.read(7, Duration::from_secs(1));
    stage.beat(7, beat(0, "own", 5, false));
    assert_eq!(
        stage.beat(20, beat(0, "other", 5, false)),
        [Action::StepDown]
    );
    assert!(!stage.election.is_leader());
    // A beat of an older term that is read late changes nothing.
    assert_eq!(stage.beat(21, beat(8, "own", 5, false)), []);
    assert_eq!(stage.election.leader(), Some(&"other".into()));
}

#[test]
fn verify_process_that_ends_claims_nothing() {
    let mut stage = Stage::new(5);
    stage.step(Event::ShutDown);
    assert_eq!(stage.read(7, Duration::from_secs(5)), []);
    // A claim that took effect late makes no leader any more.
    assert_eq!(stage.beat(7, beat(0, "own", 5, false)), []);
}

#[test]
fn verify_larger_hosts_claim_first() {
    let longest = |processor, burden| {
        (0..1_000)
            .map(|n| election_timeout(processor, burden, n))
            .max()
    };
    let shortest = |processor, burden| {
        (0..1_000)
            .map(|n| election_timeout(processor, burden, n))
            .min()
    };
    assert!(longest(500, 0) < shortest(120, 0));
    assert!(longest(250, 0) < shortest(500, 1));
    // Hosts that are all large enough differ by chance only.
    assert_eq!(longest(250, 0), longest(4_000, 0));
}

#[test]
fn verify_leader_that_is_going_to_give_up_is_followed_closely() {
    let mut stage = Stage::new(5);
    stage.beat(7, beat(8, "other", 1, false));
    assert!(!stage.election.is_leader_leaving());
    let notice = Heartbeat {
        is_resigning: true,
        ..beat(8, "other", 1, false)
    };
    stage.beat(8, notice);
    // Its later beats don't take the notice back, and it is not claimed from before it resigns.
    stage.beat(9, beat(8, "other", 1, false));
    assert!(stage.election.is_leader_leaving());
    assert_eq!(stage.read(10, LEADER_TIMEOUT), []);
    stage.beat(10, beat(0, "third", 1, false));
    assert!(!stage.election.is_leader_leaving());
}
