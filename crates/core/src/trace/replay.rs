//! Replay of a trace through the decision code.

use std::time::Instant;

use super::step::instant;
use super::{Action, Event, Header, Source, Step, Summary, VERSION};
use crate::errors::{Result, value_error};
use crate::fleet::Manager;
use crate::gate::Gate;
use crate::invariant::{self, Breach};

/// `Replay` feeds the steps of a trace to a new decision and compares the actions.
#[derive(Clone, Debug)]
pub struct Replay {
    start: Instant,
    decision: Decision,
    breaches: Vec<Breach>,
    summary: Summary,
}

/// `Decision` is the decision with the watch beside it.
#[derive(Clone, Debug)]
enum Decision {
    Fleet(Box<Manager>, invariant::Fleet),
    Gate(Box<Gate>, invariant::Gate),
}

impl Replay {
    /// Makes a replay whose trace starts at a time.
    ///
    /// # Errors
    ///
    /// Returns an error for a trace of another version.
    pub fn new(start: Instant, header: Header) -> Result<Self> {
        if header.version != VERSION {
            let problem = format!("version {}, this program reads {VERSION}", header.version);
            return Err(value_error("trace", problem));
        }
        let decision = match header.source {
            Source::Fleet { instance, options } => {
                let manager = Manager::new(instance, options);
                Decision::Fleet(Box::new(manager), invariant::Fleet::default())
            }
            Source::Gate { options, seed } => {
                let gate = Gate::new(options, seed);
                Decision::Gate(Box::new(gate), invariant::Gate::default())
            }
        };
        Ok(Self {
            start,
            decision,
            breaches: Vec::new(),
            summary: Summary::default(),
        })
    }

    /// Takes a step and notes whether the actions are the recorded ones.
    ///
    /// # Errors
    ///
    /// Returns an error for an event of the other decision.
    pub fn step(&mut self, step: Step) -> Result<()> {
        let now = instant(self.start, step.at_ns);
        let breaches = &mut self.breaches;
        let actions: Vec<Action> = match (&mut self.decision, step.event) {
            (Decision::Fleet(manager, watch), Event::Fleet(event)) => {
                let mut actions = Vec::new();
                manager.step(now, event.clone(), &mut actions);
                watch.observe(manager.view(), &event, &actions, breaches);
                actions.into_iter().map(Action::Fleet).collect()
            }
            (Decision::Gate(gate, watch), Event::Gate(event)) => {
                let mut actions = Vec::new();
                gate.step(now, event.clone(), &mut actions);
                watch.observe(&event, &actions, breaches);
                actions.into_iter().map(Action::Gate).collect()
            }
            (Decision::Gate(gate, watch), Event::Arrive(request)) => {
                let event = crate::gate::Event::Arrive(request.at(self.start));
                let mut actions = Vec::new();
                gate.step(now, event.clone(), &mut actions);
                watch.observe(&event, &actions, breaches);
                actions.into_iter().map(Action::Gate).collect()
            }
            _ => {
                let problem = format!(
                    "step {}: event of another decision",
                    self.summary.step_count
                );
                return Err(value_error("trace", problem));
            }
        };
        self.summary.step_count += 1;
        self.summary.action_count += actions.len() as u64;
        if actions != step.actions {
            self.summary.mismatched_steps += 1;
        }
        Ok(())
    }

    /// Gets what came of the steps so far.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let checks = match self.decision {
            Decision::Fleet(..) => invariant::Fleet::CHECKS,
            Decision::Gate(..) => invariant::Gate::CHECKS,
        };
        let has_breach = |check: &_| self.breaches.iter().any(|breach| breach.check == *check);
        let (failed_checks, passed_checks) = checks.iter().copied().partition(has_breach);
        Summary {
            passed_checks,
            failed_checks,
            ..self.summary.clone()
        }
    }
}
