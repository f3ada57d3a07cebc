//! Planned restarts of hosts for maintenance, and the return of hosts to service.
//!
//! A host is drained, first by the entry hosts, which report their requests in flight, then by the platform,
//! which fences late requests. Then the stop is recorded and the host rebooted, until the platform
//! confirms that its next generation serves.

use std::time::{Duration, Instant};

use super::manager::Subject;
use super::watch::Watch;
use super::{Action, Call, Health, Manager};
use crate::ids;
use crate::record::{Body, Phase};
use crate::state::{Host, Stage};

/// `Context` is a host out of service, with the inputs for the next decision about it.
#[derive(Clone, Copy, Debug)]
struct Context<'a> {
    now: Instant,
    name: &'a ids::Host,
    host: &'a Host,
    watch: &'a Watch,
    /// Term of the claim on the host's pool.
    term: ids::Term,
}

impl Context<'_> {
    fn elapsed(&self) -> Duration {
        self.now.saturating_duration_since(self.watch.started_at)
    }

    fn health(&self) -> Option<Health> {
        self.watch.status.map(|status| status.health)
    }

    /// Returns the health, unless the status is of another generation.
    fn health_of_generation(&self) -> Option<Health> {
        let status = self.watch.status;
        let current = status.filter(|status| status.generation == self.host.generation);
        current.map(|status| status.health)
    }
}

impl Manager {
    /// Advances each host out of service of a held pool by one step.
    pub(crate) fn advance_hosts(
        &mut self,
        now: Instant,
        pool: &ids::Pool,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let out_of_service = self.view.out_of_service_in(pool);
        let out_of_service: Vec<(ids::Host, Host)> = out_of_service
            .map(|(n, host)| (n.clone(), host.clone()))
            .collect();
        for (name, host) in &out_of_service {
            let Some(watch) = self.watches.get(name).cloned() else {
                continue;
            };
            if watch.revision != host.revision || self.is_host_pending(name) {
                continue;
            }
            let context = Context {
                now,
                name,
                host,
                watch: &watch,
                term,
            };
            match &host.stage {
                Stage::Draining { wave, .. } => self.advance_drain(context, wave, actions),
                Stage::Stopping { .. } => self.advance_stop(context, actions),
                Stage::Lost => self.advance_lost(context, actions),
                Stage::Serving => {}
            }
        }
    }

    fn advance_drain(&mut self, context: Context<'_>, wave: &ids::Wave, actions: &mut Vec<Action>) {
        if let Some(generation) = context
            .watch
            .confirmed_serving(self.options.required_answers)
            && generation > context.host.generation
        {
            // The host failed and restarted by itself before it was stopped.
            self.return_host(context, generation, actions);
            return;
        }
        if context.watch.is_canceled {
            self.cancel_drain(context, actions);
            return;
        }
        if self.decide_cancellation(context, wave, actions) {
            // Answers from before this decision do not confirm that the drain was canceled.
            if let Some(watch) = self.watches.get_mut(context.name) {
                watch.is_canceled = true;
                watch.reset_status();
            }
            return;
        }
        let is_idle = self.has_no_requests(context);
        let call = match context.health_of_generation() {
            Some(Health::Serving) if is_idle || self.is_report_overdue(context) => Call::Drain,
            Some(Health::Serving) => return,
            Some(Health::Drained) if is_idle => return self.stop(context, actions),
            Some(Health::Dead) if self.is_reboot_overdue(context) => {
                return self.append_lost(context.name, context.term, actions);
            }
            None | Some(_) => Call::Query,
        };
        self.call_platform(context.now, context.name, call, actions);
    }

