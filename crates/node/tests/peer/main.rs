//! Tests that invalid peer links are refused and that other links still work.

mod fixture;

use fixture::{Fixture, close_reason, hello, report, valid_hello, zeros};
use futures_util::SinkExt;
use persimmongate_wire::frame::PROTOCOL_VERSION;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_tungstenite::tungstenite::Message as WsMessage;

/// Maximum number of links that a listener serves.
const MAX_LINKS: usize = 256;

#[test_case(vec![hello("entry-0", PROTOCOL_VERSION + 1)], "version"; "another version")]
#[test_case(vec![zeros(9)], "malformed"; "bytes that are not a frame")]
#[test_case(vec![WsMessage::Text("hello".into())], "malformed"; "text")]
#[test_case(vec![report("entry-0")], "unexpected"; "missing hello")]
#[test_case(vec![valid_hello(), valid_hello()], "unexpected"; "hello twice")]
#[test_case(vec![valid_hello(), report("entry-1")], "stranger"; "report of another process")]
#[actix_rt::test]
async fn verify_invalid_link_is_closed_with_reason_and_counted(
    messages: Vec<WsMessage>,
    reason: &str,
) {
    let mut fixture = Fixture::start();
    let mut link = fixture.open().await;
    assert_eq!(
        close_reason(&mut link, messages).await.as_deref(),
        Some(reason)
    );
    assert_eq!(fixture.refused_count(reason), 1);
    assert!(fixture.reports.try_recv().is_err());
    verify_valid_link(&mut fixture).await;
}

#[test_case(vec![zeros(1024 * 1024)]; "before hello")]
#[test_case(vec![valid_hello(), zeros(1024 * 1024)]; "after hello")]
#[actix_rt::test]
async fn verify_oversized_frame_is_refused(messages: Vec<WsMessage>) {
    let mut fixture = Fixture::start();
    let mut link = fixture.open().await;
    // The rest of the message is never read, so the connection may break before the close frame.
    close_reason(&mut link, messages).await;
    assert_eq!(fixture.refused_count("oversized"), 1);
    verify_valid_link(&mut fixture).await;
}

#[actix_rt::test]
async fn verify_client_without_websocket_handshake_is_refused() {
    let mut fixture = Fixture::start();
    let mut stream = fixture.connect().await;
    stream.write_all(b"\x00\x01\x02\r\n\r\n").await.unwrap();
    let mut rest = Vec::new();
    // The listener may close or reset the connection.
    let _ = stream.read_to_end(&mut rest).await;
    assert_eq!(fixture.refused_count("malformed"), 1);
    verify_valid_link(&mut fixture).await;
}

#[actix_rt::test]
async fn verify_number_of_links_is_bounded() {
    let mut fixture = Fixture::start();
    let mut links = Vec::new();
    for _ in 0..MAX_LINKS {
        links.push(fixture.open().await);
    }
    let mut stream = fixture.connect().await;
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty());
    assert_eq!(fixture.refused_count("full"), 1);
    let mut link = links.remove(0);
    link.send(valid_hello()).await.unwrap();
    link.send(report("entry-0")).await.unwrap();
    assert!(fixture.reports.recv().await.is_some());
}

/// Checks that a report over a valid link is received.
async fn verify_valid_link(fixture: &mut Fixture) {
    let mut link = fixture.open().await;
    link.send(valid_hello()).await.unwrap();
    link.send(report("entry-0")).await.unwrap();
    let report = fixture.reports.recv().await.unwrap();
    assert_eq!(report.instance, "entry-0");
}
