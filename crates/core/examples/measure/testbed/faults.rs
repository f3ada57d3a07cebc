//! Faults that a plan asks for.

use std::time::Duration;

use rand::RngExt;

use super::{Loss, World};

/// Steps to which the rates of faults refer.
const STEPS_PER_RATE: u32 = 1_000_000;
/// Milliseconds that a process is frozen.
const FREEZE_MS: std::ops::Range<u64> = 500..60_000;
/// Seconds for which appends are slow.
const SLOW_S: std::ops::Range<u64> = 1..25;
/// Seconds that the log is down.
const OUTAGE_S: std::ops::Range<u64> = 5..120;

impl World {
    fn occurs(&mut self, rate: u32) -> bool {
        self.random.random_range(0..STEPS_PER_RATE) < rate
    }

    /// Lets things fail at their rates.
    pub(super) fn inject_faults(&mut self) {
        let faults = self.plan.faults;
        if self.occurs(faults.kill_rate) {
            let place = self.random.random_range(0..self.processes.len());
            self.kill(place);
        }
        if self.occurs(faults.freeze_rate) {
            let place = self.random.random_range(0..self.processes.len());
            let time = Duration::from_millis(self.random.random_range(FREEZE_MS));
            self.freeze(place, time);
        }
        if self.occurs(faults.freeze_rate) {
            let place = self.random.random_range(0..self.entries.len());
            let time = Duration::from_millis(self.random.random_range(FREEZE_MS));
            let until = self.now + time;
            self.entries[place].frozen_until = Some(until);
            self.entries[place].follower.delay_appends(until);
        }
        if self.occurs(faults.slow_append_rate) {
            let place = self.random.random_range(0..self.processes.len());
            let time = Duration::from_secs(self.random.random_range(SLOW_S));
            self.processes[place].follower.slow_until = Some(self.now + time);
        }
        if self.occurs(faults.outage_rate) {
            let time = Duration::from_secs(self.random.random_range(OUTAGE_S));
            self.outage_until = Some(self.now + time);
        }
        if self.occurs(faults.crash_rate) {
            let place = self.random.random_range(0..self.platform.host_names.len());
            let name = self.platform.host_names[place].clone();
            self.platform.crash(self.now, &name, &mut self.random);
        }
        if self.occurs(faults.rack_failure_rate) {
            self.crash_rack();
        }
    }

    fn crash_rack(&mut self) {
        let place = self.random.random_range(0..self.platform.host_names.len());
        let name = self.platform.host_names[place].clone();
        let rack = self.platform.machines[&name].fact.rack.clone();
        for name in self.platform.host_names.clone() {
            if self.platform.machines[&name].fact.rack == rack {
                self.platform.crash(self.now, &name, &mut self.random);
            }
        }
    }

    /// Freezes a process; half of the time what it decided last leaves only after it.
    fn freeze(&mut self, place: usize, time: Duration) {
        let until = self.now + time;
        let late = self.random.random_bool(0.5);
        let process = &mut self.processes[place];
        process.frozen_until = Some(until);
        process.follower.delay_appends(until);
        if late {
            for call in &mut process.calls {
                call.arrives_at = until;
            }
        }
    }

    /// Ends a process and starts another; what it sent before arrives.
    fn kill(&mut self, place: usize) {
        let process = self.processes.remove(place);
        self.orphaned_calls.extend(process.calls);
        self.start_process();
    }

    /// Loses the holder of the first wave's pool when the plan says so, and returns its name.
    pub(super) fn lose_holder(&mut self) -> Option<persimmongate_core::ids::Instance> {
        let loss = self.plan.loss?;
        let (pool, _) = *self.plan.waves.first()?;
        let holder = self.log.state.pools.get(pool)?.holder.clone()?;
        // The sheet is on its way, so that the next holder has something to do.
        self.step(false);
        let mut processes = self.processes.iter();
        let place = processes.position(|process| process.follower.name == holder)?;
        match loss {
            Loss::Freeze => self.freeze(place, self.plan.time_limit),
            Loss::Kill => self.kill(place),
        }
        Some(holder)
    }
}
