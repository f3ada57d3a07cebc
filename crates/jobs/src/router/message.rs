use std::time::Instant;

use actix::{Addr, Message};
use bytestring::ByteString;
use persimmongate_core::account::{Caller, Denial, Key};
use persimmongate_core::ids;
use persimmongate_core::job::Job;
use persimmongate_core::queue::Queue;

use crate::platform::Platform;
use crate::shard::{Answer, Shard, Status};

/// `Endpoint` is the address that a caller's request names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Host name of the request.
    pub host: ByteString,
    /// Path of the request.
    pub path: ByteString,
}

/// `Route` is the queue or the job that an endpoint stands for.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// This process has no configuration yet, or can't know that the one it has is still in force.
    Unconfigured,
    /// No queue is configured at the endpoint.
    Missing,
    /// The queue needs a key that the call doesn't have.
    Denied(Denial),
    /// A queue and who calls it, with the id of a job in it unless the endpoint is the queue itself.
    Queue(Box<Queue>, Caller, Option<ids::Job>),
}

/// `Resolve` looks up the queue or the job at an endpoint for a caller.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Route")]
pub struct Resolve {
    /// Address that the request names.
    pub endpoint: Endpoint,
    /// Key of the request, if it has one that an account could have.
    pub key: Option<Key>,
}

/// `Submit` submits a job to a queue.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answer")]
pub struct Submit {
    /// The job.
    pub job: Job,
    /// Its queue.
    pub queue: Queue,
    /// Who submits it.
    pub caller: Caller,
    /// Time until which the caller waits for the answer.
    pub deadline: Instant,
}

/// `Query` asks for the state of a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Status")]
pub struct Query {
    /// The job.
    pub job: ids::Job,
    /// Queue that the caller addressed.
    pub queue: Queue,
    /// Who asks.
    pub caller: Caller,
}

/// `Cancel` cancels a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answer")]
pub struct Cancel {
    /// The job.
    pub job: ids::Job,
    /// Queue that the caller addressed.
    pub queue: Queue,
    /// Who asks.
    pub caller: Caller,
    /// Time until which the caller waits for the answer.
    pub deadline: Instant,
}

/// `Count` queries how many jobs of a queue wait for their first start.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<usize>")]
pub struct Count(pub Queue);

/// `Readiness` queries whether this process can serve callers.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "bool")]
pub struct Readiness;

/// `Unready` makes this process report that it is not ready, as it is going to shut down.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Unready;

/// `Register` gives the router the address of a shard's actor.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Register<P: Platform, C: Copy + Send + Unpin + 'static> {
    /// Number of the shard.
    pub shard: ids::Shard,
    /// Actor of the shard.
    pub actor: Addr<Shard<P, C>>,
}
