//! Sizes and loads of a run.

use std::time::Duration;

use persimmongate_core::request::Urgency;

/// Requests that a worker runs at once.
pub(crate) const SLOTS: u16 = 8;
/// Connections that a worker accepts.
pub(crate) const CONNECTIONS: u16 = 64;
/// Hosts in one rack.
pub(crate) const RACK_HOSTS: usize = 4;
/// Availability zones of a deployment.
pub(crate) const ZONES: usize = 4;

/// `Service` is one service with its mean load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) worker_count: usize,
    pub(crate) urgency: Urgency,
    pub(crate) is_idempotent: bool,
    /// Mean time that a request takes, in milliseconds.
    pub(crate) mean_work_ms: u64,
    /// Time for which an answer is of use, in milliseconds.
    pub(crate) deadline_ms: u64,
}

const fn service(
    name: &'static str,
    worker_count: usize,
    urgency: Urgency,
    is_idempotent: bool,
    mean_work_ms: u64,
    deadline_ms: u64,
) -> Service {
    Service {
        name,
        worker_count,
        urgency,
        is_idempotent,
        mean_work_ms,
        deadline_ms,
    }
}

/// `Deployment` is one of the two deployments.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) services: [Service; 5],
    /// One way between availability zones.
    pub(crate) cross_zone_latency: Duration,
}

pub(crate) static KUISEB: Deployment = Deployment {
    name: "kuiseb",
    services: [
        service("finder", 8, Urgency::Urgent, true, 80, 2000),
        service("classifier", 9, Urgency::Normal, false, 150, 5000),
        service("classroom", 11, Urgency::Urgent, true, 80, 2000),
        service("renderer", 12, Urgency::Batch, true, 300, 8000),
        service("catalogue", 8, Urgency::Normal, false, 100, 5000),
    ],
    cross_zone_latency: Duration::from_millis(1),
};

pub(crate) static ANDAMAN: Deployment = Deployment {
    name: "andaman",
    services: [
        service("krabi", 8, Urgency::Normal, false, 100, 5000),
        service("phuket", 9, Urgency::Urgent, true, 80, 2000),
        service("ranong", 11, Urgency::Normal, true, 150, 5000),
        service("satun", 12, Urgency::Batch, true, 300, 8000),
        service("public", 8, Urgency::Urgent, true, 80, 2000),
    ],
    cross_zone_latency: Duration::from_micros(1500),
};

/// `Flood` is one service's demand above its mean for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flood {
    /// Index of the service.
    pub(crate) service: usize,
    /// Demand as a multiple of the mean.
    pub(crate) demand_factor: f64,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// `Mode` is how a worker behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mode {
    /// Breaks off every exchange at once.
    Failing,
    /// Does not answer at all.
    Unreachable,
    /// Takes this many times as long.
    Slow(f64),
    /// Works.
    Healthy,
}

/// `Fault` sets the mode of a worker at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub(crate) applies_at: Duration,
    pub(crate) worker: usize,
    pub(crate) mode: Mode,
}

/// `Chaos` gives the chances of faults at random.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chaos {
    /// An exchange breaks off before the worker runs the request.
    pub(crate) break_probability: f64,
    /// The answer is lost, or crossed with another's, after the request ran.
    pub(crate) answer_loss_probability: f64,
    /// The end of an exchange is told twice.
    pub(crate) duplicate_probability: f64,
    /// A verdict on a claim comes too late to be read.
    pub(crate) undecided_probability: f64,
    /// A caller sends an unanswered key again, through any entry host.
    pub(crate) resend_probability: f64,
    /// Time between two crashes of an entry host.
    pub(crate) crash_interval: Duration,
    /// Time between the starts of two outages of the log.
    pub(crate) outage_interval: Duration,
    /// Length of an outage of the log.
    pub(crate) outage_duration: Duration,
}

/// `Plan` is what a run does.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) deployment: &'static Deployment,
    /// Entry hosts.
    pub(crate) entry_count: usize,
    /// Mean load of each service as a share of its slots.
    pub(crate) load: f64,
    pub(crate) floods: Vec<Flood>,
    pub(crate) faults: Vec<Fault>,
    /// Share of requests that break off wherever they are sent.
    pub(crate) poison_share: f64,
    /// Share of the callers that go away before the answer.
    pub(crate) cancel_share: f64,
    /// Chances of faults at random, none in most runs.
    pub(crate) chaos: Option<Chaos>,
    /// First arrival; before, workers are in their slow start.
    pub(crate) first_arrival: Duration,
    /// Last arrival.
    pub(crate) last_arrival: Duration,
}

impl Plan {
    /// Makes a plan of a deployment under its mean load.
    pub(crate) fn new(deployment: &'static Deployment, load: f64, seconds: u64) -> Self {
        let first_arrival = Duration::from_secs(3);
        Self {
            deployment,
            entry_count: 9,
            load,
            floods: Vec::new(),
            faults: Vec::new(),
            poison_share: 0.0,
            cancel_share: 0.0,
            chaos: None,
            first_arrival,
            last_arrival: first_arrival + Duration::from_secs(seconds),
        }
    }

    /// Gets the demand of a service as a multiple of its mean.
    pub(crate) fn demand_factor(&self, service: usize, at: Duration) -> f64 {
        let flood = self
            .floods
            .iter()
            .find(|flood| flood.service == service && (flood.from..flood.until).contains(&at));
        flood.map_or(1.0, |flood| flood.demand_factor)
    }
}
