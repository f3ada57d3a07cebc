//! Callers' requests, sent to the shard that they belong to.

use std::sync::Arc;
use std::time::Instant;

use actix::{Actor, Addr, Context, Handler, Message, MessageResult, ResponseFuture};
use bytestring::ByteString;
use persimmongate_core::ids;
use persimmongate_core::job::Job;
use persimmongate_core::journal::Phase;
use persimmongate_core::queue::{Config, Queue};
use persimmongate_node::supervisor::Guard;

use crate::edge::Edge;
use crate::operator::Configured;
use crate::shard::{self, Answer, Known, Shard, shard_of};

/// `Place` is where a caller's request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// Host name that the caller addressed.
    pub host: ByteString,
    /// Path that the caller addressed.
    pub path: ByteString,
}

/// `Target` is what a request is about.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// The process has no configuration yet.
    Unconfigured,
    /// No queue has the address.
    Missing,
    /// A queue, and the name of a job in it, or nothing for the queue itself.
    Queue(Box<Queue>, Option<ids::Job>),
}

/// `Find` asks what a request is about.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Target")]
pub struct Find(pub Place);

/// `Submit` hands a job in at a queue.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answer")]
pub struct Submit {
    /// The job.
    pub job: Job,
    /// Its queue.
    pub queue: Queue,
    /// Time until which the caller waits.
    pub end: Instant,
}

/// `Query` asks for the state of a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Known")]
pub struct Query {
    /// The job.
    pub job: ids::Job,
    /// Queue at which the caller asks.
    pub queue: Queue,
}

/// `Cancel` ends a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answer")]
pub struct Cancel {
    /// The job.
    pub job: ids::Job,
    /// Queue at which the caller asks.
    pub queue: Queue,
    /// Time until which the caller waits.
    pub end: Instant,
}

/// `Count` asks how many jobs of a queue wait.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<usize>")]
pub struct Count(pub Queue);

/// `Ready` asks if callers can be served.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "bool")]
pub struct Ready;

/// `Leave` makes the process not ready, as it is going to end.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Leave;

/// `Wire` tells where a shard is.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Wire<E: Edge, C: Copy + Send + Unpin + 'static> {
    /// Number of the shard.
    pub shard: ids::Shard,
    /// Its actor.
    pub actor: Addr<Shard<E, C>>,
}

/// `Desk` knows the configuration and the shards.
pub struct Desk<E: Edge, C: Copy + Send + Unpin + 'static> {
    config: Option<Arc<Config>>,
    shards: Vec<Option<Addr<Shard<E, C>>>>,
    leaving: bool,
    _guard: Guard<C>,
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Desk<E, C> {
    /// Makes a desk that knows no shard.
    #[must_use]
    pub fn new(shards: ids::Shard, guard: Guard<C>) -> Self {
        Self {
            config: None,
            shards: vec![None; shards as usize],
            leaving: false,
            _guard: guard,
        }
    }

    fn shard(&self, queue: &Queue) -> Option<Addr<Shard<E, C>>> {
        let count = ids::Shard::try_from(self.shards.len()).unwrap_or(1);
        let shard = shard_of(&queue.service, count);
        self.shards.get(shard as usize).cloned().flatten()
    }

    /// Gets the shards that may know a job: its queue's, then those of the other services, as the
    /// queue's service may have changed.
    fn candidates(&self, queue: &Queue) -> Vec<Addr<Shard<E, C>>> {
        let count = ids::Shard::try_from(self.shards.len()).unwrap_or(1);
        let mut numbers = vec![shard_of(&queue.service, count)];
        for service in self.config.iter().flat_map(|config| &config.services) {
            let shard = shard_of(&service.name, count);
            if !numbers.contains(&shard) {
                numbers.push(shard);
            }
        }
        let shards = numbers.into_iter();
        shards
            .filter_map(|shard| self.shards.get(shard as usize).cloned().flatten())
            .collect()
    }
}

