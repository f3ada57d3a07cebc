//! The table of a run's results and the checks of the system's guarantees.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use persimmongate_core::map::Map;
use persimmongate_core::record::Phase;

use super::call::{Call, Outcome};
use super::watch::Observations;
use crate::deployment::{SLOTS_PER_WORKER, Service};
use crate::runs::Counts;

/// `Row` is the table row with the results of one service.
pub(super) struct Row {
    service: Service,
    outcome_counts: Map<Outcome, u64>,
    /// Latencies of the answers, in microseconds.
    latencies: Histogram<u64>,
    calls: Vec<Call>,
    /// Number of calls whose task ended without a result.
    pub(super) failed_tasks: u64,
}

impl Row {
    pub(super) fn new(service: Service) -> Self {
        let latencies = Histogram::new_with_bounds(1, 600_000_000, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are constant"));
        Self {
            service,
            outcome_counts: Map::default(),
            latencies,
            calls: Vec::new(),
            failed_tasks: 0,
        }
    }

    pub(super) fn add(&mut self, call: Call) {
        *self.outcome_counts.entry(call.outcome).or_default() += 1;
        if call.outcome == Outcome::Answered {
            let latency_us = u64::try_from(call.latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies.saturating_record(latency_us);
        }
        self.calls.push(call);
    }

    fn count(&self, outcome: Outcome) -> u64 {
        self.outcome_counts.get(&outcome).copied().unwrap_or(0)
    }

    fn latency_ms(&self, quantile: f64) -> u64 {
        self.latencies.value_at_quantile(quantile) / 1000
    }
}

/// `Table` is the table with the results of a run.
pub(super) struct Table {
    rows: Vec<Row>,
    observations: Observations,
    elapsed: Duration,
    interrupted: u64,
    max_in_flight: u32,
    /// Number of requests with an idempotency key that ran more than once.
    duplicate_runs: usize,
    /// Number of requests that were reported as not run but ran.
    false_not_run: usize,
    /// Number of requests that were reported as answered but never ran.
    false_answered: usize,
}

impl Table {
    pub(super) fn new(
        rows: Vec<Row>,
        counts: &Counts,
        observations: Observations,
        elapsed: Duration,
    ) -> Self {
        let runs = |nonce: &String| counts.runs.get(nonce).copied().unwrap_or(0);
        let calls = || rows.iter().flat_map(|row| &row.calls);
        let duplicate_runs = calls()
            .filter(|call| !call.is_idempotent && call.nonces.iter().any(|nonce| runs(nonce) > 1))
            .count();
        // The outcome "not run" applies to the last attempt only; an earlier one may have run.
        let false_not_run = calls()
            .filter(|call| call.outcome == Outcome::NotRun)
            .filter(|call| call.nonces.last().is_some_and(|nonce| runs(nonce) > 0))
            .count();
        let false_answered = calls()
            .filter(|call| call.outcome == Outcome::Answered)
            .filter(|call| call.nonces.iter().all(|nonce| runs(nonce) == 0))
            .count();
        let (interrupted, max_in_flight) = (counts.interrupted, counts.max_in_flight);
        Self {
            rows,
            observations,
            elapsed,
            interrupted,
            max_in_flight,
            duplicate_runs,
            false_not_run,
            false_answered,
        }
    }

    /// Checks the guarantees; the error lists the violated ones, one per line.
    pub(super) fn check(&self, expects_wave: bool) -> Result<(), String> {
        let mut violations = Vec::new();
        let invalid: u64 = self
            .rows
            .iter()
            .map(|row| row.count(Outcome::Invalid) + row.failed_tasks)
            .sum();
        let mut require_zero = |description: &str, count: u64| {
            if count > 0 {
                violations.push(format!("{description}: {count}"));
            }
        };
        require_zero("answers missing or not for the request sent", invalid);
        require_zero("requests interrupted by a reboot", self.interrupted);
        require_zero(
            "requests with an idempotency key that ran more than once",
            self.duplicate_runs as u64,
        );
        require_zero(
            "requests reported as not run that ran",
            self.false_not_run as u64,
        );
        require_zero(
            "requests reported as answered that never ran",
            self.false_answered as u64,
        );
        if self.max_in_flight > u32::from(SLOTS_PER_WORKER) {
            violations.push(format!(
                "a worker with {SLOTS_PER_WORKER} slots ran {} requests at once",
                self.max_in_flight
            ));
        }
        for row in &self.rows {
            if row.count(Outcome::Answered) == 0 {
                violations.push(format!("no request of {} was answered", row.service.name));
            }
        }
        if self.observations.sample_count == 0 {
            violations.push("no fleet instance returned its status".to_owned());
        }
        for (service, (serving, budget)) in &self.observations.lowest_serving {
            if serving < budget {
                violations.push(format!(
                    "{service} fell to {serving} serving hosts, below its availability \
                     budget of {budget}"
                ));
            }
        }
        if expects_wave && self.observations.wave_phase != Some(Phase::Done) {
            violations.push(format!(
                "expected the wave to end in phase Done, found {:?}",
                self.observations.wave_phase
            ));
        }
        if violations.is_empty() {
            Ok(())
        } else {
            Err(violations.join("\n"))
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
            let lowest = self.observations.lowest_serving.get(row.service.name);
            let lowest = lowest.map_or("-".to_owned(), |(serving, budget)| {
                format!("{serving}/{budget}")
            });
            writeln!(
                f,
                "{:<12}{:>8}{:>10}{:>9}{:>9}{:>7}{:>9}{:>9}{:>16}",
                row.service.name,
                row.calls.len(),
                row.count(Outcome::Answered),
                row.count(Outcome::NotRun),
                row.count(Outcome::Unknown),
                row.count(Outcome::Invalid),
                row.latency_ms(0.5),
                row.latency_ms(0.99),
                lowest
            )?;
        }
        writeln!(
            f,
            "run {:.1} s, wave {:.1} s, moves {}, buffer hosts {}, cut {}, ran twice {}, \
             false not run {}, false answered {}",
            self.elapsed.as_secs_f64(),
            self.observations.wave_time.as_secs_f64(),
            self.observations.move_count,
            self.observations.spare_hosts,
            self.interrupted,
            self.duplicate_runs,
            self.false_not_run,
            self.false_answered
        )
    }
}
