//! Consistency checks between the rows of a sheet.

use super::{Intent, Row};
use crate::finding::Findings;
use crate::ids;
use crate::map::{Map, Set};
use crate::state::SPARE;

/// `Declared` holds the pools and services that rows define, including rows with findings.
///
/// It avoids findings in rows that refer to a pool or service whose own row has a finding.
#[derive(Default)]
pub(super) struct Declared {
    pub(super) pools: Set<ids::Pool>,
    pub(super) services: Set<ids::Service>,
    /// Services whose number of hosts is unknown, as the row of one of their pools has findings.
    pub(super) services_of_unknown_size: Set<ids::Service>,
}

/// Adds a finding for each row that contradicts another row.
pub(super) fn check_rows(rows: &[Row], mut declared: Declared, findings: &mut Findings) {
    for row in rows {
        if let Intent::Pool { name, service, .. } = &row.intent {
            declared.pools.insert(name.clone());
            declared.services.extend(service.clone());
        }
    }
    check_subjects(rows, findings);
    for row in rows {
        check_references(row, &declared, findings);
    }
    check_sizes(rows, &declared, findings);
}

/// Checks that no two rows have the same subject.
fn check_subjects(rows: &[Row], findings: &mut Findings) {
    let mut lines: Map<String, usize> = Map::default();
    for row in rows {
        let subject = row.intent.subject();
        if let Some(line) = lines.get(&subject) {
            let problem = format!("duplicate of the row on line {line}");
            findings.add(row.line, "", &subject, problem, "one row for each subject");
        } else {
            lines.insert(subject, row.line);
        }
    }
}

/// Checks that a row names only pools and services that the sheet defines.
fn check_references(row: &Row, declared: &Declared, findings: &mut Findings) {
    let mut add = |column: &str, value: &str, problem: &str, accepted: &str| {
        findings.add(row.line, column, value, problem, accepted);
    };
    match &row.intent {
        Intent::Pool { name, .. } if name == SPARE => {
            let problem = "the spare pool has no size of its own";
            add("name", name, problem, "another name");
        }
        Intent::Wave { pool, .. } if pool == SPARE => {
            let problem = "a wave can't maintain the spare pool";
            add("pool", pool, problem, "a pool of this sheet");
        }
        Intent::Move { pool, .. } | Intent::Wave { pool, .. }
            if pool != SPARE && !declared.pools.contains(pool) =>
        {
            let problem = "no row defines this pool";
            add("pool", pool, problem, "a pool of this sheet");
        }
        Intent::Budget { service, .. } | Intent::Quota { service, .. }
            if !declared.services.contains(service) =>
        {
            let problem = "no pool runs this service";
            add("service", service, problem, "a service of this sheet");
        }
        _ => {}
    }
}

/// Checks budgets, batches and moves against the numbers of hosts of the pools.
fn check_sizes(rows: &[Row], declared: &Declared, findings: &mut Findings) {
    let mut pool_sizes: Map<&ids::Pool, u32> = Map::default();
    let mut service_sizes: Map<&ids::Service, u32> = Map::default();
    for row in rows {
        if let Intent::Pool {
            name,
            service,
            hosts,
        } = &row.intent
        {
            pool_sizes.insert(name, *hosts);
            if let Some(service) = service {
                *service_sizes.entry(service).or_default() += hosts;
            }
        }
    }
    let mut move_counts: Map<&ids::Pool, u32> = Map::default();
    for row in rows {
        match &row.intent {
            Intent::Budget { service, hosts } => {
                let is_size_known = !declared.services_of_unknown_size.contains(service);
                let size = service_sizes.get(service).filter(|size| **size < *hosts);
                if let Some(size) = size.filter(|_| is_size_known) {
                    let problem = format!("the pools of {service} have only {size} hosts");
                    add_size_finding(row, "hosts", *hosts, &problem, *size, findings);
                }
            }
            Intent::Wave { pool, batch, .. } => {
                if let Some(size) = pool_sizes.get(pool).filter(|size| **size < *batch) {
                    let problem = format!("pool {pool} has only {size} hosts");
                    add_size_finding(row, "batch", *batch, &problem, *size, findings);
                }
            }
            Intent::Move { pool, .. } => {
                let count = move_counts.entry(pool).or_default();
                *count += 1;
                if let Some(size) = pool_sizes.get(pool).filter(|size| **size < *count) {
                    let problem = format!("moves put {count} hosts into a pool of {size}");
                    let accepted = format!("at most {size} moves to {pool}");
                    findings.add(row.line, "pool", pool, problem, accepted);
                }
            }
            Intent::Pool { .. } | Intent::Quota { .. } => {}
        }
    }
}

fn add_size_finding(
    row: &Row,
    column: &str,
    seen: u32,
    problem: &str,
    accepted_max: u32,
    findings: &mut Findings,
) {
    let accepted = if accepted_max == 0 {
        "no such row while the pool has no hosts".to_owned()
    } else {
        format!("a whole number from 1 to {accepted_max}")
    };
    findings.add(row.line, column, &seen.to_string(), problem, accepted);
}
