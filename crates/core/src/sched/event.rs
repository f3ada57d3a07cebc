use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::worker::Resources;
use crate::ids;
use crate::job::{Job, Progress, Task};
use crate::journal::Record;
use crate::queue::Config;

/// `Report` is what a worker says of itself in the list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of this life of the worker.
    pub worker: ids::Worker,
    /// Service that it runs.
    pub service: ids::Service,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Host that it runs on.
    pub host: Option<ids::Host>,
    /// Whether it is going to leave.
    pub is_draining: bool,
    /// Milliseconds since the epoch at which it started.
    pub started_at_ms: u64,
    /// Room that it has.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<ids::Label>,
}

/// `Row` is a task that a worker runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// Task.
    pub task: Task,
    /// Run of the task.
    pub run: ids::Run,
    /// Newest saved progress; empty for none.
    pub checkpoint: ByteString,
    /// Share of its work that is done, in percent; 100 for a lasting task at work.
    pub percent: u32,
    /// Response time in milliseconds of a task that serves; processor time in use of any other.
    pub measurement: u64,
}

/// `End` is how a run ended on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The task is done.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped, lost its lease, or its gang broke.
    Interrupted,
}

/// `Ending` is the end of a run as a worker lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Exit {
    /// Number of the end in this life of the worker; it rises.
    pub sequence: u64,
    /// Task.
    pub task: Task,
    /// Run of the task.
    pub run: ids::Run,
    /// How it ended.
    pub status: ExitStatus,
    /// Progress that was saved; empty for none.
    pub checkpoint: ByteString,
}

/// `Listing` is what a worker answers about its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// Milliseconds since the epoch at which the worker started.
    pub started_at_ms: u64,
    /// Time of the worker's own clock, in milliseconds.
    pub clock_ms: u64,
    /// Tasks that it runs.
    pub running: Vec<RunStatus>,
    /// Ends that were not acknowledged.
    pub exits: Vec<Exit>,
}

/// `Ticket` allows a worker to run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Worker allowed.
    pub worker: ids::Worker,
    /// Ticket that a start carries.
    pub ticket: ByteString,
}

/// `Order` is a call to a worker about one task.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Starts a run.
    Start {
        /// Text of the job.
        payload: ByteString,
        /// End of the lease on the worker's clock, in milliseconds.
        lease_expiry_ms: u64,
        /// Progress to resume from; empty for none.
        checkpoint: ByteString,
        /// Ticket of the policy service.
        ticket: Option<ByteString>,
    },
    /// Stops a run.
    Stop,
    /// Limits a run to a share of its work, in percent.
    Pace(u32),
}

/// `Answer` is what came of a call to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It was carried out.
    Done,
    /// A higher token was seen there.
    Fenced,
    /// The run is not higher than one that was stopped or ended there.
    Old,
    /// The lease had ended already.
    Late,
    /// There is no room.
    Full,
    /// The ticket doesn't hold.
    Ticket,
    /// The worker refused otherwise and did nothing.
    Refused,
    /// Another life of the worker answered.
    Stranger,
    /// Nothing is known: it may be carried out later.
    Unknown,
}

/// `Call` is one order for a run on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Worker called.
    pub worker: ids::Worker,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Token of the leader.
    pub token: ids::Term,
    /// Task that it is about.
    pub task: Task,
    /// Run that it is about.
    pub run: ids::Run,
    /// What is asked.
    pub command: Command,
}

/// `Hold` is a question to a worker about its runs, which extends its lease.
#[derive(Clone, Debug)]
pub struct Poll {
    /// Worker to ask.
    pub worker: ids::Worker,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Token of the leader.
    pub token: ids::Term,
    /// Number up to which ends are acknowledged.
    pub acknowledged_through: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_expiry_ms: Option<u64>,
    /// Time that the worker may wait for an end.
    pub max_wait: Duration,
}

/// `Question` asks the policy service about a step.
#[derive(Clone, Debug)]
pub struct AdviceRequest {
    /// Job asked about.
    pub job: ids::Job,
    /// Occurrence asked about.
    pub occurrence: u32,
    /// Step asked about.
    pub step: u32,
    /// Workers asked about.
    pub workers: Vec<ids::Worker>,
    /// Time after which the answer counts as lost.
    pub timeout: Duration,
}

/// `Event` is what the scheduler learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration in force.
    Config(Arc<Config>),
    /// A worker is listed or changed its report.
    Listed(Report),
    /// A worker is no longer listed.
    Unlisted(ids::Worker),
    /// All hosts, with the worker of this shard that each runs.
    Hosts(Vec<(ids::Host, Option<ids::Worker>)>),
    /// A job of the shard, with what is known of it.
    Job {
        /// The job.
        job: Arc<Job>,
        /// Offset of the record that accepted it.
        offset: ids::Offset,
        /// Ends of its tasks.
        progress: Box<Progress>,
        /// Whether a caller ended it.
        is_canceled: bool,
    },
    /// A caller ended a job.
    Canceled(ids::Job),
    /// A host is to be freed, or no longer.
    Drain(ids::Worker, bool),
    /// A worker answered about its runs, or didn't.
    Polled {
        /// Worker asked.
        worker: ids::Worker,
        /// Time at which it was asked.
        sent_at: Instant,
        /// Its answer.
        answer: Result<Inventory, Answer>,
    },
    /// A worker answered an order, or didn't.
    Called {
        /// The order.
        call: Call,
        /// Time at which it was sent.
        sent_at: Instant,
        /// The answer.
        answer: Answer,
        /// Time of the worker's own clock, if it said so.
        clock_ms: Option<u64>,
    },
    /// The policy service answered, or didn't.
    Advised {
        /// Job asked about.
        job: ids::Job,
        /// Occurrence asked about.
        occurrence: u32,
        /// Step asked about.
        step: u32,
        /// Time at which it was asked.
        sent_at: Instant,
        /// Workers that may run the step, and for how long the tickets hold.
        answer: Option<(Vec<Ticket>, Duration)>,
    },
    /// The log took the records of the latest append.
    Appended,
    /// The log was reached at a time, and had no newer term.
    Confirmed(Instant),
    /// It is time to look at a worker.
    PollDue(ids::Worker),
    /// Some time has passed.
    Tick,
}

/// `Action` is what the scheduler asks for.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask a worker about its runs, and extend its lease.
    Poll(Poll),
    /// Give an order.
    Call(Call),
    /// Ask the policy service which workers may run a step.
    RequestAdvice(AdviceRequest),
    /// Append records; the next append follows when this one is known to have taken effect.
    Append(Vec<Record>),
    /// Look at a worker after a time.
    SchedulePoll(ids::Worker, Duration),
    /// A worker has seen a newer term.
    Fenced,
    /// Tell which tasks of a step were started, for the log lines.
    LogStarts {
        /// Job that they belong to.
        job: ids::Job,
        /// Occurrence of the job.
        occurrence: u32,
        /// Step of the job.
        step: u32,
        /// Place in the step, run and worker of each.
        tasks: Vec<(u32, ids::Run, ids::Worker)>,
    },
    /// Tell what became of a task, for the log lines.
    LogRun {
        /// What happened.
        message: &'static str,
        /// Task that it is about.
        task: Task,
        /// Run that it is about.
        run: ids::Run,
        /// Worker that it is about.
        worker: ids::Worker,
    },
}
