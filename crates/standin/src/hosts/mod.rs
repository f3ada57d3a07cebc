//! The platform's host service: a host list that is updated with a lag, drains and reboots.

use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture};
use actix_web::web::{self, Data, Path, Query, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use persimmongate_core::fleet::{Health, Status};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::Listing;
use serde::Deserialize;

use crate::faults;
use crate::runs;
use crate::worker::{self, Command, GetStatus, Operation, Worker};

/// `Hosts` is the host service: it owns the workers and the host list.
pub struct Hosts {
    workers: Map<ids::Host, (Listing, Addr<Worker>)>,
    /// Time between two updates of the list.
    list_update_interval: Duration,
    listed: Vec<Listing>,
    list_fault: faults::HostList,
}

impl Hosts {
    /// Starts a worker for each host. The list is updated every `list_update_interval`; a reboot
    /// takes `reboot_time`.
    #[must_use]
    pub fn new(
        listings: Vec<Listing>,
        list_update_interval: Duration,
        reboot_time: Duration,
        run_counter: &Addr<runs::Counter>,
    ) -> Self {
        let start_worker = |listing: Listing| {
            let worker = Worker::new(listing.clone(), reboot_time, run_counter.clone()).start();
            (listing.host.clone(), (listing, worker))
        };
        Self {
            workers: listings.into_iter().map(start_worker).collect(),
            list_update_interval,
            listed: Vec::new(),
            list_fault: faults::HostList::default(),
        }
    }

    fn update_list(&mut self, ctx: &mut Context<Self>) {
        let workers = self.workers.values().cloned().collect::<Vec<_>>();
        let collect_listed = async move {
            let mut listed = Vec::new();
            for (mut listing, worker) in workers {
                let Ok(status) = worker.send(GetStatus).await else {
                    continue;
                };
                listing.generation = status.generation;
                if !matches!(status.health, Health::Dead | Health::Rebooting) {
                    listed.push(listing);
                }
            }
            listed
        };
        let collect_listed = actix::fut::wrap_future::<_, Self>(collect_listed);
        ctx.spawn(actix::ActorFutureExt::map(
            collect_listed,
            |listed, act: &mut Self, _| {
                if !act.list_fault.is_frozen {
                    act.listed = listed;
                }
            },
        ));
    }
}

impl Actor for Hosts {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.update_list(ctx);
        ctx.run_interval(self.list_update_interval, Self::update_list);
    }
}

/// `ListHosts` is a query for the host list as of its last update.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<Listing>")]
pub struct ListHosts;

impl Handler<ListHosts> for Hosts {
    type Result = MessageResult<ListHosts>;

    fn handle(&mut self, _: ListHosts, _: &mut Self::Context) -> Self::Result {
        let missing_hosts = &self.list_fault.missing_hosts;
        let listed = self.listed.iter();
        let listed = listed.filter(|listing| !missing_hosts.contains(&listing.host));
        MessageResult(listed.cloned().collect())
    }
}

/// `SetListFault` is a command to set the behaviour of the host list.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetListFault(pub faults::HostList);

impl Handler<SetListFault> for Hosts {
    type Result = ();

    fn handle(&mut self, SetListFault(fault): SetListFault, _: &mut Self::Context) {
        self.list_fault = fault;
    }
}

/// `SetWorkerFault` is a command to set the behaviour of some workers.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetWorkerFault {
    /// Workers affected.
    pub target: faults::Target,
    /// Behaviour of these workers.
    pub fault: faults::Worker,
}

impl Handler<SetWorkerFault> for Hosts {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, message: SetWorkerFault, _: &mut Self::Context) -> Self::Result {
        let targeted = self.workers.values();
        let targeted = targeted.filter(|(listing, _)| message.target.matches(listing));
        let targeted: Vec<Addr<Worker>> = targeted.map(|(_, worker)| worker.clone()).collect();
        Box::pin(async move {
            for worker in targeted {
                // The fault of a worker whose actor has stopped has no effect.
                let _ = worker.send(worker::SetFault(message.fault)).await;
            }
        })
    }
}

/// `CallHost` is a call for one host: a command, or a query for its status. The result is `None`
/// for an unknown host or a generation that is not current.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Status>")]
pub struct CallHost {
    /// Host called.
    pub host: ids::Host,
    /// Command to execute, or `None` to query the status.
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

/// Registers the routes of the hosts and of the run counts.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/hosts", web::get().to(list_hosts))
        .route("/hosts/{host}", web::get().to(read_status))
        .route("/hosts/{host}/{step}", web::post().to(send_command))
        .route("/ledger", web::get().to(read_run_counts));
}

async fn list_hosts(hosts: Data<Addr<Hosts>>) -> impl Responder {
    match hosts.send(ListHosts).await {
        Ok(listings) => HttpResponse::Ok().json(listings),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn read_status(hosts: Data<Addr<Hosts>>, host: Path<String>) -> impl Responder {
    call_host(
        &hosts,
        CallHost {
            host: host.into_inner().into(),
            command: None,
        },
    )
    .await
}

/// `CommandParameters` is the query string of a command.
#[derive(Clone, Copy, Debug, Deserialize)]
struct CommandParameters {
    generation: ids::Generation,
}

async fn send_command(
    hosts: Data<Addr<Hosts>>,
    path: Path<(String, Operation)>,
    parameters: Query<CommandParameters>,
) -> impl Responder {
    let (host, operation) = path.into_inner();
    let command = Command {
        generation: parameters.generation,
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

async fn read_run_counts(run_counter: Data<Addr<runs::Counter>>) -> impl Responder {
    match run_counter.send(runs::GetCounts).await {
        Ok(counts) => HttpResponse::Ok().json(counts),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
