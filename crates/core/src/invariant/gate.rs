//! Watch beside the gate of one entry host.

use super::{Breach, Check, rules};
use crate::gate::{Action, Claim, Event};
use crate::ids;
use crate::map::Map;
use crate::outcome::Outcome;
use crate::request::{Kind, Request};
use crate::state::{Change, Host};

/// `Gate` follows the events and actions of a gate.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    flights: Map<ids::Request, Flight>,
    hosts: Map<ids::Host, Standing>,
}

/// `Flight` is a request whose caller was not told yet.
#[derive(Clone, Debug)]
struct Flight {
    kind: Kind,
    won: bool,
    /// Host that it was sent to, until the exchange ends.
    host: Option<ids::Host>,
    may_have_run: bool,
    cancelled: bool,
}

/// `Standing` is what the fold last said of a host.
#[derive(Clone, Copy, Debug)]
struct Standing {
    revision: ids::Revision,
    serving: bool,
}

impl Gate {
    /// Checks that the watch makes.
    pub const CHECKS: &[Check] = &[
        Check::Answer,
        Check::Leaving,
        Check::NotRun,
        Check::Once,
        Check::Revision,
    ];

    /// Takes an event with the actions that followed it and appends what did not hold.
    pub fn observe(&mut self, event: &Event, actions: &[Action], breaches: &mut Vec<Breach>) {
        let mut ended = None;
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Cancel(request) => {
                if let Some(flight) = self.flights.get_mut(request) {
                    flight.cancelled = true;
                }
            }
            Event::Change(Change::Host(name, host)) => self.change_host(name, host, breaches),
            Event::Claimed(request, Claim::Won) => {
                if let Some(flight) = self.flights.get_mut(request) {
                    flight.won = true;
                }
            }
            Event::Done {
                request,
                host,
                exchange,
            } => {
                if let Some(flight) = self.flights.get_mut(request)
                    && flight.host.as_ref() == Some(host)
                {
                    flight.host = None;
                    flight.may_have_run |= rules::may_have_run(exchange);
                    ended = Some(*request);
                }
            }
            _ => {}
        }
        for action in actions {
            self.observe_action(action, ended, breaches);
        }
        self.forget(event);
    }

    /// Gets the number of requests followed.
    #[must_use]
    pub fn unfinished_count(&self) -> usize {
        self.flights.len()
    }

    fn arrive(&mut self, request: &Request) {
        let flight = Flight {
            kind: request.kind,
            won: false,
            host: None,
            may_have_run: false,
            cancelled: false,
        };
        self.flights.insert(request.id, flight);
    }

    fn change_host(&mut self, name: &ids::Host, host: &Host, breaches: &mut Vec<Breach>) {
        let standing = Standing {
            revision: host.revision,
            serving: host.is_serving(),
        };
        if let Some(known) = self.hosts.insert(name.clone(), standing) {
            breaches.extend(rules::check_revision(name, known.revision, host.revision).err());
        }
    }

    fn observe_action(
        &mut self,
        action: &Action,
        ended: Option<ids::Request>,
        breaches: &mut Vec<Breach>,
    ) {
        match action {
            Action::Send { request, host, .. } => {
                let serving = self.hosts.get(host).map(|standing| standing.serving);
                breaches.extend(rules::check_leaving(host, serving).err());
                let Some(flight) = self.flights.get_mut(request) else {
                    // The caller was told an outcome before.
                    breaches.extend(rules::check_not_run(*request, true).err());
                    return;
                };
                if let Kind::Once(_) = flight.kind {
                    let ran = flight.may_have_run || flight.host.is_some();
                    breaches.extend(rules::check_once(*request, flight.won, ran).err());
                }
                flight.host = Some(host.clone());
            }
            Action::Finish { request, outcome } => {
                let flight = self.flights.remove(request);
                let held = match outcome {
                    Outcome::Answered(_) => rules::check_answer(*request, ended),
                    Outcome::NotRun(_) => {
                        let sent = flight.is_none_or(|f| f.may_have_run || f.host.is_some());
                        rules::check_not_run(*request, sent)
                    }
                    Outcome::Unknown(_) => Ok(()),
                };
                breaches.extend(held.err());
            }
            _ => {}
        }
    }

    /// Forgets a cancelled request at the end of its exchange, as nobody is told.
    fn forget(&mut self, event: &Event) {
        if let Event::Done { request, .. } = event
            && let Some(flight) = self.flights.get(request)
            && flight.cancelled
            && flight.host.is_none()
        {
            self.flights.remove(request);
        }
    }
}
