//! Crowds of clients outside the limits at the entry and fleet daemons.
//!
//! Guards against a daemon that holds what such clients send without a bound, or stops serving others because of them. No
//! check depends on the speed of the machine.

#[path = "../../../../platform/tests/crowd/client.rs"]
mod client;
#[path = "../../../../platform/tests/crowd/turn.rs"]
mod turn;
#[path = "../../../../platform/tests/crowd/usage.rs"]
mod usage;

use std::net::SocketAddr;

use client::{Crowd, Kind};
use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::{Cluster, Node};
use persimmongate_tests::wait::wait_until;
use turn::Turn;
use usage::Usage;

/// Settings of an entry host on a small machine.
const SMALL_MACHINE: &str = "memory = \"64MiB\"\ndescriptors = 512\n";
/// Memory of that machine, in bytes. A process without clients takes less than half of it.
const MEMORY_BYTES: usize = 64 * 1024 * 1024;
/// Descriptors that a process there may have open.
const MAX_DESCRIPTORS: usize = 512;

/// Kinds of crowds.
const KINDS: [Kind; 8] = [
    Kind::Whole,
    Kind::Pieces,
    Kind::LargeChunks,
    Kind::SmallChunks,
    Kind::Heads,
    Kind::LaterHeads,
    Kind::Unread,
    Kind::Silent,
];

/// Gathers crowds at an address one after the other, and checks the process beside each.
fn check_crowds(node: &Node, address: SocketAddr) {
    for kind in KINDS {
        let crowd = Crowd::gather(kind, address);
        let usage = Usage::of(node.process.id());
        println!("{}, {kind:?}: {usage:?}", node.name);
        assert!(usage.peak_bytes <= MEMORY_BYTES, "{usage:?}");
        assert!(usage.descriptors <= MAX_DESCRIPTORS, "{usage:?}");
        drop(crowd);
    }
}

#[actix_rt::test]
async fn verify_daemons_outlive_crowds() {
    let _turn = Turn::take();
    let cluster = Cluster::start_with(SMALL_MACHINE).await;
    let entry = &cluster.entries[0];
    check_crowds(entry, entry.caller_address());
    check_crowds(entry, entry.http_address);
    let fleet = &cluster.fleet[0];
    check_crowds(fleet, fleet.http_address);
    // Ordinary requests are answered again, by each of them.
    wait_until("an answer to a caller", async || {
        let call = Call::idempotent("finder", 0, 10);
        call.send(&cluster.http, entry.caller_address()).await == Outcome::Answered
    })
    .await;
    for node in [entry, fleet] {
        wait_until("an answer of the interface", async || {
            let url = format!("http://{}/health", node.http_address);
            cluster.http.get(url).send().await.is_ok()
        })
        .await;
    }
}
