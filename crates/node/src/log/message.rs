//! Messages to and from the follower of the log.

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
    /// Token chosen by the requester; the answer repeats it.
    pub token: u64,
    /// Content of the record.
    pub body: Body,
    /// Where the verdict goes.
    pub reply: Recipient<Appended>,
}

/// `Appended` reports the verdict on a record.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Appended {
    /// Token of the append.
    pub token: u64,
    /// Verdict, or `None` when it is not known, as when the process joined again before reading it.
    pub verdict: Option<Verdict>,
}

/// `Update` reports changes of the state to a subscriber, in log order.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Update {
    /// Offset after the last record applied; a subscriber ignores a message with an older one than
    /// it has seen.
    pub next_offset: ids::Offset,
    /// Changes since the message before.
    pub changes: Vec<Change>,
    /// Whether the state has just caught up with the log, for the first time or after an outage;
    /// also set in the first message of a subscription.
    pub has_caught_up: bool,
}

/// `Subscribe` adds a subscriber, which first receives the whole state as changes.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<Update>);

/// `Claim` claims an idempotency key for a request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Claim {
    /// Request that needs the key.
    pub request: ids::Request,
    /// Key to claim.
    pub key: ids::IdempotencyKey,
    /// Where the verdict goes.
    pub reply: Recipient<Claimed>,
}

/// `Claimed` reports the result of a claim.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Claimed {
    /// Request that claimed the key.
    pub request: ids::Request,
    /// Result of the claim.
    pub claim: gate::ClaimResult,
}

/// `Completion` reports how the request that holds a key ended.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Completion {
    /// Key that the request had claimed.
    pub key: ids::IdempotencyKey,
    /// How the request ended.
    pub outcome: record::Completion,
}

/// `Leave` removes the process from the members; it is answered once the record is appended, or
/// after a time-out.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Leave;

/// `Fetch` requests the encoded state if its next offset is at least this one.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<(ids::Offset, Bytes)>")]
pub struct Fetch(pub ids::Offset);

/// `Transfer` carries the encoded state of a peer, which replaces an older local state.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Transfer {
    /// Offset after the last record applied.
    pub next_offset: ids::Offset,
    /// Encoded state.
    pub state: Bytes,
}

/// `Staleness` requests the time since the end of the log was last reached, `None` before the
/// first time.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<Duration>")]
pub struct Staleness;

/// `Query` requests the state, `None` until it is complete for the first time.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<State>")]
pub struct Query;
