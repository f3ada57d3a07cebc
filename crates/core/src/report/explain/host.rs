//! Explanation of a host.

use super::Explanation;
use crate::ids;
use crate::record::Phase;
use crate::state::{Host, SPARE, Stage, State};

pub(super) fn explain(state: &State, name: &ids::Host) -> Option<Explanation> {
    let host = state.hosts.get(name)?;
    Some(Explanation {
        subject: format!("host {name}"),
        current_state: vec![place(state, host), stage(host), start(host)],
        next_steps: next(state, name, host),
    })
}

fn place(state: &State, host: &Host) -> String {
    let at = format!("rack {} of availability zone {}", host.rack, host.zone);
    if host.pool == SPARE {
        return format!("It is in the spare pool, which all services share, and stands in {at}.");
    }
    match state.service_of(&host.pool) {
        Some(service) => format!(
            "It is in pool {}, which serves {service}, and stands in {at}.",
            host.pool
        ),
        None => format!("It is in pool {} and stands in {at}.", host.pool),
    }
}

fn stage(host: &Host) -> String {
    match &host.stage {
        Stage::Draining { wave, since } => format!(
            "It is draining for wave {wave} since offset {since}: it gets no new work and finishes \
             what it has."
        ),
        Stage::Lost => "It is lost: it failed without a plan, gets no work and does not count for \
                        its service's budget."
            .to_owned(),
        Stage::Serving if host.pool == SPARE => {
            "It is healthy and idle: the spare pool serves no callers.".to_owned()
        }
        Stage::Serving => "It is serving: it gets work.".to_owned(),
        Stage::Stopping { wave: Some(wave) } => {
            format!("It is being restarted for wave {wave} and gets no work.")
        }
        Stage::Stopping { wave: None } => {
            "It is being restarted outside of any wave and does not count for its service's budget."
                .to_owned()
        }
    }
}

fn start(host: &Host) -> String {
    let maintained = match host.maintained_offset {
        0 => "not maintained since it was enrolled".to_owned(),
        offset => format!("last maintained at offset {offset}"),
    };
    format!(
        "It runs its start number {} and was {maintained}.",
        host.generation
    )
}

fn next(state: &State, name: &ids::Host, host: &Host) -> Vec<String> {
    let mut next = Vec::new();
    match &host.stage {
        Stage::Draining { .. } => next.push(
            "When every entry host reports no request in flight on it, the platform restarts it; it \
             returns to its pool with a new start number."
                .to_owned(),
        ),
        Stage::Lost => next.push(
            "When the platform reports it healthy again, it returns to its pool; until then the \
             spare pool may fill its place."
                .to_owned(),
        ),
        Stage::Serving => next.extend(next_wave(state, host)),
        Stage::Stopping { .. } => next.push(
            "When the platform reports its new start healthy, it returns to its pool; until then \
             look at the host itself if it takes long."
                .to_owned(),
        ),
    }
    if let Some(pool) = state.pins.get(name).filter(|pool| **pool != host.pool) {
        next.push(format!(
            "The sheet puts it into pool {pool}; it moves once its service can spare it."
        ));
    }
    if next.is_empty() {
        next.push("Nothing is planned for it.".to_owned());
    }
    next
}

fn next_wave(state: &State, host: &Host) -> Option<String> {
    let due = |(_, wave): &(&ids::Wave, &crate::state::Wave)| {
        wave.pool == host.pool && host.maintained_offset < wave.sheet_offset
    };
    let (name, wave) = state
        .waves
        .iter()
        .filter(due)
        .filter(|(_, wave)| matches!(wave.phase, Phase::Paused | Phase::Running))
        .min_by_key(|(_, wave)| wave.sheet_offset)?;
    Some(match wave.phase {
        Phase::Paused => format!(
            "Wave {name} would maintain it, but is paused: {}.",
            wave.reason
        ),
        _ => format!(
            "Wave {name} maintains it when its turn comes; at most {} of the pool are out at once.",
            super::hosts(usize::try_from(wave.batch).unwrap_or(usize::MAX))
        ),
    })
}
