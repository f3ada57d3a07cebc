use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::belief::{Belief, Change};
use super::idle::Idle;
use super::pool::Tally;
use super::recovery::Wait;
use super::worker::Resources;
use crate::ids;
use crate::job::{Job, Progress, Task};
use crate::journal::Record;
use crate::limit::{self, Notice};
use crate::locality::Ending;
use crate::queue::Config;

/// `Report` is the entry of a worker in the worker list, as the worker published it.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Id of the worker.
    pub worker: ids::Worker,
    /// Service that the worker belongs to.
    pub service: ids::Service,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Host that it runs on.
    pub host: Option<ids::Host>,
    /// Whether the worker announced that it will shut down.
    pub is_shutting_down: bool,
    /// Start time in milliseconds since the Unix epoch; it identifies the incarnation.
    pub started_at_ms: u64,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels of the worker: its kind and its rack.
    pub labels: Vec<ids::Label>,
}

/// `Status` is the state of a run in progress in the inventory of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Task.
    pub task: Task,
    /// Run of the task.
    pub run: ids::Run,
    /// Newest saved progress; empty if there is none.
    pub checkpoint: ByteString,
    /// Completed share of the work, in percent; 100 for a long-running task that is ready.
    pub percent: u32,
    /// Response time in milliseconds of a task with a latency target; processor time in use of any
    /// other task.
    pub measurement: u64,
}

/// `Cause` is how a run ended on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The task is done.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// The lease of its worker expired.
    Expired,
    /// The run was stopped, or another member of its gang ended.
    Interrupted,
}

/// `Exit` is the end of a run as a worker reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct Exit {
    /// Sequence number of the exit in this incarnation of the worker, rising.
    pub sequence: u64,
    /// Task.
    pub task: Task,
    /// Run of the task.
    pub run: ids::Run,
    /// How the run ended.
    pub status: Cause,
    /// Saved progress; empty if there is none.
    pub checkpoint: ByteString,
}

/// `Inventory` is the answer of a worker to a poll: its runs and its unacknowledged exits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// Start time of the worker in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Time of the worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<Status>,
    /// Exits that were not yet acknowledged.
    pub exits: Vec<Exit>,
}

/// `Ticket` is the permission of the policy service to run a step on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Worker that may run the step.
    pub worker: ids::Worker,
    /// Opaque ticket that is sent with the start.
    pub ticket: ByteString,
}

/// `Command` is a command to a worker about one task.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Starts a run.
    Start {
        /// Payload of the job.
        payload: ByteString,
        /// Lease expiry on the worker's clock, in milliseconds.
        lease_expiry_ms: u64,
        /// Progress to resume from; empty to start from the beginning.
        checkpoint: ByteString,
        /// Ticket of the policy service, if the queue uses one.
        ticket: Option<ByteString>,
    },
    /// Stops a run.
    Stop,
    /// Throttles a run to a share of its full rate, in percent.
    Pace(u32),
}

/// `Answer` is the result of a call to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The command was carried out.
    Done,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run number is not higher than one that was stopped or ended on the worker.
    Old,
    /// The lease had already expired when the command arrived.
    Late,
    /// The worker has too few free resources.
    Full,
    /// The ticket is not valid.
    Ticket,
    /// The worker refused for another reason and did not carry out the command.
    Refused,
    /// Another incarnation of the worker answered.
    Stranger,
    /// The result is unknown: the command may have been or may still be carried out.
    Unknown,
}

/// `Call` is a command for one run on a worker, with its addressee.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Worker to call.
    pub worker: ids::Worker,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Fencing token of the leader.
    pub token: ids::Term,
    /// Task that the command applies to.
    pub task: Task,
    /// Run that the command applies to.
    pub run: ids::Run,
    /// Command to carry out.
    pub command: Command,
}

/// `Poll` is a request for the inventory of a worker, which also renews its lease.
#[derive(Clone, Debug)]
pub struct Poll {
    /// Worker to poll.
    pub worker: ids::Worker,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Fencing token of the leader.
    pub token: ids::Term,
    /// Sequence number up to which exits are acknowledged.
    pub acknowledged_through: u64,
    /// Lease expiry on the worker's clock, in milliseconds; `None` leaves the lease as it
    /// is.
    pub lease_expiry_ms: Option<u64>,
    /// Longest time that the worker may delay its answer while no run exits.
    pub max_wait: Duration,
}

/// `Query` asks the policy service which workers may run a step.
#[derive(Clone, Debug)]
pub struct Query {
    /// Job of the step.
    pub job: ids::Job,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u32,
    /// Candidate workers.
    pub workers: Vec<ids::Worker>,
    /// Time after which the request is treated as unanswered.
    pub timeout: Duration,
}

