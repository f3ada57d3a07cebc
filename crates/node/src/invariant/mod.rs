//! Metrics and log lines about violated invariants.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use persimmongate_core::invariant::Breach;
use slog::{Logger, error};

/// `Notifier` counts violated invariants by check and logs each.
pub struct Notifier {
    breaches: Counter<u64>,
    logger: Logger,
}

impl Notifier {
    /// Creates a reporter and registers its counter.
    #[must_use]
    pub fn new(meter: &Meter, logger: Logger) -> Self {
        Self {
            breaches: meter.u64_counter("invariant_breaches").build(),
            logger,
        }
    }

    /// Counts and logs the breaches that a monitor reported.
    pub fn report(&self, breaches: &[Breach]) {
        for breach in breaches {
            let check = breach.check.name();
            self.breaches.add(1, &[KeyValue::new("check", check)]);
            error!(self.logger, "invariant violated"; "check" => check,
                "detail" => &breach.detail);
        }
    }
}
