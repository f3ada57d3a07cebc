//! Deployment, load and faults of a run.

use std::time::Duration;

use persimmongate_core::request::Urgency;

/// Requests that a worker runs concurrently.
pub(crate) const SLOTS: u16 = 8;
/// Connections that a worker accepts.
pub(crate) const CONNECTIONS: u16 = 64;
pub(crate) const HOSTS_PER_RACK: usize = 4;
pub(crate) const ZONES: usize = 4;

/// `Service` is a service with its workers and the properties of its requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) worker_count: usize,
    pub(crate) urgency: Urgency,
    pub(crate) is_idempotent: bool,
    /// Mean time for which a request occupies a slot, in milliseconds.
    pub(crate) mean_work_ms: u64,
    /// Time from the submission of a request to its deadline, in milliseconds.
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

/// `Deployment` is a set of services with the network between their zones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) services: [Service; 5],
    /// One-way network latency between availability zones.
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

/// `Flood` is an interval in which the demand for one service exceeds its mean.
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
    /// It breaks off each exchange immediately.
    Failing,
    /// It accepts no connections.
    Unreachable,
    /// It takes longer for each request by this factor.
    Slow(f64),
    Healthy,
}

/// `Fault` is a scheduled change of a worker's mode.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub(crate) applies_at: Duration,
    pub(crate) worker: usize,
    pub(crate) mode: Mode,
}

/// `Chaos` holds the probabilities and intervals of random faults.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chaos {
    /// Probability that an exchange breaks off before the worker runs the request.
    pub(crate) break_probability: f64,
    /// Probability that the answer is lost or belongs to another request, after the request ran.
    pub(crate) answer_loss_probability: f64,
    /// Probability that the end of an exchange is reported twice.
    pub(crate) duplicate_probability: f64,
    /// Probability that the verdict on a claim arrives after the claim timed out.
    pub(crate) undecided_probability: f64,
    /// Probability that a caller sends an unanswered key again, through any entry host.
    pub(crate) resend_probability: f64,
    /// Time between two crashes of entry hosts.
    pub(crate) crash_interval: Duration,
    /// Time between the starts of two outages of the log.
    pub(crate) outage_interval: Duration,
    pub(crate) outage_duration: Duration,
}

/// `Plan` is the configuration of a run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) deployment: &'static Deployment,
    pub(crate) entry_count: usize,
    /// Mean load of each service as a share of its slots.
    pub(crate) load: f64,
    pub(crate) floods: Vec<Flood>,
    pub(crate) faults: Vec<Fault>,
    /// Share of requests that break off on each worker that runs them.
    pub(crate) poison_share: f64,
    /// Share of requests that the caller cancels, unless they have ended before.
    pub(crate) cancel_share: f64,
    /// Random faults; most runs have none.
    pub(crate) chaos: Option<Chaos>,
    /// Time of the first arrival; until then, workers are in their slow start.
    pub(crate) first_arrival: Duration,
    /// Time at which arrivals end.
    pub(crate) last_arrival: Duration,
}

impl Plan {
    /// Creates a plan without floods and faults, with arrivals for a number of seconds.
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

    /// Returns the demand for a service as a multiple of its mean.
    pub(crate) fn demand_factor(&self, service: usize, at: Duration) -> f64 {
        let flood = self
            .floods
            .iter()
            .find(|flood| flood.service == service && (flood.from..flood.until).contains(&at));
        flood.map_or(1.0, |flood| flood.demand_factor)
    }
}
