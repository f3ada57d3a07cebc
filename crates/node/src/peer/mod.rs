//! Links to other processes: WebSocket connections that carry one frame a message.

mod dialer;
mod link;
mod listener;

pub use dialer::{Dialer, SendFrame};
pub use link::ReportReceived;
pub use listener::{Close, Listener};

use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Gets the limits of a link on which frames up to a length are received.
fn config(frame_max: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(frame_max))
        .max_frame_size(Some(frame_max))
}
