//! A link that this process opens to another.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, Context, Handler, Message, Recipient};
use actix_rt::net::TcpStream;
use futures_util::SinkExt;
use persimmongate_wire::frame::{self, Frame, Hello};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message as Item;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use super::config;
use super::link::receive;
use crate::log::Restore;

/// Frames that wait for a link, at most; reports are repeated, so what exceeds it is dropped.
const QUEUE_MAX: usize = 16;
/// Time in which a link must open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time before a link that ended is opened again.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// `SendFrame` asks for a frame to be sent.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SendFrame(pub Frame);

/// `Dialer` keeps one link open.
pub struct Dialer {
    address: SocketAddr,
    hello: Hello,
    restore: Option<Recipient<Restore>>,
    frames: Option<mpsc::Sender<Frame>>,
}

impl Dialer {
    /// Makes a dialer for the peer links of another process.
    #[must_use]
    pub fn new(address: SocketAddr, hello: Hello, restore: Option<Recipient<Restore>>) -> Self {
        Self {
            address,
            hello,
            restore,
            frames: None,
        }
    }
}

impl Actor for Dialer {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let (sender, receiver) = mpsc::channel(QUEUE_MAX);
        self.frames = Some(sender);
        let run = run(
            self.address,
            self.hello.clone(),
            self.restore.clone(),
            receiver,
        );
        // A future of the actor's own context would keep the actor alive after its last address.
        actix_rt::spawn(run);
    }
}

impl Handler<SendFrame> for Dialer {
    type Result = ();

    fn handle(&mut self, SendFrame(frame): SendFrame, _: &mut Self::Context) {
        if let Some(frames) = &self.frames {
            // A full queue means a link that is cut; the next report says the same and more.
            let _ = frames.try_send(frame);
        }
    }
}

/// Opens the link again and again until the dialer is dropped.
async fn run(
    address: SocketAddr,
    hello: Hello,
    restore: Option<Recipient<Restore>>,
    mut frames: mpsc::Receiver<Frame>,
) {
    loop {
        let opened = actix_rt::time::timeout(OPEN_TIMEOUT, open(address, &hello)).await;
        if let Ok(Some(link)) = opened {
            drive(link, restore.as_ref(), &mut frames).await;
        }
        if frames.is_closed() {
            return;
        }
        actix_rt::time::sleep(RETRY_WAIT).await;
    }
}

async fn open(address: SocketAddr, hello: &Hello) -> Option<WebSocketStream<TcpStream>> {
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
    link.send(Item::Binary(bytes)).await.ok()
}

/// Sends and receives frames until the link ends.
async fn drive(
    mut link: WebSocketStream<TcpStream>,
    restore: Option<&Recipient<Restore>>,
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
                Ok(Some(Frame::Snapshot { next_offset: next, state })) => {
                    if let Some(restore) = restore {
                        restore.do_send(Restore { next_offset: next, state });
                    }
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            },
        }
    }
}