/// Asks shards in turn until one knows a job.
async fn find<E: Edge, C: Copy + Send + Unpin + 'static>(
    shards: Vec<Addr<Shard<E, C>>>,
    job: &ids::Job,
) -> (Known, Option<Addr<Shard<E, C>>>) {
    let mut worst = Known::Missing;
    for shard in shards {
        match shard.send(shard::Query(job.clone())).await {
            Ok(Known::Phase(phase)) => return (Known::Phase(phase), Some(shard)),
            Ok(Known::Missing) => {}
            Ok(Known::Unavailable) | Err(_) => worst = Known::Unavailable,
        }
    }
    (worst, None)
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Actor for Desk<E, C> {
    type Context = Context<Self>;
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Configured> for Desk<E, C> {
    type Result = ();

    fn handle(&mut self, Configured(config): Configured, _: &mut Self::Context) {
        self.config = Some(config);
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Wire<E, C>> for Desk<E, C> {
    type Result = ();

    fn handle(&mut self, wire: Wire<E, C>, _: &mut Self::Context) {
        if let Some(slot) = self.shards.get_mut(wire.shard as usize) {
            *slot = Some(wire.actor);
        }
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Find> for Desk<E, C> {
    type Result = MessageResult<Find>;

    fn handle(&mut self, Find(place): Find, _: &mut Self::Context) -> Self::Result {
        let Some(config) = &self.config else {
            return MessageResult(Target::Unconfigured);
        };
        let Some(queue) = config.route(&place.host, &place.path) else {
            return MessageResult(Target::Missing);
        };
        let name = &place.path[queue.path_prefix.len()..];
        let job = (!name.is_empty()).then(|| ByteString::from(name));
        MessageResult(Target::Queue(Box::new(queue.clone()), job))
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Submit> for Desk<E, C> {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, submit: Submit, _: &mut Self::Context) -> Self::Result {
        let Some(own) = self.shard(&submit.queue) else {
            return Box::pin(std::future::ready(Answer::Unknown));
        };
        let others = self.candidates(&submit.queue).into_iter().skip(1).collect();
        Box::pin(async move {
            // A job that another service's shard took in before stays one job.
            if let (Known::Phase(_), _) = find(others, &submit.job.id).await {
                return Answer::Done;
            }
            let message = shard::Submit {
                job: submit.job,
                queue: submit.queue,
                end: submit.end,
            };
            own.send(message).await.unwrap_or(Answer::Unknown)
        })
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Query> for Desk<E, C> {
    type Result = ResponseFuture<Known>;

    fn handle(&mut self, query: Query, _: &mut Self::Context) -> Self::Result {
        let shards = self.candidates(&query.queue);
        Box::pin(async move { find(shards, &query.job).await.0 })
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Cancel> for Desk<E, C> {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, cancel: Cancel, _: &mut Self::Context) -> Self::Result {
        let shards = self.candidates(&cancel.queue);
        Box::pin(async move {
            let (known, shard) = find(shards, &cancel.job).await;
            let Some(shard) = shard else {
                return match known {
                    Known::Missing => Answer::Missing,
                    Known::Phase(_) | Known::Unavailable => Answer::Unknown,
                };
            };
            if matches!(
                known,
                Known::Phase(Phase::Completed | Phase::Failed | Phase::Canceled)
            ) {
                return Answer::Done;
            }
            let message = shard::Cancel {
                job: cancel.job,
                end: cancel.end,
            };
            shard.send(message).await.unwrap_or(Answer::Unknown)
        })
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Count> for Desk<E, C> {
    type Result = ResponseFuture<Option<usize>>;

    fn handle(&mut self, Count(queue): Count, _: &mut Self::Context) -> Self::Result {
        let shard = self.shard(&queue);
        Box::pin(async move { shard?.send(shard::Count(queue.name)).await.ok().flatten() })
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Ready> for Desk<E, C> {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, _: Ready, _: &mut Self::Context) -> Self::Result {
        let configured = self.config.is_some() && !self.leaving;
        let shards: Vec<_> = self.shards.iter().flatten().cloned().collect();
        Box::pin(async move {
            if !configured {
                return false;
            }
            for shard in shards {
                if !shard.send(shard::Fresh).await.unwrap_or(false) {
                    return false;
                }
            }
            true
        })
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Leave> for Desk<E, C> {
    type Result = ();

    fn handle(&mut self, _: Leave, _: &mut Self::Context) {
        self.leaving = true;
    }
}
