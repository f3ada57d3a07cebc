use crate::ids;
use crate::sched::Resources;

/// `State` is what a host does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It runs its worker, or is off in the spare pool.
    Up,
    /// It moves to another pool.
    Moving,
    /// It is being maintained.
    Maintenance,
    /// It failed.
    Down,
}

/// `Host` is a host as the host service lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: ids::Host,
    /// Service whose pool it is in.
    pub service: ids::Service,
    /// What it does.
    pub state: State,
    /// Worker that it runs.
    pub worker: Option<ids::Worker>,
    /// Room that it has.
    pub resources: Resources,
    /// Its kind and its rack.
    pub labels: Vec<ids::Label>,
}
