//! All processes are replaced during an outage of the log.
//!
//! Guards against the loss of the sheet and the host assignments in a log outage: the new processes
//! fetch the replayed state from their peers, serve idempotent requests, reject requests with an
//! idempotency key, and continue in the same state after the outage.

use std::net::SocketAddr;

use persimmongate_core::state::State;
use persimmongate_standin::faults::{Fault, Log};
use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::{Cluster, Node, Program};
use persimmongate_tests::wait::wait_until;
use rustix::process::Signal;

/// Returns the revision, targets and budgets of the sheet in force and the pool of each host.
fn sheet_and_hosts(state: &State) -> impl PartialEq + std::fmt::Debug + use<> {
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
async fn verify_sheet_survives_replacement_of_all_processes() {
    let mut cluster = Cluster::start().await;
    let http = cluster.http.clone();
    let before = sheet_and_hosts(&cluster.state().await.unwrap());
    cluster.set_fault(Fault::Log(Log::Down)).await;
    let entry = cluster.entries[0].caller_address();
    let idempotent_call = Call::idempotent("finder", 0, 10);
    assert_eq!(idempotent_call.send(&http, entry).await, Outcome::Answered);
    let at_most_once_call = Call::at_most_once("finder", 1, 10);
    let outcome = at_most_once_call.send(&http, entry).await;
    assert!(matches!(outcome, Outcome::NotRun(_)), "{outcome:?}");
    let old_nodes: Vec<Node> = cluster
        .entries
        .drain(..)
        .chain(cluster.fleet.drain(..))
        .collect();
    let seeds: Vec<SocketAddr> = old_nodes.iter().map(|node| node.peer_address).collect();
    for index in 3..6 {
        cluster.start_node(Program::Entry, &format!("entry-{index}"), &seeds);
        cluster.start_node(Program::Fleet, &format!("fleet-{index}"), &seeds);
    }
    for node in cluster.nodes() {
        wait_until("a replayed state fetched from a peer", async || {
            cluster.node_state(node).await.is_some()
        })
        .await;
    }
    drop(old_nodes);
    // The log is still down, and no process that has read it is running.
    let entry = cluster.entries[0].caller_address();
    let idempotent_call = Call::idempotent("finder", 2, 10);
    assert_eq!(idempotent_call.send(&http, entry).await, Outcome::Answered);
    let outcome = at_most_once_call.send(&http, entry).await;
    assert!(matches!(outcome, Outcome::NotRun(_)), "{outcome:?}");
    cluster.set_fault(Fault::Log(Log::Up)).await;
    cluster.wait_for_members().await;
    assert_eq!(sheet_and_hosts(&cluster.state().await.unwrap()), before);
    wait_until("an answer to the retried request", async || {
        at_most_once_call.send(&http, entry).await == Outcome::Answered
    })
    .await;
    let counts = cluster.run_counts().await;
    idempotent_call.check(&Outcome::Answered, &counts);
    at_most_once_call.check(&Outcome::Answered, &counts);
    assert_eq!(counts.interrupted, 0);
    cluster.fleet[0].process.signal(Signal::TERM);
    let status = cluster.fleet[0].process.wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
}
