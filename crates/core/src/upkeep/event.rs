use std::sync::Arc;
use std::time::Instant;

use super::{Host, Wave};
use crate::ids;
use crate::journal::{Drain, Load};
use crate::queue::Config;

/// `Operation` is what a host is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Go through maintenance for a wave.
    Maintain(ids::WaveNumber),
    /// Go to the pool of another service.
    Move(ids::Service),
}

/// `Command` is a call to the host service about one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// Host that it is about.
    pub host: ids::Host,
    /// What is asked.
    pub operation: Operation,
    /// Process that asks.
    pub holder: ids::Instance,
    /// Term of that process.
    pub fencing_token: ids::Term,
}

/// `Answer` is what came of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It was carried out, now or before.
    Done,
    /// The host is not up, or is leaving.
    Busy,
    /// A newer holder was seen.
    Fenced,
    /// The host service has had enough calls.
    Limited,
    /// It was refused for good.
    Refused,
    /// Nothing is known: it may be carried out later.
    Unknown,
}

/// `Event` is what the planner learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration in force.
    Config(Arc<Config>),
    /// The hosts of the fleet.
    Hosts(Vec<Host>),
    /// A wave that operators ask for, with the time at which this process learned of it.
    WaveRequested(Wave, Instant),
    /// Hosts of a wave that were maintained, as the log says.
    MaintainedHosts(ids::WaveNumber, Vec<ids::Host>),
    /// A worker that is to be freed, or no longer, as the log says.
    DrainRecorded(ids::Worker, Option<Drain>),
    /// A worker that is free, as the log says.
    Drained(ids::Worker),
    /// Loads of the services of a shard.
    Loads(Vec<Load>),
    /// The host service answered, or didn't.
    Answered(Command, Answer),
    /// The log was reached at a time, and had no newer term.
    TermConfirmed(Instant),
    /// Some time has passed.
    Tick,
}

/// `Action` is what the planner asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask the leader of a service's shard to free a worker of tasks.
    Drain(ids::Worker, Drain),
    /// Give a worker back to the leader of its shard.
    Undrain(ids::Worker, Drain),
    /// Call the host service.
    CallHostService(Command),
    /// Record the hosts of a wave that were maintained.
    RecordMaintained(ids::WaveNumber, Vec<ids::Host>),
    /// Tell operators how far a wave is.
    ReportWave(ids::WaveNumber, bool),
}
