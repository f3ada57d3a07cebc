use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;
use persimmongate_core::ids;
use persimmongate_core::journal::Load;
use persimmongate_core::map::{Map, Set};

/// Accounts of which a process publishes values in its life, as each one is a label that the metrics keep.
const MAX_ACCOUNTS: usize = 128;

/// `Excesses` publishes which accounts exceed their rate or share of a shard that this process leads.
pub(super) struct Excesses {
    gauge: Gauge<u64>,
    shard: ids::Shard,
    /// Accounts that were published.
    known: Set<ids::Account>,
    /// Those whose latest values are not 0.
    current: Set<ids::Account>,
}

impl Excesses {
    pub(super) fn new(gauge: Gauge<u64>, shard: ids::Shard) -> Self {
        Self {
            gauge,
            shard,
            known: Set::default(),
            current: Set::default(),
        }
    }

    /// Publishes the loads of a heartbeat, of all services of the shard together, and 0 for accounts that are no
    /// longer among them.
    pub(super) fn publish(&mut self, loads: &[Load]) {
        let mut values: Map<&ids::Account, [u64; 3]> = Map::default();
        for excess in loads.iter().flat_map(|load| &load.excesses) {
            let millis = |delay: Duration| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            let entry = values.entry(&excess.account).or_insert([u64::MAX, 0, 0]);
            entry[0] = entry[0].min(excess.admitted.into());
            entry[1] = entry[1].max(millis(excess.delay));
            entry[2] = entry[2].max(millis(excess.beyond_rate_delay));
        }
        let ended = self.current.iter().filter(|a| !values.contains_key(a));
        let ended: Vec<ids::Account> = ended.cloned().collect();
        for account in ended {
            self.current.remove(&account);
            self.record(&account, [0; 3]);
        }
        for (account, values) in values {
            if self.known.len() < MAX_ACCOUNTS || self.known.contains(account) {
                self.known.insert(account.clone());
                self.current.insert(account.clone());
                self.record(account, values);
            }
        }
    }

    fn record(&self, account: &ids::Account, values: [u64; 3]) {
        let names = ["admitted", "delay_ms", "beyond_rate_delay_ms"];
        for (name, value) in names.into_iter().zip(values) {
            let labels = [
                KeyValue::new("shard", i64::from(self.shard)),
                KeyValue::new("account", account.to_string()),
                KeyValue::new("value", name),
            ];
            self.gauge.record(value, &labels);
        }
    }
}
