//! Count and log lines of promises that did not hold.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use persimmongate_core::invariant::Breach;
use slog::{Logger, error};

/// `Alarm` counts breaches by check and logs each.
pub struct Alarm {
    breaches: Counter<u64>,
    logger: Logger,
}

impl Alarm {
    /// Makes an alarm with a counter of its own.
    #[must_use]
    pub fn new(meter: &Meter, logger: Logger) -> Self {
        Self {
            breaches: meter.u64_counter("invariant_breaches").build(),
            logger,
        }
    }

    /// Counts and logs breaches.
    pub fn raise(&self, breaches: &[Breach]) {
        for breach in breaches {
            let check = breach.check.name();
            self.breaches.add(1, &[KeyValue::new("check", check)]);
            error!(self.logger, "promise does not hold"; "check" => check,
                "detail" => &breach.detail);
        }
    }
}
