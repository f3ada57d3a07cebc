//! Links to other processes: WebSocket connections that carry one frame per message.

mod dialer;
mod link;
mod listener;

pub use dialer::{Dialer, Outbound};
pub use link::Inbound;
pub use listener::{Close, Listener};

use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Returns the configuration of a link that receives frames up to a length in bytes.
fn config(frame_max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(frame_max_bytes))
        .max_frame_size(Some(frame_max_bytes))
}
