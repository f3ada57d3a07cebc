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
        Fault::HostList(list) => hosts.send(hosts::SetListFault(list)).await,
        Fault::Log(fault) => store.send(log::SetFault(fault)).await,
        Fault::Retention(records) => store.send(log::SetRetention(records)).await,
        Fault::Workers { target, fault } => {
            hosts.send(hosts::SetWorkerFault { target, fault }).await
        }
    };
    match set {
        Ok(()) => HttpResponse::NoContent().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