    /// Decides whether a drain has to be canceled, and pauses its wave if the drain timed out.
    fn decide_cancellation(
        &mut self,
        context: Context<'_>,
        wave: &ids::Wave,
        actions: &mut Vec<Action>,
    ) -> bool {
        let phase = self.view.waves.get(wave).map(|wave| wave.phase);
        if matches!(phase, None | Some(Phase::Aborted)) {
            return true;
        }
        if context.elapsed() < self.options.drain_timeout {
            return false;
        }
        if phase == Some(Phase::Running) {
            let (name, minutes) = (context.name, self.options.drain_timeout.as_secs() / 60);
            let reason = format!(
                "{name} still ran work after {minutes} minutes of draining and is put back; end or \
                 checkpoint its long jobs, then resume the wave"
            );
            self.pause(wave, reason, context.term, actions);
        }
        true
    }

    fn cancel_drain(&mut self, context: Context<'_>, actions: &mut Vec<Action>) {
        let call = match context.health() {
            Some(Health::Serving)
                if context.watch.answer_count >= self.options.required_answers =>
            {
                return self.return_host(context, context.host.generation, actions);
            }
            Some(Health::Dead) if self.is_reboot_overdue(context) => {
                return self.append_lost(context.name, context.term, actions);
            }
            None | Some(Health::Drained | Health::Draining) => Call::Undrain,
            Some(Health::Dead | Health::Rebooting | Health::Serving) => Call::Query,
        };
        self.call_platform(context.now, context.name, call, actions);
    }

    fn advance_stop(&mut self, context: Context<'_>, actions: &mut Vec<Action>) {
        if let Some(generation) = context
            .watch
            .confirmed_serving(self.options.required_answers)
            && generation > context.host.generation
        {
            self.return_host(context, generation, actions);
            return;
        }
        if context.host.wave().is_some() && self.is_reboot_overdue(context) {
            self.append_lost(context.name, context.term, actions);
            return;
        }
        let call = match context.health_of_generation() {
            Some(Health::Dead | Health::Drained) => Call::Reboot,
            // Another process may have undrained the host on the platform before the stop was recorded.
            Some(Health::Serving) => Call::Drain,
            None | Some(Health::Draining | Health::Rebooting) => Call::Query,
        };
        self.call_platform(context.now, context.name, call, actions);
    }

    fn advance_lost(&mut self, context: Context<'_>, actions: &mut Vec<Action>) {
        if let Some(generation) = context
            .watch
            .confirmed_serving(self.options.required_answers)
        {
            self.return_host(context, generation, actions);
            return;
        }
        // A late call may have drained a host without a decision to do so. The host is stopped rather than
        // undrained, because its next generation rejects every call that is still in flight.
        if context.health_of_generation() == Some(Health::Drained)
            && context.watch.answer_count >= self.options.required_answers
        {
            self.stop(context, actions);
            return;
        }
        self.call_platform(context.now, context.name, Call::Query, actions);
    }

    /// Checks if no entry host has requests in flight on a host, according to their reports.
    ///
    /// After the report timeout an entry host without a report counts as having none. It may be frozen
    /// between its check and its write, but the platform's drain is the fence: the worker rejects such a
    /// late request before it runs it.
    fn has_no_requests(&self, context: Context<'_>) -> bool {
        let is_overdue = self.is_report_overdue(context);
        let in_flight = &context.watch.in_flight;
        let mut entry_hosts = self.view.entry_hosts();
        entry_hosts.all(|entry| in_flight.get(entry).map_or(is_overdue, |count| *count == 0))
    }

    fn is_report_overdue(&self, context: Context<'_>) -> bool {
        context.elapsed() >= self.options.report_timeout
    }

    fn is_reboot_overdue(&self, context: Context<'_>) -> bool {
        context.elapsed() >= self.options.reboot_timeout
    }

    fn return_host(
        &mut self,
        context: Context<'_>,
        generation: ids::Generation,
        actions: &mut Vec<Action>,
    ) {
        let body = Body::Return {
            host: context.name.clone(),
            generation,
            term: context.term,
        };
        self.append(Subject::Host(context.name.clone()), body, actions);
    }

    fn stop(&mut self, context: Context<'_>, actions: &mut Vec<Action>) {
        let body = Body::Stop {
            host: context.name.clone(),
            generation: context.host.generation,
            term: context.term,
        };
        self.append(Subject::Host(context.name.clone()), body, actions);
    }
}
