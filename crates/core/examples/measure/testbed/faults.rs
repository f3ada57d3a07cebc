//! Injection of the plan's faults.

use std::time::Duration;

use rand::RngExt;

use super::{Loss, World};

/// Number of steps to which the rates of faults refer.
const STEPS_PER_RATE: u32 = 1_000_000;
/// Time for which a process is frozen, in milliseconds.
const FREEZE_MS: std::ops::Range<u64> = 500..60_000;
/// Time for which the appends of a process are delayed, in seconds.
const SLOW_S: std::ops::Range<u64> = 1..25;
/// Time for which the log is unavailable, in seconds.
const OUTAGE_S: std::ops::Range<u64> = 5..120;

impl World {
    fn occurs(&mut self, rate: u32) -> bool {
        self.rng.random_range(0..STEPS_PER_RATE) < rate
    }

    /// Injects each kind of fault at its rate.
    pub(super) fn inject_faults(&mut self) {
        let faults = self.plan.faults;
        if self.occurs(faults.kill_rate) {
            let index = self.rng.random_range(0..self.processes.len());
            self.kill(index);
        }
        if self.occurs(faults.freeze_rate) {
            let index = self.rng.random_range(0..self.processes.len());
            let duration = Duration::from_millis(self.rng.random_range(FREEZE_MS));
            self.freeze(index, duration);
        }
        if self.occurs(faults.freeze_rate) {
            let index = self.rng.random_range(0..self.entries.len());
            let duration = Duration::from_millis(self.rng.random_range(FREEZE_MS));
            let until = self.now + duration;
            self.entries[index].frozen_until = Some(until);
            self.entries[index].follower.delay_appends(until);
        }
        if self.occurs(faults.slow_append_rate) {
            let index = self.rng.random_range(0..self.processes.len());
            let duration = Duration::from_secs(self.rng.random_range(SLOW_S));
            self.processes[index].follower.slow_until = Some(self.now + duration);
        }
        if self.occurs(faults.outage_rate) {
            let duration = Duration::from_secs(self.rng.random_range(OUTAGE_S));
            self.outage_until = Some(self.now + duration);
        }
        if self.occurs(faults.crash_rate) {
            let index = self.rng.random_range(0..self.platform.host_names.len());
            let name = self.platform.host_names[index].clone();
            self.platform.crash(self.now, &name, &mut self.rng);
        }
        if self.occurs(faults.rack_failure_rate) {
            self.crash_rack();
        }
    }

    fn crash_rack(&mut self) {
        let index = self.rng.random_range(0..self.platform.host_names.len());
        let name = self.platform.host_names[index].clone();
        let rack = self.platform.machines[&name].listing.rack.clone();
        for name in self.platform.host_names.clone() {
            if self.platform.machines[&name].listing.rack == rack {
                self.platform.crash(self.now, &name, &mut self.rng);
            }
        }
    }

    /// Freezes a process and delays its appends in flight until it resumes; in half of the cases,
    /// its calls in flight are delayed as well.
    fn freeze(&mut self, index: usize, duration: Duration) {
        let until = self.now + duration;
        let delays_calls = self.rng.random_bool(0.5);
        let process = &mut self.processes[index];
        process.frozen_until = Some(until);
        process.follower.delay_appends(until);
        if delays_calls {
            for call in &mut process.calls {
                call.arrives_at = until;
            }
        }
    }

    /// Ends a process and starts another one; the calls in flight still arrive.
    fn kill(&mut self, index: usize) {
        let process = self.processes.remove(index);
        self.orphaned_calls.extend(process.calls);
        self.start_process();
    }

    /// Freezes or ends the holder of the first wave's pool, if the plan says so; returns its name.
    pub(super) fn lose_holder(&mut self) -> Option<persimmongate_core::ids::Instance> {
        let loss = self.plan.loss?;
        let (pool, _) = *self.plan.waves.first()?;
        let holder = self.log.state.pools.get(pool)?.holder.clone()?;
        // The sheet is sent before the loss, so that the next holder has a wave to act on.
        self.step(false);
        let mut processes = self.processes.iter();
        let index = processes.position(|process| process.follower.name == holder)?;
        match loss {
            Loss::Freeze => self.freeze(index, self.plan.time_limit),
            Loss::Kill => self.kill(index),
        }
        Some(holder)
    }
}
