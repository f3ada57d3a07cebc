//! Type aliases of identifiers.
//!
//! Names are UTF-8 strings with shared buffers, so that clones are cheap. They are checked once,
//! when they enter a process.

use std::net::SocketAddr;

use bytestring::ByteString;

/// `Account` names the client account that jobs are submitted for.
pub type Account = ByteString;
/// `Caller` names the client account that requests are charged to: one caller or a team.
pub type Caller = ByteString;
/// `Connection` identifies an open connection of a listener: the address of the other end.
pub type Connection = SocketAddr;
/// `Generation` numbers the starts of a host, as the platform counts them.
pub type Generation = u64;
/// `Host` names a host of the fleet; the worker on it has the same name.
pub type Host = ByteString;
/// `Incarnation` distinguishes successive runs of a process under the same instance name.
pub type Incarnation = u64;
/// `Instance` names a process of the system.
pub type Instance = ByteString;
/// `Job` is the name that a caller gave a job.
pub type Job = ByteString;
/// `IdempotencyKey` deduplicates the sends of a non-idempotent request: a `UUIDv7` (RFC 9562) as a number.
pub type IdempotencyKey = u128;
/// `Label` is a property of a worker: its kind or its rack.
pub type Label = ByteString;
/// `Offset` is a position in the platform's log.
pub type Offset = u64;
/// `Operator` names the person who applied a sheet or gave a command to a wave.
pub type Operator = ByteString;
/// `Pool` names a pool of hosts.
pub type Pool = ByteString;
/// `Queue` names a queue of jobs.
pub type Queue = ByteString;
/// `Rack` names a rack of hosts.
pub type Rack = ByteString;
/// `Request` identifies a request within one process.
pub type Request = u64;
/// `Revision` is the offset of the record that last changed an object.
pub type Revision = u64;
/// `Run` numbers the starts of a task, in ascending order.
pub type Run = u64;
/// `Sequence` numbers the records of one author.
pub type Sequence = u64;
/// `Service` names a service that callers send requests to.
pub type Service = ByteString;
/// `Shard` numbers a part of the fleet that has its own leader and its own partition of the log.
pub type Shard = u32;
/// `Term` numbers the successive claims on a pool, or the leaderships of a shard.
pub type Term = u64;
/// `Wave` names a maintenance wave.
pub type Wave = ByteString;
/// `WaveNumber` numbers a wave that operators request through the platform.
pub type WaveNumber = u64;
/// `Worker` names one incarnation of a worker, as the platform lists it.
pub type Worker = ByteString;
/// `Zone` names an availability zone.
pub type Zone = ByteString;
