//! Baseline for waves: batches of a fixed size, whose hosts reboot after a fixed delay.

use std::time::{Duration, Instant};

use persimmongate_core::fleet::Call;
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::{Body, Phase};
use persimmongate_core::state::Stage;

use super::{World, wave_name};

/// Time after which the drain records of a batch count as read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(1);

/// `Batches` holds the start of the latest batch of each pool and of the drains in progress.
#[derive(Debug, Default)]
pub(super) struct Batches {
    drain_started_at: Map<ids::Host, Instant>,
    batch_started_at: Map<ids::Pool, Instant>,
}

impl World {
    /// Advances the batch of each wave: reboots and returns its hosts, then starts the next batch.
    pub(super) fn step_fixed(&mut self, delay: Duration) {
        self.renew_members();
        for (pool, batch_size) in self.plan.waves.clone() {
            self.stop_batch(pool, delay);
            let unavailable = self.log.state.hosts.values();
            let unavailable = unavailable
                .filter(|host| &*host.pool == pool && !host.is_serving())
                .count();
            let awaits_read_back = self.batches.batch_started_at.get(pool);
            let awaits_read_back = awaits_read_back
                .is_some_and(|started_at| self.now < *started_at + READ_BACK_TIMEOUT);
            if unavailable == 0 && !awaits_read_back {
                self.start_batch(pool, batch_size);
            }
        }
    }

    fn renew_members(&mut self) {
        for process in &mut self.processes {
            process
                .follower
                .renew(self.now, Some(&self.log), &mut self.rng);
            while process.follower.next_changes(Some(&self.log)).is_some() {}
            while process.follower.next_verdict().is_some() {}
        }
    }

    fn start_batch(&mut self, pool: &'static str, batch_size: u32) {
        let wave = wave_name(pool);
        let Some(wave_state) = self.log.state.waves.get(&wave) else {
            return;
        };
        if wave_state.phase != Phase::Running {
            return;
        }
        let hosts = self.log.state.hosts.iter();
        let due = hosts.filter(|(_, host)| {
            &*host.pool == pool && host.maintained_offset < wave_state.sheet_offset
        });
        let mut due: Vec<(ids::Host, u64)> = due
            .map(|(name, host)| (name.clone(), host.generation))
            .collect();
        due.sort();
        due.truncate(usize::try_from(batch_size).unwrap_or(0));
        let term = self.log.state.pools[pool].term;
        if due.is_empty() {
            let (phase, reason) = (Phase::Done, "maintained".to_owned());
            let body = Body::Progress {
                wave,
                phase,
                reason,
                term,
            };
            self.append_as_holder(pool, body);
            return;
        }
        self.batches.batch_started_at.insert(pool.into(), self.now);
        for (host, generation) in due {
            self.batches.drain_started_at.insert(host.clone(), self.now);
            let wave = wave.clone();
            let body = Body::Drain {
                host,
                generation,
                wave,
                term,
            };
            self.append_as_holder(pool, body);
        }
    }

    fn stop_batch(&mut self, pool: &'static str, delay: Duration) {
        let term = self.log.state.pools[pool].term;
        for (host, drain_started_at) in self.batches.drain_started_at.clone() {
            let host_state = &self.log.state.hosts[&host];
            if &*host_state.pool != pool || !matches!(host_state.stage, Stage::Draining { .. }) {
                continue;
            }
            let generation = host_state.generation;
            let machine = &self.platform.machines[&host];
            if machine.listing.generation > generation && self.platform.is_serving(&host) {
                self.batches.drain_started_at.remove(&host);
                let generation = generation + 1;
                let body = Body::Return {
                    host,
                    generation,
                    term,
                };
                self.append_as_holder(pool, body);
            } else if self.now >= drain_started_at + delay {
                let call = Call::Reboot;
                self.platform
                    .call(self.now, &host, generation, call, &mut self.rng);
            }
        }
    }

    pub(super) fn append_as_holder(&mut self, pool: &str, body: Body) {
        let holder = self.log.state.pools[pool].holder.clone();
        let mut processes = self.processes.iter_mut();
        let process = processes.find(|process| Some(&process.follower.name) == holder.as_ref());
        if let Some(process) = process {
            process.publish(self.now, body, &mut self.rng);
        }
    }
}
