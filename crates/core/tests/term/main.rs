//! Leader election of a shard: claims, heartbeats and time-outs.

use std::time::{Duration, Instant};

use persimmongate_core::journal::Heartbeat;
use persimmongate_core::term::{Action, Election, Event, LEADER_TIMEOUT, election_timeout};
use test_case::test_case;

fn heartbeat(term: u64, node: &str, nonce: u64, has_resigned: bool) -> Heartbeat {
    Heartbeat {
        term,
        node: node.into(),
        nonce,
        has_resigned,
        ..Heartbeat::default()
    }
}

/// `Fixture` is an election of process `own` with a simulated clock.
struct Fixture {
    election: Election,
    now: Instant,
}

impl Fixture {
    fn new(nonce: u64) -> Self {
        let now = Instant::now();
        let election_timeout = Duration::from_millis(100);
        Self {
            election: Election::new("own".into(), nonce, election_timeout),
            now,
        }
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.election.step(self.now, event, &mut actions);
        actions
    }

    fn read(&mut self, end: u64, elapsed: Duration) -> Vec<Action> {
        self.now += elapsed;
        let sent_at = self.now;
        self.step(Event::Read { sent_at, end })
    }

    fn read_heartbeat(&mut self, offset: u64, heartbeat: Heartbeat) -> Vec<Action> {
        self.step(Event::Heartbeat { offset, heartbeat })
    }
}

#[test]
fn verify_shard_without_a_leader_is_claimed_at_its_end() {
    let mut fixture = Fixture::new(5);
    // The election timeout counts from the first read, so processes that start together differ only by
    // their jitter.
    assert_eq!(fixture.read(7, Duration::from_secs(1)), []);
    assert_eq!(
        fixture.election.time_until_claim(fixture.now),
        Some(Duration::from_millis(100))
    );
    let claim = Action::Claim {
        expected_end: 7,
        nonce: 5,
    };
    assert_eq!(fixture.read(7, Duration::from_millis(200)), [claim]);
    // The result of the claim is read at once.
    assert_eq!(
        fixture.election.time_until_claim(fixture.now),
        Some(Duration::ZERO)
    );
}

#[test]
fn verify_only_the_claim_in_the_log_makes_a_leader() {
    let mut fixture = Fixture::new(5);
    fixture.read(7, Duration::ZERO);
    fixture.read(7, Duration::from_secs(1));
    // The claim of another process took the offset; the appends of both were answered alike.
    assert_eq!(
        fixture.read_heartbeat(7, heartbeat(0, "other", 5, false)),
        []
    );
    assert!(!fixture.election.is_leader());
    let mut fixture = Fixture::new(5);
    fixture.read(7, Duration::ZERO);
    fixture.read(7, Duration::from_secs(1));
    let lead = Action::Lead {
        term: 8,
        has_predecessor: false,
        predecessor_resigned: false,
    };
    assert_eq!(
        fixture.read_heartbeat(7, heartbeat(0, "own", 5, false)),
        [lead]
    );
}

#[test]
fn verify_leader_is_replaced_only_after_its_timeout() {
    let mut fixture = Fixture::new(5);
    fixture.read_heartbeat(7, heartbeat(8, "other", 1, false));
    assert_eq!(fixture.read(9, LEADER_TIMEOUT), []);
    let claim = Action::Claim {
        expected_end: 9,
        nonce: 5,
    };
    assert_eq!(fixture.read(9, Duration::from_millis(200)), [claim]);
}

#[test_case("other", true; "a leader that resigned")]
#[test_case("own", false; "an earlier incarnation of the process")]
fn verify_resigned_leader_is_replaced_without_waiting(node: &str, has_resigned: bool) {
    let mut fixture = Fixture::new(5);
    fixture.read_heartbeat(7, heartbeat(8, node, 1, has_resigned));
    let claim = Action::Claim {
        expected_end: 9,
        nonce: 5,
    };
    assert_eq!(fixture.read(9, Duration::from_millis(200)), [claim]);
    let lead = Action::Lead {
        term: 10,
        has_predecessor: true,
        predecessor_resigned: true,
    };
    assert_eq!(
        fixture.read_heartbeat(9, heartbeat(0, "own", 5, false)),
        [lead]
    );
}