/// `Event` is an input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The current configuration.
    Config(Arc<Config>),
    /// A worker was listed, or its report changed.
    Listed(Report),
    /// A worker is no longer listed.
    Unlisted(ids::Worker),
    /// The host list was read.
    Hosts {
        /// Hosts, each with the worker of this shard that it runs.
        hosts: Vec<(ids::Host, Option<ids::Worker>)>,
        /// Hosts on their way to the pool of a service of this shard, with their processor time in millicores.
        arriving: Vec<(ids::Host, ids::Service, u64)>,
        /// Whether these are all hosts, so that one that is missing is gone.
        is_complete: bool,
    },
    /// A job of the shard, with its state in the log.
    Job {
        /// The job.
        job: Arc<Job>,
        /// Offset of the record that accepted it.
        offset: ids::Offset,
        /// Recorded exits of its tasks.
        progress: Box<Progress>,
        /// Whether a caller canceled it.
        is_canceled: bool,
    },
    /// The detached payload of a job.
    Payload(ids::Job, ByteString),
    /// A caller canceled a job.
    Canceled(ids::Job),
    /// A worker is to be drained (true), or its drain was withdrawn (false).
    Drain(ids::Worker, bool),
    /// A poll was answered or failed.
    Polled {
        /// Worker that was polled.
        worker: ids::Worker,
        /// Time at which the request was sent.
        sent_at: Instant,
        /// Inventory of the worker, or why there is none.
        answer: Result<Inventory, Answer>,
    },
    /// A call was answered or failed.
    Called {
        /// The call.
        call: Call,
        /// Time at which the call was sent.
        sent_at: Instant,
        /// The answer.
        answer: Answer,
        /// Time of the worker's clock in milliseconds, if the answer has it.
        clock_ms: Option<u64>,
    },
    /// A request to the policy service was answered or failed.
    Advised {
        /// Job of the step.
        job: ids::Job,
        /// Occurrence of the job, from 0.
        occurrence: u32,
        /// Step of the job, from 0.
        step: u32,
        /// Time at which the request was sent.
        sent_at: Instant,
        /// Tickets for the permitted workers and how long they are valid; `None` without an
        /// answer.
        answer: Option<(Vec<Ticket>, Duration)>,
    },
    /// The log has stored the records of the latest append.
    Appended,
    /// The log can't store the progress of a job, and holds its end in place of it.
    Overflowed(ids::Job),
    /// A read of the log at the given time showed no newer term.
    TermConfirmed(Instant),
    /// The delay of `Action::SchedulePoll` has passed for a worker.
    PollDue(ids::Worker),
    /// The delay of `Action::SchedulePlacement` has passed.
    PlacementDue,
    /// The log says something about the units of the accounts' limits.
    Limit(Notice),
    /// Periodic tick for time-outs and placement.
    Tick,
}

impl Event {
    /// Returns the name of its kind, for the log.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Config(_) => "config",
            Self::Listed(_) => "listed",
            Self::Unlisted(_) => "unlisted",
            Self::Hosts { .. } => "hosts",
            Self::Job { .. } => "job",
            Self::Payload(..) => "payload",
            Self::Canceled(_) => "canceled",
            Self::Drain(..) => "drain",
            Self::Polled { .. } => "polled",
            Self::Called { .. } => "called",
            Self::Advised { .. } => "advised",
            Self::Appended => "appended",
            Self::Overflowed(_) => "overflowed",
            Self::TermConfirmed(_) => "term confirmed",
            Self::PollDue(_) => "poll due",
            Self::PlacementDue => "placement due",
            Self::Limit(_) => "limit",
            Self::Tick => "tick",
        }
    }
}

/// `Reason` is why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The worker is to be drained, or has announced that it will shut down.
    Drain,
    /// The job has ended or was canceled.
    JobOver,
    /// The task is done or runs elsewhere.
    Redundant,
    /// An earlier stop has had no effect yet.
    Repeat,
    /// The task makes no progress.
    Stalled,
    /// The start had no answer, so that the run may or may not exist.
    UnansweredStart,
}

/// `Stop` is a stop of a run, with what decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// Task of the run.
    pub task: Task,
    /// Number of the run.
    pub run: ids::Run,
    /// Worker of the run.
    pub worker: ids::Worker,
    /// Why it is stopped.
    pub reason: Reason,
    /// Whether the worker has shown the run in its inventory.
    pub is_known_to_run: bool,
    /// Other tasks of its step that are unavailable, and how many may be, if the step limits them.
    pub unavailable: Option<(usize, u32)>,
}

/// `Action` is an output of the scheduler, to be carried out by its owner.
#[derive(Clone, Debug)]
pub enum Action {
    /// Poll a worker, which renews its lease.
    Poll(Poll),
    /// Send a command to a worker.
    Call(Call),
    /// Ask the policy service which workers may run a step.
    RequestAdvice(Query),
    /// Delete the detached payloads of jobs that have ended.
    DropPayloads(Vec<ids::Job>),
    /// Append records to the log. No other append follows before `Event::Appended`.
    Append(Vec<Record>),
    /// Append records to the partition of the lender of the accounts' limits, and report the outcome as
    /// `Notice::Delivered`.
    NotifyLender(Vec<Record>),
    /// Deliver `Event::PollDue` for a worker after a delay.
    SchedulePoll(ids::Worker, Duration),
    /// Deliver `Event::PlacementDue` after a delay.
    SchedulePlacement(Duration),
    /// Give up the term, as a worker has reported a newer one.
    Fenced,
    /// Write a log line with the tasks of a step that were started.
    LogStarts {
        /// Job that the tasks belong to.
        job: ids::Job,
        /// Occurrence of the job.
        occurrence: u32,
        /// Step of the job.
        step: u32,
        /// Index in the step, run and worker of each task.
        tasks: Vec<(u32, ids::Run, ids::Worker)>,
    },
    /// Write a log line about a run.
    LogRun {
        /// Message of the log line.
        message: &'static str,
        /// Task of the run.
        task: Task,
        /// Number of the run.
        run: ids::Run,
        /// Worker of the run.
        worker: ids::Worker,
    },
    /// Write a log line about a stop.
    LogStop(Box<Stop>),
    /// Write a log line about a change of what the leader holds for true about a worker.
    LogWorker(Change, Belief),
    /// Write a log line about long-running tasks that stay idle.
    LogIdle(Box<Idle>),
    /// Write a log line about the waiting jobs of a service.
    LogWaiting(ids::Service, Box<Tally>),
    /// Write log lines about accounts whose tasks wait because of their limits.
    LogLimited(Vec<limit::Report>),
    /// Write a log line about a wait for a place near the data that has ended.
    LogPlaceWait(Box<Ending>),
    /// Write a log line, as the wait for runs of older terms has ended or begun again.
    LogRecovery(Wait),
}
