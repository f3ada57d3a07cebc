//! Links that this process opens to others.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, Context, Handler, Message, Recipient};
use actix_rt::net::TcpStream;
use futures_util::SinkExt;
use persimmongate_wire::frame::{self, Frame, Hello};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message as WsMessage;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use super::config;
use super::link::receive;
use crate::log::Transfer;

/// Maximum number of frames queued for a link; further ones are dropped, as reports are repeated.
const MAX_QUEUED_FRAMES: usize = 16;
/// Time in which a link must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before a closed or failed link is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// `Outbound` queues a frame for the link.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Outbound(pub Frame);

/// `Dialer` keeps one link open until it is dropped.
pub struct Dialer {
    address: SocketAddr,
    hello: Hello,
    state_recipient: Option<Recipient<Transfer>>,
    frames: Option<mpsc::Sender<Frame>>,
}

impl Dialer {
    /// Creates a dialer that opens a link to the peer address of another process.
    ///
    /// The recipient `state_recipient` gets each state that the other process sends.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        hello: Hello,
        state_recipient: Option<Recipient<Transfer>>,
    ) -> Self {
        Self {
            address,
            hello,
            state_recipient,
            frames: None,
        }
    }
}

impl Actor for Dialer {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        self.frames = Some(sender);
        let run = keep_connected(
            self.address,
            self.hello.clone(),
            self.state_recipient.clone(),
            receiver,
        );
        // A future in the actor's own context would keep the actor alive after its last address is
        // dropped.
        actix_rt::spawn(run);
    }
}

impl Handler<Outbound> for Dialer {
    type Result = ();

    fn handle(&mut self, Outbound(frame): Outbound, _: &mut Self::Context) {
        if let Some(frames) = &self.frames {
            // The queue is full only if the link is down; the next report supersedes this one.
            let _ = frames.try_send(frame);
        }
    }
}

/// Opens the link, and again after each failure, until the dialer is dropped.
async fn keep_connected(
    address: SocketAddr,
    hello: Hello,
    state_recipient: Option<Recipient<Transfer>>,
    mut frames: mpsc::Receiver<Frame>,
) {
    loop {
        let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, connect(address, &hello)).await;
        if let Ok(Some(link)) = connected {
            exchange_frames(link, state_recipient.as_ref(), &mut frames).await;
        }
        if frames.is_closed() {
            return;
        }
        actix_rt::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn connect(address: SocketAddr, hello: &Hello) -> Option<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let url = format!("ws://{address}/");
    let (mut link, _) = client_async_with_config(url, stream, Some(config(frame::FRAME_MAX_BYTES)))
        .await
        .ok()?;
    send(&mut link, &Frame::Hello(hello.clone())).await?;
    Some(link)
}

async fn send(link: &mut WebSocketStream<TcpStream>, frame: &Frame) -> Option<()> {
    let bytes = frame::encode(frame).ok()?;
    link.send(WsMessage::Binary(bytes)).await.ok()
}

/// Sends and receives frames until the link closes.
async fn exchange_frames(
    mut link: WebSocketStream<TcpStream>,
    state_recipient: Option<&Recipient<Transfer>>,
    frames: &mut mpsc::Receiver<Frame>,
) {
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else { return };
                if send(&mut link, &frame).await.is_none() {
                    return;
                }
            }
            frame = receive(&mut link) => match frame {
                Ok(Some(Frame::Snapshot { next_offset, state })) => {
                    if let Some(state_recipient) = state_recipient {
                        state_recipient.do_send(Transfer { next_offset, state });
                    }
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            },
        }
    }
}
