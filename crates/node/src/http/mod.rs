//! HTTP servers as children of a supervisor, which bound what they hold for their clients.
//!
//! Each connection is a task of the HTTP library over a [`connection`] that publishes its activity. The [`Listener`] owns
//! the limits: it tells connections to close, and grants room to large bodies.

mod body;
mod connection;
mod link;
mod listener;
mod server;

pub use body::{Body, Refusal};
pub use listener::{Close, Listener};
pub use server::Server;
