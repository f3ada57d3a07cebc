//! Decisions of persimmongate.
//!
//! This crate does no I/O and reads no clock. Each decision function takes the current time and an
//! event, and returns actions that the daemons execute.
//!
//! - [`account`]: client accounts with their keys, shares and limits
//! - [`admission`]: admission of connections and bodies at a listener
//! - [`batch`]: appends of callers' records
//! - [`errors`]: error type, result alias and constructors
//! - [`finding`]: problems in operator input, with their locations
//! - [`fleet`]: claims, moves, drains and waves of one pool
//! - [`gate`]: admission, routing and retries of one entry host
//! - [`ids`]: type aliases of identifiers
//! - [`invariant`]: checks of the guarantees given to users
//! - [`job`]: jobs of callers, their tasks and their outcomes
//! - [`journal`]: records about jobs and the state built from them
//! - [`limit`]: limits of client accounts that hold over all shards
//! - [`locality`]: waits for a place near the data of a task
//! - [`map`]: hash maps with a fast hasher
//! - [`name`]: syntax of names
//! - [`outcome`]: outcomes of requests
//! - [`queue`]: queues of jobs and services
//! - [`record`]: records of the log
//! - [`report`]: status, plans and explanations for operators
//! - [`request`]: requests of callers
//! - [`sched`]: scheduler that assigns the tasks of a shard to workers
//! - [`settings`]: settings of the daemons
//! - [`share`]: shares of client accounts when room is short, and refusals
//! - [`sheet`]: sheet of the capacity planners
//! - [`state`]: state built from the records of the log
//! - [`term`]: leadership of a shard
//! - [`trace`]: traces of decisions and their replay
//! - [`upkeep`]: planner of maintenance waves and host moves

pub mod account;
pub mod admission;
pub mod batch;
pub mod errors;
pub mod finding;
pub mod fleet;
pub mod gate;
pub mod ids;
pub mod invariant;
pub mod job;
pub mod journal;
pub mod limit;
pub mod locality;
pub mod map;
pub mod name;
pub mod outcome;
pub mod queue;
pub mod record;
pub mod report;
pub mod request;
pub mod sched;
pub mod settings;
pub mod share;
pub mod sheet;
pub mod state;
pub mod term;
pub mod trace;
pub mod upkeep;
