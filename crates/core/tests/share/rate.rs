//! Load pattern: a hot account sends many times its rate.

use std::time::{Duration, Instant};

use persimmongate_core::ids;
use persimmongate_core::share::Rates;
use test_case::test_case;

/// Jobs per second that the account may send.
const RATE: f64 = 100.0;
/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Time from a heartbeat until gateways admit by it.
const READING_TIME: Duration = Duration::from_millis(150);

/// `Flood` is an account that sends at a rate, of which gateways admit what the leader reports.
struct Flood {
    now: Instant,
    rates: Rates,
    account: ids::Account,
    /// Parts admitted, in parts per thousand, and the time from which gateways know.
    published: Vec<(Instant, u32)>,
    /// Whether gateways refuse what is beyond the rate.
    is_held_back: bool,
    accepted: u32,
    within: u32,
    sent: u64,
}

impl Flood {
    fn new(is_held_back: bool) -> Self {
        Self {
            now: Instant::now(),
            rates: Rates::default(),
            account: "hot".into(),
            published: Vec::new(),
            is_held_back,
            accepted: 0,
            within: 0,
            sent: 0,
        }
    }

    fn admitted(&self) -> u32 {
        let known = self.published.iter().rev().find(|(at, _)| *at <= self.now);
        known.map_or(1_000, |(_, admitted)| *admitted)
    }

    /// Sends a number of jobs each second for a time.
    fn send(&mut self, per_second: u32, time: Duration) {
        let end = self.now + time;
        let mut next_heartbeat = self.now;
        while self.now < end {
            if self.now >= next_heartbeat {
                next_heartbeat += HEARTBEAT;
                let is_held_back = self.is_held_back;
                let throttles = self.rates.adjust(self.now, |_| RATE, |_| is_held_back);
                let admitted = throttles.first().map_or(1_000, |t| t.admitted);
                self.published.push((self.now + READING_TIME, admitted));
            }
            // A sequence that is spread evenly.
            self.sent += 1;
            let draw = self.sent * 618 % 1_000;
            if !self.is_held_back || draw < u64::from(self.admitted()) {
                self.accepted += 1;
                let is_within = self.rates.count(self.now, &self.account, RATE);
                self.within += u32::from(is_within);
            }
            self.now += Duration::from_secs(1) / per_second;
        }
    }

    fn reset(&mut self) {
        (self.accepted, self.within) = (0, 0);
    }
}

#[test]
fn verify_account_within_its_rate_is_not_throttled() {
    let mut flood = Flood::new(true);
    flood.send(95, Duration::from_secs(5));
    assert_eq!(flood.accepted, flood.within);
    assert!(
        flood
            .published
            .iter()
            .all(|(_, admitted)| *admitted == 1_000)
    );
}

#[test]
fn verify_burst_within_a_second_is_within_the_rate() {
    let mut flood = Flood::new(true);
    flood.send(400, Duration::from_millis(240));
    assert_eq!(flood.within, 96);
}

// Guards against a flood that is let in and shut out by turns, and against one of which less is admitted than its rate.
#[test]
fn verify_flood_is_admitted_at_its_rate_within_two_seconds() {
    let mut flood = Flood::new(true);
    flood.send(700, Duration::from_secs(2));
    flood.reset();
    flood.send(700, Duration::from_secs(4));
    let per_second = flood.accepted / 4;
    assert!((70..=140).contains(&per_second), "{per_second} a second");
    assert!(flood.within / 4 >= 70, "{} within", flood.within);
}

// Guards against a part that shrinks for as long as a flood finds room.
#[test]
fn verify_flood_that_finds_room_is_measured_as_it_is() {
    let mut flood = Flood::new(false);
    flood.send(700, Duration::from_secs(4));
    let admitted = flood.admitted();
    assert!((110..=180).contains(&admitted), "{admitted}");
}

#[test]
fn verify_throttle_ends_within_two_seconds_of_the_flood() {
    let mut flood = Flood::new(true);
    flood.send(700, Duration::from_secs(4));
    flood.send(60, Duration::from_secs(2));
    assert_eq!(flood.admitted(), 1_000);
}

// Guards against a small account that is throttled for the unevenness of its own arrivals.
#[test_case(1.0; "of one job a second")]
#[test_case(2.0; "of two jobs a second")]
fn verify_small_account_at_half_its_rate_is_not_throttled(rate: f64) {
    let (mut now, account) = (Instant::now(), "small".into());
    let mut rates = Rates::default();
    let mut random: u64 = 7;
    let (mut sent, mut within, mut throttled) = (0_u32, 0_u32, 0_u32);
    for _ in 0..4_000 {
        // Arrivals in each 50 ms, from a linear congruential sequence.
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let drawn = f64::from(u32::try_from(random >> 32).unwrap()) / f64::from(u32::MAX);
        if drawn < rate / 2.0 * 0.05 {
            sent += 1;
            within += u32::from(rates.count(now, &account, rate));
        }
        if sent % 4 == 0 {
            throttled += u32::try_from(rates.adjust(now, |_| rate, |_| true).len()).unwrap();
        }
        now += Duration::from_millis(50);
    }
    assert!(sent > 50, "{sent} sent");
    assert!((sent - within) * 100 <= sent, "{within} of {sent}");
    assert_eq!(throttled, 0);
}
