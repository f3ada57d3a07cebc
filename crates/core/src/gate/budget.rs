//! Retry budget: retries are a share of successes, so a failing pool is not made worse.

/// Most retries that can be saved up.
const SAVED_MAX: f64 = 100.0;

/// `Budget` is a balance of retries that successes pay into.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    share: f64,
    balance: f64,
}

impl Budget {
    /// Makes a budget from the share that a success pays in and the balance to start with.
    #[must_use]
    pub fn new(share: f64, floor: f64) -> Self {
        Self {
            share,
            balance: floor,
        }
    }

    /// Pays in for a success.
    pub fn deposit(&mut self) {
        // A start balance above the limit is not cut by a success.
        self.balance = (self.balance + self.share).min(SAVED_MAX.max(self.balance));
    }

    /// Takes one retry if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
