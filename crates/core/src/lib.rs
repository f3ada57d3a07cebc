//! Decisions of persimmongate.
//!
//! This crate does no I/O and reads no clock. Each decision takes the current time and an event and
//! returns actions; daemons carry the actions out.
//!
//! - [`errors`]: the error type, its alias and its constructors
//! - [`finding`]: problems of operator input, with their place
//! - [`fleet`]: claims, moves, drains and waves of one pool
//! - [`gate`]: admission, routing and retries of one entry host
//! - [`ids`]: aliases for identifiers
//! - [`invariant`]: checks of the promises to the users
//! - [`job`]: jobs of callers, their tasks and their ends
//! - [`journal`]: records about jobs and their fold
//! - [`map`]: hash maps with a fast hasher
//! - [`name`]: the form of names
//! - [`outcome`]: what a caller is told of a request
//! - [`queue`]: queues of jobs and services
//! - [`record`]: records of the log
//! - [`report`]: what operators are shown
//! - [`request`]: requests of callers
//! - [`sched`]: which worker runs which task of a shard, and when
//! - [`settings`]: settings of the daemons
//! - [`sheet`]: the planners' sheet
//! - [`state`]: the fold of the log
//! - [`term`]: leadership of a shard
//! - [`trace`]: traces of decisions and their replay
//! - [`upkeep`]: waves of maintenance and moves of hosts

pub mod errors;
pub mod finding;
pub mod fleet;
pub mod gate;
pub mod ids;
pub mod invariant;
pub mod job;
pub mod journal;
pub mod map;
pub mod name;
pub mod outcome;
pub mod queue;
pub mod record;
pub mod report;
pub mod request;
pub mod sched;
pub mod settings;
pub mod sheet;
pub mod state;
pub mod term;
pub mod trace;
pub mod upkeep;
