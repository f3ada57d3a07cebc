//! Routing of callers' requests to the shards.

mod refusal;

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, Addr, Context, Handler, Message, MessageResult, ResponseFuture};
use bytestring::ByteString;
use opentelemetry::metrics::Meter;
use persimmongate_core::account::{Caller, Denial, Key};
use persimmongate_core::ids;
use persimmongate_core::job::Job;
use persimmongate_core::journal::Phase;
use persimmongate_core::map::{Map, Set};
use persimmongate_core::queue::{Config, Queue};
use persimmongate_node::clock;
use persimmongate_node::supervisor::Guard;
use slog::Logger;

use crate::operator::{Configured, Confirmed};
use crate::platform::Platform;
use crate::shard::{self, Answer, Shard, Status, shard_of};
use refusal::{Basis, Reason, Refusals};

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

/// `Setup` holds the parameters of a router.
pub struct Setup {
    /// Number of shards of the fleet.
    pub shard_count: ids::Shard,
    /// Age of the latest complete read of operators' records from which on a configuration with accounts is not used.
    pub config_max_age: Duration,
    /// Creates the metrics of the router.
    pub meter: Meter,
    /// Logger of the process.
    pub logger: Logger,
}

/// `Router` resolves endpoints by the configuration and forwards requests to the shards.
pub struct Router<P: Platform, C: Copy + Send + Unpin + 'static> {
    config: Option<Arc<Config>>,
    config_max_age: Duration,
    /// Send time of the latest complete read of operators' records.
    confirmed_at: Option<Instant>,
    refusals: Refusals,
    /// Services that a queue belonged to under earlier configurations.
    earlier_services: Map<ids::Queue, Set<ids::Service>>,
    shards: Vec<Option<Addr<Shard<P, C>>>>,
    is_shutting_down: bool,
    _guard: Guard<C>,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Router<P, C> {
    /// Creates a router without any shard.
    #[must_use]
    pub fn new(setup: Setup, guard: Guard<C>) -> Self {
        Self {
            config: None,
            config_max_age: setup.config_max_age,
            confirmed_at: None,
            refusals: Refusals::new(&setup.meter, setup.logger),
            earlier_services: Map::default(),
            shards: vec![None; setup.shard_count as usize],
            is_shutting_down: false,
            _guard: guard,
        }
    }

    /// Returns what decides on a call by a configuration.
    fn basis(&self) -> Basis {
        let now = clock::now();
        Basis {
            version: self.config.as_ref().map_or(0, |config| config.version),
            age: self
                .confirmed_at
                .map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Checks if the configuration has accounts and can't be known to be in force, as operators' records were not read
    /// for too long.
    fn is_config_outdated(&self) -> bool {
        let has_accounts = |config: &Arc<Config>| config.accounts.requires_keys();
        let is_recent = |age: Duration| age < self.config_max_age;
        self.config.as_ref().is_some_and(has_accounts) && !self.basis().age.is_some_and(is_recent)
    }

    fn shard(&self, queue: &Queue) -> Option<Addr<Shard<P, C>>> {
        let count = ids::Shard::try_from(self.shards.len()).unwrap_or(1);
        let shard = shard_of(&queue.service, count);
        self.shards.get(shard as usize).cloned().flatten()
    }

    /// Remembers the services of queues that belong to another service from now on, as long as the configuration has
    /// both.
    fn record_moves(&mut self, config: &Config) {
        let Some(previous) = &self.config else {
            return;
        };
        for queue in &previous.queues {
            let current = config.queue(&queue.name);
            if current.is_some_and(|current| current.service != queue.service) {
                let earlier = self.earlier_services.entry(queue.name.clone());
                earlier.or_default().insert(queue.service.clone());
            }
        }
        self.earlier_services.retain(|queue, services| {
            services.retain(|service| config.service(service).is_some());
            config.queue(queue).is_some() && !services.is_empty()
        });
    }

    /// Returns the shards in which the acceptance of a job of a queue may still be recorded.
    fn accepting_shards(&self, queue: &Queue) -> Vec<Addr<Shard<P, C>>> {
        let earlier = self.earlier_services.get(&queue.name);
        let services = std::iter::once(&queue.service).chain(earlier.into_iter().flatten());
        let count = ids::Shard::try_from(self.shards.len()).unwrap_or(1);
        let numbers: Set<ids::Shard> = services.map(|service| shard_of(service, count)).collect();
        let shards = numbers.into_iter();
        shards
            .filter_map(|shard| self.shards.get(shard as usize).cloned().flatten())
            .collect()
    }

    /// Returns the shards that may hold a job of a queue: first the shard of the queue's service, then those
    /// of the other services, as the queue may have belonged to another service before.
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

/// Queries shards one after another until one knows the job.
async fn find<P: Platform, C: Copy + Send + Unpin + 'static>(
    shards: Vec<Addr<Shard<P, C>>>,
    job: &ids::Job,
    caller: &Caller,
) -> (Status, Option<Addr<Shard<P, C>>>) {
    let mut status = Status::Missing;
    for shard in shards {
        let query = shard::Query {
            job: job.clone(),
            caller: caller.clone(),
        };
        match shard.send(query).await {
            Ok(Status::Phase(phase)) => return (Status::Phase(phase), Some(shard)),
            Ok(Status::Foreign) => return (Status::Foreign, None),
            Ok(Status::Missing) => {}
            Ok(Status::Unavailable) | Err(_) => status = Status::Unavailable,
        }
    }
    (status, None)
}

/// Cancels a job that no shard knows, as its acceptance may be on the way to the log.
async fn cancel_unknown<P: Platform, C: Copy + Send + Unpin + 'static>(
    shards: Vec<Addr<Shard<P, C>>>,
    cancel: Cancel,
    status: Status,
) -> Answer {
    let mut answer = Answer::Missing;
    for shard in shards {
        let message = shard::Cancel {
            job: cancel.job.clone(),
            caller: cancel.caller.clone(),
            deadline: cancel.deadline,
        };
        match shard.send(message).await.unwrap_or(Answer::Unknown) {
            Answer::Missing => {}
            Answer::Done => answer = Answer::Done,
            failed => return failed,
        }
    }
    match status {
        // A shard that could not tell may hold the job.
        Status::Unavailable => Answer::Unknown,
        Status::Missing | Status::Phase(_) | Status::Foreign => answer,
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Actor for Router<P, C> {
    type Context = Context<Self>;
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Configured> for Router<P, C> {
    type Result = ();

    fn handle(&mut self, Configured(config): Configured, _: &mut Self::Context) {
        self.record_moves(&config);
        self.config = Some(config);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Confirmed> for Router<P, C> {
    type Result = ();

    fn handle(&mut self, Confirmed(sent_at): Confirmed, _: &mut Self::Context) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
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

    fn handle(&mut self, resolve: Resolve, _: &mut Self::Context) -> Self::Result {
        let Resolve { endpoint, key } = resolve;
        let basis = self.basis();
        if self.is_config_outdated() {
            // Neither what it allows nor what it refuses need be so by a newer one.
            self.refusals
                .report(Reason::OutdatedConfig, &endpoint, basis);
            return MessageResult(Route::Unconfigured);
        }
        let Some(config) = &self.config else {
            return MessageResult(Route::Unconfigured);
        };
        let Some(queue) = config.route(&endpoint.host, &endpoint.path) else {
            return MessageResult(Route::Missing);
        };
        let caller = match config.identify(queue, key.as_ref()) {
            Ok(caller) => caller,
            Err(denial) => {
                self.refusals
                    .report(Reason::Denied(denial), &endpoint, basis);
                return MessageResult(Route::Denied(denial));
            }
        };
        let name = &endpoint.path[queue.path_prefix.len()..];
        let job = (!name.is_empty()).then(|| ByteString::from(name));
        MessageResult(Route::Queue(Box::new(queue.clone()), caller, job))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Submit> for Router<P, C> {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, submit: Submit, _: &mut Self::Context) -> Self::Result {
        let Some(owner) = self.shard(&submit.queue) else {
            return Box::pin(std::future::ready(Answer::Unknown));
        };
        let others = self.candidates(&submit.queue).into_iter().skip(1).collect();
        Box::pin(async move {
            // A job that the shard of another service accepted before is not accepted twice.
            match find(others, &submit.job.id, &submit.caller).await.0 {
                Status::Phase(_) => return Answer::Done,
                Status::Foreign => return Answer::Taken,
                Status::Missing | Status::Unavailable => {}
            }
            let message = shard::Submit {
                job: submit.job,
                queue: submit.queue,
                caller: submit.caller,
                deadline: submit.deadline,
            };
            owner.send(message).await.unwrap_or(Answer::Unknown)
        })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Query> for Router<P, C> {
    type Result = ResponseFuture<Status>;

    fn handle(&mut self, query: Query, _: &mut Self::Context) -> Self::Result {
        let shards = self.candidates(&query.queue);
        Box::pin(async move { find(shards, &query.job, &query.caller).await.0 })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Cancel> for Router<P, C> {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, cancel: Cancel, _: &mut Self::Context) -> Self::Result {
        let shards = self.candidates(&cancel.queue);
        let accepting_shards = self.accepting_shards(&cancel.queue);
        Box::pin(async move {
            let (status, shard) = find(shards, &cancel.job, &cancel.caller).await;
            if status == Status::Foreign {
                return Answer::Missing;
            }
            let Some(shard) = shard else {
                return cancel_unknown(accepting_shards, cancel, status).await;
            };
            if matches!(
                status,
                Status::Phase(Phase::Completed | Phase::Failed | Phase::Canceled)
            ) {
                return Answer::Done;
            }
            let message = shard::Cancel {
                job: cancel.job,
                caller: cancel.caller,
                deadline: cancel.deadline,
            };
            shard.send(message).await.unwrap_or(Answer::Unknown)
        })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Count> for Router<P, C> {
    type Result = ResponseFuture<Option<usize>>;

    fn handle(&mut self, Count(queue): Count, _: &mut Self::Context) -> Self::Result {
        let shard = self.shard(&queue);
        Box::pin(async move { shard?.send(shard::Count(queue.name)).await.ok().flatten() })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Readiness> for Router<P, C> {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, _: Readiness, _: &mut Self::Context) -> Self::Result {
        let may_serve =
            self.config.is_some() && !self.is_config_outdated() && !self.is_shutting_down;
        let shards: Vec<_> = self.shards.iter().flatten().cloned().collect();
        Box::pin(async move {
            if !may_serve {
                return false;
            }
            for shard in shards {
                if !shard.send(shard::Freshness).await.unwrap_or(false) {
                    return false;
                }
            }
            true
        })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Unready> for Router<P, C> {
    type Result = ();

    fn handle(&mut self, _: Unready, _: &mut Self::Context) {
        self.is_shutting_down = true;
    }
}
