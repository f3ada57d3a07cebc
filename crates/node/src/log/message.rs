//! Messages of the log's actor.

use std::time::Duration;

use actix::{Message, Recipient};
use bytes::Bytes;
use persimmongate_core::gate;
use persimmongate_core::ids;
use persimmongate_core::record::{self, Body};
use persimmongate_core::state::{Change, State, Verdict};

/// `Append` asks for a record to be appended.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Append {
    /// Token of the author's choice.
    pub token: u64,
    /// What the record says.
    pub body: Body,
    /// Where the verdict goes.
    pub reply: Recipient<AppendCompleted>,
}

/// `AppendCompleted` tells the verdict on a record.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct AppendCompleted {
    /// Token of the append.
    pub token: u64,
    /// Verdict of the fold, or nothing when it was not read in time.
    pub verdict: Option<Verdict>,
}

/// `StateChanged` tells a subscriber what changed, in the order of the log.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct StateChanged {
    /// Offset after the last record folded; a subscriber drops what is older than it knows.
    pub next_offset: ids::Offset,
    /// What changed.
    pub changes: Vec<Change>,
    /// Whether the log was read up to its end after it could not be read.
    pub has_caught_up: bool,
}

/// `Subscribe` adds a subscriber, which is first told the whole state.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<StateChanged>);

/// `ClaimKey` asks for a key to be claimed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ClaimKey {
    /// Request that needs the key.
    pub request: ids::Request,
    /// Key to claim.
    pub key: ids::IdempotencyKey,
    /// Where the verdict goes.
    pub reply: Recipient<ClaimCompleted>,
}

/// `ClaimCompleted` tells the end of a claim.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ClaimCompleted {
    /// Request that needed the key.
    pub request: ids::Request,
    /// How the claim ended.
    pub claim: gate::Claim,
}

/// `ReportOutcome` reports how the holder of a key ended.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ReportOutcome {
    /// Key claimed before.
    pub key: ids::IdempotencyKey,
    /// How it ended.
    pub end: record::End,
}

/// `EndMembership` ends the membership; the answer comes when the log shows it or time is up.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct EndMembership;

/// `FetchState` asks for the encoded fold, if it has at least this next offset.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<(ids::Offset, Bytes)>")]
pub struct FetchState(pub ids::Offset);

/// `Restore` hands over an encoded fold of a peer.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Restore {
    /// Offset after the last record folded.
    pub next_offset: ids::Offset,
    /// Encoded state.
    pub state: Bytes,
}

/// `GetLogAge` asks for the time since the log was last read up to its end, nothing before the first.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<Duration>")]
pub struct GetLogAge;

/// `GetState` asks for the fold, nothing before it was read once.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<State>")]
pub struct GetState;
