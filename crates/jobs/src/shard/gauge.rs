use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;
use persimmongate_core::ids;
use persimmongate_core::limit::Report;

use super::line::limited;

/// Maximum number of accounts that are published, so that their number does not set that of the time series.
pub(super) const MAX_ACCOUNTS: usize = 10;

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

/// `Limits` publishes the accounts of a shard with the most tasks that wait for their limits and the most in use,
/// while this process leads the shard, and 0 afterwards.
pub(super) struct Limits {
    gauge: Gauge<u64>,
    shard: ids::Shard,
    /// Accounts that were published.
    accounts: Vec<ids::Account>,
}

impl Limits {
    /// Amounts of an account that are published.
    const AMOUNTS: [&'static str; 4] = ["used", "held_back", "allowance", "limit"];

    pub(super) fn new(gauge: Gauge<u64>, shard: ids::Shard) -> Self {
        Self {
            gauge,
            shard,
            accounts: Vec::new(),
        }
    }

    /// Publishes the processor time of the accounts, in millicores.
    pub(super) fn publish(&mut self, reports: &[Report]) {
        let reports = Report::top(reports, MAX_ACCOUNTS);
        let previous = std::mem::take(&mut self.accounts);
        for account in previous {
            if !reports.iter().any(|report| report.account == account) {
                self.record(&account, [0; 4]);
            }
        }
        for report in reports {
            let amounts = [
                report.used.cpu_millicores,
                report.held_back.cpu_millicores,
                limited(report.allowance.cpu_millicores).unwrap_or(0),
                limited(report.limit.cpu_millicores).unwrap_or(0),
            ];
            self.record(&report.account, amounts);
            self.accounts.push(report.account);
        }
    }

    fn record(&self, account: &ids::Account, amounts: [u64; 4]) {
        for (name, amount) in Self::AMOUNTS.into_iter().zip(amounts) {
            let labels = [
                KeyValue::new("shard", i64::from(self.shard)),
                KeyValue::new("account", account.to_string()),
                KeyValue::new("amount", name),
            ];
            self.gauge.record(amount, &labels);
        }
    }
}

impl Drop for Limits {
    fn drop(&mut self) {
        for account in &self.accounts {
            self.record(account, [0; 4]);
        }
    }
}
