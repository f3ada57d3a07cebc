//! Start and end of injected faults.

use persimmongate_core::{gate, ids};

use super::fault::{Fault, Injection};
use super::message::Message;
use super::platform::Completion;
use super::run::{Expiry, PROCESSES_PER_ROLE, World};

impl World {
    /// Starts a fault.
    pub(super) fn inject(&mut self, injection: Injection) {
        let end_step = self.step + injection.duration_steps;
        let index = injection.target % PROCESSES_PER_ROLE;
        let hosts: Vec<ids::Host> = self.platform.workers.keys().cloned().collect();
        let host = &hosts[injection.target % hosts.len()];
        match injection.fault {
            Fault::AppendLost => self.fault_ends.lost_append_answers = end_step,
            Fault::AppendTwice => self.fault_ends.duplicate_appends = end_step,
            Fault::CallLost => self.fault_ends.lost_call_answers = end_step,
            Fault::Cancel => self.disconnect_callers(index),
            Fault::CutEntry => self.entries[index].partitioned_until = end_step,
            Fault::CutFleet => self.fleets[index].partitioned_until = end_step,
            Fault::Flood => self.fault_ends.flood = end_step,
            Fault::FreezeEntry => self.entries[index].frozen_until = end_step,
            Fault::FreezeFleet => self.fleets[index].frozen_until = end_step,
            Fault::KillEntry => self.replace_entry(index),
            Fault::KillFleet => self.replace_fleet(index),
            Fault::LateWrite => self.fault_ends.delayed_writes = end_step,
            Fault::ListStale => self.fault_ends.stale_host_list = end_step,
            Fault::LogDown => self.fault_ends.log_down = end_step,
            Fault::Operators => {
                self.apply_sheet(index);
                self.apply_sheet((index + 1) % PROCESSES_PER_ROLE);
            }
            Fault::Rack => self.fail_domain(host, end_step, false),
            Fault::Zone => self.fail_domain(host, end_step, true),
            Fault::Crossed | Fault::Failing | Fault::Slow => {
                if let Some(worker) = self.platform.workers.get_mut(host) {
                    match injection.fault {
                        Fault::Crossed => worker.crossed_until = end_step,
                        Fault::Failing => worker.failing_until = end_step,
                        _ => worker.slow_until = end_step,
                    }
                }
            }
        }
    }

    /// Closes the connections of all callers of an entry host.
    fn disconnect_callers(&mut self, index: usize) {
        let calls = std::mem::take(&mut self.entries[index].calls);
        for (request, call) in calls {
            let inbox = &mut self.entries[index].inbox;
            inbox.push_back(gate::Event::Cancel(request));
            self.entries[index]
                .disconnected_calls
                .insert(request, call.clone());
            // A caller that disconnected learns no outcome and may retry.
            let retry = self.ledger.record_outcome(&call, None, &mut self.breaches);
            self.schedule_retry(retry);
        }
    }

    /// Fails every host in the rack of a host, or in its availability zone.
    fn fail_domain(&mut self, host: &ids::Host, end_step: u64, whole_zone: bool) {
        let Some(worker) = self.platform.workers.get(host) else {
            return;
        };
        let listing = worker.listing.clone();
        let mut interrupted = Vec::new();
        for (name, worker) in &mut self.platform.workers {
            let is_affected = if whole_zone {
                worker.listing.zone == listing.zone
            } else {
                worker.listing.rack == listing.rack
            };
            if is_affected && !worker.is_down() {
                interrupted.extend(worker.fail().into_iter().map(|job| (name.clone(), job)));
                self.network.send(end_step, Message::Revive(name.clone()));
            }
        }
        for (name, job) in interrupted {
            self.complete_job(&name, &job, &Completion::Broken);
        }
    }

    /// Ends every fault in force.
    pub(super) fn end_faults(&mut self) {
        self.fault_ends = Expiry::default();
        for entry in &mut self.entries {
            (entry.partitioned_until, entry.frozen_until) = (0, 0);
        }
        for fleet in &mut self.fleets {
            (fleet.partitioned_until, fleet.frozen_until) = (0, 0);
        }
    }
}
