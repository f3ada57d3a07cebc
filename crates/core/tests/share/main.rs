//! Tests of shares, rates, start delays and refusals.

mod admission;
mod division;
mod outlook;
mod rate;
