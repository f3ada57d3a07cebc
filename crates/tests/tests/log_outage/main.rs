//! The log goes away, every process is replaced, and the log comes back.

use std::net::SocketAddr;

use persimmongate_core::state::State;
use persimmongate_standin::faults::{Fault, Log};
use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::{Cluster, Node, Program};
use persimmongate_tests::wait::wait_until;
use rustix::process::Signal;

/// Gets the sheet in force and the hosts of each pool.
fn intent(state: &State) -> impl PartialEq + std::fmt::Debug + use<> {
    let mut hosts: Vec<_> = state
        .hosts
        .iter()
        .map(|(name, host)| (name.clone(), host.pool.clone()))
        .collect();
    hosts.sort();
    let mut targets: Vec<_> = state
        .pools
        .iter()
        .map(|(name, pool)| (name.clone(), pool.target))
        .collect();
    targets.sort();
    let mut budgets: Vec<_> = state.budgets.clone().into_iter().collect();
    budgets.sort();
    (state.revision, hosts, targets, budgets)
}

#[actix_rt::test]
async fn verify_sheet_outlives_every_process() {
    let mut cluster = Cluster::start().await;
    let http = cluster.http.clone();
    let before = intent(&cluster.state().await.unwrap());
    cluster.set_fault(Fault::Log(Log::Down)).await;
    let entry = cluster.entries[0].caller_address();
    let lookup = Call::idempotent("finder", 0, 10);
    assert_eq!(lookup.send(&http, entry).await, Outcome::Answered);
    let filing = Call::at_most_once("finder", 1, 10);
    let told = filing.send(&http, entry).await;
    assert!(matches!(told, Outcome::NotRun(_)), "{told:?}");
    let old: Vec<Node> = cluster
        .entries
        .drain(..)
        .chain(cluster.fleet.drain(..))
        .collect();
    let seeds: Vec<SocketAddr> = old.iter().map(|node| node.peer_address).collect();
    for index in 3..6 {
        cluster.start_node(Program::Entry, &format!("entry-{index}"), &seeds);
        cluster.start_node(Program::Fleet, &format!("fleet-{index}"), &seeds);
    }
    for node in cluster.nodes() {
        wait_until("a fold taken over from a peer", async || {
            cluster.node_state(node).await.is_some()
        })
        .await;
    }
    drop(old);
    // The log is still gone, and so is every process that ever read it.
    let entry = cluster.entries[0].caller_address();
    let lookup = Call::idempotent("finder", 2, 10);
    assert_eq!(lookup.send(&http, entry).await, Outcome::Answered);
    let told = filing.send(&http, entry).await;
    assert!(matches!(told, Outcome::NotRun(_)), "{told:?}");
    cluster.set_fault(Fault::Log(Log::Up)).await;
    cluster.wait_for_members().await;
    assert_eq!(intent(&cluster.state().await.unwrap()), before);
    wait_until("an answer to the filing sent again", async || {
        filing.send(&http, entry).await == Outcome::Answered
    })
    .await;
    let counts = cluster.run_counts().await;
    lookup.check(&Outcome::Answered, &counts);
    filing.check(&Outcome::Answered, &counts);
    assert_eq!(counts.interrupted, 0);
    cluster.fleet[0].process.signal(Signal::TERM);
    let status = cluster.fleet[0].process.wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
}
