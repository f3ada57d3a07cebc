//! Callers that send what they should not, with everything else unharmed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread::{JoinHandle, spawn};

use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::Cluster;

/// Largest body that an entry host takes by default, in bytes.
const BODY_MAX: usize = 1024 * 1024;

/// Sends bytes over a connection of its own, which ends there, and gets the whole answer.
fn exchange(entry: SocketAddr, bytes: &[u8]) -> String {
    let stream = send(entry, bytes);
    let _ = stream.shutdown(Shutdown::Write);
    read(stream)
}

/// Sends bytes over a connection of its own, which stays open until the other side ends it.
fn hold(entry: SocketAddr, bytes: Vec<u8>) -> JoinHandle<String> {
    spawn(move || read(send(entry, &bytes)))
}

fn send(entry: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(entry).unwrap();
    // A connection that is refused early may break; what was answered still counts.
    let _ = stream.write_all(bytes);
    stream
}

fn read(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).to_lowercase()
}

/// Makes a request with extra header lines and a body.
fn request(lines: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /finder HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n{lines}\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

#[actix_rt::test]
async fn verify_bad_input_harms_nothing() {
    let cluster = Cluster::start().await;
    let entry = cluster.entries[0].caller_address();
    let slow_head = hold(entry, b"POST /finder HTTP/1.1\r\nhost: x\r\n".to_vec());
    let mut half = request("", &[b' '; 100]);
    half.truncate(half.len() - 50);
    let slow_body = hold(entry, half);
    let oversized = exchange(entry, &request("", &vec![b'x'; BODY_MAX + 1]));
    assert!(oversized.starts_with("http/1.1 413"), "{oversized}");
    assert!(oversized.contains("x-outcome: not-run"), "{oversized}");
    let hostile = [
        "x-caller: ../../etc\r\n",
        "x-caller: \u{fffd}\r\n",
        "x-deadline-ms: -1\r\n",
        "x-deadline-ms: 99999999999999999999\r\n",
        "x-urgency: now\r\n",
        "idempotency-key: 1\r\n",
        "x-caller: a b\r\n",
    ];
    for line in hostile {
        let answer = exchange(entry, &request(line, b"{}"));
        assert!(answer.starts_with("http/1.1 400"), "{line}: {answer}");
        assert!(answer.contains("x-outcome: not-run"), "{line}: {answer}");
    }
    let broken: [&[u8]; 4] = [
        b"\x00\x01\x02\x03\r\n\r\n",
        b"POST /finder HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf",
        b"POST /finder HTTP/1.1\r\ncontent-length: ten\r\n\r\n",
        b"POST /finder HTTP/1.1\r\nhost",
    ];
    for bytes in broken {
        let answer = exchange(entry, bytes);
        assert!(!answer.starts_with("http/1.1 200"), "{answer}");
    }
    let endless = exchange(
        entry,
        &request(&"x-a: aaaaaaaaaaaaaaaa\r\n".repeat(20_000), b""),
    );
    assert!(!endless.starts_with("http/1.1 200"), "{endless}");
    let slow_head = slow_head.join().unwrap();
    assert!(!slow_head.starts_with("http/1.1 200"), "{slow_head}");
    let slow_body = slow_body.join().unwrap();
    assert!(slow_body.starts_with("http/1.1 408"), "{slow_body}");
    assert!(slow_body.contains("x-outcome: not-run"), "{slow_body}");
    let metrics = exchange(
        cluster.entries[0].http_address,
        b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    );
    let counted = metrics
        .lines()
        .filter(|line| line.starts_with("api_refused"));
    assert!(counted.count() >= 3, "{metrics}");
    let call = Call::idempotent("finder", 0, 10);
    assert_eq!(call.send(&cluster.http, entry).await, Outcome::Answered);
    assert_eq!(cluster.run_counts().await.runs.len(), 1);
}
