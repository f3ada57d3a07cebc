//! The call that sets faults.

use actix::Addr;
use actix_web::web::{self, Data, Json, ServiceConfig};
use actix_web::{HttpResponse, Responder};

use super::Fault;
use crate::hosts::{self, Hosts};
use crate::log::{self, Store};

/// Adds the route of the faults.
pub fn configure(config: &mut ServiceConfig) {
    config.route("/faults", web::post().to(set));
}

async fn set(
    store: Data<Addr<Store>>,
    hosts: Data<Addr<Hosts>>,
    fault: Json<Fault>,
) -> impl Responder {
    let set = match fault.into_inner() {
        Fault::List(list) => hosts.send(hosts::Break(list)).await,
        Fault::Log(fault) => store.send(log::Break(fault)).await,
        Fault::Retention(records) => store.send(log::Keep(records)).await,
        Fault::Workers { target, fault } => hosts.send(hosts::Hit { target, fault }).await,
    };
    match set {
        Ok(()) => HttpResponse::NoContent().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
