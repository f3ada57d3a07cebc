//! Replay of a trace through the decision code.

use std::time::Instant;

use super::step::instant;
use super::{Action, Event, Header, Outcome, Source, Step, VERSION};
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
    outcome: Outcome,
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
            outcome: Outcome::default(),
        })
    }

    /// Takes a step and notes whether the actions are the recorded ones.
    ///
    /// # Errors
    ///
    /// Returns an error for an event of the other decision.
    pub fn step(&mut self, step: Step) -> Result<()> {
        let now = instant(self.start, step.at);
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
                let problem = format!("step {}: event of another decision", self.outcome.steps);
                return Err(value_error("trace", problem));
            }
        };
        self.outcome.steps += 1;
        self.outcome.actions += actions.len() as u64;
        if actions != step.actions {
            self.outcome.differing += 1;
        }
        Ok(())
    }

    /// Gets what came of the steps so far.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        let checks = match self.decision {
            Decision::Fleet(..) => invariant::Fleet::CHECKS,
            Decision::Gate(..) => invariant::Gate::CHECKS,
        };
        let is_broken = |check: &_| self.breaches.iter().any(|breach| breach.check == *check);
        let (broken, held) = checks.iter().copied().partition(is_broken);
        Outcome {
            held,
            broken,
            ..self.outcome.clone()
        }
    }
}
