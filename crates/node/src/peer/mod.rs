//! Links to other processes: WebSocket connections that carry one frame a message.

mod dialer;
mod listener;

pub use dialer::{Dialer, Send};
pub use listener::{Close, Listener, Received};

use persimmongate_wire::frame::FRAME_MAX;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Gets the limits of a link.
fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_MAX))
        .max_frame_size(Some(FRAME_MAX))
}
