use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;
use persimmongate_core::ids;

/// `Counts` publishes counts of a shard while this process leads it, and 0 afterwards.
pub(super) struct Counts {
    gauge: Gauge<u64>,
    shard: ids::Shard,
    /// Names of the counts that were published.
    names: Vec<&'static str>,
}

impl Counts {
    pub(super) fn new(gauge: Gauge<u64>, shard: ids::Shard) -> Self {
        Self {
            gauge,
            shard,
            names: Vec::new(),
        }
    }

    /// Publishes the counts that the scheduler returns, and that the shard is led.
    pub(super) fn publish(&mut self, counts: impl IntoIterator<Item = (&'static str, usize)>) {
        self.names.clear();
        for (name, count) in counts.into_iter().chain([("led", 1)]) {
            self.record(name, u64::try_from(count).unwrap_or(u64::MAX));
            self.names.push(name);
        }
    }

    fn record(&self, name: &'static str, count: u64) {
        let shard = KeyValue::new("shard", i64::from(self.shard));
        self.gauge
            .record(count, &[shard, KeyValue::new("count", name)]);
    }
}

impl Drop for Counts {
    // The leadership also ends without a word when the actor panics.
    fn drop(&mut self) {
        for name in &self.names {
            self.record(name, 0);
        }
    }
}
