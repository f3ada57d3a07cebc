//! One backend server: slots, drain, reboot.

use std::time::Duration;

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, MessageResult,
    ResponseActFuture, WrapFuture,
};
use actix_web::dev::ServerHandle;
use actix_web::web::{Bytes, Data, PayloadConfig};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, Responder};
use persimmongate_core::fleet::{Health, Status};
use persimmongate_core::ids;
use persimmongate_core::record::Fact;
use persimmongate_wire::platform::{OUTCOME_HEADER, REQUEST_HEADER};
use serde::{Deserialize, Serialize};

use crate::ledger::{Entry, Ledger};

/// Largest body that the worker reads, in bytes.
const BODY_MAX: usize = 4 * 1024 * 1024;

/// `Task` is the body of a request: the stand-in's work is to wait.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Task {
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
                .default_service(actix_web::web::to(handle))
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

    fn reboot(&mut self, ctx: &mut Context<Self>) {
        if self.in_flight > 0 {
            self.ledger.do_send(Entry::Cut(u64::from(self.in_flight)));
        }
        self.health = Health::Rebooting;
        if let Some(server) = self.server.take() {
            actix_rt::spawn(server.stop(false));
        }
        ctx.run_later(self.reboot, |act, ctx| {
            act.fact.generation += 1;
            act.in_flight = 0;
            act.serve(ctx);
        });
    }
}

impl Actor for Worker {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.serve(ctx);
    }
}

/// `Begin` runs a request; the answer tells whether it ran.
#[derive(Clone, Debug, Message)]
#[rtype(result = "bool")]
struct Begin(Task);

impl Handler<Begin> for Worker {
    type Result = ResponseActFuture<Self, bool>;

    fn handle(&mut self, Begin(task): Begin, _: &mut Self::Context) -> Self::Result {
        let full = self.in_flight >= u32::from(self.fact.slots);
        if full || self.health != Health::Serving {
            self.ledger.do_send(Entry::Refused);
            return Box::pin(actix::fut::ready(false));
        }
        self.in_flight += 1;
        let in_flight = self.in_flight;
        let generation = self.fact.generation;
        self.ledger.do_send(Entry::Ran {
            nonce: task.nonce,
            in_flight,
        });
        // The work goes on when its caller is gone, as on a real worker.
        let work = actix_rt::time::sleep(Duration::from_millis(task.work_ms));
        Box::pin(work.into_actor(self).map(move |(), act, _| {
            if act.fact.generation == generation {
                act.in_flight = act.in_flight.saturating_sub(1);
            }
            true
        }))
    }
}

/// `Ask` gets the status of the worker.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Status")]
pub struct Ask;

impl Handler<Ask> for Worker {
    type Result = MessageResult<Ask>;

    fn handle(&mut self, _: Ask, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.status())
    }
}

/// `Order` is a call of the platform for one generation of the host.
#[derive(Clone, Copy, Debug, Deserialize, Message)]
#[rtype(result = "Option<Status>")]
pub struct Order {
    /// Generation meant; the call is refused for any other.
    pub generation: ids::Generation,
    /// What to do.
    pub step: Step,
}

/// `Step` is what the platform asks of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Refuse new requests.
    Drain,
    /// Stop and start again.
    Reboot,
    /// Take requests again.
    Undrain,
}

impl Handler<Order> for Worker {
    type Result = MessageResult<Order>;

    fn handle(&mut self, order: Order, ctx: &mut Self::Context) -> Self::Result {
        if order.generation != self.fact.generation {
            return MessageResult(None);
        }
        match (order.step, self.health) {
            (Step::Drain, Health::Serving) => self.health = Health::Draining,
            (Step::Undrain, Health::Draining) => self.health = Health::Serving,
            (Step::Reboot, Health::Serving | Health::Draining | Health::Dead) => self.reboot(ctx),
            _ => {}
        }
        MessageResult(Some(self.status()))
    }
}

async fn handle(worker: Data<Addr<Worker>>, request: HttpRequest, body: Bytes) -> impl Responder {
    let Ok(task) = serde_json::from_slice::<Task>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let id = request.headers().get(REQUEST_HEADER).cloned();
    let ran = worker.send(Begin(task.clone())).await.unwrap_or(false);
    let mut response = if ran {
        HttpResponse::Ok()
    } else {
        let mut refusal = HttpResponse::ServiceUnavailable();
        refusal.insert_header((OUTCOME_HEADER, "not-run"));
        refusal
    };
    if let Some(id) = id {
        response.insert_header((REQUEST_HEADER, id));
    }
    response.json(task)
}
