//! Text of the status.

use std::fmt::Write;
use std::time::Duration;

use persimmongate_core::record::{Phase, Role};
use persimmongate_core::report::{Pool, Service, Status, Wave};

/// Time without a read of the log after which the operator is warned.
const AGE_MAX: Duration = Duration::from_secs(5);

/// Makes the text of the status.
pub(crate) fn format_status(status: &Status) -> String {
    let mut text = head(status);
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "{:<20}{:<16}{:>8}{:>8}{:>9}  holder",
        "pool", "service", "target", "hosts", "serving"
    );
    for pool in &status.pools {
        let _ = writeln!(text, "{}", pool_line(pool));
    }
    let _ = writeln!(
        text,
        "{:<20}{:>10}{:>9}{:>10}",
        "service", "promised", "serving", "to spare"
    );
    for service in &status.services {
        let _ = writeln!(text, "{}", service_line(service));
    }
    for wave in &status.waves {
        let _ = writeln!(text, "{}", wave_line(wave));
    }
    for member in &status.members {
        let role = match member.role {
            Role::Entry => "entry",
            Role::Fleet => "fleet",
        };
        let (name, zone, http) = (&member.name, &member.zone, member.http);
        let _ = writeln!(text, "{role} {name} in {zone}, {http}");
    }
    text
}

fn head(status: &Status) -> String {
    let mut text = String::new();
    match status.log_age {
        Some(age) if age > AGE_MAX => {
            let _ = writeln!(
                text,
                "warning: the platform's log can't be read; this is the state of {} s ago",
                age.as_secs()
            );
        }
        None => text.push_str("warning: the platform's log was not read yet; state of a peer\n"),
        Some(_) => {}
    }
    let by = status.operator.as_deref();
    let by = by.map_or_else(String::new, |operator| format!(" by {operator}"));
    let _ = writeln!(
        text,
        "revision {}{by}, offset {}, moves {}",
        status.revision, status.next_offset, status.accepted_moves
    );
    text
}

fn pool_line(pool: &Pool) -> String {
    let service = pool.service.as_deref().unwrap_or("-");
    let holder = pool.holder.as_deref().unwrap_or("none");
    format!(
        "{:<20}{service:<16}{:>8}{:>8}{:>9}  {holder}",
        &*pool.name, pool.target_count, pool.host_count, pool.serving_count
    )
}

fn service_line(service: &Service) -> String {
    let spare = i64::from(service.serving_count) - i64::from(service.budget);
    format!(
        "{:<20}{:>10}{:>9}{spare:>10}",
        &*service.name, service.budget, service.serving_count
    )
}

fn wave_line(wave: &Wave) -> String {
    let phase = match wave.phase {
        Phase::Aborted => "aborted",
        Phase::Done => "done",
        Phase::Paused => "paused",
        Phase::Running => "running",
    };
    format!(
        "wave {} over {}: {phase}, {} of {} hosts done, {} out: {}",
        wave.name,
        wave.pool,
        wave.maintained_count,
        wave.host_count,
        wave.out_of_service_count,
        wave.reason
    )
}
