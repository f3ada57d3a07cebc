//! What operators are shown of the fold.

mod apply;
mod explain;
mod plan;
mod status;

pub use apply::{Answer, Application, Conflict, Decision, conclude, consider, is_steered};
pub use explain::{Explanation, Kind, explain};
pub use plan::{Plan, Remark, Shift, plan};
pub use status::{Member, Pool, Service, Status, Wave, status};
