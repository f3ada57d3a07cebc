//! The table of a run and the promises that it checks.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use persimmongate_core::map::Map;
use persimmongate_core::record::Phase;

use super::call::{Call, Verdict};
use super::watch::Watch;
use crate::deployment::{SLOTS_PER_WORKER, Service};
use crate::ledger::Counts;

/// `Row` is one service of a run.
pub(super) struct Row {
    service: Service,
    counts: Map<Verdict, u64>,
    /// Latencies of the answers, in microseconds.
    latencies: Histogram<u64>,
    calls: Vec<Call>,
    /// Calls whose task failed.
    pub(super) lost: u64,
}

impl Row {
    pub(super) fn new(service: Service) -> Self {
        let latencies = Histogram::new_with_bounds(1, 600_000_000, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are constant"));
        Self {
            service,
            counts: Map::default(),
            latencies,
            calls: Vec::new(),
            lost: 0,
        }
    }

    pub(super) fn add(&mut self, call: Call) {
        *self.counts.entry(call.verdict).or_default() += 1;
        if call.verdict == Verdict::Answered {
            let micros = u64::try_from(call.latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies.saturating_record(micros);
        }
        self.calls.push(call);
    }

    fn count(&self, verdict: Verdict) -> u64 {
        self.counts.get(&verdict).copied().unwrap_or(0)
    }

    fn millis(&self, quantile: f64) -> u64 {
        self.latencies.value_at_quantile(quantile) / 1000
    }
}

/// `Table` is the result of a run.
pub(super) struct Table {
    rows: Vec<Row>,
    watch: Watch,
    elapsed: Duration,
    interrupted: u64,
    max_in_flight: u32,
    /// Requests under a key that ran more than once.
    doubled: usize,
    /// Requests reported as not run that ran.
    false_not_run: usize,
    /// Requests reported as answered that never ran.
    false_answered: usize,
}

impl Table {
    pub(super) fn new(rows: Vec<Row>, counts: &Counts, watch: Watch, elapsed: Duration) -> Self {
        let runs = |nonce: &String| counts.runs.get(nonce).copied().unwrap_or(0);
        let calls = || rows.iter().flat_map(|row| &row.calls);
        let doubled = calls()
            .filter(|call| !call.idempotent && call.nonces.iter().any(|nonce| runs(nonce) > 1))
            .count();
        // Only the last send was reported as not run.
        let false_not_run = calls()
            .filter(|call| call.verdict == Verdict::NotRun)
            .filter(|call| call.nonces.last().is_some_and(|nonce| runs(nonce) > 0))
            .count();
        let false_answered = calls()
            .filter(|call| call.verdict == Verdict::Answered)
            .filter(|call| call.nonces.iter().all(|nonce| runs(nonce) == 0))
            .count();
        let (interrupted, max_in_flight) = (counts.interrupted, counts.max_in_flight);
        Self {
            rows,
            watch,
            elapsed,
            interrupted,
            max_in_flight,
            doubled,
            false_not_run,
            false_answered,
        }
    }

    /// Checks every promise.
    pub(super) fn check(&self, with_wave: bool) -> Result<(), String> {
        let mut broken = Vec::new();
        let wrong: u64 = self
            .rows
            .iter()
            .map(|row| row.count(Verdict::Wrong) + row.lost)
            .sum();
        let mut must_be_zero = |what: &str, count: u64| {
            if count > 0 {
                broken.push(format!("{what}: {count}"));
            }
        };
        must_be_zero("wrong or lost answers", wrong);
        must_be_zero("requests cut by a stop", self.interrupted);
        must_be_zero("requests under a key that ran twice", self.doubled as u64);
        must_be_zero(
            "requests reported not run that ran",
            self.false_not_run as u64,
        );
        must_be_zero(
            "requests reported answered that never ran",
            self.false_answered as u64,
        );
        if self.max_in_flight > u32::from(SLOTS_PER_WORKER) {
            broken.push(format!(
                "a worker ran {} requests at once",
                self.max_in_flight
            ));
        }
        for row in &self.rows {
            if row.count(Verdict::Answered) == 0 {
                broken.push(format!("{} got no answer", row.service.name));
            }
        }
        if self.watch.samples == 0 {
            broken.push("the fleet's status was never read".to_owned());
        }
        for (service, (serving, promised)) in &self.watch.lowest {
            if serving < promised {
                broken.push(format!(
                    "{service} fell to {serving} hosts, promised {promised}"
                ));
            }
        }
        if with_wave && self.watch.wave_phase != Some(Phase::Done) {
            broken.push(format!("the wave ended as {:?}", self.watch.wave_phase));
        }
        if broken.is_empty() {
            Ok(())
        } else {
            Err(broken.join("\n"))
        }
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12}{:>8}{:>10}{:>9}{:>9}{:>7}{:>9}{:>9}{:>16}",
            "service",
            "sent",
            "answered",
            "not run",
            "unknown",
            "wrong",
            "p50 ms",
            "p99 ms",
            "lowest/promised"
        )?;
        for row in &self.rows {
            let lowest = self.watch.lowest.get(row.service.name);
            let lowest = lowest.map_or("-".to_owned(), |(low, promised)| {
                format!("{low}/{promised}")
            });
            writeln!(
                f,
                "{:<12}{:>8}{:>10}{:>9}{:>9}{:>7}{:>9}{:>9}{:>16}",
                row.service.name,
                row.calls.len(),
                row.count(Verdict::Answered),
                row.count(Verdict::NotRun),
                row.count(Verdict::Unknown),
                row.count(Verdict::Wrong),
                row.millis(0.5),
                row.millis(0.99),
                lowest
            )?;
        }
        writeln!(
            f,
            "run {:.1} s, wave {:.1} s, moves {}, buffer hosts {}, cut {}, ran twice {}, \
             false not run {}, false answered {}",
            self.elapsed.as_secs_f64(),
            self.watch.wave_time.as_secs_f64(),
            self.watch.moves,
            self.watch.spare,
            self.interrupted,
            self.doubled,
            self.false_not_run,
            self.false_answered
        )
    }
}
