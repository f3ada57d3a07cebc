//! Routing of callers' requests to the shards.

mod lookup;
mod message;
mod refusal;

pub use message::{
    Cancel, Count, Endpoint, Query, Readiness, Register, Resolve, Route, Submit, Unready,
};

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorFutureExt, Addr, Context, Handler, MessageResult, ResponseActFuture,
    ResponseFuture, WrapFuture,
};
use bytestring::ByteString;
use opentelemetry::metrics::Meter;
use persimmongate_core::account::Caller;
use persimmongate_core::ids;
use persimmongate_core::map::{Map, Set};
use persimmongate_core::queue::{Config, Queue};
use persimmongate_node::clock;
use persimmongate_node::supervisor::Guard;
use slog::Logger;

use crate::operator::{Configured, Confirmed};
use crate::platform::Platform;
use crate::shard::{self, Answer, Shard, Status, shard_of};
use lookup::{cancel_found, find};
use refusal::{Basis, Reason, Refusals};

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

    /// Checks if the configuration can't be known to be in force.
    fn is_config_outdated(&self) -> bool {
        let age = self.basis().age;
        let config = self.config.as_ref();
        config.is_some_and(|config| config.is_outdated(age, self.config_max_age))
    }

    /// Reports that a caller asked for the job of another account.
    fn report_foreign_job(&mut self, queue: &Queue, job: &ids::Job, caller: &Caller) {
        let endpoint = Endpoint {
            host: queue.hostname.clone(),
            path: format!("{}{job}", queue.path_prefix).into(),
        };
        let basis = self.basis();
        let reason = Reason::ForeignJob;
        self.refusals
            .report(reason, &endpoint, caller.account(), basis);
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
                .report(Reason::OutdatedConfig, &endpoint, None, basis);
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
                    .report(Reason::Denied(denial), &endpoint, None, basis);
                return MessageResult(Route::Denied(denial));
            }
        };
        let name = &endpoint.path[queue.path_prefix.len()..];
        let job = (!name.is_empty()).then(|| ByteString::from(name));
        MessageResult(Route::Queue(Box::new(queue.clone()), caller, job))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Submit> for Router<P, C> {
    type Result = ResponseActFuture<Self, Answer>;

    fn handle(&mut self, submit: Submit, _: &mut Self::Context) -> Self::Result {
        let Some(owner) = self.shard(&submit.queue) else {
            return Box::pin(std::future::ready(Answer::Unknown).into_actor(self));
        };
        let others = self.candidates(&submit.queue).into_iter().skip(1).collect();
        let (queue, id) = (submit.queue.clone(), submit.job.id.clone());
        let caller = submit.caller.clone();
        let submitting = async move {
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
        };
        Box::pin(submitting.into_actor(self).map(move |answer, act, _| {
            if answer == Answer::Taken {
                act.report_foreign_job(&queue, &id, &caller);
            }
            answer
        }))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Query> for Router<P, C> {
    type Result = ResponseActFuture<Self, Status>;

    fn handle(&mut self, query: Query, _: &mut Self::Context) -> Self::Result {
        let shards = self.candidates(&query.queue);
        let finding = async move {
            let status = find(shards, &query.job, &query.caller).await.0;
            (status, query)
        };
        Box::pin(finding.into_actor(self).map(|(status, query), act, _| {
            if status == Status::Foreign {
                act.report_foreign_job(&query.queue, &query.job, &query.caller);
            }
            status
        }))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Cancel> for Router<P, C> {
    type Result = ResponseActFuture<Self, Answer>;

    fn handle(&mut self, cancel: Cancel, _: &mut Self::Context) -> Self::Result {
        let shards = self.candidates(&cancel.queue);
        let accepting_shards = self.accepting_shards(&cancel.queue);
        let finding = async move {
            let (status, shard) = find(shards, &cancel.job, &cancel.caller).await;
            (status, shard, cancel)
        };
        let found = finding.into_actor(self);
        Box::pin(found.then(move |(status, shard, cancel), act, _| {
            if status == Status::Foreign {
                act.report_foreign_job(&cancel.queue, &cancel.job, &cancel.caller);
            }
            cancel_found(accepting_shards, shard, cancel, status).into_actor(act)
        }))
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
