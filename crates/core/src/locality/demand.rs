use std::time::Duration;

/// Factor 1 of a slowdown: its unit is a thousandth.
pub const UNIT: u32 = 1_000;
/// Longest wait of a task. The platform's rules give a job with room 3 s to start; half of that is left for
/// the start itself.
pub const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Times the expected wait for which a task waits: twice as long holds the loss of a wrong estimate to the time
/// that a right one would have cost.
const PATIENCE: u32 = 2;
/// Added to the patience: the time until the end of a run is known and the next pass places tasks.
const NOTICE: Duration = Duration::from_millis(100);

/// `Demand` is what is known of a task, or of a group, that finds no place near its data.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Estimated run time near the data.
    pub run_time: Duration,
    /// Factor by which the run takes longer elsewhere, in thousandths.
    pub slowdown: u32,
    /// Expected time until a place near the data is free, behind those who wait before it; for a task, until the
    /// last one of its step has such a place.
    pub expected: Duration,
    /// Time until the objective of its job; 0 if it has passed.
    pub time_left: Duration,
    /// Estimated time of its step and of the longest chain of steps that depend on it.
    pub chain: Duration,
    /// Time by which its step may end later without a later end of the job; 0 on the longest chain.
    pub float: Duration,
    /// Whether other jobs wait for room, which take each place that stays empty or becomes free meanwhile.
    pub is_room_short: bool,
}

impl Demand {
    /// Returns the time that the run would take longer elsewhere.
    #[must_use]
    pub fn gain(&self) -> Duration {
        let excess = self.slowdown.saturating_sub(UNIT);
        self.run_time.saturating_mul(excess) / UNIT
    }

    /// Returns the longest wait that pays; `None` if none does.
    #[must_use]
    pub fn limit(&self) -> Option<Duration> {
        let gain = self.gain();
        // A rack that has room now, and did not get the task, won't get it by waiting.
        let is_worthless = gain.is_zero() || self.expected.is_zero();
        // While others wait for room, they take the place that stays empty, and the rack's when it is free: a
        // task that gives up its turn may get neither.
        if is_worthless || self.is_room_short {
            return None;
        }
        let delay_elsewhere = gain.saturating_sub(self.float);
        let slack_elsewhere = self
            .time_left
            .checked_sub(self.chain.saturating_add(delay_elsewhere));
        let slack_near = self.time_left.checked_sub(self.chain);
        let bound = match (slack_elsewhere, slack_near) {
            // A wait in vain still leaves time for the run elsewhere.
            (Some(slack), _) if slack >= self.expected.saturating_mul(PATIENCE) => slack,
            // A place near the data leaves the objective more time than a start elsewhere now, or is the only
            // one that meets it.
            (_, Some(slack)) if slack >= self.expected => slack,
            // It is late either way, and the later the worse.
            _ => gain,
        };
        let limit = gain.min(bound).min(MAX_WAIT);
        (self.expected < limit).then_some(limit)
    }

    /// Returns the time after which a wait that begins now ends by itself; `None` if no wait pays.
    #[must_use]
    pub fn patience(&self) -> Option<Duration> {
        let expected = self.expected.saturating_mul(PATIENCE);
        let expected = expected.saturating_add(NOTICE);
        self.limit().map(|limit| limit.min(expected))
    }
}
