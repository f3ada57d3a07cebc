//! Counters and histograms, exported for Prometheus.

use opentelemetry::metrics::{Counter, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::errors::{Result, metrics_error};

/// Name of the instrumentation scope.
const SCOPE: &str = "persimmongate";

/// `Metrics` holds the instruments of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty set of instruments.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be registered.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| metrics_error(&error))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Returns the counter of entries that readers skip, by the label `list`.
    #[must_use]
    pub fn skipped_entries(&self) -> Counter<u64> {
        self.meter().u64_counter("entries_skipped").build()
    }

    /// Renders all instruments in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when an instrument can't be rendered.
    pub fn render(&self) -> Result<Vec<u8>> {
        let mut buffer = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buffer)
            .map_err(|error| metrics_error(&error))?;
        Ok(buffer)
    }
}
