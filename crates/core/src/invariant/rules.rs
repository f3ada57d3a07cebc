//! One function for each invariant.

use super::{Breach, Check};
use crate::fleet::{Health, Status, View};
use crate::gate::Exchange;
use crate::ids;
use crate::record::Body;
use crate::state::{Host, State};

/// `CheckResult` is `Ok` when the invariant holds, else the breach.
type CheckResult = Result<(), Breach>;

/// Checks that an answer is returned to the request whose exchange just ended.
///
/// # Errors
///
/// Returns the breach if the invariant is violated.
pub fn check_answer(request: ids::Request, ended: Option<ids::Request>) -> CheckResult {
    if ended == Some(request) {
        return Ok(());
    }
    Err(Check::Answer.breach(format!(
        "request {request} was answered without the end of its own exchange, ended: {ended:?}"
    )))
}

/// Checks that a service keeps its availability budget after an accepted drain or move took a host
/// from it.
///
/// # Errors
///
/// Returns the breach if the invariant is violated.
pub fn check_budget(state: &State, accepted: &Body) -> CheckResult {
    let (host, pool) = match accepted {
        Body::Drain { host, .. } => (host, state.hosts.get(host).map(|host| &host.pool)),
        Body::Move { host, from, to, .. } if state.service_of(from) != state.service_of(to) => {
            let serving = state.hosts.get(host).is_some_and(Host::is_serving);
            (host, serving.then_some(from))
        }
        _ => return Ok(()),
    };
    let Some(service) = pool.and_then(|pool| state.service_of(pool)) else {
        return Ok(());
    };
    let budget = state.budgets.get(service).copied().unwrap_or(0);
    // Counts the hosts again, so that a wrong count in the state is detected.
    let hosts = state.hosts.values().filter(|host| host.is_serving());
    let serving = hosts
        .filter(|host| state.service_of(&host.pool) == Some(service))
        .count();
    if u32::try_from(serving).unwrap_or(u32::MAX) >= budget {
        return Ok(());
    }
    Err(Check::Budget.breach(format!(
        "{service} has {serving} serving hosts without {host}, below its budget of {budget}"
    )))
}

/// Checks that a host gets new work only while it is known to be in service.
///
/// # Errors
///
/// Returns the breach if the invariant is violated.
pub fn check_serving(host: &ids::Host, serving: Option<bool>) -> CheckResult {
    if serving == Some(true) {
        return Ok(());
    }
    Err(Check::NotServing.breach(format!("new request sent to {host}, serving: {serving:?}")))
}

/// Checks that a request reported as not run was not run by any exchange.
///
/// # Errors
///
/// Returns the breach if the invariant is violated.
pub fn check_not_run(request: ids::Request, may_have_run: bool) -> CheckResult {
    if !may_have_run {
        return Ok(());
    }
    Err(Check::NotRun.breach(format!(
        "request {request} may have run and was reported as not run"
    )))
}

/// Checks that a non-idempotent request is sent only if it holds the claim on its key and cannot
/// have run before.
///
/// # Errors
///
/// Returns the breach if the invariant is violated.
pub fn check_once(request: ids::Request, won: bool, may_have_run: bool) -> CheckResult {
    if won && !may_have_run {
        return Ok(());
    }
    Err(Check::Once.breach(format!(
        "request {request} was sent, claim won: {won}, may have run before: {may_have_run}"
    )))
}

/// Checks that the pool index lists a host in its own pool and in no other.
///
/// # Errors
///
/// Returns the breach if the invariant is violated.
pub fn check_pool(view: &View, host: &ids::Host) -> CheckResult {
    let listing_pools = view
        .pool_index
        .iter()
        .filter(|(_, hosts)| hosts.names.contains(host));
    let mut listing_pools = listing_pools.map(|(pool, _)| pool);
    let own = view.hosts.get(host).map(|host| &host.pool);
    if listing_pools.next() == own && listing_pools.next().is_none() {
        return Ok(());
    }
    Err(Check::Pool.breach(format!(
        "{host} is not listed in its own pool only, pool: {own:?}"
    )))
}

/// Checks that a revision, term or offset does not decrease.
///
/// # Errors
///
/// Returns the breach if the invariant is violated.
pub fn check_monotonic(name: &str, previous: ids::Revision, current: ids::Revision) -> CheckResult {
    if current >= previous {
        return Ok(());
    }
    Err(Check::Revision.breach(format!("{name} decreased from {previous} to {current}")))
}

/// Checks that a host is idle, by its own status and by every in-flight report, before it is
/// stopped.
///
/// # Errors
///
/// Returns the breach if the invariant is violated.
pub fn check_stop<'a>(
    host: &ids::Host,
    generation: ids::Generation,
    status: Option<Status>,
    reports: impl Iterator<Item = &'a u32>,
) -> CheckResult {
    let in_flight: u32 = reports.sum();
    let is_idle = status.is_some_and(|status| {
        status.generation == generation && matches!(status.health, Health::Dead | Health::Drained)
    });
    if is_idle && in_flight == 0 {
        return Ok(());
    }
    Err(Check::Stop.breach(format!(
        "{host} is stopped with {in_flight} requests in flight and status {status:?}"
    )))
}

/// Checks that a stopped host is idle when it is rebooted; a repeated call may find it rebooting
/// already.
///
/// # Errors
///
/// Returns the breach if the invariant is violated.
pub(super) fn check_reboot(
    host: &ids::Host,
    generation: ids::Generation,
    status: Option<Status>,
) -> CheckResult {
    let is_rebooting = status.is_some_and(|status| {
        status.generation == generation && status.health == Health::Rebooting
    });
    if is_rebooting {
        return Ok(());
    }
    check_stop(host, generation, status, std::iter::empty())
}

/// Returns whether the backend server may have run the request.
pub(super) fn may_have_run(exchange: &Exchange) -> bool {
    !matches!(exchange, Exchange::Unavailable | Exchange::Unsent)
}
