//! One backend server: slots, drain, reboot, faults.

mod serve;

use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult};
use actix_web::dev::ServerHandle;
use actix_web::web::{Data, PayloadConfig};
use actix_web::{App, HttpServer};
use persimmongate_core::fleet::{Health, Status};
use persimmongate_core::ids;
use persimmongate_core::record::Fact;
use serde::{Deserialize, Serialize};

use crate::faults;
use crate::ledger::{Event, Ledger};
use serve::Run;

/// Largest body that the worker reads, in bytes.
const BODY_MAX: usize = 4 * 1024 * 1024;

/// `Payload` is the body of a request: the stand-in's work is to wait.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Payload {
    /// Tells this request from all others.
    pub nonce: String,
    /// Time that the work takes, in milliseconds.
    pub work_ms: u64,
}

/// `Worker` is one backend server.
pub struct Worker {
    fact: Fact,
    health: Health,
    in_flight: u32,
    reboot: Duration,
    ledger: Addr<Ledger>,
    server: Option<ServerHandle>,
    fault: faults::Worker,
    /// Request that ran last.
    last: Option<Run>,
}

impl Worker {
    /// Makes a worker that serves at the address of its facts.
    #[must_use]
    pub fn new(fact: Fact, reboot: Duration, ledger: Addr<Ledger>) -> Self {
        Self {
            fact,
            health: Health::Serving,
            in_flight: 0,
            reboot,
            ledger,
            server: None,
            fault: faults::Worker::default(),
            last: None,
        }
    }

    fn status(&self) -> Status {
        let health = match self.health {
            Health::Draining if self.in_flight == 0 => Health::Drained,
            health => health,
        };
        Status {
            generation: self.fact.generation,
            health,
        }
    }

    fn serve(&mut self, ctx: &mut Context<Self>) {
        let address = ctx.address();
        let app = move || {
            App::new()
                .app_data(Data::new(address.clone()))
                .app_data(PayloadConfig::new(BODY_MAX))
                .default_service(actix_web::web::to(serve::handle))
        };
        let server = HttpServer::new(app)
            .workers(1)
            .max_connections(usize::from(self.fact.connections))
            .disable_signals()
            .shutdown_timeout(0)
            .bind(self.fact.address);
        match server {
            Ok(server) => {
                let server = server.run();
                self.server = Some(server.handle());
                self.health = Health::Serving;
                actix_rt::spawn(server);
            }
            Err(error) => {
                eprintln!("worker {}: {error}", self.fact.host);
                self.health = Health::Dead;
            }
        }
    }

    fn stop(&mut self, health: Health) {
        self.health = health;
        if let Some(server) = self.server.take() {
            actix_rt::spawn(server.stop(false));
        }
    }

    fn reboot(&mut self, ctx: &mut Context<Self>) {
        if self.in_flight > 0 {
            self.ledger
                .do_send(Event::Interrupted(u64::from(self.in_flight)));
        }
        self.stop(Health::Rebooting);
        self.start_again(ctx);
    }

    fn start_again(&mut self, ctx: &mut Context<Self>) {
        ctx.run_later(self.reboot, |act, ctx| {
            act.fact.generation += 1;
            act.in_flight = 0;
            if act.fault == faults::Worker::Crashed {
                act.health = Health::Dead;
            } else {
                act.serve(ctx);
            }
        });
    }
}

impl Actor for Worker {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.serve(ctx);
    }
}

/// `SetFault` sets how the worker behaves.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct SetFault(pub faults::Worker);

impl Handler<SetFault> for Worker {
    type Result = ();

    fn handle(&mut self, SetFault(fault): SetFault, ctx: &mut Self::Context) {
        self.fault = fault;
        let vanished = fault == faults::Worker::Crashed;
        if vanished && self.health != Health::Dead {
            self.stop(Health::Dead);
        }
        if !vanished && self.health == Health::Dead {
            self.health = Health::Rebooting;
            self.start_again(ctx);
        }
    }
}

/// `GetStatus` gets the status of the worker.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Status")]
pub struct GetStatus;

impl Handler<GetStatus> for Worker {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.status())
    }
}

/// `Command` is a call of the platform for one generation of the host.
#[derive(Clone, Copy, Debug, Deserialize, Message)]
#[rtype(result = "Option<Status>")]
pub struct Command {
    /// Generation meant; the call is refused for any other.
    pub generation: ids::Generation,
    /// What to do.
    #[serde(rename = "step")]
    pub operation: Operation,
}

/// `Operation` is what the platform asks of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Refuse new requests.
    Drain,
    /// Stop and start again.
    Reboot,
    /// Take requests again.
    Undrain,
}

impl Handler<Command> for Worker {
    type Result = MessageResult<Command>;

    fn handle(&mut self, order: Command, ctx: &mut Self::Context) -> Self::Result {
        if order.generation != self.fact.generation {
            return MessageResult(None);
        }
        match (order.operation, self.health) {
            (Operation::Drain, Health::Serving) => self.health = Health::Draining,
            (Operation::Undrain, Health::Draining) => self.health = Health::Serving,
            (Operation::Reboot, Health::Serving | Health::Draining | Health::Dead) => {
                self.reboot(ctx);
            }
            _ => {}
        }
        MessageResult(Some(self.status()))
    }
}
