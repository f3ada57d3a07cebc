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

use crate::operator::ConfigChanged;
use crate::platform::Platform;
use crate::shard::{self, Answer, Shard, Status, shard_of};

/// `Endpoint` is where a caller's request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Host name that the caller addressed.
    pub host: ByteString,
    /// Path that the caller addressed.
    pub path: ByteString,
}

/// `Route` is what a request is about.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// The process has no configuration yet.
    Unconfigured,
    /// No queue has the address.
    Missing,
    /// A queue, and the name of a job in it, or nothing for the queue itself.
    Queue(Box<Queue>, Option<ids::Job>),
}

/// `Resolve` asks what a request is about.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Route")]
pub struct Resolve(pub Endpoint);

/// `Submit` hands a job in at a queue.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answer")]
pub struct Submit {
    /// The job.
    pub job: Job,
    /// Its queue.
    pub queue: Queue,
    /// Time until which the caller waits.
    pub deadline: Instant,
}

/// `Query` asks for the state of a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Status")]
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
    pub deadline: Instant,
}

/// `CountWaiting` asks how many jobs of a queue wait.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<usize>")]
pub struct CountWaiting(pub Queue);

/// `IsReady` asks if callers can be served.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "bool")]
pub struct IsReady;

/// `MarkUnready` makes the process not ready, as it is going to end.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct MarkUnready;

/// `Register` tells where a shard is.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Register<P: Platform, C: Copy + Send + Unpin + 'static> {
    /// Number of the shard.
    pub shard: ids::Shard,
    /// Its actor.
    pub actor: Addr<Shard<P, C>>,
}

/// `Router` knows the configuration and the shards.
pub struct Router<P: Platform, C: Copy + Send + Unpin + 'static> {
    config: Option<Arc<Config>>,
    shards: Vec<Option<Addr<Shard<P, C>>>>,
    is_shutting_down: bool,
    _guard: Guard<C>,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Router<P, C> {
    /// Makes a router that knows no shard.
    #[must_use]
    pub fn new(shards: ids::Shard, guard: Guard<C>) -> Self {
        Self {
            config: None,
            shards: vec![None; shards as usize],
            is_shutting_down: false,
            _guard: guard,
        }
    }

    fn shard(&self, queue: &Queue) -> Option<Addr<Shard<P, C>>> {
        let count = ids::Shard::try_from(self.shards.len()).unwrap_or(1);
        let shard = shard_of(&queue.service, count);
        self.shards.get(shard as usize).cloned().flatten()
    }

    /// Gets the shards that may know a job: its queue's, then those of the other services, as the
    /// queue's service may have changed.
    fn candidates(&self, queue: &Queue) -> Vec<Addr<Shard<P, C>>> {
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
async fn find<P: Platform, C: Copy + Send + Unpin + 'static>(
    shards: Vec<Addr<Shard<P, C>>>,
    job: &ids::Job,
) -> (Status, Option<Addr<Shard<P, C>>>) {
    let mut worst = Status::Missing;
    for shard in shards {
        match shard.send(shard::Query(job.clone())).await {
            Ok(Status::Phase(phase)) => return (Status::Phase(phase), Some(shard)),
            Ok(Status::Missing) => {}
            Ok(Status::Unavailable) | Err(_) => worst = Status::Unavailable,
        }
    }
    (worst, None)
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Actor for Router<P, C> {
    type Context = Context<Self>;
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<ConfigChanged> for Router<P, C> {
    type Result = ();

    fn handle(&mut self, ConfigChanged(config): ConfigChanged, _: &mut Self::Context) {
        self.config = Some(config);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Register<P, C>> for Router<P, C> {
    type Result = ();

    fn handle(&mut self, register: Register<P, C>, _: &mut Self::Context) {
        if let Some(slot) = self.shards.get_mut(register.shard as usize) {
            *slot = Some(register.actor);
        }
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Resolve> for Router<P, C> {
    type Result = MessageResult<Resolve>;

    fn handle(&mut self, Resolve(endpoint): Resolve, _: &mut Self::Context) -> Self::Result {
        let Some(config) = &self.config else {
            return MessageResult(Route::Unconfigured);
        };
        let Some(queue) = config.route(&endpoint.host, &endpoint.path) else {
            return MessageResult(Route::Missing);
        };
        let name = &endpoint.path[queue.path_prefix.len()..];
        let job = (!name.is_empty()).then(|| ByteString::from(name));
        MessageResult(Route::Queue(Box::new(queue.clone()), job))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Submit> for Router<P, C> {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, submit: Submit, _: &mut Self::Context) -> Self::Result {
        let Some(own) = self.shard(&submit.queue) else {
            return Box::pin(std::future::ready(Answer::Unknown));
        };
        let others = self.candidates(&submit.queue).into_iter().skip(1).collect();
        Box::pin(async move {
            // A job that another service's shard took in before stays one job.
            if let (Status::Phase(_), _) = find(others, &submit.job.id).await {
                return Answer::Done;
            }
            let message = shard::Submit {
                job: submit.job,
                queue: submit.queue,
                deadline: submit.deadline,
            };
            own.send(message).await.unwrap_or(Answer::Unknown)
        })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Query> for Router<P, C> {
    type Result = ResponseFuture<Status>;

    fn handle(&mut self, query: Query, _: &mut Self::Context) -> Self::Result {
        let shards = self.candidates(&query.queue);
        Box::pin(async move { find(shards, &query.job).await.0 })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Cancel> for Router<P, C> {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, cancel: Cancel, _: &mut Self::Context) -> Self::Result {
        let shards = self.candidates(&cancel.queue);
        Box::pin(async move {
            let (known, shard) = find(shards, &cancel.job).await;
            let Some(shard) = shard else {
                return match known {
                    Status::Missing => Answer::Missing,
                    Status::Phase(_) | Status::Unavailable => Answer::Unknown,
                };
            };
            if matches!(
                known,
                Status::Phase(Phase::Completed | Phase::Failed | Phase::Canceled)
            ) {
                return Answer::Done;
            }
            let message = shard::Cancel {
                job: cancel.job,
                deadline: cancel.deadline,
            };
            shard.send(message).await.unwrap_or(Answer::Unknown)
        })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<CountWaiting> for Router<P, C> {
    type Result = ResponseFuture<Option<usize>>;

    fn handle(&mut self, CountWaiting(queue): CountWaiting, _: &mut Self::Context) -> Self::Result {
        let shard = self.shard(&queue);
        Box::pin(async move {
            shard?
                .send(shard::CountWaiting(queue.name))
                .await
                .ok()
                .flatten()
        })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<IsReady> for Router<P, C> {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, _: IsReady, _: &mut Self::Context) -> Self::Result {
        let configured = self.config.is_some() && !self.is_shutting_down;
        let shards: Vec<_> = self.shards.iter().flatten().cloned().collect();
        Box::pin(async move {
            if !configured {
                return false;
            }
            for shard in shards {
                if !shard.send(shard::IsFresh).await.unwrap_or(false) {
                    return false;
                }
            }
            true
        })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<MarkUnready> for Router<P, C> {
    type Result = ();

    fn handle(&mut self, _: MarkUnready, _: &mut Self::Context) {
        self.is_shutting_down = true;
    }
}
