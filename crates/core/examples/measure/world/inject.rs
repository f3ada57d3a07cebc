//! Begin and end of faults.

use persimmongate_core::{gate, ids};

use super::fault::{Fault, Injection};
use super::message::Message;
use super::platform::End;
use super::run::{PROCESSES, Until, World};

impl World {
    pub(super) fn inject(&mut self, injection: Injection) {
        let until = self.step + injection.steps;
        let index = injection.target % PROCESSES;
        let hosts: Vec<ids::Host> = self.platform.workers.keys().cloned().collect();
        let host = &hosts[injection.target % hosts.len()];
        match injection.fault {
            Fault::AppendLost => self.until.lost_appends = until,
            Fault::AppendTwice => self.until.double_appends = until,
            Fault::CallLost => self.until.lost_calls = until,
            Fault::Cancel => self.cancel(index),
            Fault::CutEntry => self.entries[index].cut_until = until,
            Fault::CutFleet => self.fleets[index].cut_until = until,
            Fault::Flood => self.until.flood = until,
            Fault::FreezeEntry => self.entries[index].frozen_until = until,
            Fault::FreezeFleet => self.fleets[index].frozen_until = until,
            Fault::KillEntry => self.kill_entry(index),
            Fault::KillFleet => self.kill_fleet(index),
            Fault::LateWrite => self.until.late_writes = until,
            Fault::ListStale => self.until.stale_list = until,
            Fault::LogDown => self.until.log_down = until,
            Fault::Operators => {
                self.apply(index);
                self.apply((index + 1) % PROCESSES);
            }
            Fault::Rack => self.fail(host, until, false),
            Fault::Zone => self.fail(host, until, true),
            Fault::Crossed | Fault::Failing | Fault::Slow => {
                if let Some(worker) = self.platform.workers.get_mut(host) {
                    match injection.fault {
                        Fault::Crossed => worker.crossed_until = until,
                        Fault::Failing => worker.failing_until = until,
                        _ => worker.slow_until = until,
                    }
                }
            }
        }
    }

    fn cancel(&mut self, index: usize) {
        let calls = std::mem::take(&mut self.entries[index].calls);
        for (request, call) in calls {
            let inbox = &mut self.entries[index].inbox;
            inbox.push_back(gate::Event::Cancel(request));
            self.entries[index].gone.insert(request, call.clone());
            // A caller that went away is told nothing; it may come again.
            let next = self.ledger.told(&call, None, &mut self.breaches);
            self.retry(next);
        }
    }

    /// Fails the hosts that share a rack or zone with a host.
    fn fail(&mut self, host: &ids::Host, until: u64, zone: bool) {
        let Some(worker) = self.platform.workers.get(host) else {
            return;
        };
        let fact = worker.fact.clone();
        let mut cut = Vec::new();
        for (name, worker) in &mut self.platform.workers {
            let same = if zone {
                worker.fact.zone == fact.zone
            } else {
                worker.fact.rack == fact.rack
            };
            if same && !worker.is_dead() {
                cut.extend(worker.fail().into_iter().map(|job| (name.clone(), job)));
                self.network.send(until, Message::Revive(name.clone()));
            }
        }
        for (name, job) in cut {
            self.end_job(&name, &job, &End::Broken);
        }
    }

    /// Ends every fault.
    pub(super) fn heal(&mut self) {
        self.until = Until::default();
        for entry in &mut self.entries {
            (entry.cut_until, entry.frozen_until) = (0, 0);
        }
        for fleet in &mut self.fleets {
            (fleet.cut_until, fleet.frozen_until) = (0, 0);
        }
    }
}
