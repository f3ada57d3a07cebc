//! Models of three strategies to run a key at most once, under the same arrivals.

use std::time::Duration;

use persimmongate_core::map::Map;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::sim::percent;
use crate::table::Table;

/// Number of entry hosts.
const ENTRY_COUNT: usize = 9;
/// Arrivals in a second over all entry hosts, as in kuiseb with half of its slots in use.
const ARRIVALS_PER_S: f64 = 560.0;
/// Length of each of the two phases of a run, in seconds: the log is up in the first one and down
/// in the second one.
const PHASE_S: f64 = 3600.0;
/// One-way delay between entry hosts, in seconds.
const ENTRY_DELAY_S: f64 = 0.001;
/// One-way delay between callers and entry hosts, in seconds.
const CALLER_DELAY_S: f64 = 0.003;
/// Minimum and maximum duration of an append, in seconds.
const APPEND_RANGE_S: (f64, f64) = (0.005, 0.015);
/// Minimum time between the starts of two appends of a process, in seconds: 18 processes share 300
/// appends a second.
const APPEND_INTERVAL_S: f64 = 0.06;
/// Time between two crashes of entry hosts, in seconds.
const CRASH_INTERVAL_S: f64 = 600.0;
/// Time until a crashed entry host is back, in seconds.
const RESTART_S: f64 = 10.0;
/// Share of the keys that the caller sends again.
const RESEND_SHARE: f64 = 0.01;
/// Maximum time until a key is sent again, in seconds.
const MAX_RESEND_DELAY_S: f64 = 30.0;
/// Maximum lead of a caller's clock, in seconds.
const MAX_CLOCK_LEAD_S: f64 = 2.0;

/// `Strategy` determines who decides whether a key may run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    /// The entry host that receives the key claims it in the log, with others in one append.
    Log,
    /// The entry host that issued the key as a ticket decides.
    Ticket,
    /// The owner of the key by rendezvous hashing decides, and the log records each change of
    /// owners.
    Owner,
}

/// `Totals` sums up the run of a strategy.
#[derive(Debug, Default)]
struct Totals {
    /// Submitted keys, with the log up and with the log down.
    submissions: [u64; 2],
    /// Refused keys, with the log up and with the log down.
    refused: [u64; 2],
    unknown: u64,
    second_runs: u64,
    appends: u64,
    /// Latency that the decisions added while the log was up, in seconds.
    added_latency: f64,
    max_added_latency: f64,
}

/// Prints a row for each strategy.
pub(super) fn print(seed: u64) {
    let mut table = Table::new(&[
        "strategy",
        "added ms, mean",
        "added ms, max",
        "appends/s",
        "refused, log up",
        "refused, log down 1 h",
        "unknown",
        "second runs",
    ]);
    for (name, strategy) in [
        ("claim in the log, in batches", Strategy::Log),
        ("ticket of its issuer", Strategy::Ticket),
        ("owner by rendezvous and epoch", Strategy::Owner),
    ] {
        let totals = Model::new(strategy, seed).run();
        let submissions = totals.submissions[0] + totals.submissions[1];
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        let (mean, appends) = (
            totals.added_latency * 1000.0 / totals.submissions[0].max(1) as f64,
            totals.appends as f64 / PHASE_S,
        );
        table.add(vec![
            name.to_owned(),
            format!("{mean:.1}"),
            format!("{:.1}", totals.max_added_latency * 1000.0),
            format!("{appends:.1}"),
            percent(totals.refused[0], totals.submissions[0]),
            percent(totals.refused[1], totals.submissions[1]),
            percent(totals.unknown, submissions),
            totals.second_runs.to_string(),
        ]);
    }
    table.print();
}

/// `Model` simulates one strategy.
struct Model {
    strategy: Strategy,
    rng: ChaCha8Rng,
    totals: Totals,
    /// Start and end of the latest append of each entry host.
    last_appends: [(f64, f64); ENTRY_COUNT],
    /// Time of the latest crash of each entry host, and the time at which it is back.
    crashes: [(f64, f64); ENTRY_COUNT],
    /// Time stamp and time of the first run of the keys that are sent again.
    first_runs: Map<u64, (f64, f64)>,
}

impl Model {
    fn new(strategy: Strategy, seed: u64) -> Self {
        Self {
            strategy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            totals: Totals::default(),
            last_appends: [(0.0, 0.0); ENTRY_COUNT],
            crashes: [(0.0, 0.0); ENTRY_COUNT],
            first_runs: Map::default(),
        }
    }

