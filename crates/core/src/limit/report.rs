use std::cmp::Reverse;

use super::Amount;
use crate::ids;

/// `Report` is what a shard knows of an account with a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Account.
    pub account: ids::Account,
    /// What its runs on the workers of the shard reserve.
    pub used: Amount,
    /// What other runs may reserve that an older leader started for any account; `None` while nothing is known of the
    /// workers that it may have used, so that nothing starts.
    pub unconfirmed: Option<Amount>,
    /// What the tasks would reserve that did not start because of the limit.
    pub held_back: Amount,
    /// What it may have in use on these workers.
    pub allowance: Amount,
    /// What it may have in use on all workers.
    pub limit: Amount,
}

impl Report {
    /// Returns the most important of some reports: those of which most is held back, then those with the most in use.
    #[must_use]
    pub fn top(reports: &[Self], count: usize) -> Vec<Self> {
        let mut reports = reports.to_vec();
        reports.sort_by_key(|report| {
            let (held_back, used) = (report.held_back.cpu_millicores, report.used.cpu_millicores);
            (Reverse(held_back), Reverse(used), report.account.clone())
        });
        reports.truncate(count);
        reports
    }
}
