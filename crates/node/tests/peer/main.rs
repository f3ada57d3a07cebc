//! Peer links that are refused, with everything else unharmed.

mod fixture;

use fixture::{Peers, ended, good_hello, hello, report, zeros};
use futures_util::SinkExt;
use persimmongate_wire::frame::PROTOCOL_VERSION;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_tungstenite::tungstenite::Message as Item;

/// Links that a listener serves at once.
const LINKS_MAX: usize = 256;

#[test_case(vec![hello("entry-0", PROTOCOL_VERSION + 1)], "version"; "another version")]
#[test_case(vec![zeros(9)], "malformed"; "bytes that are no frame")]
#[test_case(vec![Item::Text("hello".into())], "malformed"; "text")]
#[test_case(vec![report("entry-0")], "unexpected"; "no hello")]
#[test_case(vec![good_hello(), good_hello()], "unexpected"; "hello twice")]
#[test_case(vec![good_hello(), report("entry-1")], "stranger"; "report of another process")]
#[actix_rt::test]
async fn verify_bad_link_is_told_and_counted(items: Vec<Item>, reason: &str) {
    let mut peers = Peers::start();
    let mut link = peers.open().await;
    assert_eq!(ended(&mut link, items).await.as_deref(), Some(reason));
    assert_eq!(peers.refused(reason), 1);
    assert!(peers.reports.try_recv().is_err());
    verify_good_link(&mut peers).await;
}

#[test_case(vec![zeros(1024 * 1024)]; "before hello")]
#[test_case(vec![good_hello(), zeros(1024 * 1024)]; "after hello")]
#[actix_rt::test]
async fn verify_oversized_frame_is_refused(items: Vec<Item>) {
    let mut peers = Peers::start();
    let mut link = peers.open().await;
    // The rest of the message is never read, so the connection may break before the reason comes.
    ended(&mut link, items).await;
    assert_eq!(peers.refused("oversized"), 1);
    verify_good_link(&mut peers).await;
}

#[actix_rt::test]
async fn verify_stranger_without_protocol_is_refused() {
    let mut peers = Peers::start();
    let mut stream = peers.connect().await;
    stream.write_all(b"\x00\x01\x02\r\n\r\n").await.unwrap();
    let mut rest = Vec::new();
    // Both an end and a reset are fine.
    let _ = stream.read_to_end(&mut rest).await;
    assert_eq!(peers.refused("malformed"), 1);
    verify_good_link(&mut peers).await;
}

#[actix_rt::test]
async fn verify_number_of_links_is_bounded() {
    let mut peers = Peers::start();
    let mut links = Vec::new();
    for _ in 0..LINKS_MAX {
        links.push(peers.open().await);
    }
    let mut stream = peers.connect().await;
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty());
    assert_eq!(peers.refused("full"), 1);
    let mut link = links.remove(0);
    link.send(good_hello()).await.unwrap();
    link.send(report("entry-0")).await.unwrap();
    assert!(peers.reports.recv().await.is_some());
}

/// Checks that a well-behaved link still works.
async fn verify_good_link(peers: &mut Peers) {
    let mut link = peers.open().await;
    link.send(good_hello()).await.unwrap();
    link.send(report("entry-0")).await.unwrap();
    let report = peers.reports.recv().await.unwrap();
    assert_eq!(report.instance, "entry-0");
}
