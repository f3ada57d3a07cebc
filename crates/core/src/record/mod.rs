//! Records of the log.
//!
//! Everything that processes must agree on or that must be durable is a record. An appended record
//! takes effect only if it is accepted when [`crate::state`] replays it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::errors::{Result, value_error};
use crate::ids;
use crate::sheet::Intent;

/// Largest generation that is believed. Generations count the starts of a host, so there is room for the next.
pub(crate) const MAX_GENERATION: ids::Generation = 1 << 53;

/// `Record` is one entry of the log with its author.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Process that appended the record.
    pub author: ids::Instance,
    /// Incarnation of that process.
    pub incarnation: ids::Incarnation,
    /// Position among the author's records; a repeated append carries the same number.
    pub sequence: ids::Sequence,
    /// Content of the record.
    pub body: Body,
}

/// `Body` is the content of a record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Changes rows of the sheet.
    Amend {
        /// Revision of the sheet that the change is based on.
        #[serde(rename = "base")]
        base_revision: ids::Revision,
        /// Operator who applied the change.
        operator: ids::Operator,
        /// Rows to remove.
        removed: Vec<Intent>,
        /// Rows to add.
        added: Vec<Intent>,
    },
    /// Claims the right to manage a pool.
    Claim {
        /// Pool claimed.
        pool: ids::Pool,
        /// Term of the claim, one above the current term.
        term: ids::Term,
    },
    /// Aborts, pauses or resumes a maintenance wave.
    Command {
        /// Wave that the command applies to.
        wave: ids::Wave,
        /// Command to apply.
        command: Command,
        /// Operator who gave the command.
        operator: ids::Operator,
    },
    /// Starts to drain a host before a planned stop.
    Drain {
        /// Host to drain.
        host: ids::Host,
        /// Generation of the host that the decision applies to.
        generation: ids::Generation,
        /// Wave that the drain belongs to.
        wave: ids::Wave,
        /// Term of the claim on the host's pool.
        term: ids::Term,
    },
    /// Adds hosts that the platform lists to the spare pool; hosts already enrolled stay unchanged.
    Enroll {
        /// Hosts as the platform lists them.
        hosts: Vec<Listing>,
    },
    /// Removes a process that no longer renews its membership.
    Expire {
        /// Process to remove.
        instance: ids::Instance,
        /// Incarnation of that process.
        incarnation: ids::Incarnation,
    },
    /// Adds the author to the members.
    Join(Announcement),
    /// Claims idempotency keys for the author.
    Keys {
        /// Keys in the order of arrival.
        keys: Vec<ids::IdempotencyKey>,
    },
    /// Removes the author from the members.
    Leave,
    /// Reports a host that failed outside planned maintenance.
    Lost {
        /// Host that failed.
        host: ids::Host,
        /// Generation that failed.
        generation: ids::Generation,
        /// Revision of the host that the decision was based on.
        revision: ids::Revision,
        /// Term of the claim on the host's pool.
        term: ids::Term,
    },
    /// Moves a host between pools.
    Move {
        /// Host to move.
        host: ids::Host,
        /// Current pool of the host.
        from: ids::Pool,
        /// New pool of the host.
        to: ids::Pool,
        /// Revision of the host that the decision was based on.
        revision: ids::Revision,
        /// Term of the author's claim on either pool.
        term: ids::Term,
    },
    /// Reports how the requests of claimed keys ended.
    Outcomes {
        /// Keys, each with the outcome of its request.
        #[serde(rename = "ends")]
        outcomes: Vec<(ids::IdempotencyKey, Completion)>,
    },
    /// Changes the phase of a wave.
    Progress {
        /// Wave to change.
        wave: ids::Wave,
        /// New phase.
        phase: Phase,
        /// Reason, as text for the operator.
        reason: String,
        /// Term of the claim on the wave's pool.
        term: ids::Term,
    },
    /// Renews the membership of the author.
    Renew,
    /// Puts a host back into service.
    Return {
        /// Host to return.
        host: ids::Host,
        /// Generation that the host now runs.
        generation: ids::Generation,
        /// Term of the claim on the host's pool.
        term: ids::Term,
    },
    /// Stops a host for a restart with a new generation; the old generation can never return.
    Stop {
        /// Host to stop.
        host: ids::Host,
        /// Generation to stop.
        generation: ids::Generation,
        /// Term of the claim on the host's pool.
        term: ids::Term,
    },
    /// Replaces the sheet.
    Sheet {
        /// Revision of the sheet that the change is based on.
        #[serde(rename = "base")]
        base_revision: ids::Revision,
        /// Operator who applied it.
        operator: ids::Operator,
        /// Rows of the sheet.
        intents: Vec<Intent>,
    },
    /// Announces that a snapshot of the replayed state is complete.
    Snapshot {
        /// Offset after the last record that the snapshot covers.
        #[serde(rename = "next")]
        next_offset: ids::Offset,
    },
}

/// `Listing` describes a host as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Name of the host.
    pub host: ids::Host,
    /// Address of the worker on it.
    pub address: SocketAddr,
    /// Availability zone of the host.
    pub zone: ids::Zone,
    /// Rack of the host.
    pub rack: ids::Rack,
    /// Generation: the number of its current start.
    pub generation: ids::Generation,
    /// Requests that the worker runs concurrently.
    pub slots: u16,
    /// Connections that the worker accepts.
    pub connections: u16,
}

impl Listing {
    /// Checks that the host has a name and an address, and that it can be restarted.
    ///
    /// # Errors
    ///
    /// Returns a value error that states the first problem.
    pub fn check(&self) -> Result<()> {
        let problem = if self.host.is_empty() {
            "the host has no name"
        } else if self.address.port() == 0 {
            "the address has no port"
        } else if self.generation > MAX_GENERATION {
            "the generation is too large"
        } else {
            return Ok(());
        };
        Err(value_error("host", problem))
    }
}

/// `Role` is the function of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// Serves the requests of callers.
    Entry,
    /// Manages pools.
    Fleet,
}

/// `Announcement` holds the role and the addresses that a process announces when it joins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Function of the process.
    pub role: Role,
    /// Address for connections from peers.
    pub peer: SocketAddr,
    /// Address of its HTTP interface.
    pub http: SocketAddr,
    /// Availability zone it runs in.
    pub zone: ids::Zone,
}

/// `Command` is an operator's command for a maintenance wave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Ends the wave and returns its draining hosts to service.
    Abort,
    /// Stops starting drains.
    Pause,
    /// Continues a paused wave.
    Resume,
}

/// `Phase` is the progress of a maintenance wave.
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

/// `Completion` is the outcome of the request that claimed an idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Completion {
    /// The request ran and was answered.
    Answered,
    /// The request did not run; the key may be claimed again.
    NotRun,
    /// The request may have run.
    Unknown,
}
