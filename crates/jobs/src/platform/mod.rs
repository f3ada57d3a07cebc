//! What a deployment's platform gives, as the actors call it.

use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use futures_util::future::LocalBoxFuture;
use persimmongate_core::ids;
use persimmongate_core::queue::Config;
use persimmongate_core::sched::{Answer, Call, Inventory, Poll, Query, Report, Ticket};
use persimmongate_core::upkeep::{self, Host, Wave};

/// `Topic` is a partition of the platform's log.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// A shard's records about jobs.
    Jobs(ids::Shard),
    /// What operators ask for.
    Operator,
    /// What operators are told.
    Status,
    /// What workers say of themselves.
    Workers,
}

/// `Entry` is a record as the log holds it; no value drops the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Place in the partition.
    pub offset: ids::Offset,
    /// What it is about.
    pub key: ByteString,
    /// What it says.
    pub value: Option<Bytes>,
}

/// `Page` is an answer to a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Offset that the next record gets.
    pub end_offset: ids::Offset,
    /// Records in the order of the log.
    pub records: Vec<Entry>,
}

/// `Writer` lets the log refuse records of older terms, and repeated ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Writer {
    /// Term of the leader.
    pub term: ids::Term,
    /// Number of the append in the term.
    pub sequence: u64,
}

/// `Append` is a call that adds records, all or none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Partition.
    pub topic: Topic,
    /// Keys with their values.
    pub records: Vec<(ByteString, Option<Bytes>)>,
    /// Offset at which the partition must end.
    pub expected_end: Option<ids::Offset>,
    /// Leader that appends.
    pub writer: Option<Writer>,
}

/// `Failure` is why a call to the log had no success.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// Nothing was done: the log is busy or refuses this process.
    Busy,
    /// Records asked for are no longer kept.
    Expired,
    /// A newer term was seen.
    Fenced,
    /// The partition ends elsewhere.
    Moved,
    /// An append of the same writer that comes before is not there yet.
    Order,
    /// The call was refused and did nothing, with a status.
    Refused(u16),
    /// Nothing is known: it may be carried out later.
    Unknown,
}

/// `Reply` is the answer to a call to the log or the host service.
pub type Reply<T> = LocalBoxFuture<'static, Result<T, Failure>>;

/// `Change` is a record of an operator.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration.
    Config(Config),
    /// A wave of maintenance.
    Wave(Wave),
}

/// `Platform` is the platform of a deployment.
///
/// Its calls end within a time limit, and a future that is dropped closes its connection.
pub trait Platform: Clone + Unpin + 'static {
    /// Appends records and gets the offset of the first.
    fn append(&self, append: Append) -> Reply<ids::Offset>;

    /// Reads a partition from an offset, waiting for a record for a time.
    fn read(&self, topic: Topic, from: ids::Offset, wait: Duration) -> Reply<Page>;

    /// Gets the newest record of each key; the end is that of before the records.
    fn read_newest(&self, topic: Topic) -> Reply<Page>;

    /// Asks a worker about its runs.
    fn poll_worker(&self, hold: Poll) -> LocalBoxFuture<'static, Result<Inventory, Answer>>;

    /// Gives a worker an order; gets its answer and the time of its clock.
    fn send_worker_command(&self, call: Call) -> LocalBoxFuture<'static, (Answer, Option<u64>)>;

    /// Asks the policy service which workers may run a step.
    fn request_advice(
        &self,
        question: Query,
    ) -> LocalBoxFuture<'static, Option<(Vec<Ticket>, Duration)>>;

    /// Lists the hosts.
    fn list_hosts(&self) -> Reply<Vec<Host>>;

    /// Gives the host service an order.
    fn send_host_command(&self, order: upkeep::Command) -> LocalBoxFuture<'static, upkeep::Answer>;

    /// Decodes a record of an operator; nothing for one that is not known or can't be read.
    fn decode_change(&self, entry: &Entry) -> Option<Change>;

    /// Decodes what a worker says of itself; nothing for what names no worker to use.
    fn decode_report(&self, entry: &Entry) -> Option<Report>;

    /// Encodes how far a wave is, for operators.
    fn encode_wave_status(&self, wave: ids::WaveNumber, completed: bool) -> (ByteString, Bytes);
}
