//! Explanation of a service.

use super::{Explanation, format_hosts};
use crate::ids;
use crate::state::{Host, Stage, State};

/// Returns the names of all services, sorted.
pub(super) fn list_names(state: &State) -> Vec<&str> {
    let pools = state.pools.values();
    let services = pools.filter_map(|pool| pool.service.as_deref());
    let mut names: Vec<&str> = services.collect();
    names.sort_unstable();
    names.dedup();
    names
}

pub(super) fn explain(state: &State, name: &ids::Service) -> Option<Explanation> {
    let mut pools: Vec<&ids::Pool> = state
        .pools
        .iter()
        .filter(|(_, pool)| pool.service.as_ref() == Some(name))
        .map(|(pool, _)| pool)
        .collect();
    pools.sort();
    if pools.is_empty() {
        return None;
    }
    let budget = state.budgets.get(name).copied().unwrap_or(0);
    let serving = state.serving_hosts(name);
    let names: Vec<&str> = pools.iter().map(|pool| &***pool).collect();
    let mut current_state = vec![
        format!("Its hosts are in {}.", names.join(", ")),
        format!("Its availability budget is {budget} serving hosts; it has {serving}."),
    ];
    current_state.extend(list_out_of_service(state, name));
    current_state.extend(list_quotas(state, name));
    Some(Explanation {
        subject: format!("service {name}"),
        current_state,
        next_steps: vec![describe_headroom(budget, serving)],
    })
}

/// Lists the hosts of a service that are out of service, with the reason for each.
fn list_out_of_service(state: &State, name: &ids::Service) -> Option<String> {
    let is_out = |(_, host): &(&ids::Host, &Host)| {
        !host.is_serving() && state.service_of(&host.pool) == Some(name)
    };
    let mut out: Vec<String> = state
        .hosts
        .iter()
        .filter(is_out)
        .map(|(host, entry)| match &entry.stage {
            Stage::Draining { wave, .. } => format!("{host} (drained by wave {wave})"),
            Stage::Lost => format!("{host} (lost)"),
            Stage::Serving => host.to_string(),
            Stage::Stopping { .. } => format!("{host} (restarting)"),
        })
        .collect();
    out.sort();
    (!out.is_empty()).then(|| format!("Out of service: {}.", out.join(", ")))
}

fn list_quotas(state: &State, name: &ids::Service) -> Option<String> {
    let quotas = state.quotas.get(name)?.iter();
    let mut quotas: Vec<String> = quotas
        .map(|(caller, slots)| format!("{caller} {slots}"))
        .collect();
    quotas.sort();
    (!quotas.is_empty()).then(|| format!("Slots guaranteed to callers: {}.", quotas.join(", ")))
}

fn describe_headroom(budget: u32, serving: u32) -> String {
    let format_count = |number: u32| format_hosts(usize::try_from(number).unwrap_or(usize::MAX));
    if serving < budget {
        return format!(
            "It is {} short of its budget: no wave or move takes a host from it, and its pools take \
             hosts from the spare pool.",
            format_count(budget - serving)
        );
    }
    if serving == budget {
        return "It is at its budget: no wave or move takes a host from it until another host joins \
                or returns."
            .to_owned();
    }
    format!(
        "It can spare {} for waves and moves and keep its budget.",
        format_count(serving - budget)
    )
}
