//! Retry budget: limits retries to a share of the successes, so that retries do not add load to a
//! failing pool.

/// Highest balance that successes can build up, in retries.
const MAX_BALANCE: f64 = 100.0;

/// `Budget` is a balance of permitted retries that each success increases by a fraction.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    share: f64,
    balance: f64,
}

impl Budget {
    /// Creates a budget that grows by `share` retries per success, starting at `initial` retries.
    #[must_use]
    pub fn new(share: f64, initial: f64) -> Self {
        Self {
            share,
            balance: initial,
        }
    }

    /// Adds the share that one success permits.
    pub fn deposit(&mut self) {
        // An initial balance above the maximum is kept, not cut by the first success.
        self.balance = (self.balance + self.share).min(MAX_BALANCE.max(self.balance));
    }

    /// Takes one retry from the balance; returns false if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
