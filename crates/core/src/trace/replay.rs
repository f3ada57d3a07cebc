//! Replay of a trace through a state machine.

use std::time::Instant;

use super::step::instant;
use super::{Action, Event, Header, Source, Step, Summary, VERSION};
use crate::errors::{Result, value_error};
use crate::fleet::Manager;
use crate::gate::Gate;
use crate::invariant::{self, Breach};

/// `Replay` feeds the steps of a trace to a new state machine and compares the actions.
#[derive(Clone, Debug)]
pub struct Replay {
    start: Instant,
    machine: Machine,
    breaches: Vec<Breach>,
    summary: Summary,
}

/// `Machine` is the replayed state machine with its invariant monitor.
#[derive(Clone, Debug)]
enum Machine {
    Fleet(Box<Manager>, invariant::Fleet),
    Gate(Box<Gate>, invariant::Gate),
}

impl Replay {
    /// Creates a replay of a trace that starts at `start`.
    ///
    /// # Errors
    ///
    /// Returns a value error for a trace of another version.
    pub fn new(start: Instant, header: Header) -> Result<Self> {
        if header.version != VERSION {
            let problem = format!("unsupported version {}, expected {VERSION}", header.version);
            return Err(value_error("trace", problem));
        }
        let machine = match header.source {
            Source::Fleet { instance, options } => {
                let manager = Manager::new(instance, options);
                Machine::Fleet(Box::new(manager), invariant::Fleet::default())
            }
            Source::Gate { options, seed } => {
                let gate = Gate::new(options, seed);
                Machine::Gate(Box::new(gate), invariant::Gate::default())
            }
        };
        Ok(Self {
            start,
            machine,
            breaches: Vec::new(),
            summary: Summary::default(),
        })
    }

    /// Replays a step and counts it as mismatched if its actions differ from the recorded ones.
    ///
    /// # Errors
    ///
    /// Returns a value error for an event of the other kind of state machine.
    pub fn step(&mut self, step: Step) -> Result<()> {
        let now = instant(self.start, step.at_ns);
        let breaches = &mut self.breaches;
        let actions: Vec<Action> = match (&mut self.machine, step.event) {
            (Machine::Fleet(manager, monitor), Event::Fleet(event)) => {
                let mut actions = Vec::new();
                manager.step(now, event.clone(), &mut actions);
                monitor.observe(manager.view(), &event, &actions, breaches);
                actions.into_iter().map(Action::Fleet).collect()
            }
            (Machine::Gate(gate, monitor), Event::Gate(event)) => {
                let mut actions = Vec::new();
                gate.step(now, event.clone(), &mut actions);
                monitor.observe(&event, &actions, breaches);
                actions.into_iter().map(Action::Gate).collect()
            }
            (Machine::Gate(gate, monitor), Event::Arrive(request)) => {
                let event = crate::gate::Event::Arrive(request.into_request(self.start));
                let mut actions = Vec::new();
                gate.step(now, event.clone(), &mut actions);
                monitor.observe(&event, &actions, breaches);
                actions.into_iter().map(Action::Gate).collect()
            }
            _ => {
                let problem = format!(
                    "step {}: expected an event of the state machine that the trace starts with",
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

    /// Returns the result of the steps replayed so far.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let checks = match self.machine {
            Machine::Fleet(..) => invariant::Fleet::CHECKS,
            Machine::Gate(..) => invariant::Gate::CHECKS,
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
