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
use crate::worker::{self, Command, GetStatus, Operation, Worker};

/// `Hosts` knows the workers, and lists them late.
pub struct Hosts {
    workers: Map<ids::Host, (Fact, Addr<Worker>)>,
    lag: Duration,
    listed: Vec<Fact>,
    faults: faults::HostList,
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
            faults: faults::HostList::default(),
        }
    }

    fn list(&mut self, ctx: &mut Context<Self>) {
        let workers = self.workers.values().cloned().collect::<Vec<_>>();
        let list = async move {
            let mut listed = Vec::new();
            for (mut fact, worker) in workers {
                let Ok(status) = worker.send(GetStatus).await else {
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
                if !act.faults.is_frozen {
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

/// `ListHosts` gets the list as it was a while ago.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<Fact>")]
pub struct ListHosts;

impl Handler<ListHosts> for Hosts {
    type Result = MessageResult<ListHosts>;

    fn handle(&mut self, _: ListHosts, _: &mut Self::Context) -> Self::Result {
        let missing = &self.faults.missing_hosts;
        let listed = self.listed.iter();
        let listed = listed.filter(|fact| !missing.contains(&fact.host));
        MessageResult(listed.cloned().collect())
    }
}

/// `SetListFault` sets the faults of the list.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetListFault(pub faults::HostList);

impl Handler<SetListFault> for Hosts {
    type Result = ();

    fn handle(&mut self, SetListFault(faults): SetListFault, _: &mut Self::Context) {
        self.faults = faults;
    }
}

/// `SetWorkerFault` sets the faults of some workers.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetWorkerFault {
    /// Which workers.
    pub target: faults::Target,
    /// How they behave.
    pub fault: faults::Worker,
}

impl Handler<SetWorkerFault> for Hosts {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, message: SetWorkerFault, _: &mut Self::Context) -> Self::Result {
        let targeted = self.workers.values();
        let targeted = targeted.filter(|(fact, _)| message.target.matches(fact));
        let targeted: Vec<Addr<Worker>> = targeted.map(|(_, worker)| worker.clone()).collect();
        Box::pin(async move {
            for worker in targeted {
                // A worker that is gone has no behaviour.
                let _ = worker.send(worker::SetFault(message.fault)).await;
            }
        })
    }
}

/// `CallHost` asks about one host, or orders a step.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Status>")]
pub struct CallHost {
    /// Host meant.
    pub host: ids::Host,
    /// Command to carry out, if any.
    pub command: Option<Command>,
}

impl Handler<CallHost> for Hosts {
    type Result = ResponseFuture<Option<Status>>;

    fn handle(&mut self, call: CallHost, _: &mut Self::Context) -> Self::Result {
        let worker = self
            .workers
            .get(&call.host)
            .map(|(_, worker)| worker.clone());
        Box::pin(async move {
            let worker = worker?;
            match call.command {
                Some(command) => worker.send(command).await.ok().flatten(),
                None => worker.send(GetStatus).await.ok(),
            }
        })
    }
}

/// Adds the routes of the hosts and the ledger.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/hosts", web::get().to(list))
        .route("/hosts/{host}", web::get().to(status))
        .route("/hosts/{host}/{step}", web::post().to(send_command))
        .route("/ledger", web::get().to(read_ledger));
}

async fn list(hosts: Data<Addr<Hosts>>) -> impl Responder {
    match hosts.send(ListHosts).await {
        Ok(facts) => HttpResponse::Ok().json(facts),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn status(hosts: Data<Addr<Hosts>>, host: Path<String>) -> impl Responder {
    call_host(
        &hosts,
        CallHost {
            host: host.into_inner().into(),
            command: None,
        },
    )
    .await
}

/// `Target` is the query of an order.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Target {
    generation: ids::Generation,
}

async fn send_command(
    hosts: Data<Addr<Hosts>>,
    path: Path<(String, Operation)>,
    target: Query<Target>,
) -> impl Responder {
    let (host, operation) = path.into_inner();
    let command = Command {
        generation: target.generation,
        operation,
    };
    call_host(
        &hosts,
        CallHost {
            host: host.into(),
            command: Some(command),
        },
    )
    .await
}

async fn call_host(hosts: &Addr<Hosts>, call: CallHost) -> HttpResponse {
    match hosts.send(call).await {
        Ok(Some(status)) => HttpResponse::Ok().json(status),
        Ok(None) => HttpResponse::Conflict().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn read_ledger(ledger: Data<Addr<Ledger>>) -> impl Responder {
    match ledger.send(ledger::GetCounts).await {
        Ok(counts) => HttpResponse::Ok().json(counts),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
