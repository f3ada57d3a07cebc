//! Rate limit of appends, so that all processes together stay within the log's rate limit.

use std::time::{Duration, Instant};

use actix::{AsyncContext, Context};

use super::follower::Follower;
use crate::clock;

/// Maximum appends per second of all processes together.
const TOTAL_APPENDS_PER_SECOND: u32 = 300;

/// `Limiter` limits the rate of appends of one process.
#[derive(Debug, Default)]
pub(super) struct Limiter {
    last_append_at: Option<Instant>,
    /// Whether a delayed flush is scheduled.
    is_flush_scheduled: bool,
}

impl Limiter {
    /// Records the time of an append.
    pub(super) fn record_append(&mut self, now: Instant) {
        self.last_append_at = Some(now);
    }

    /// Returns the time until the next append is allowed, zero after a long enough pause.
    fn delay(&self, now: Instant, process_count: usize) -> Duration {
        let processes = u32::try_from(process_count).unwrap_or(u32::MAX).max(1);
        let interval = Duration::from_secs(1) * processes / TOTAL_APPENDS_PER_SECOND;
        let elapsed = self
            .last_append_at
            .map_or(interval, |at| now.saturating_duration_since(at));
        interval.saturating_sub(elapsed)
    }
}

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Schedules a later flush if the last append was too recent; returns whether the flush was
    /// deferred.
    pub(super) fn defer_flush(&mut self, ctx: &mut Context<Self>) -> bool {
        let delay = self
            .rate_limiter
            .delay(clock::now(), self.state.members.len());
        if delay.is_zero() {
            return false;
        }
        if !self.rate_limiter.is_flush_scheduled {
            self.rate_limiter.is_flush_scheduled = true;
            ctx.run_later(delay, |act, ctx| {
                act.rate_limiter.is_flush_scheduled = false;
                act.flush(ctx);
            });
        }
        true
    }
}
