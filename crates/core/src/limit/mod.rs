//! Limits of client accounts that hold over all shards.
//!
//! The right to what an account may have in use is divided into [`WHOLE`] units. Each shard may use the share of the
//! limit that its units are, so that a limit that changes scales all shares alike. All units belong to the lender, the
//! leader of the fleet. It lends units to shards, and their leaders return what they don't need. Both directions are
//! cumulative counts, each written by one leader under its term into the partition of its own:
//!
//! - [`Ledger`]: the counts replayed from a partition
//! - [`Lender`]: decides which shard gets units, and which is asked to return some
//! - [`Borrower`]: holds the units of one shard, asks for more and returns some
//! - [`Usage`]: what the tasks of each account reserve on the workers of a shard
//! - [`Budget`]: what each account may still start, during one pass of placement

mod amount;
mod borrower;
mod budget;
mod division;
mod ledger;
mod lender;
mod loan;
mod report;
mod usage;

pub use amount::Amount;
pub use borrower::Borrower;
pub use budget::Budget;
pub use ledger::Ledger;
pub use lender::{Action, Event, Lender};
pub use loan::{Loan, Notice, WHOLE};
pub use report::Report;
pub use usage::Usage;
