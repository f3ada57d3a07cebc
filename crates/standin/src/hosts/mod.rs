//! The platform's hosts: a list that lags, drains and reboots.

use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture};
use actix_web::web::{self, Data, Path, Query, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use persimmongate_core::fleet::{Health, Status};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::Fact;
use serde::Deserialize;

use crate::faults;
use crate::ledger::{self, Ledger};
use crate::worker::{self, Ask, Order, Step, Worker};

/// `Hosts` knows the workers, and lists them late.
pub struct Hosts {
    workers: Map<ids::Host, (Fact, Addr<Worker>)>,
    lag: Duration,
    listed: Vec<Fact>,
    faults: faults::List,
}

impl Hosts {
    /// Starts workers and lists them with a lag.
    #[must_use]
    pub fn new(facts: Vec<Fact>, lag: Duration, reboot: Duration, ledger: &Addr<Ledger>) -> Self {
        let start = |fact: Fact| {
            let worker = Worker::new(fact.clone(), reboot, ledger.clone()).start();
            (fact.host.clone(), (fact, worker))
        };
        Self {
            workers: facts.into_iter().map(start).collect(),
            lag,
            listed: Vec::new(),
            faults: faults::List::default(),
        }
    }

    fn list(&mut self, ctx: &mut Context<Self>) {
        let asked = self.workers.values().cloned().collect::<Vec<_>>();
        let list = async move {
            let mut listed = Vec::new();
            for (mut fact, worker) in asked {
                let Ok(status) = worker.send(Ask).await else {
                    continue;
                };
                fact.generation = status.generation;
                if !matches!(status.health, Health::Dead | Health::Rebooting) {
                    listed.push(fact);
                }
            }
            listed
        };
        let list = actix::fut::wrap_future::<_, Self>(list);
        ctx.spawn(actix::ActorFutureExt::map(
            list,
            |listed, act: &mut Self, _| {
                if !act.faults.frozen {
                    act.listed = listed;
                }
            },
        ));
    }
}

impl Actor for Hosts {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.list(ctx);
        ctx.run_interval(self.lag, Self::list);
    }
}

/// `List` gets the list as it was a while ago.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<Fact>")]
pub struct List;

impl Handler<List> for Hosts {
    type Result = MessageResult<List>;

    fn handle(&mut self, _: List, _: &mut Self::Context) -> Self::Result {
        let missing = &self.faults.missing;
        let listed = self.listed.iter();
        let listed = listed.filter(|fact| !missing.contains(&fact.host));
        MessageResult(listed.cloned().collect())
    }
}

/// `Break` sets the faults of the list.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Break(pub faults::List);

impl Handler<Break> for Hosts {
    type Result = ();

    fn handle(&mut self, Break(faults): Break, _: &mut Self::Context) {
        self.faults = faults;
    }
}

/// `Hit` sets the faults of some workers.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Hit {
    /// Which workers.
    pub target: faults::Target,
    /// How they behave.
    pub fault: faults::Worker,
}

impl Handler<Hit> for Hosts {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, hit: Hit, _: &mut Self::Context) -> Self::Result {
        let meant = self.workers.values();
        let meant = meant.filter(|(fact, _)| hit.target.matches(fact));
        let meant: Vec<Addr<Worker>> = meant.map(|(_, worker)| worker.clone()).collect();
        Box::pin(async move {
            for worker in meant {
                // A worker that is gone has no behaviour.
                let _ = worker.send(worker::Break(hit.fault)).await;
            }
        })
    }
}

/// `Call` asks about one host, or orders a step.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Status>")]
pub struct Call {
    /// Host meant.
    pub host: ids::Host,
    /// Order to carry out, if any.
    pub order: Option<Order>,
}

impl Handler<Call> for Hosts {
    type Result = ResponseFuture<Option<Status>>;

    fn handle(&mut self, call: Call, _: &mut Self::Context) -> Self::Result {
        let worker = self
            .workers
            .get(&call.host)
            .map(|(_, worker)| worker.clone());
        Box::pin(async move {
            let worker = worker?;
            match call.order {
                Some(order) => worker.send(order).await.ok().flatten(),
                None => worker.send(Ask).await.ok(),
            }
        })
    }
}

/// Adds the routes of the hosts and the ledger.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/hosts", web::get().to(list))
        .route("/hosts/{host}", web::get().to(status))
        .route("/hosts/{host}/{step}", web::post().to(order))
        .route("/ledger", web::get().to(book));
}

async fn list(hosts: Data<Addr<Hosts>>) -> impl Responder {
    match hosts.send(List).await {
        Ok(facts) => HttpResponse::Ok().json(facts),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn status(hosts: Data<Addr<Hosts>>, host: Path<String>) -> impl Responder {
    answer(
        &hosts,
        Call {
            host: host.into_inner().into(),
            order: None,
        },
    )
    .await
}

/// `Target` is the query of an order.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Target {
    generation: ids::Generation,
}

async fn order(
    hosts: Data<Addr<Hosts>>,
    path: Path<(String, Step)>,
    target: Query<Target>,
) -> impl Responder {
    let (host, step) = path.into_inner();
    let order = Order {
        generation: target.generation,
        step,
    };
    answer(
        &hosts,
        Call {
            host: host.into(),
            order: Some(order),
        },
    )
    .await
}

async fn answer(hosts: &Addr<Hosts>, call: Call) -> HttpResponse {
    match hosts.send(call).await {
        Ok(Some(status)) => HttpResponse::Ok().json(status),
        Ok(None) => HttpResponse::Conflict().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn book(ledger: Data<Addr<Ledger>>) -> impl Responder {
    match ledger.send(ledger::Read).await {
        Ok(book) => HttpResponse::Ok().json(book),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
