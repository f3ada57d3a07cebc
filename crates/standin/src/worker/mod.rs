//! One backend server: slots, drains, reboots and injected faults.

mod serve;

use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult};
use actix_web::dev::ServerHandle;
use actix_web::web::{Data, PayloadConfig};
use actix_web::{App, HttpServer};
use persimmongate_core::fleet::{Health, Status};
use persimmongate_core::ids;
use persimmongate_core::record::Listing;
use serde::{Deserialize, Serialize};

use crate::faults;
use crate::runs::{self, Event};
use serve::Echo;

/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// `Payload` is the body of a request and of its answer. The simulated work is a wait.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Payload {
    /// Unique identifier of the request, by which its runs are counted.
    pub nonce: String,
    /// Duration of the work, in milliseconds.
    pub work_ms: u64,
}

/// `Worker` is one backend server.
pub struct Worker {
    listing: Listing,
    health: Health,
    in_flight: u32,
    reboot_time: Duration,
    run_counter: Addr<runs::Counter>,
    server: Option<ServerHandle>,
    fault: faults::Worker,
    /// Request that started most recently. With mismatched answers, the next answer repeats it.
    latest_request: Option<Echo>,
}

impl Worker {
    /// Creates a worker that listens on the address in `listing` and takes `reboot_time` to reboot.
    #[must_use]
    pub fn new(listing: Listing, reboot_time: Duration, run_counter: Addr<runs::Counter>) -> Self {
        Self {
            listing,
            health: Health::Serving,
            in_flight: 0,
            reboot_time,
            run_counter,
            server: None,
            fault: faults::Worker::default(),
            latest_request: None,
        }
    }

    fn status(&self) -> Status {
        let health = match self.health {
            Health::Draining if self.in_flight == 0 => Health::Drained,
            health => health,
        };
        Status {
            generation: self.listing.generation,
            health,
        }
    }

    fn serve(&mut self, ctx: &mut Context<Self>) {
        let worker = ctx.address();
        let app = move || {
            App::new()
                .app_data(Data::new(worker.clone()))
                .app_data(PayloadConfig::new(BODY_MAX_BYTES))
                .default_service(actix_web::web::to(serve::handle))
        };
        let server = HttpServer::new(app)
            .workers(1)
            .max_connections(usize::from(self.listing.connections))
            .disable_signals()
            .shutdown_timeout(0)
            .bind(self.listing.address);
        match server {
            Ok(server) => {
                let server = server.run();
                self.server = Some(server.handle());
                self.health = Health::Serving;
                actix_rt::spawn(server);
            }
            Err(error) => {
                eprintln!("worker {} could not listen: {error}", self.listing.host);
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
            self.run_counter
                .do_send(Event::Interrupted(u64::from(self.in_flight)));
        }
        self.stop(Health::Rebooting);
        self.restart_later(ctx);
    }

    fn restart_later(&mut self, ctx: &mut Context<Self>) {
        ctx.run_later(self.reboot_time, |act, ctx| {
            act.listing.generation += 1;
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

/// `SetFault` is a command to set the behaviour of the worker.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct SetFault(pub faults::Worker);

impl Handler<SetFault> for Worker {
    type Result = ();

    fn handle(&mut self, SetFault(fault): SetFault, ctx: &mut Self::Context) {
        self.fault = fault;
        let has_crashed = fault == faults::Worker::Crashed;
        if has_crashed && self.health != Health::Dead {
            self.stop(Health::Dead);
        }
        if !has_crashed && self.health == Health::Dead {
            self.health = Health::Rebooting;
            self.restart_later(ctx);
        }
    }
}

/// `GetStatus` is a query for the status of the worker.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Status")]
pub struct GetStatus;

impl Handler<GetStatus> for Worker {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.status())
    }
}

/// `Command` is an operation to perform on one generation of the host. The result is `None` if
/// that generation is not the current one.
#[derive(Clone, Copy, Debug, Deserialize, Message)]
#[rtype(result = "Option<Status>")]
pub struct Command {
    /// Generation of the host that the command is for.
    pub generation: ids::Generation,
    /// Operation to perform.
    #[serde(rename = "step")]
    pub operation: Operation,
}

/// `Operation` is an operation on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Reject new requests.
    Drain,
    /// Stop and restart.
    Reboot,
    /// Accept new requests again.
    Undrain,
}

impl Handler<Command> for Worker {
    type Result = MessageResult<Command>;

    fn handle(&mut self, command: Command, ctx: &mut Self::Context) -> Self::Result {
        if command.generation != self.listing.generation {
            return MessageResult(None);
        }
        match (command.operation, self.health) {
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
