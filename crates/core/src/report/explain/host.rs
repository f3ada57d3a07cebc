//! Explanation of a host.

use super::Explanation;
use crate::ids;
use crate::record::Phase;
use crate::state::{Host, SPARE, Stage, State};

pub(super) fn explain(state: &State, name: &ids::Host) -> Option<Explanation> {
    let host = state.hosts.get(name)?;
    Some(Explanation {
        subject: format!("host {name}"),
        current_state: vec![
            describe_location(state, host),
            describe_stage(host),
            describe_generation(host),
        ],
        next_steps: list_next_steps(state, name, host),
    })
}

fn describe_location(state: &State, host: &Host) -> String {
    let location = format!("rack {} of availability zone {}", host.rack, host.zone);
    if host.pool == SPARE {
        return format!(
            "It is in the spare pool, which all services share, and stands in {location}."
        );
    }
    match state.service_of(&host.pool) {
        Some(service) => format!(
            "It is in pool {}, which serves {service}, and stands in {location}.",
            host.pool
        ),
        None => format!("It is in pool {} and stands in {location}.", host.pool),
    }
}

fn describe_stage(host: &Host) -> String {
    match &host.stage {
        Stage::Draining { wave, since } => format!(
            "It has been draining for wave {wave} since offset {since}: it gets no new requests \
             and finishes those in flight."
        ),
        Stage::Lost => "It is lost: it failed unexpectedly, gets no requests and does not count \
                        towards the availability budget of its service."
            .to_owned(),
        Stage::Serving if host.pool == SPARE => {
            "It is healthy and idle: the spare pool serves no callers.".to_owned()
        }
        Stage::Serving => "It is serving: it gets requests.".to_owned(),
        Stage::Stopping { wave: Some(wave) } => {
            format!("It is being restarted for wave {wave} and gets no requests.")
        }
        Stage::Stopping { wave: None } => {
            "It is being restarted outside any wave and does not count towards the availability \
             budget of its service."
                .to_owned()
        }
    }
}

fn describe_generation(host: &Host) -> String {
    let maintained = match host.maintained_offset {
        0 => "not maintained since its enrollment".to_owned(),
        offset => format!("last maintained at offset {offset}"),
    };
    format!(
        "It runs as generation {} and was {maintained}.",
        host.generation
    )
}

fn list_next_steps(state: &State, name: &ids::Host, host: &Host) -> Vec<String> {
    let mut next_steps = Vec::new();
    match &host.stage {
        Stage::Draining { .. } => next_steps.push(
            "When every entry host reports no request in flight on it, the platform restarts it; it \
             returns to its pool as a new generation."
                .to_owned(),
        ),
        Stage::Lost => next_steps.push(
            "When the platform reports it healthy again, it returns to its pool; until then a \
             host of the spare pool may replace it."
                .to_owned(),
        ),
        Stage::Serving => next_steps.extend(describe_next_wave(state, host)),
        Stage::Stopping { .. } => next_steps.push(
            "When the platform reports the restarted host healthy, it returns to its pool; if that \
             takes long, inspect the host itself."
                .to_owned(),
        ),
    }
    if let Some(pool) = state.pins.get(name).filter(|pool| **pool != host.pool) {
        next_steps.push(format!(
            "The sheet assigns it to pool {pool}; it moves once the availability budget of its \
             service allows."
        ));
    }
    if next_steps.is_empty() {
        next_steps.push("Nothing is planned for it.".to_owned());
    }
    next_steps
}

fn describe_next_wave(state: &State, host: &Host) -> Option<String> {
    let is_due = |(_, wave): &(&ids::Wave, &crate::state::Wave)| {
        wave.pool == host.pool && host.maintained_offset < wave.sheet_offset
    };
    let (name, wave) = state
        .waves
        .iter()
        .filter(is_due)
        .filter(|(_, wave)| matches!(wave.phase, Phase::Paused | Phase::Running))
        .min_by_key(|(_, wave)| wave.sheet_offset)?;
    Some(match wave.phase {
        Phase::Paused => format!(
            "Wave {name} is to maintain it, but is paused: {}.",
            wave.reason
        ),
        _ => format!(
            "Wave {name} maintains it when its turn comes; at most {} of the pool are out of \
             service at once.",
            super::format_hosts(usize::try_from(wave.batch).unwrap_or(usize::MAX))
        ),
    })
}
