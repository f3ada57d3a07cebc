//! Malformed, oversized and incomplete requests.
//!
//! Guards against an entry host that answers such a request with success, sends it to a worker,
//! or stops serving other callers because of it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread::{JoinHandle, spawn};

use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::Cluster;

/// Default limit of an entry host for the size of a request body.
const BODY_MAX_BYTES: usize = 1024 * 1024;

/// Sends bytes on a new connection, closes the sending side, and returns the response in lower
/// case.
fn exchange(entry: SocketAddr, bytes: &[u8]) -> String {
    let stream = send(entry, bytes);
    let _ = stream.shutdown(Shutdown::Write);
    read(stream)
}

/// Sends bytes on a new connection in a thread, and keeps the sending side open until the server
/// closes the connection. The thread returns the response in lower case.
fn send_and_keep_open(entry: SocketAddr, bytes: Vec<u8>) -> JoinHandle<String> {
    spawn(move || read(send(entry, &bytes)))
}

fn send(entry: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(entry).unwrap();
    // A server that rejects the request early may reset the connection. The response that it sent
    // before is read anyway.
    let _ = stream.write_all(bytes);
    stream
}

fn read(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).to_lowercase()
}

/// Builds a request with additional header lines and a body.
fn build_request(header_lines: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /finder HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n{header_lines}\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

#[actix_rt::test]
async fn verify_bad_input_is_rejected() {
    let cluster = Cluster::start().await;
    let entry = cluster.entries[0].caller_address();
    let slow_head = send_and_keep_open(entry, b"POST /finder HTTP/1.1\r\nhost: x\r\n".to_vec());
    let mut half_request = build_request("", &[b' '; 100]);
    half_request.truncate(half_request.len() - 50);
    let slow_body = send_and_keep_open(entry, half_request);
    let oversized = exchange(entry, &build_request("", &vec![b'x'; BODY_MAX_BYTES + 1]));
    assert!(oversized.starts_with("http/1.1 413"), "{oversized}");
    assert!(oversized.contains("x-outcome: not-run"), "{oversized}");
    let invalid_headers = [
        "x-caller: ../../etc\r\n",
        "x-caller: \u{fffd}\r\n",
        "x-deadline-ms: -1\r\n",
        "x-deadline-ms: 99999999999999999999\r\n",
        "x-urgency: now\r\n",
        "idempotency-key: 1\r\n",
        "x-caller: a b\r\n",
    ];
    for line in invalid_headers {
        let response = exchange(entry, &build_request(line, b"{}"));
        assert!(response.starts_with("http/1.1 400"), "{line}: {response}");
        assert!(
            response.contains("x-outcome: not-run"),
            "{line}: {response}"
        );
    }
    let malformed: [&[u8]; 4] = [
        b"\x00\x01\x02\x03\r\n\r\n",
        b"POST /finder HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf",
        b"POST /finder HTTP/1.1\r\ncontent-length: ten\r\n\r\n",
        b"POST /finder HTTP/1.1\r\nhost",
    ];
    for bytes in malformed {
        let response = exchange(entry, bytes);
        assert!(!response.starts_with("http/1.1 200"), "{response}");
    }
    let long_head = exchange(
        entry,
        &build_request(&"x-a: aaaaaaaaaaaaaaaa\r\n".repeat(20_000), b""),
    );
    assert!(!long_head.starts_with("http/1.1 200"), "{long_head}");
    let slow_head = slow_head.join().unwrap();
    assert!(!slow_head.starts_with("http/1.1 200"), "{slow_head}");
    let slow_body = slow_body.join().unwrap();
    assert!(slow_body.starts_with("http/1.1 408"), "{slow_body}");
    assert!(slow_body.contains("x-outcome: not-run"), "{slow_body}");
    let metrics = exchange(
        cluster.entries[0].http_address,
        b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    );
    let refusal_metrics = metrics
        .lines()
        .filter(|line| line.starts_with("api_refused"));
    assert!(refusal_metrics.count() >= 3, "{metrics}");
    let call = Call::idempotent("finder", 0, 10);
    assert_eq!(call.send(&cluster.http, entry).await, Outcome::Answered);
    assert_eq!(cluster.run_counts().await.runs.len(), 1);
}
