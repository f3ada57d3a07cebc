//! What is known of a host that the manager follows, and the calls about it.

use std::time::Instant;

use super::{Action, Call, Health, Manager, Status};
use crate::ids;
use crate::map::Map;
use crate::state::{Host, Stage};

/// `Watch` is what is known of a host at one revision; another revision starts anew, so that an
/// answer or a report about an earlier state decides nothing.
#[derive(Clone, Debug)]
pub(crate) struct Watch {
    /// Revision of the host that the watch is about.
    pub(crate) revision: ids::Revision,
    /// Time at which this process learnt of the revision, or began to doubt the host.
    pub(crate) started: Instant,
    /// Requests in flight as each entry host last reported them.
    pub(crate) reports: Map<ids::Instance, u32>,
    /// What the platform last told.
    pub(crate) status: Option<Status>,
    /// Answers with the same status in a row.
    pub(crate) repeats: u32,
    /// Whether the drain is to be taken back.
    pub(crate) cancelled: bool,
    /// Token and time of the latest call.
    called: Option<(u64, Instant)>,
}

impl Watch {
    pub(crate) fn new(revision: ids::Revision, now: Instant) -> Self {
        Self {
            revision,
            started: now,
            reports: Map::default(),
            status: None,
            repeats: 0,
            cancelled: false,
            called: None,
        }
    }

    /// Gets the generation that the platform confirmed to serve in enough answers.
    pub(crate) fn serving(&self, checks: u32) -> Option<ids::Generation> {
        let status = self.status?;
        (status.health == Health::Serving && self.repeats >= checks).then_some(status.generation)
    }

    /// Forgets the answers so far; an answer to a call that is under way does not count.
    pub(crate) fn forget(&mut self) {
        self.status = None;
        self.repeats = 0;
        self.called = None;
    }

    fn answer(&mut self, status: Option<Status>) {
        if status.is_some() && status == self.status {
            self.repeats += 1;
        } else if status.is_some() {
            self.status = status;
            self.repeats = 1;
        }
    }
}

impl Manager {
    /// Follows a host out of service, and stops to follow one in service.
    pub(crate) fn watch(&mut self, now: Instant, name: &ids::Host, host: &Host) {
        let known = self.watches.get(name);
        if known.is_some_and(|watch| watch.revision == host.revision) {
            return;
        }
        if host.is_serving() {
            self.watches.remove(name);
        } else {
            let watch = Watch::new(host.revision, now);
            self.watches.insert(name.clone(), watch);
        }
    }

    /// Takes a report of an entry host.
    pub(crate) fn report(
        &mut self,
        instance: ids::Instance,
        name: &ids::Host,
        since: ids::Offset,
        in_flight: u32,
    ) {
        let draining = self.view.hosts.get(name).is_some_and(
            |host| matches!(host.stage, Stage::Draining { since: at, .. } if at == since),
        );
        if draining && let Some(watch) = self.watches.get_mut(name) {
            watch.reports.insert(instance, in_flight);
        }
    }

    /// Calls the platform about a host unless the latest call was made just now or waits for its
    /// answer.
    pub(crate) fn call(
        &mut self,
        now: Instant,
        name: &ids::Host,
        call: Call,
        actions: &mut Vec<Action>,
    ) {
        let Some(host) = self.view.hosts.get(name) else {
            return;
        };
        let (revision, generation) = (host.revision, host.generation);
        let watch = self
            .watches
            .entry(name.clone())
            .or_insert_with(|| Watch::new(revision, now));
        if let Some((token, at)) = watch.called {
            // Another call would make the answer of this one worthless, however slow it is.
            let waits = self.calls.contains_key(&token);
            let wait = if waits {
                self.options.call_timeout
            } else {
                self.options.poll_interval
            };
            if now.saturating_duration_since(at) < wait {
                return;
            }
        }
        self.tokens += 1;
        if let Some((token, _)) = watch.called.replace((self.tokens, now)) {
            self.calls.remove(&token);
        }
        self.calls.insert(self.tokens, name.clone());
        actions.push(Action::Call {
            token: self.tokens,
            host: name.clone(),
            generation,
            call,
        });
    }

    /// Takes the answer to a call; only the latest call about the current revision counts.
    pub(crate) fn answer(&mut self, token: u64, status: Option<Status>) {
        let Some(name) = self.calls.remove(&token) else {
            return;
        };
        let (Some(watch), Some(host)) = (self.watches.get_mut(&name), self.view.hosts.get(&name))
        else {
            return;
        };
        let latest = watch.called.is_some_and(|(called, _)| called == token);
        let known = status.is_none_or(|status| status.generation >= host.generation);
        if latest && known && watch.revision == host.revision {
            watch.answer(status);
        }
    }
}
