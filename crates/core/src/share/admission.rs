use std::time::Duration;

use crate::ids;
use crate::journal::{Excess, Load};

/// Multiple of its time objective up to which the late result of a job has some value to its caller.
pub const LATE_FACTOR: u32 = 3;
/// Time for which a reported delay holds: the interval of the leader's heartbeats. From then on the work that it
/// stands for has shrunk by as much as the report is older.
const REPORT_VALIDITY: Duration = crate::term::HEARTBEAT_INTERVAL;
/// Shortest retry delay: the next report of the leader may tell of room.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest retry delay. What comes later than that, the caller finds out sooner by another try.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Factor over which retries are spread, as callers that all return at the same time meet the same shortage.
const RETRY_SPREAD: f64 = 0.5;

/// `Request` is a job that a caller wants to submit.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Account that it would belong to.
    pub account: Option<&'a ids::Account>,
    /// Estimated run time of its longest chain of steps.
    pub critical_path: Duration,
    /// Time within which it should complete.
    pub objective: Duration,
    /// Random number from 0 to 1 that chooses which jobs of an account are within its rate.
    pub draw: f64,
}

/// `Cause` is what decided that a job is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The work before it leaves no room while its result has a value.
    Room,
    /// The same, as its account has more than its share and what the others want comes first.
    Share,
    /// Its account sends more than its rate, and no room is left for that.
    Rate,
}

/// `Refusal` is why a job is refused, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// What decided it.
    pub cause: Cause,
    /// Time until the job would have started.
    pub delay: Duration,
    /// Longest delay with which it would have been accepted.
    pub patience: Duration,
    /// Part of the account's jobs that is within its rate, in parts per thousand.
    pub admitted: u32,
}

/// Decides by the latest report of the leader, which is this old, whether a job is refused.
///
/// # Errors
///
/// Returns the refusal: the job would end when its result has no value to its caller, or it is beyond the rate of its
/// account and would not end within its objective.
pub fn review(load: &Load, age: Duration, request: &Request<'_>) -> Result<(), Refusal> {
    let in_time = request.objective.saturating_sub(request.critical_path);
    let late =
        (request.objective.saturating_mul(LATE_FACTOR)).saturating_sub(request.critical_path);
    let elapsed = age.saturating_sub(REPORT_VALIDITY);
    let remaining = |delay: Duration| delay.saturating_sub(elapsed);
    let excess = request
        .account
        .and_then(|account| load.excesses.iter().find(|e| e.account == *account));
    let (delay, admitted) = excess.map_or((load.queue_delay, Excess::ALL_ADMITTED), |excess| {
        (excess.delay, excess.admitted)
    });
    if let Some(excess) = excess
        && request.draw * f64::from(Excess::ALL_ADMITTED) >= f64::from(admitted)
    {
        let delay = remaining(excess.beyond_rate_delay);
        return if delay <= in_time {
            Ok(())
        } else {
            Err(Refusal {
                cause: Cause::Rate,
                delay,
                patience: in_time,
                admitted,
            })
        };
    }
    if remaining(delay) <= in_time {
        return Ok(());
    }
    // It would be late, and late work comes after all that can be in time.
    let delay = remaining(delay.max(load.late_delay));
    if delay <= late {
        return Ok(());
    }
    let cause = if excess.is_some() && excess.is_some_and(|e| e.delay > load.queue_delay) {
        Cause::Share
    } else {
        Cause::Room
    };
    Err(Refusal {
        cause,
        delay,
        patience: late,
        admitted,
    })
}

/// Returns the time after which the caller of a refused job should retry: when the work before it has shrunk, or
/// when its account may have sent as little as its rate allows. `draw` is a random number from 0 to 1.
#[must_use]
pub fn retry_delay(refusal: &Refusal, draw: f64) -> Duration {
    let delay = refusal.delay.saturating_sub(refusal.patience);
    let delay = match refusal.cause {
        Cause::Room | Cause::Share => delay,
        // Of the callers that return at once, as small a part would be admitted as now.
        Cause::Rate => {
            let sent = f64::from(Excess::ALL_ADMITTED) / f64::from(refusal.admitted.max(1));
            delay.max(MIN_RETRY_DELAY.mul_f64(sent))
        }
    };
    // The spread stays within the longest delay, so that those who are refused at a long delay don't return together.
    let longest = MAX_RETRY_DELAY.div_f64(1.0 + RETRY_SPREAD);
    let delay = delay.clamp(MIN_RETRY_DELAY, longest);
    delay.mul_f64(1.0 + RETRY_SPREAD * draw.clamp(0.0, 1.0))
}
