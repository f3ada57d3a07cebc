use crate::ids;
use crate::sched::Resources;

/// `State` is the state of a host in the host list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The host runs its worker, or is idle in the spare pool.
    Up,
    /// The host is moving to another pool.
    Moving,
    /// The host is under maintenance.
    Maintenance,
    /// The host failed.
    Down,
}

/// `Listing` is an answer of the host service to a request for its hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Hosts that could be read.
    pub hosts: Vec<Host>,
    /// Whether these are all hosts, so that one that is missing is gone.
    pub is_complete: bool,
}

/// `Host` is a host as the host service lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: ids::Host,
    /// Service whose pool it is in.
    pub service: ids::Service,
    /// State of the host.
    pub state: State,
    /// Worker that runs on the host.
    pub worker: Option<ids::Worker>,
    /// Total resources of the host.
    pub resources: Resources,
    /// Labels of the host: its hardware kind and its rack.
    pub labels: Vec<ids::Label>,
}
