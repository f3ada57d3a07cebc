//! Reports on the state of the fleet for operators.

mod apply;
mod explain;
mod plan;
mod status;

pub use apply::{Answer, Conflict, Decision, Proposal, evaluate, is_in_effect, resolve};
pub use explain::{Explanation, Subject, explain};
pub use plan::{Diagnostic, Plan, Resize, plan};
pub use status::{Member, Pool, Service, Status, Wave, summarize};
