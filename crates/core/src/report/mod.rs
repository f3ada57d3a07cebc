//! What operators are shown of the fold.

mod status;

pub use status::{Pool, Service, Status, Wave, status};
