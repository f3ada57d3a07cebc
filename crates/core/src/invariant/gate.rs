//! Monitor of the gate of one entry host.

use super::{Breach, Check, rules};
use crate::gate::{Action, ClaimResult, Event};
use crate::ids;
use crate::map::Map;
use crate::outcome::Outcome;
use crate::request::{Repeatability, Request};
use crate::state::{Change, Host};

/// `Gate` checks invariants on the events and actions of a gate.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    requests: Map<ids::Request, Tracked>,
    hosts: Map<ids::Host, Status>,
}

/// `Tracked` is a request whose caller has no outcome yet.
#[derive(Clone, Debug)]
struct Tracked {
    repeatability: Repeatability,
    has_claim: bool,
    /// Host that it was sent to, none once the exchange has ended.
    host: Option<ids::Host>,
    may_have_run: bool,
    is_cancelled: bool,
}

/// `Status` is the last known state of a host.
#[derive(Clone, Copy, Debug)]
struct Status {
    revision: ids::Revision,
    is_serving: bool,
}

impl Gate {
    /// Invariants that the monitor checks.
    pub const CHECKS: &[Check] = &[
        Check::Answer,
        Check::NotServing,
        Check::NotRun,
        Check::Once,
        Check::Revision,
    ];

    /// Checks an event with the resulting actions and appends the breaches.
    pub fn observe(&mut self, event: &Event, actions: &[Action], breaches: &mut Vec<Breach>) {
        let mut ended_request = None;
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Cancel(request) => {
                if let Some(tracked) = self.requests.get_mut(request) {
                    tracked.is_cancelled = true;
                }
            }
            Event::Change(Change::Host(name, host)) => self.change_host(name, host, breaches),
            Event::Claimed(request, ClaimResult::Won) => {
                if let Some(tracked) = self.requests.get_mut(request) {
                    tracked.has_claim = true;
                }
            }
            Event::ExchangeEnded {
                request,
                host,
                exchange,
            } => {
                if let Some(tracked) = self.requests.get_mut(request)
                    && tracked.host.as_ref() == Some(host)
                {
                    tracked.host = None;
                    tracked.may_have_run |= rules::may_have_run(exchange);
                    ended_request = Some(*request);
                }
            }
            _ => {}
        }
        for action in actions {
            self.observe_action(action, ended_request, breaches);
        }
        self.drop_cancelled(event);
    }

    /// Returns the number of requests without an outcome.
    #[must_use]
    pub fn unfinished_count(&self) -> usize {
        self.requests.len()
    }

    fn arrive(&mut self, request: &Request) {
        let tracked = Tracked {
            repeatability: request.repeatability,
            has_claim: false,
            host: None,
            may_have_run: false,
            is_cancelled: false,
        };
        self.requests.insert(request.id, tracked);
    }

    fn change_host(&mut self, name: &ids::Host, host: &Host, breaches: &mut Vec<Breach>) {
        let status = Status {
            revision: host.revision,
            is_serving: host.is_serving(),
        };
        if let Some(previous) = self.hosts.insert(name.clone(), status) {
            breaches.extend(rules::check_monotonic(name, previous.revision, host.revision).err());
        }
    }

    fn observe_action(
        &mut self,
        action: &Action,
        ended_request: Option<ids::Request>,
        breaches: &mut Vec<Breach>,
    ) {
        match action {
            Action::Send { request, host, .. } => {
                let serving = self.hosts.get(host).map(|status| status.is_serving);
                breaches.extend(rules::check_serving(host, serving).err());
                let Some(tracked) = self.requests.get_mut(request) else {
                    // The caller already received an outcome.
                    breaches.extend(rules::check_not_run(*request, true).err());
                    return;
                };
                if let Repeatability::Once(_) = tracked.repeatability {
                    let may_have_run = tracked.may_have_run || tracked.host.is_some();
                    breaches
                        .extend(rules::check_once(*request, tracked.has_claim, may_have_run).err());
                }
                tracked.host = Some(host.clone());
            }
            Action::Finish { request, outcome } => {
                let tracked = self.requests.remove(request);
                let result = match outcome {
                    Outcome::Answered(_) => rules::check_answer(*request, ended_request),
                    Outcome::NotRun(_) => {
                        let may_have_run =
                            tracked.is_none_or(|it| it.may_have_run || it.host.is_some());
                        rules::check_not_run(*request, may_have_run)
                    }
                    Outcome::Unknown(_) => Ok(()),
                };
                breaches.extend(result.err());
            }
            _ => {}
        }
    }

    /// Drops a cancelled request at the end of its exchange, because it gets no outcome.
    fn drop_cancelled(&mut self, event: &Event) {
        if let Event::ExchangeEnded { request, .. } = event
            && let Some(tracked) = self.requests.get(request)
            && tracked.is_cancelled
            && tracked.host.is_none()
        {
            self.requests.remove(request);
        }
    }
}
