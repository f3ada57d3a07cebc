//! Pace of appends: all processes together stay inside what the log gives.

use std::time::{Duration, Instant};

use actix::{AsyncContext, Context};

use super::follower::Follower;
use crate::clock;

/// Appends a second that all processes together may make.
const APPENDS_PER_SECOND: u32 = 300;

/// `Pace` spaces the appends of one process.
#[derive(Debug, Default)]
pub(super) struct Pace {
    latest: Option<Instant>,
    /// Whether a flush is planned.
    planned: bool,
}

impl Pace {
    /// Notes an append.
    pub(super) fn note(&mut self, now: Instant) {
        self.latest = Some(now);
    }

    /// Gets the time until the next append; an append after a pause goes out at once.
    fn wait(&self, now: Instant, processes: usize) -> Duration {
        let processes = u32::try_from(processes).unwrap_or(u32::MAX).max(1);
        let space = Duration::from_secs(1) * processes / APPENDS_PER_SECOND;
        let passed = self
            .latest
            .map_or(space, |at| now.saturating_duration_since(at));
        space.saturating_sub(passed)
    }
}

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Plans a flush for later when the latest append was too short ago.
    pub(super) fn wait_for_pace(&mut self, ctx: &mut Context<Self>) -> bool {
        let wait = self.pace.wait(clock::now(), self.state.members.len());
        if wait.is_zero() {
            return false;
        }
        if !self.pace.planned {
            self.pace.planned = true;
            ctx.run_later(wait, |act, ctx| {
                act.pace.planned = false;
                act.flush(ctx);
            });
        }
        true
    }
}
