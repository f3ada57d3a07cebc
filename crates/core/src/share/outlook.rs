use std::time::{Duration, Instant};

/// Longest start delay that is estimated: longer than callers accept for any job that runs for some seconds.
pub const START_DELAY_MAX: Duration = Duration::from_mins(1);
/// Time from when the host list first shows that a host moves to a pool until its worker gets tasks: what a move
/// takes, and the first answer of the new worker.
const ARRIVAL_TIME: Duration = Duration::from_millis(1_800);
/// Time after which a host that has not arrived is no longer expected.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);

/// `Outlook` is the room that a pool has for tasks that are not long-running, now and with the hosts that are on
/// their way to it.
#[derive(Clone, Debug, Default)]
pub struct Outlook {
    /// Processor time now, in millicores.
    room: u64,
    /// Processor time of each host on its way in millicores, and the time until it arrives.
    arrivals: Vec<(Duration, u64)>,
}

impl Outlook {
    /// Creates the outlook of a pool with a room in millicores and no host on its way.
    #[must_use]
    pub fn new(room: u64) -> Self {
        Self {
            room,
            arrivals: Vec::new(),
        }
    }

    /// Adds a host, with its processor time in millicores, that has been on its way to the pool since a time.
    pub fn expect(&mut self, now: Instant, since: Instant, cpu_millicores: u64) {
        let age = now.saturating_duration_since(since);
        if age < ARRIVAL_TIMEOUT {
            let arrives_in = ARRIVAL_TIME.saturating_sub(age);
            self.arrivals.push((arrives_in, cpu_millicores));
        }
    }

    /// Returns the time until an amount of work, in millicore-seconds, has been started; [`START_DELAY_MAX`] at
    /// most.
    #[must_use]
    pub fn start_delay(&mut self, work: u64) -> Duration {
        self.arrivals.sort_unstable();
        // Millicore-milliseconds.
        let mut left = u128::from(work) * 1_000;
        let (mut room, mut at_ms) = (u128::from(self.room), 0);
        for (arrives_in, cpu_millicores) in &self.arrivals {
            let arrives_ms = arrives_in.as_millis();
            let done = room * (arrives_ms - at_ms);
            if done >= left {
                break;
            }
            left -= done;
            at_ms = arrives_ms;
            room += u128::from(*cpu_millicores);
        }
        let delay_ms = match (left, room) {
            (0, _) => at_ms,
            (_, 0) => return START_DELAY_MAX,
            _ => at_ms.saturating_add(left / room),
        };
        let delay_ms = u64::try_from(delay_ms).unwrap_or(u64::MAX);
        Duration::from_millis(delay_ms).min(START_DELAY_MAX)
    }
}