#[test]
fn verify_newer_claim_makes_the_leader_step_down() {
    let mut fixture = Fixture::new(5);
    fixture.read(7, Duration::ZERO);
    fixture.read(7, Duration::from_secs(1));
    fixture.read_heartbeat(7, heartbeat(0, "own", 5, false));
    assert_eq!(
        fixture.read_heartbeat(20, heartbeat(0, "other", 5, false)),
        [Action::StepDown]
    );
    assert!(!fixture.election.is_leader());
    // A late heartbeat of an older term changes nothing.
    assert_eq!(
        fixture.read_heartbeat(21, heartbeat(8, "own", 5, false)),
        []
    );
    assert_eq!(fixture.election.leader(), Some(&"other".into()));
}

#[test]
fn verify_process_that_shuts_down_claims_nothing() {
    let mut fixture = Fixture::new(5);
    fixture.step(Event::ShutDown);
    assert_eq!(fixture.read(7, Duration::from_secs(5)), []);
    // A claim that takes effect during the shutdown does not make the process the leader.
    assert_eq!(fixture.read_heartbeat(7, heartbeat(0, "own", 5, false)), []);
}

#[test]
fn verify_larger_hosts_claim_first() {
    let longest = |cpu_millicores, led_count| {
        (0..1_000)
            .map(|n| election_timeout(cpu_millicores, led_count, n))
            .max()
    };
    let shortest = |cpu_millicores, led_count| {
        (0..1_000)
            .map(|n| election_timeout(cpu_millicores, led_count, n))
            .min()
    };
    assert!(longest(500, 0) < shortest(120, 0));
    assert!(longest(250, 0) < shortest(500, 1));
    // Hosts with enough processor time differ by jitter only.
    assert_eq!(longest(250, 0), longest(4_000, 0));
}

#[test]
fn verify_announced_resignation_is_tracked_until_a_new_leader_claims() {
    let mut fixture = Fixture::new(5);
    fixture.read_heartbeat(7, heartbeat(8, "other", 1, false));
    assert!(!fixture.election.is_leader_resigning());
    let notice = Heartbeat {
        is_resigning: true,
        ..heartbeat(8, "other", 1, false)
    };
    fixture.read_heartbeat(8, notice);
    // Later heartbeats do not withdraw the announcement, and nobody claims before the leader resigns or
    // times out.
    fixture.read_heartbeat(9, heartbeat(8, "other", 1, false));
    assert!(fixture.election.is_leader_resigning());
    assert_eq!(fixture.read(10, LEADER_TIMEOUT), []);
    fixture.read_heartbeat(10, heartbeat(0, "third", 1, false));
    assert!(!fixture.election.is_leader_resigning());
}

// Guards against a shard that no process can lead any more, after one heartbeat with a term that no
// claim has reached.
#[test_case(u64::MAX, 9; "largest term")]
#[test_case(1_000, 9; "term above the offset")]
#[test_case(0, u64::MAX; "claim at the largest offset")]
fn verify_odd_heartbeat_does_not_end_the_elections(term: u64, offset: u64) {
    let mut fixture = Fixture::new(5);
    fixture.read_heartbeat(7, heartbeat(0, "other", 1, false));
    fixture.read_heartbeat(offset, heartbeat(term, "odd", 1, false));
    fixture.read(10, LEADER_TIMEOUT);
    let claims = fixture.read(10, LEADER_TIMEOUT);
    assert!(
        matches!(claims[..], [] | [Action::Claim { .. }]),
        "{claims:?}"
    );
    let actions = fixture.read_heartbeat(10, heartbeat(0, "own", 5, false));
    assert!(
        matches!(actions[..], [Action::Lead { term: 11, .. }]),
        "{actions:?}"
    );
}

// After an outage small hosts took the shards of a larger one that led one shard already; their links and
// processors did not keep up with a peak.
#[test]
fn verify_host_with_two_shards_claims_before_a_much_smaller_one() {
    let larger = (0..1_000).map(|random| election_timeout(500, 2, random));
    let smaller = (0..1_000).map(|random| election_timeout(120, 0, random));
    assert!(larger.max() < smaller.min());
    assert!((0..1_000).all(|random| election_timeout(120, 0, random) < LEADER_TIMEOUT));
}
