use std::time::{Duration, Instant};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use persimmongate_core::account::Denial;
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_node::clock;
use slog::{Logger, info};

use super::Endpoint;

/// Time in which the lines of refusals are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of lines in a period for each reason, so that a flood of refused calls doesn't fill the log.
const MAX_LINES: u32 = 10;

/// `Reason` is the reason for which a call is refused, or answered as if there were no such job.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Reason {
    /// The call has no key, or one that no account of the configuration has.
    Denied(Denial),
    /// The job belongs to another account.
    ForeignJob,
    /// The configuration was not read for too long.
    OutdatedConfig,
}

/// `Basis` is the configuration that decided.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Basis {
    /// Version of the configuration.
    pub(super) version: u64,
    /// Time since the send time of the latest complete read of operators' records; `None` before the first.
    pub(super) age: Option<Duration>,
}

/// `Refusals` counts refused calls and logs some of them.
pub(super) struct Refusals {
    refused: Counter<u64>,
    /// Start of the current period, the lines in it and the refusals without a line, by the reason.
    periods: Map<Reason, (Instant, u32, u64)>,
    logger: Logger,
}

impl Reason {
    /// Returns the name of the reason in the metrics and the log lines.
    fn name(self) -> &'static str {
        match self {
            Self::Denied(Denial::NoKey) => "no_key",
            Self::Denied(Denial::UnknownKey) => "unknown_key",
            Self::ForeignJob => "foreign_job",
            Self::OutdatedConfig => "outdated_config",
        }
    }
}

impl Refusals {
    pub(super) fn new(meter: &Meter, logger: Logger) -> Self {
        Self {
            refused: meter.u64_counter("calls_refused").build(),
            periods: Map::default(),
            logger,
        }
    }

    /// Counts a refusal, and logs it unless there were many of the reason in the period.
    pub(super) fn report(
        &mut self,
        reason: Reason,
        endpoint: &Endpoint,
        account: Option<&ids::Account>,
        basis: Basis,
    ) {
        let name = reason.name();
        self.refused.add(1, &[KeyValue::new("reason", name)]);
        let now = clock::now();
        let (started_at, lines, unlogged) = self.periods.entry(reason).or_insert((now, 0, 0));
        if now.saturating_duration_since(*started_at) >= PERIOD {
            (*started_at, *lines) = (now, 0);
        }
        if *lines >= MAX_LINES {
            *unlogged += 1;
            return;
        }
        *lines += 1;
        info!(self.logger, "call refused"; "reason" => name, "host" => %endpoint.host, "path" => %endpoint.path,
            "account" => account.map(ToString::to_string),
            "config_version" => basis.version, "config_age_ms" => basis.age.map(|age| age.as_millis()),
            "unlogged" => std::mem::take(unlogged));
    }
}
