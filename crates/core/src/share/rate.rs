use std::time::{Duration, Instant};

use crate::ids;
use crate::journal::Excess;
use crate::map::Map;

/// Time whose jobs, at the rate of the account, may come at once: arrivals within a second are uneven.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Fewest jobs that may come at once: those of an account with a low rate are uneven over several seconds.
const MIN_BURST: f64 = 8.0;
/// Part of what may come at once below which an account counts as sending all that it may: a job of a flood has just been
/// counted.
const SPENT_PART: f64 = 0.125;
/// Half of the time over which the rate of arrivals is measured: the window before the current one counts too.
const WINDOW: Duration = Duration::from_millis(500);
/// Time from when the admitted part is set until what arrives has been admitted by it: the append of a heartbeat, its
/// reading and the append of a job.
const EFFECT_DELAY: Duration = Duration::from_millis(200);
/// Largest rise of the admitted part between two adjustments, as a factor: a flood that pauses is not let in at once.
const MAX_RISE: f64 = 2.0;
/// Smallest part that is admitted, so that the end of a flood shows in what arrives.
const MIN_ADMITTED: f64 = 0.02;
/// Accounts whose arrivals are counted. Beyond it, further ones count as within their rate until others are idle.
const MAX_METERS: usize = 4_096;

/// `Meter` is what an account has sent lately.
#[derive(Clone, Debug)]
struct Meter {
    /// Jobs that it may send now within its rate.
    tokens: f64,
    /// Time up to which `tokens` counts.
    refilled_at: Instant,
    /// Time of the latest job.
    counted_at: Instant,
    window_start: Instant,
    /// Jobs sent in the current window: each one that arrived stands for those that were refused.
    current: f64,
    /// Jobs sent in the window before it.
    previous: f64,
    /// Length of the window before it, which ends with the first job or adjustment after its time.
    previous_length: Duration,
    /// Part of its jobs that is admitted as within its rate, from 0 to 1.
    admitted: f64,
    /// Part of its jobs that now arrives, from 0 to 1.
    arriving: f64,
    /// Part that arrives from a time on.
    arriving_next: Option<(Instant, f64)>,
}

/// `Throttle` is the part of an account's jobs that is within its rate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Throttle {
    /// Account that exceeds its rate.
    pub account: ids::Account,
    /// Part of what it sends that is within its rate, in parts per thousand.
    pub admitted: u32,
}

/// `Rates` is what the client accounts send, against the rates that their weights allow.
#[derive(Debug, Default)]
pub struct Rates {
    meters: Map<ids::Account, Meter>,
}

impl Meter {
    fn new(now: Instant, rate: f64) -> Self {
        Self {
            tokens: burst(rate),
            refilled_at: now,
            counted_at: now,
            window_start: now,
            current: 0.0,
            previous: 0.0,
            previous_length: WINDOW,
            admitted: 1.0,
            arriving: 1.0,
            arriving_next: None,
        }
    }

    /// Counts a job, and returns whether it is within the rate.
    fn count(&mut self, now: Instant, rate: f64) -> bool {
        self.advance(now);
        self.refill(now, rate);
        self.counted_at = self.counted_at.max(now);
        self.current += 1.0 / self.arriving;
        let is_within = self.tokens >= 1.0;
        if is_within {
            self.tokens -= 1.0;
        }
        is_within
    }

    /// Adds the jobs that the account may send since the latest call.
    fn refill(&mut self, now: Instant, rate: f64) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(burst(rate));
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Starts the window and the admitted part that are due.
    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_start);
        if age >= WINDOW {
            let is_recent = age < BURST_TIME;
            self.previous = if is_recent { self.current } else { 0.0 };
            self.previous_length = if is_recent { age } else { WINDOW };
            self.current = 0.0;
            self.window_start = now;
        }
        if let Some((_, part)) = self.arriving_next.take_if(|(at, _)| *at <= now) {
            self.arriving = part;
        }
    }

    /// Returns the jobs sent per second over the current and the previous window.
    fn sent_rate(&self, now: Instant) -> f64 {
        let time = self.previous_length + now.saturating_duration_since(self.window_start);
        (self.current + self.previous) / time.as_secs_f64()
    }

    /// Adjusts the part that is admitted to the rate.
    fn adjust(&mut self, now: Instant, rate: f64, is_held_back: bool) {
        self.advance(now);
        self.refill(now, rate);
        let sent = self.sent_rate(now);
        let is_exceeding = self.admitted < 1.0 || self.tokens < burst(rate) * SPENT_PART;
        let target = if is_exceeding && sent > rate {
            rate / sent
        } else {
            1.0
        };
        let highest = (self.admitted * MAX_RISE).min(1.0);
        self.admitted = target.min(highest).max(MIN_ADMITTED);
        let arriving = if is_held_back { self.admitted } else { 1.0 };
        match &mut self.arriving_next {
            Some((_, part)) => *part = arriving,
            None => self.arriving_next = Some((now + EFFECT_DELAY, arriving)),
        }
    }

    /// Checks if nothing would change if the account were forgotten.
    fn is_idle(&self, now: Instant) -> bool {
        self.admitted >= 1.0 && now.saturating_duration_since(self.counted_at) > BURST_TIME
    }
}

impl Rates {
    /// Counts an accepted job of an account with a rate in jobs per second, and returns whether it is within the
    /// rate.
    pub fn count(&mut self, now: Instant, account: &ids::Account, rate: f64) -> bool {
        if self.meters.len() >= MAX_METERS && !self.meters.contains_key(account) {
            return true;
        }
        let meter = self.meters.entry(account.clone());
        let meter = meter.or_insert_with(|| Meter::new(now, rate));
        meter.count(now, rate)
    }

    /// Adjusts the part of each account's jobs that is admitted, and returns the accounts that exceed their rate,
    /// those that exceed it most first.
    ///
    /// `rate_of` returns the rate of an account in jobs per second. `is_held_back` tells if what exceeds the rate of
    /// an account is refused at present, so that the admitted part alone arrives.
    pub fn adjust(
        &mut self,
        now: Instant,
        rate_of: impl Fn(&ids::Account) -> f64,
        is_held_back: impl Fn(&ids::Account) -> bool,
    ) -> Vec<Throttle> {
        self.meters.retain(|_, meter| !meter.is_idle(now));
        let mut throttles = Vec::new();
        for (account, meter) in &mut self.meters {
            meter.adjust(now, rate_of(account), is_held_back(account));
            if meter.admitted < 1.0 {
                throttles.push(Throttle {
                    account: account.clone(),
                    admitted: per_thousand(meter.admitted),
                });
            }
        }
        throttles.sort_by(|a, b| (a.admitted, &a.account).cmp(&(b.admitted, &b.account)));
        throttles
    }
}

/// Returns the number of jobs that an account with a rate may send at once.
fn burst(rate: f64) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part is from 0 to 1"
)]
fn per_thousand(part: f64) -> u32 {
    (part.clamp(0.0, 1.0) * f64::from(Excess::ALL_ADMITTED)) as u32
}
