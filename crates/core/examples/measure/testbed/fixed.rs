//! The baseline: batches of a fixed size that are stopped after a fixed delay.

use std::time::{Duration, Instant};

use persimmongate_core::fleet::Call;
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::{Body, Phase};
use persimmongate_core::state::Stage;

use super::{World, wave_name};

/// Time that a drain record may take to be read back.
const READ_BACK: Duration = Duration::from_secs(1);

/// `Fixed` is the hosts of each batch under way, with the time of their drain.
#[derive(Debug, Default)]
pub(super) struct Fixed {
    out: Map<ids::Host, Instant>,
    batches: Map<ids::Pool, Instant>,
}

impl World {
    /// Brings the batch of each wave one step further.
    pub(super) fn step_fixed(&mut self, delay: Duration) {
        self.renew();
        for (pool, batch) in self.plan.waves.clone() {
            self.stop_batch(pool, delay);
            let out = self.log.state.hosts.values();
            let out = out
                .filter(|host| &*host.pool == pool && !host.is_serving())
                .count();
            let waits = self.fixed.batches.get(pool);
            let waits = waits.is_some_and(|at| self.now < *at + READ_BACK);
            if out == 0 && !waits {
                self.start_batch(pool, batch);
            }
        }
    }

    fn renew(&mut self) {
        for process in &mut self.processes {
            process
                .follower
                .keep(self.now, Some(&self.log), &mut self.random);
            while process.follower.read(Some(&self.log)).is_some() {}
            while process.follower.verdict().is_some() {}
        }
    }

    fn start_batch(&mut self, pool: &'static str, batch: u32) {
        let wave = wave_name(pool);
        let Some(entry) = self.log.state.waves.get(&wave) else {
            return;
        };
        if entry.phase != Phase::Running {
            return;
        }
        let hosts = self.log.state.hosts.iter();
        let due = hosts
            .filter(|(_, host)| &*host.pool == pool && host.maintained_offset < entry.sheet_offset);
        let mut due: Vec<(ids::Host, u64)> = due.map(|(n, h)| (n.clone(), h.generation)).collect();
        due.sort();
        due.truncate(usize::try_from(batch).unwrap_or(0));
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
        self.fixed.batches.insert(pool.into(), self.now);
        for (host, generation) in due {
            self.fixed.out.insert(host.clone(), self.now);
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
        for (host, since) in self.fixed.out.clone() {
            let entry = &self.log.state.hosts[&host];
            if &*entry.pool != pool || !matches!(entry.stage, Stage::Draining { .. }) {
                continue;
            }
            let generation = entry.generation;
            let machine = &self.platform.machines[&host];
            if machine.fact.generation > generation && self.platform.is_serving(&host) {
                self.fixed.out.remove(&host);
                let generation = generation + 1;
                let body = Body::Return {
                    host,
                    generation,
                    term,
                };
                self.append_as_holder(pool, body);
            } else if self.now >= since + delay {
                let call = Call::Reboot;
                self.platform
                    .call(self.now, &host, generation, call, &mut self.random);
            }
        }
    }

    pub(super) fn append_as_holder(&mut self, pool: &str, body: Body) {
        let holder = self.log.state.pools[pool].holder.clone();
        let mut processes = self.processes.iter_mut();
        let process = processes.find(|process| Some(&process.follower.name) == holder.as_ref());
        if let Some(process) = process {
            process.publish(self.now, body, &mut self.random);
        }
    }
}
