//! Records of the log.
//!
//! Everything that must be agreed or kept is a record. The fold in [`crate::state`] decides whether
//! a record counts; appending one proves nothing.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::sheet::Intent;

/// `Record` is one entry of the log with its author.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Process that appended the record.
    pub author: ids::Instance,
    /// Run of that process.
    pub incarnation: ids::Incarnation,
    /// Position among the author's records; a repeated append carries the same one.
    pub sequence: ids::Sequence,
    /// What the record says.
    pub body: Body,
}

/// `Body` is what a record says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Changes rows of the day's intent.
    Amend {
        /// Revision of the intent that the operator saw.
        base: ids::Revision,
        /// Operator who applied the sheet.
        operator: ids::Operator,
        /// Rows that the sheet no longer has.
        removed: Vec<Intent>,
        /// Rows that the sheet did not have.
        added: Vec<Intent>,
    },
    /// Claims the right to decide for a pool.
    Claim {
        /// Pool claimed.
        pool: ids::Pool,
        /// Term of the claim, one above the current.
        term: ids::Term,
    },
    /// Steers a wave.
    Command {
        /// Wave steered.
        wave: ids::Wave,
        /// What the operator asked for.
        command: Command,
        /// Operator who asked.
        operator: ids::Operator,
    },
    /// Takes a host out of service before a planned stop.
    Drain {
        /// Host to drain.
        host: ids::Host,
        /// Generation the decision was made for.
        generation: ids::Generation,
        /// Wave the drain belongs to.
        wave: ids::Wave,
        /// Term of the claim on the host's pool.
        term: ids::Term,
    },
    /// Adds hosts of the platform to the spare pool, or corrects their facts.
    Enroll {
        /// Facts as the platform lists them.
        hosts: Vec<Fact>,
    },
    /// Removes a process that stopped renewing.
    Expire {
        /// Process to remove.
        instance: ids::Instance,
        /// Run of that process.
        incarnation: ids::Incarnation,
    },
    /// Adds the author to the members.
    Join(Member),
    /// Claims idempotency keys for the author.
    Keys {
        /// Keys in the order of arrival.
        keys: Vec<ids::IdempotencyKey>,
    },
    /// Removes the author from the members.
    Leave,
    /// Reports a host that failed without a plan.
    Lost {
        /// Host that failed.
        host: ids::Host,
        /// Generation that failed.
        generation: ids::Generation,
        /// Revision of the host the decision was made against.
        revision: ids::Revision,
        /// Term of the claim on the host's pool.
        term: ids::Term,
    },
    /// Moves a host between pools.
    Move {
        /// Host to move.
        host: ids::Host,
        /// Pool the host is in.
        from: ids::Pool,
        /// Pool the host goes to.
        to: ids::Pool,
        /// Revision of the host the decision was made against.
        revision: ids::Revision,
        /// Term of the author's claim on either pool.
        term: ids::Term,
    },
    /// Reports the end of claimed keys.
    Outcomes {
        /// Keys with their end.
        ends: Vec<(ids::IdempotencyKey, End)>,
    },
    /// Changes the phase of a wave.
    Progress {
        /// Wave that changes.
        wave: ids::Wave,
        /// New phase.
        phase: Phase,
        /// Reason in words for the operator.
        reason: String,
        /// Term of the claim on the wave's pool.
        term: ids::Term,
    },
    /// Shows that the author is alive.
    Renew,
    /// Puts a host back into service.
    Return {
        /// Host that is back.
        host: ids::Host,
        /// Generation that is back.
        generation: ids::Generation,
        /// Term of the claim on the host's pool.
        term: ids::Term,
    },
    /// Stops a host for a start with a new generation; from here on the old one never returns.
    Stop {
        /// Host to stop.
        host: ids::Host,
        /// Generation to stop.
        generation: ids::Generation,
        /// Term of the claim on the host's pool.
        term: ids::Term,
    },
    /// Replaces the day's intent.
    Sheet {
        /// Revision of the intent that the operator saw.
        base: ids::Revision,
        /// Operator who applied it.
        operator: ids::Operator,
        /// Rows of the sheet.
        intents: Vec<Intent>,
    },
    /// Tells that a snapshot of the fold is complete.
    Snapshot {
        /// Offset after the last record that the snapshot covers.
        next: ids::Offset,
    },
}

/// `Fact` is what the platform lists of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fact {
    /// Name of the host.
    pub host: ids::Host,
    /// Address of the worker on it.
    pub address: SocketAddr,
    /// Availability zone it stands in.
    pub zone: ids::Zone,
    /// Rack it stands in.
    pub rack: ids::Rack,
    /// Number of its current start.
    pub generation: ids::Generation,
    /// Requests that the worker runs at once.
    pub slots: u16,
    /// Connections that the worker accepts.
    pub connections: u16,
}

/// `Role` is what a member does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Decides for pools.
    Fleet,
}

/// `Member` is a process as it announces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// What the process does.
    pub role: Role,
    /// Address of its peer links.
    pub peer: SocketAddr,
    /// Address of its HTTP interface.
    pub http: SocketAddr,
    /// Availability zone it runs in.
    pub zone: ids::Zone,
}

/// `Command` is what an operator asks of a wave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Ends the wave; hosts being drained are returned.
    Abort,
    /// Starts no further drain.
    Pause,
    /// Continues after a pause.
    Resume,
}

/// `Phase` is where a wave stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Phase {
    /// Ended before all hosts were maintained.
    Aborted,
    /// Every host of the pool was maintained.
    Done,
    /// Starts no further drain.
    Paused,
    /// Drains hosts in batches.
    Running,
}

/// `End` is how a claimed key ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// Ran and was answered.
    Answered,
    /// Did not run; the key may be claimed again.
    NotRun,
    /// May have run.
    Unknown,
}
