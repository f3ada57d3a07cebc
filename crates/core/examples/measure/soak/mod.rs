//! Long randomised simulation of all decision code under faults, with every check asserted.

use persimmongate_core::invariant::Check;

use crate::table::Table;
use crate::world::fault::Plan;
use crate::world::run::run as simulate;

/// Simulates a plan drawn from a seed; returns whether no check failed.
pub(crate) fn run(seed: u64, steps: u64) -> bool {
    let report = simulate(&Plan::draw(seed, steps));
    let mut faults = Table::new(&["fault", "injected"]);
    for (fault, count) in &report.faults {
        faults.add(vec![format!("{fault:?}"), count.to_string()]);
    }
    faults.print();
    let mut totals = Table::new(&["what", "count"]);
    let counts = [
        ("answered", report.answered),
        ("not run", report.not_run),
        ("unknown", report.unknown),
        ("moves", report.moves),
        ("planned stops", report.planned_stops),
        ("records", report.records),
    ];
    for (name, count) in counts {
        totals.add(vec![name.to_owned(), count.to_string()]);
    }
    totals.print();
    let mut checks = Table::new(&["check", "breaches"]);
    for check in Check::ALL {
        let count = report.breaches.get(&check).copied().unwrap_or(0);
        checks.add(vec![check.name().to_owned(), count.to_string()]);
    }
    checks.print();
    for breach in &report.first_breaches {
        println!("{breach}");
    }
    report.breaches.is_empty()
}
