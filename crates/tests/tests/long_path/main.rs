//! Requests whose path can't be passed on to a worker.
//!
//! Guards against workers that get no requests because one caller sent such a path.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::Cluster;

/// Longest target of a request that the HTTP library reads, in bytes.
const TARGET_MAX_BYTES: usize = 65_534;
/// Requests with such a path: enough to eject each worker of the service several times.
const REQUESTS: usize = 40;

/// Sends a request on a new connection, and returns the response in lower case.
fn exchange(entry: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response.to_lowercase()
}

#[actix_rt::test]
async fn verify_long_path_ejects_no_worker() {
    let cluster = Cluster::start().await;
    let entry = cluster.entries[0].caller_address();
    let path = "x".repeat(TARGET_MAX_BYTES - "/finder/".len());
    let request = format!(
        "POST /finder/{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    for _ in 0..REQUESTS {
        let response = exchange(entry, &request);
        assert!(response.starts_with("http/1.1 400"), "{response}");
        assert!(response.contains("x-outcome: not-run"), "{response}");
    }
    let call = Call::idempotent("finder", 0, 10);
    assert_eq!(call.send(&cluster.http, entry).await, Outcome::Answered);
}