    fn run(mut self) -> Totals {
        let mut now = 0.0;
        let mut next_crash = CRASH_INTERVAL_S;
        let mut resends: Vec<(f64, u64)> = Vec::new();
        let mut key = 0;
        while now < 2.0 * PHASE_S {
            now += -(1.0 - self.rng.random::<f64>()).ln() / ARRIVALS_PER_S;
            if now > next_crash {
                let entry = self.rng.random_range(0..ENTRY_COUNT);
                self.crashes[entry] = (now, now + RESTART_S);
                // The other hosts append the change of owners, which starts a new epoch.
                self.totals.appends += u64::from(self.strategy == Strategy::Owner && now < PHASE_S);
                next_crash += CRASH_INTERVAL_S;
            }
            key += 1;
            let is_resent = self.rng.random::<f64>() < RESEND_SHARE;
            let stamped_at = now + self.rng.random_range(0.0..MAX_CLOCK_LEAD_S);
            let has_run = self.submit(now, key, stamped_at, None);
            if is_resent {
                if has_run {
                    self.first_runs.insert(key, (stamped_at, now));
                }
                resends.push((now + self.rng.random_range(0.0..MAX_RESEND_DELAY_S), key));
            }
            let due = resends.extract_if(.., |(resend_at, _)| *resend_at <= now);
            let due: Vec<(f64, u64)> = due.collect();
            for (_, key) in due {
                if let Some((stamped_at, first_run)) = self.first_runs.get(&key).copied() {
                    self.submit(now, key, stamped_at, Some(first_run));
                }
            }
        }
        self.totals
    }

    /// Submits a key to a random entry host; returns whether the key runs.
    ///
    /// A key that is sent again comes with the time of its first run.
    fn submit(&mut self, now: f64, key: u64, stamped_at: f64, first_run: Option<f64>) -> bool {
        let is_resend = first_run.is_some();
        let log_is_down = now > PHASE_S;
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let decider = usize::try_from(key).unwrap_or(0) % ENTRY_COUNT;
        let (crashed_at, back_at) = self.crashes[decider];
        self.totals.submissions[usize::from(log_is_down)] += 1;
        let forwarding = if entry == decider {
            0.0
        } else {
            2.0 * ENTRY_DELAY_S
        };
        match self.strategy {
            Strategy::Log if log_is_down => self.record_refusal(log_is_down),
            // Only the issuer of a ticket knows it, and its decisions are lost with it.
            Strategy::Log | Strategy::Ticket if is_resend => self.record_unknown(),
            Strategy::Log => {
                let added_latency = self.claim_in_log(now, entry);
                self.record_run(log_is_down, added_latency)
            }
            Strategy::Ticket => self.record_run(log_is_down, 2.0 * CALLER_DELAY_S + forwarding),
            // Without the log no other host may take over the keys of a crashed owner.
            Strategy::Owner if now < back_at => self.record_refusal(log_is_down),
            Strategy::Owner if stamped_at < crashed_at => self.record_unknown(),
            // A restarted owner takes a key for new if its time stamp is later than the crash.
            Strategy::Owner if first_run.is_some_and(|first_run| first_run < crashed_at) => {
                self.totals.second_runs += 1;
                true
            }
            Strategy::Owner if is_resend => self.record_unknown(),
            Strategy::Owner => self.record_run(log_is_down, forwarding),
        }
    }

    fn record_refusal(&mut self, log_is_down: bool) -> bool {
        self.totals.refused[usize::from(log_is_down)] += 1;
        false
    }

    fn record_unknown(&mut self) -> bool {
        self.totals.unknown += 1;
        false
    }

    fn record_run(&mut self, log_is_down: bool, added_latency: f64) -> bool {
        if !log_is_down {
            self.totals.added_latency += added_latency;
            self.totals.max_added_latency = self.totals.max_added_latency.max(added_latency);
        }
        true
    }

    /// Claims a key in the next append of an entry host; returns the seconds until the verdict.
    fn claim_in_log(&mut self, now: f64, entry: usize) -> f64 {
        let append_time = self.rng.random_range(APPEND_RANGE_S.0..APPEND_RANGE_S.1);
        let (start, end) = self.last_appends[entry];
        // A key that arrives before the start of the next append becomes part of it.
        let end = if start > now {
            end
        } else {
            self.totals.appends += 1;
            let start = now.max(end).max(start + APPEND_INTERVAL_S);
            self.last_appends[entry] = (start, start + append_time);
            start + append_time
        };
        end - now + Duration::from_millis(1).as_secs_f64()
    }
}
