//! The HTTP route that sets faults.

use actix::Addr;
use actix_web::web::{self, Data, Json, ServiceConfig};
use actix_web::{HttpResponse, Responder};

use super::Fault;
use crate::hosts::{self, Hosts};
use crate::log::{self, Store};

/// Registers the route that sets faults.
pub fn configure(config: &mut ServiceConfig) {
    config.route("/faults", web::post().to(set_fault));
}

async fn set_fault(
    store: Data<Addr<Store>>,
    hosts: Data<Addr<Hosts>>,
    fault: Json<Fault>,
) -> impl Responder {
    let result = match fault.into_inner() {
        Fault::HostList(fault) => hosts.send(hosts::SetListFault(fault)).await,
        Fault::Log(fault) => store.send(log::SetFault(fault)).await,
        Fault::Retention(retention) => store.send(log::SetRetention(retention)).await,
        Fault::Workers { target, fault } => {
            hosts.send(hosts::SetWorkerFault { target, fault }).await
        }
    };
    match result {
        Ok(()) => HttpResponse::NoContent().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
