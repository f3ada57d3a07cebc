//! The small cases that randomised runs were shrunk to.

mod catchup;
mod retry;
