//! Text of the fleet's status.

use std::fmt::Write;
use std::time::Duration;

use persimmongate_core::record::{Phase, Role};
use persimmongate_core::report::{Pool, Service, Status, Wave};

/// Time since the latest read of the log beyond which the output begins with a warning.
const MAX_LOG_AGE: Duration = Duration::from_secs(5);

/// Formats the status of the fleet.
pub(crate) fn format_status(status: &Status) -> String {
    let mut text = format_header(status);
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "{:<20}{:<16}{:>8}{:>8}{:>9}  holder",
        "pool", "service", "target", "hosts", "serving"
    );
    for pool in &status.pools {
        let _ = writeln!(text, "{}", format_pool(pool));
    }
    let _ = writeln!(
        text,
        "{:<20}{:>10}{:>9}{:>10}",
        "service", "promised", "serving", "to spare"
    );
    for service in &status.services {
        let _ = writeln!(text, "{}", format_service(service));
    }
    for wave in &status.waves {
        let _ = writeln!(text, "{}", format_wave(wave));
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

fn format_header(status: &Status) -> String {
    let mut text = String::new();
    match status.log_age {
        Some(age) if age > MAX_LOG_AGE => {
            let _ = writeln!(
                text,
                "warning: the platform's log can't be read; this state is {} s old",
                age.as_secs()
            );
        }
        None => text.push_str(
            "warning: the platform's log has not been read yet; this state comes from another \
             process\n",
        ),
        Some(_) => {}
    }
    let operator = status.operator.as_deref();
    let operator = operator.map_or_else(String::new, |operator| format!(" by {operator}"));
    let _ = writeln!(
        text,
        "revision {}{operator}, offset {}, moves {}",
        status.revision, status.next_offset, status.accepted_moves
    );
    text
}

fn format_pool(pool: &Pool) -> String {
    let service = pool.service.as_deref().unwrap_or("-");
    let holder = pool.holder.as_deref().unwrap_or("none");
    format!(
        "{:<20}{service:<16}{:>8}{:>8}{:>9}  {holder}",
        &*pool.name, pool.target_count, pool.host_count, pool.serving_count
    )
}

fn format_service(service: &Service) -> String {
    let surplus = i64::from(service.serving_count) - i64::from(service.budget);
    format!(
        "{:<20}{:>10}{:>9}{surplus:>10}",
        &*service.name, service.budget, service.serving_count
    )
}

fn format_wave(wave: &Wave) -> String {
    let phase = match wave.phase {
        Phase::Aborted => "aborted",
        Phase::Done => "done",
        Phase::Paused => "paused",
        Phase::Running => "running",
    };
    format!(
        "wave {} over {}: {phase}, {} of {} hosts maintained, {} out of service: {}",
        wave.name,
        wave.pool,
        wave.maintained_count,
        wave.host_count,
        wave.out_of_service_count,
        wave.reason
    )
}
