//! Planned stops: reports of every entry host, the platform's drain as the fence, a recorded stop,
//! and the return of the next generation.

use std::time::{Duration, Instant};

use super::manager::Subject;
use super::watch::Watch;
use super::{Action, Call, Health, Manager};
use crate::ids;
use crate::record::{Body, Phase};
use crate::state::{Host, Stage};

/// `Case` is one host out of service with what decides about it.
#[derive(Clone, Copy, Debug)]
struct Case<'a> {
    now: Instant,
    name: &'a ids::Host,
    host: &'a Host,
    watch: &'a Watch,
    /// Term of the claim on the host's pool.
    term: ids::Term,
}

impl Case<'_> {
    fn elapsed(&self) -> Duration {
        self.now.saturating_duration_since(self.watch.started)
    }

    fn health(&self) -> Option<Health> {
        self.watch.status.map(|status| status.health)
    }

    /// Gets the status unless it is of a newer generation.
    fn same(&self) -> Option<Health> {
        let status = self.watch.status;
        let same = status.filter(|status| status.generation == self.host.generation);
        same.map(|status| status.health)
    }
}

impl Manager {
    /// Brings each host out of service of a held pool one step further.
    pub(crate) fn advance_hosts(
        &mut self,
        now: Instant,
        pool: &ids::Pool,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let out = self.view.out_of_service_in(pool);
        let out: Vec<(ids::Host, Host)> = out.map(|(n, host)| (n.clone(), host.clone())).collect();
        for (name, host) in &out {
            let Some(watch) = self.watches.get(name).cloned() else {
                continue;
            };
            if watch.revision != host.revision || self.is_host_pending(name) {
                continue;
            }
            let case = Case {
                now,
                name,
                host,
                watch: &watch,
                term,
            };
            match &host.stage {
                Stage::Draining { wave, .. } => self.advance_drain(case, wave, actions),
                Stage::Stopping { .. } => self.advance_stop(case, actions),
                Stage::Lost => self.advance_lost(case, actions),
                Stage::Serving => {}
            }
        }
    }

    fn advance_drain(&mut self, case: Case<'_>, wave: &ids::Wave, actions: &mut Vec<Action>) {
        if let Some(generation) = case.watch.serving(self.options.required_answers)
            && generation > case.host.generation
        {
            // It failed and started again by itself before it was stopped.
            self.put_back(case, generation, actions);
            return;
        }
        if case.watch.cancelled {
            self.cancel_drain(case, actions);
            return;
        }
        if self.is_to_cancel(case, wave, actions) {
            // An answer from before this decision does not tell that the drain was taken back.
            if let Some(watch) = self.watches.get_mut(case.name) {
                watch.cancelled = true;
                watch.forget();
            }
            return;
        }
        let quiet = self.is_quiet(case);
        let call = match case.same() {
            Some(Health::Serving) if quiet || self.is_late(case) => Call::Drain,
            Some(Health::Serving) => return,
            Some(Health::Drained) if quiet => return self.stop(case, actions),
            Some(Health::Dead) if self.is_overdue(case) => {
                return self.lose(case.name, case.term, actions);
            }
            None | Some(_) => Call::Query,
        };
        self.call(case.now, case.name, call, actions);
    }

    /// Gets whether a drain has to be taken back; a drain that takes too long pauses its wave.
    fn is_to_cancel(
        &mut self,
        case: Case<'_>,
        wave: &ids::Wave,
        actions: &mut Vec<Action>,
    ) -> bool {
        let phase = self.view.waves.get(wave).map(|wave| wave.phase);
        if matches!(phase, None | Some(Phase::Aborted)) {
            return true;
        }
        if case.elapsed() < self.options.drain_timeout {
            return false;
        }
        if phase == Some(Phase::Running) {
            let (name, minutes) = (case.name, self.options.drain_timeout.as_secs() / 60);
            let reason = format!(
                "{name} still ran work after {minutes} minutes of draining and is put back; end or \
                 checkpoint its long jobs, then resume the wave"
            );
            self.pause(wave, reason, case.term, actions);
        }
        true
    }

    fn cancel_drain(&mut self, case: Case<'_>, actions: &mut Vec<Action>) {
        let call = match case.health() {
            Some(Health::Serving) if case.watch.repeats >= self.options.required_answers => {
                return self.put_back(case, case.host.generation, actions);
            }
            Some(Health::Dead) if self.is_overdue(case) => {
                return self.lose(case.name, case.term, actions);
            }
            None | Some(Health::Drained | Health::Draining) => Call::Undrain,
            Some(Health::Dead | Health::Rebooting | Health::Serving) => Call::Query,
        };
        self.call(case.now, case.name, call, actions);
    }

    fn advance_stop(&mut self, case: Case<'_>, actions: &mut Vec<Action>) {
        if let Some(generation) = case.watch.serving(self.options.required_answers)
            && generation > case.host.generation
        {
            self.put_back(case, generation, actions);
            return;
        }
        if case.host.wave().is_some() && self.is_overdue(case) {
            self.lose(case.name, case.term, actions);
            return;
        }
        let call = match case.same() {
            Some(Health::Dead | Health::Drained) => Call::Reboot,
            // Another process may have taken the platform's drain back before the stop.
            Some(Health::Serving) => Call::Drain,
            None | Some(Health::Draining | Health::Rebooting) => Call::Query,
        };
        self.call(case.now, case.name, call, actions);
    }

    fn advance_lost(&mut self, case: Case<'_>, actions: &mut Vec<Action>) {
        if let Some(generation) = case.watch.serving(self.options.required_answers) {
            self.put_back(case, generation, actions);
            return;
        }
        // A late call may have drained a host that nobody wants to drain. The next generation
        // refuses every call that is still under way, so the host is stopped, not put back.
        if case.same() == Some(Health::Drained)
            && case.watch.repeats >= self.options.required_answers
        {
            self.stop(case, actions);
            return;
        }
        self.call(case.now, case.name, Call::Query, actions);
    }

    /// Gets whether no entry host has requests in flight on a host, as far as they report.
    ///
    /// An entry host that is silent may be frozen between its check and its write. The worker
    /// refuses such a late request before running it, so the platform's drain is the fence.
    fn is_quiet(&self, case: Case<'_>) -> bool {
        let late = self.is_late(case);
        let reports = &case.watch.reports;
        let mut entries = self.view.entry_hosts();
        entries.all(|entry| reports.get(entry).map_or(late, |count| *count == 0))
    }

    fn is_late(&self, case: Case<'_>) -> bool {
        case.elapsed() >= self.options.report_timeout
    }

    fn is_overdue(&self, case: Case<'_>) -> bool {
        case.elapsed() >= self.options.reboot_timeout
    }

    fn put_back(&mut self, case: Case<'_>, generation: ids::Generation, actions: &mut Vec<Action>) {
        let body = Body::Return {
            host: case.name.clone(),
            generation,
            term: case.term,
        };
        self.append(Subject::Host(case.name.clone()), body, actions);
    }

    fn stop(&mut self, case: Case<'_>, actions: &mut Vec<Action>) {
        let body = Body::Stop {
            host: case.name.clone(),
            generation: case.host.generation,
            term: case.term,
        };
        self.append(Subject::Host(case.name.clone()), body, actions);
    }
}
