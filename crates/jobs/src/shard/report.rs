use std::time::{Duration, Instant};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Gauge, Meter};
use persimmongate_core::ids;
use persimmongate_core::journal::Load;
use persimmongate_core::map::{Map, Set};
use persimmongate_node::clock;

/// Accounts of which a process publishes values in its life, as each one is a label that the metrics keep.
const MAX_ACCOUNTS: usize = 128;

/// `Report` is the loads that the leader of a shard reported last.
pub(super) struct Report {
    loads: Vec<Load>,
    /// Time at which they were read.
    read_at: Option<Instant>,
    excesses: Excesses,
}

impl Report {
    pub(super) fn new(meter: &Meter, shard: ids::Shard) -> Self {
        Self {
            loads: Vec::new(),
            read_at: None,
            excesses: Excesses {
                gauge: meter.u64_gauge("account_excess").build(),
                shard,
                known: Set::default(),
                current: Set::default(),
            },
        }
    }

    /// Replaces the loads. Those that this process reports as the leader are published.
    pub(super) fn update(&mut self, loads: &[Load], is_leader: bool) {
        self.loads = loads.to_vec();
        self.read_at = Some(clock::now());
        self.excesses.publish(if is_leader { loads } else { &[] });
    }

    /// Returns the load of a service.
    pub(super) fn load(&self, service: &ids::Service) -> Option<&Load> {
        self.loads.iter().find(|load| load.service == *service)
    }

    /// Returns the time since the loads were read.
    pub(super) fn age(&self) -> Duration {
        let now = clock::now();
        let age = self.read_at.map(|at| now.saturating_duration_since(at));
        age.unwrap_or_default()
    }
}

/// `Excesses` publishes which accounts exceed their rate or share of a shard that this process leads.
struct Excesses {
    gauge: Gauge<u64>,
    shard: ids::Shard,
    /// Accounts that were published.
    known: Set<ids::Account>,
    /// Those whose latest values are not 0.
    current: Set<ids::Account>,
}

impl Excesses {
    /// Publishes the loads of a heartbeat, of all services of the shard together, and 0 for accounts that are no
    /// longer among them.
    fn publish(&mut self, loads: &[Load]) {
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
