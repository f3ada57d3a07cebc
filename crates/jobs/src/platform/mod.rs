//! Interface to the services of a deployment's platform: the log, workers, hosts and the policy service.

use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use futures_util::future::LocalBoxFuture;
use persimmongate_core::ids;
use persimmongate_core::queue::Config;
use persimmongate_core::sched::{Answer, Call, Inventory, Poll, Query, Report, Ticket};
use persimmongate_core::upkeep::{self, Listing, Wave};

/// `Partition` is a partition of the platform's log.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Partition {
    /// Records about the jobs of a shard.
    Jobs(ids::Shard),
    /// Payloads of the jobs of a shard, which only its leader reads.
    Payloads(ids::Shard),
    /// Requests of operators.
    Operator,
    /// Status reports for operators.
    Status,
    /// Registrations of workers, in which they report their state.
    Workers,
}

/// `Entry` is a record as the log stores it. An entry without a value deletes its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Position in the partition.
    pub offset: ids::Offset,
    /// Key, of which the newest record counts. It is empty if the record can't be read, which the platform
    /// has then logged and counted.
    pub key: ByteString,
    /// Encoded record.
    pub value: Option<Bytes>,
}

/// `Page` is the result of a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Offset of the end of the partition, which the next record gets.
    pub end_offset: ids::Offset,
    /// Entries in the order of the log.
    pub records: Vec<Entry>,
}

/// `Writer` identifies an append, so that the log rejects those of older terms and detects repeated ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Writer {
    /// Term of the leader.
    pub term: ids::Term,
    /// Number of the append within the term.
    pub sequence: u64,
}

/// `Append` is a call that adds all of its records to a partition, or none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Partition that gets the records.
    pub partition: Partition,
    /// Keys with their values; a key without a value is deleted.
    pub records: Vec<(ByteString, Option<Bytes>)>,
    /// Offset at which the partition must end for the append to take effect.
    pub expected_end: Option<ids::Offset>,
    /// Leader that makes the append.
    pub writer: Option<Writer>,
}

/// `Failure` is the reason for which a call to the log or the host service failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The call had no effect: the service could not be reached, is overloaded or limits this process.
    Busy,
    /// The requested records are no longer kept.
    Expired,
    /// The log holds records of a newer term.
    Fenced,
    /// The partition does not end at the expected offset.
    Moved,
    /// A preceding append of the same writer is missing.
    Order,
    /// The call was refused with this status and had no effect.
    Refused(u16),
    /// The outcome is not known: the call may have taken effect, or may do so later.
    Unknown,
}

/// `Reply` is the answer to a call to the log or the host service.
pub type Reply<T> = LocalBoxFuture<'static, Result<T, Failure>>;

/// `Change` is a request of an operator.
#[derive(Clone, Debug)]
pub enum Change {
    /// A new configuration.
    Config(Config),
    /// A maintenance wave.
    Wave(Wave),
}

/// `Platform` makes the calls to the services of a deployment's platform.
///
/// Each call ends within a time limit. Dropping its future closes the connection.
pub trait Platform: Clone + Unpin + 'static {
    /// Appends records and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// The reply is an error if the append is rejected or its outcome is not known.
    fn append(&self, append: Append) -> Reply<ids::Offset>;

    /// Reads a partition from an offset, and waits up to `wait` for a record if there is none.
    ///
    /// # Errors
    ///
    /// The reply is an error if the log did not answer or no longer keeps the records.
    fn read(&self, partition: Partition, from: ids::Offset, wait: Duration) -> Reply<Page>;

    /// Reads the newest record of each key. The end offset is the one from before the read.
    ///
    /// # Errors
    ///
    /// The reply is an error if the log did not answer.
    fn read_newest(&self, partition: Partition) -> Reply<Page>;

    /// Polls a worker for its runs, which renews its lease.
    ///
    /// # Errors
    ///
    /// The reply is the answer of the worker if it did not return its runs.
    fn poll_worker(&self, poll: Poll) -> LocalBoxFuture<'static, Result<Inventory, Answer>>;

    /// Sends a command to a worker. Returns its answer and the time of its clock in milliseconds, if given.
    fn send_worker_command(&self, call: Call) -> LocalBoxFuture<'static, (Answer, Option<u64>)>;

    /// Asks the policy service which workers may run a step. Returns their tickets and the time for which
    /// these are valid, or `None` if the service did not answer.
    fn request_advice(
        &self,
        request: Query,
    ) -> LocalBoxFuture<'static, Option<(Vec<Ticket>, Duration)>>;

    /// Lists the hosts of the fleet.
    ///
    /// # Errors
    ///
    /// The reply is an error if the host service did not answer or refused.
    fn list_hosts(&self) -> Reply<Listing>;

    /// Sends a command about a host to the host service.
    fn send_host_command(
        &self,
        command: upkeep::Command,
    ) -> LocalBoxFuture<'static, upkeep::Answer>;

    /// Decodes a request of an operator. Returns `None` if it is of an unknown kind or can't be decoded.
    fn decode_change(&self, entry: &Entry) -> Option<Change>;

    /// Decodes the registration of a worker. Returns `None` if the entry names no usable worker.
    fn decode_report(&self, entry: &Entry) -> Option<Report>;

    /// Encodes the status of a wave for operators, as key and value of a log entry.
    fn encode_wave_status(&self, wave: ids::WaveNumber, completed: bool) -> (ByteString, Bytes);
}
