//! Requests at a worker.

use std::io;
use std::time::Duration;

use actix::{ActorFutureExt, Addr, Handler, Message, ResponseActFuture, WrapFuture};
use actix_web::body::SizedStream;
use actix_web::http::header::HeaderValue;
use actix_web::web::{Bytes, Data};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use futures_util::stream;
use persimmongate_core::fleet::Health;
use persimmongate_wire::platform::{OUTCOME_HEADER, REQUEST_ID_HEADER};

use super::{Payload, Worker};
use crate::faults;
use crate::ledger::Event;

/// `Run` is a request as its answer names it.
#[derive(Clone, Debug)]
pub(super) struct Run {
    id: Option<HeaderValue>,
    payload: Payload,
}

/// `Begin` runs a request; the answer tells how, or nothing when it was refused.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Ran>")]
struct Begin(Run);

/// `Ran` is a request that ran.
#[derive(Clone, Debug)]
struct Ran {
    fault: faults::Worker,
    /// Request that ran before.
    before: Option<Run>,
}

impl Handler<Begin> for Worker {
    type Result = ResponseActFuture<Self, Option<Ran>>;

    fn handle(&mut self, Begin(run): Begin, _: &mut Self::Context) -> Self::Result {
        let full = self.in_flight >= u32::from(self.fact.slots);
        let refuses = self.fault == faults::Worker::Refusing;
        if full || refuses || self.health != Health::Serving {
            self.ledger.do_send(Event::Refused);
            return Box::pin(actix::fut::ready(None));
        }
        self.in_flight += 1;
        let in_flight = self.in_flight;
        let generation = self.fact.generation;
        self.ledger.do_send(Event::Started {
            nonce: run.payload.nonce.clone(),
            in_flight,
        });
        let work = match self.fault {
            faults::Worker::Failing => 0,
            faults::Worker::Slow(millis) => run.payload.work_ms + millis,
            _ => run.payload.work_ms,
        };
        let ran = Ran {
            fault: self.fault,
            before: self.last.replace(run),
        };
        // The work goes on when its caller is gone, as on a real worker.
        let work = actix_rt::time::sleep(Duration::from_millis(work));
        Box::pin(work.into_actor(self).map(move |(), act, _| {
            if act.fact.generation == generation {
                act.in_flight = act.in_flight.saturating_sub(1);
            }
            Some(ran)
        }))
    }
}

/// Answers a request as the worker's fault has it.
pub(super) async fn handle(
    worker: Data<Addr<Worker>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let Ok(payload) = serde_json::from_slice::<Payload>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let run = Run { id, payload };
    let Some(ran) = worker.send(Begin(run.clone())).await.ok().flatten() else {
        let mut refusal = HttpResponse::ServiceUnavailable();
        refusal.insert_header((OUTCOME_HEADER, "not-run"));
        return respond(refusal, run);
    };
    match ran.fault {
        faults::Worker::Mismatched => respond(HttpResponse::Ok(), ran.before.unwrap_or(run)),
        faults::Worker::Failing => respond(HttpResponse::InternalServerError(), run),
        faults::Worker::Late(millis) => {
            actix_rt::time::sleep(Duration::from_millis(millis)).await;
            respond(HttpResponse::Ok(), run)
        }
        faults::Worker::Truncated => truncate(&run),
        _ => respond(HttpResponse::Ok(), run),
    }
}

fn respond(mut response: HttpResponseBuilder, run: Run) -> HttpResponse {
    if let Some(id) = run.id {
        response.insert_header((REQUEST_ID_HEADER, id));
    }
    response.json(run.payload)
}

/// Makes an answer that breaks off in the middle.
fn truncate(run: &Run) -> HttpResponse {
    let whole = serde_json::to_vec(&run.payload).unwrap_or_default();
    let half = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
    let parts = [Ok(half), Err(io::Error::from(io::ErrorKind::BrokenPipe))];
    let body = SizedStream::new(whole.len() as u64, stream::iter(parts));
    let mut response = HttpResponse::Ok();
    if let Some(id) = &run.id {
        response.insert_header((REQUEST_ID_HEADER, id.clone()));
    }
    response.body(body)
}
