//! What the parts of one connection share: its published activity and the way to the listener.

use std::net::SocketAddr;
use std::time::Instant;

use persimmongate_core::admission::{Activity, Limits, Phase, Reason};
use persimmongate_core::ids;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock;

/// `Door` numbers the addresses of a server.
pub(super) type Door = usize;

/// `Message` is what a connection sends to the listener.
#[derive(Debug)]
pub(super) enum Message {
    /// The connection was opened. It is told to close over the channel.
    Opened(watch::Receiver<Progress>, oneshot::Sender<()>),
    /// The connection was closed.
    Closed,
    /// A body of this size, in bytes, asks for room. The verdicts go to the channel.
    Asked(usize, mpsc::UnboundedSender<Verdict>),
    /// The body needs no room any more.
    Returned,
    /// The connection ended a request or itself for this reason.
    Ended(Reason),
}

/// `Envelope` is a message with the connection that sent it.
#[derive(Debug)]
pub(super) struct Envelope {
    pub(super) door: Door,
    pub(super) connection: ids::Connection,
    pub(super) message: Message,
}

/// `Verdict` is the answer to a body that asked for room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    Granted,
    Revoked,
}

/// `Progress` is the activity of a connection, with what its reader counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub(super) activity: Activity,
    /// Bytes that arrived since the latest request began.
    pub(super) received_bytes: usize,
}

/// `Link` belongs to one connection: its reader, its current request and the body of that hold clones.
#[derive(Clone, Debug)]
pub(super) struct Link {
    door: Door,
    connection: ids::Connection,
    pub(super) limits: Limits,
    progress: watch::Sender<Progress>,
    listener: mpsc::UnboundedSender<Envelope>,
}

/// `Exchange` is a request in progress. Dropping it ends the request.
pub(super) struct Exchange(Link);

impl Link {
    pub(super) fn new(
        door: Door,
        connection: SocketAddr,
        limits: Limits,
        listener: mpsc::UnboundedSender<Envelope>,
    ) -> Self {
        let progress = Progress {
            activity: Activity::new(clock::now()),
            received_bytes: 0,
        };
        Self {
            door,
            connection,
            limits,
            progress: watch::Sender::new(progress),
            listener,
        }
    }

    /// Sends a message. One to a listener that has ended needs no effect, as its server has ended too.
    pub(super) fn send(&self, message: Message) {
        let envelope = Envelope {
            door: self.door,
            connection: self.connection,
            message,
        };
        self.listener.send(envelope).ok();
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Publishes that a phase began.
    pub(super) fn begin(&self, phase: Phase) {
        let now = clock::now();
        self.progress
            .send_modify(|progress| progress.enter(phase, now));
    }

    /// Publishes that bytes arrived.
    pub(super) fn receive(&self, count: usize) {
        let now = clock::now();
        self.progress.send_modify(|progress| {
            if progress.activity.phase == Phase::Idle {
                progress.enter(Phase::Head, now);
            }
            progress.activity.progress_at = now;
            progress.received_bytes += count;
        });
    }

    /// Publishes whether an answer waits for the client to read.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        let blocked_since = is_blocked.then(clock::now);
        self.progress
            .send_modify(|progress| progress.activity.blocked_since = blocked_since);
    }
}

impl Progress {
    fn enter(&mut self, phase: Phase, now: Instant) {
        self.activity.phase = phase;
        self.activity.since = now;
        self.activity.progress_at = now;
    }
}

impl Exchange {
    /// Begins a request, which has a body or not.
    pub(super) fn begin(link: Link, has_body: bool) -> Self {
        let now = clock::now();
        let phase = if has_body {
            Phase::Unread
        } else {
            Phase::Request
        };
        link.progress.send_modify(|progress| {
            progress.enter(phase, now);
            progress.received_bytes = 0;
        });
        Self(link)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let now = clock::now();
        self.0.progress.send_modify(|progress| {
            // The library drops the rest of a body that was not read.
            let next = match progress.activity.phase {
                Phase::Request => Phase::Idle,
                _ => Phase::Drain,
            };
            progress.enter(next, now);
            // The next head on the connection is counted from its first byte.
            progress.received_bytes = 0;
            progress.activity.is_served = true;
        });
    }
}
