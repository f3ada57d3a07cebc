//! Faults on request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// `Log` is how the log behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Log {
    /// Refuses every call.
    Down,
    /// Carries out every append and answers none.
    Mute,
    /// Answers each call after this many milliseconds.
    Slow(u64),
    /// Works.
    #[default]
    Up,
}

impl Log {
    /// Gets the delay before a call is answered.
    #[must_use]
    pub fn delay(self) -> Duration {
        match self {
            Self::Slow(millis) => Duration::from_millis(millis),
            Self::Down | Self::Mute | Self::Up => Duration::ZERO,
        }
    }
}
