//! The request handler of a worker.

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
use crate::runs::Event;

/// `Echo` is the id and the payload of a request, which its answer repeats.
#[derive(Clone, Debug)]
pub(super) struct Echo {
    request_id: Option<HeaderValue>,
    payload: Payload,
}

/// `Execute` is a command to run a request; the result is `None` if the request was rejected.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Execution>")]
struct Execute(Echo);

/// `Execution` is a finished run, with the fault that determines its answer.
#[derive(Clone, Debug)]
struct Execution {
    fault: faults::Worker,
    /// Request that started before this one.
    previous: Option<Echo>,
}

impl Handler<Execute> for Worker {
    type Result = ResponseActFuture<Self, Option<Execution>>;

    fn handle(&mut self, Execute(request): Execute, _: &mut Self::Context) -> Self::Result {
        let is_full = self.in_flight >= u32::from(self.listing.slots);
        let is_refusing = self.fault == faults::Worker::Refusing;
        if is_full || is_refusing || self.health != Health::Serving {
            self.run_counter.do_send(Event::Refused);
            return Box::pin(actix::fut::ready(None));
        }
        self.in_flight += 1;
        let in_flight = self.in_flight;
        let generation = self.listing.generation;
        self.run_counter.do_send(Event::Started {
            nonce: request.payload.nonce.clone(),
            in_flight,
        });
        let work_ms = match self.fault {
            faults::Worker::Failing => 0,
            faults::Worker::Slow(millis) => request.payload.work_ms + millis,
            _ => request.payload.work_ms,
        };
        let execution = Execution {
            fault: self.fault,
            previous: self.latest_request.replace(request),
        };
        // As on a real worker, the work continues after its caller has disconnected.
        let work = actix_rt::time::sleep(Duration::from_millis(work_ms));
        Box::pin(work.into_actor(self).map(move |(), act, _| {
            if act.listing.generation == generation {
                act.in_flight = act.in_flight.saturating_sub(1);
            }
            Some(execution)
        }))
    }
}

/// Runs a request and answers it as the fault of the worker requires.
pub(super) async fn handle(
    worker: Data<Addr<Worker>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let Ok(payload) = serde_json::from_slice::<Payload>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let echo = Echo {
        request_id,
        payload,
    };
    let Some(execution) = worker.send(Execute(echo.clone())).await.ok().flatten() else {
        let mut rejection = HttpResponse::ServiceUnavailable();
        rejection.insert_header((OUTCOME_HEADER, "not-run"));
        return respond(rejection, echo);
    };
    match execution.fault {
        faults::Worker::Mismatched => {
            respond(HttpResponse::Ok(), execution.previous.unwrap_or(echo))
        }
        faults::Worker::Failing => respond(HttpResponse::InternalServerError(), echo),
        faults::Worker::Late(millis) => {
            actix_rt::time::sleep(Duration::from_millis(millis)).await;
            respond(HttpResponse::Ok(), echo)
        }
        faults::Worker::Truncated => respond_truncated(&echo),
        _ => respond(HttpResponse::Ok(), echo),
    }
}

fn respond(mut response: HttpResponseBuilder, echo: Echo) -> HttpResponse {
    if let Some(request_id) = echo.request_id {
        response.insert_header((REQUEST_ID_HEADER, request_id));
    }
    response.json(echo.payload)
}

/// Builds an answer whose body ends with an error after half of the announced length.
fn respond_truncated(echo: &Echo) -> HttpResponse {
    let full_body = serde_json::to_vec(&echo.payload).unwrap_or_default();
    let half = Bytes::copy_from_slice(&full_body[..full_body.len() / 2]);
    let parts = [Ok(half), Err(io::Error::from(io::ErrorKind::BrokenPipe))];
    let body = SizedStream::new(full_body.len() as u64, stream::iter(parts));
    let mut response = HttpResponse::Ok();
    if let Some(request_id) = &echo.request_id {
        response.insert_header((REQUEST_ID_HEADER, request_id.clone()));
    }
    response.body(body)
}
