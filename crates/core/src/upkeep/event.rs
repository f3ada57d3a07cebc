use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Listing, Wave};
use crate::ids;
use crate::journal::{Drain, Load};
use crate::queue::Config;

/// `Operation` is what the host service does with a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Maintain the host as part of a wave.
    Maintain(ids::WaveNumber),
    /// Move the host to the pool of another service.
    Move(ids::Service),
}

/// `Command` is a call to the host service about one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// Host to operate on.
    pub host: ids::Host,
    /// Operation to carry out.
    pub operation: Operation,
    /// Process that leads the fleet and sends the command.
    pub holder: ids::Instance,
    /// Term of that process; the host service rejects lower ones.
    pub fencing_token: ids::Term,
}

/// `Answer` is the outcome of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The command was carried out, now or earlier.
    Done,
    /// The host is not up, or is already leaving.
    Busy,
    /// The host service has had a command with a higher fencing token.
    Fenced,
    /// The host service limits the rate of calls.
    Limited,
    /// The command was rejected permanently.
    Refused,
    /// The outcome is unknown: the command may still be carried out.
    Unknown,
}

/// `Event` is an input of the planner.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration in force changed.
    Config(Arc<Config>),
    /// The host service listed hosts of the fleet.
    Hosts(Listing),
    /// Operators requested a wave; the time is when this process read the request.
    WaveRequested(Wave, Instant),
    /// The log records these hosts as maintained in a wave.
    MaintainedHosts(ids::WaveNumber, Vec<ids::Host>),
    /// The log records a request to drain a worker, or that the request was withdrawn.
    DrainRecorded(ids::Worker, Option<Drain>),
    /// The log records a worker as drained.
    Drained(ids::Worker),
    /// The leader of a shard reported the loads of its services.
    Loads(Vec<Load>),
    /// The host service answered a command, or the call timed out.
    Answered(Command, Answer),
    /// A read of the log that was sent at this time found no newer term.
    TermConfirmed(Instant),
    /// A scheduled pass of planning is due.
    PlanDue,
    /// Time passed.
    Tick,
}

/// `Action` is an output of the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask the leader of the service's shard to drain a worker.
    Drain(ids::Worker, Drain),
    /// Withdraw the drain of a worker, which may run tasks again.
    Undrain(ids::Worker, Drain),
    /// Send a command to the host service.
    CallHostService(Command),
    /// Record all hosts maintained in a wave so far.
    RecordMaintained(ids::WaveNumber, Vec<ids::Host>),
    /// Report to operators whether a wave is complete.
    ReportWave(ids::WaveNumber, bool),
    /// Send [`Event::PlanDue`] after this time.
    SchedulePlan(Duration),
}
