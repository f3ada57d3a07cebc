//! Hosts that can't be moved or maintained, beside others that can.

use crate::fixture::{Fixture, HOST_CPU_MILLICORES, load};

// Guards against a lender with the lowest demand that has hosts above its share, but none that may move: it
// was asked in every pass, and the other lenders never.
#[test]
fn verify_lender_without_movable_hosts_keeps_no_other_from_lending() {
    let mut fixture = Fixture::with_pools(&["one", "three", "two"], 8);
    fixture.hosts.retain(|host| host.service != *"spare");
    let workers: Vec<String> = (0..8).map(|n| format!("w-three-{n}")).collect();
    let workers: Vec<&str> = workers.iter().map(String::as_str).collect();
    let mut three = load("three", HOST_CPU_MILLICORES / 2, 0, &workers);
    three.min_hosts = 0;
    // All hosts of the lender with the lowest demand run long-running tasks.
    let mut two = load("two", 0, 0, &[]);
    two.min_hosts = 0;
    let demand = 17 * HOST_CPU_MILLICORES / 2;
    fixture.loads = vec![load("one", demand, 0, &[]), two, three];
    fixture.run(4);
    assert!(fixture.pool_size("one") > 8, "no host was lent");
    assert_eq!(fixture.pool_size("two"), 8);
}
