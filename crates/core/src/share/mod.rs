//! Who is served when room is short: shares of client accounts, their rates, and refusals.
//!
//! The leader of a shard divides the room of a pool among the accounts that want it, meters what each account
//! sends, and estimates when a job that is submitted now would start. It publishes the estimates with its
//! heartbeat, and each process that accepts jobs refuses by them.

mod admission;
mod division;
mod ledger;
mod outlook;
mod rate;

pub use admission::{Cause, LATE_FACTOR, Refusal, Request, retry_delay, review};
pub use division::{Claim, divide};
pub use ledger::{Ledger, Standing};
pub use outlook::{Outlook, START_DELAY_MAX};
pub use rate::{Rates, Throttle};
