//! Time of a pass of placement over jobs that can't start, by the number of workers and waiting jobs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmongate_core::account::{Account, Directory, Limit};
use persimmongate_core::ids;
use persimmongate_core::job::{Job, Progress, Step};
use persimmongate_core::queue::{Config, Policy, Queue, Service};
use persimmongate_core::sched::{
    Action, Event, Inventory, Options, Query, Report, Resources, Scheduler,
};

use crate::table::Table;

/// Numbers of workers and of waiting jobs that are measured.
const SIZES: [(usize, usize); 3] = [(50, 500), (300, 3_000), (1_000, 10_000)];
/// Number of passes that are timed.
const PASSES: u32 = 40;
/// Time between two passes, in the time of the scheduler.
const PASS_INTERVAL: Duration = Duration::from_millis(700);
/// Processor time of a worker, in millicores.
const WORKER_CPU_MILLICORES: u64 = 64_000;
/// Share of the processor that placement may take, in percent.
const PASS_SHARE_MAX: f64 = 50.0;
/// Shortest time between two passes for each worker and each waiting job.
const INTERVAL_PER_ENTRY: Duration = Duration::from_micros(50);
const SERVICE: &str = "service";
const QUEUE: &str = "queue";

/// `Pattern` is why the waiting jobs can't start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pattern {
    /// All jobs are alike, and no worker has room.
    Alike,
    /// The jobs have many sizes, and no worker has room.
    Mixed,
    /// Each job is smaller than the one before it, and no worker has room.
    Shrinking,
    /// No worker has the label that the jobs require.
    Unlabelled,
    /// The policy service permits no worker.
    Forbidden,
    /// All jobs are alike, of many client accounts, and no worker has room.
    Accounts,
}

/// Client accounts among which a room is divided.
const ACCOUNTS: usize = 1_200;

impl Pattern {
    const ALL: [Self; 6] = [
        Self::Alike,
        Self::Mixed,
        Self::Shrinking,
        Self::Unlabelled,
        Self::Forbidden,
        Self::Accounts,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Alike => "no room, jobs alike",
            Self::Mixed => "no room, many sizes",
            Self::Shrinking => "no room, each job smaller",
            Self::Unlabelled => "label that no worker has",
            Self::Forbidden => "no worker permitted",
            Self::Accounts => "no room, 1,200 accounts",
        }
    }

    fn step(self, number: usize, jobs: usize) -> Step {
        let (number, jobs) = (number as u64, jobs as u64);
        let base = Step {
            count: 4,
            cpu_millicores: 1_000,
            memory_mb: 16,
            estimate: Duration::from_secs(1),
            ..Step::default()
        };
        let too_large = WORKER_CPU_MILLICORES + 1;
        match self {
            Self::Alike | Self::Accounts => Step {
                cpu_millicores: too_large,
                ..base
            },
            Self::Mixed => Step {
                cpu_millicores: too_large + number * 7_919 % 60_000,
                memory_mb: 16 + number * 104_729 % 4_000,
                ..base
            },
            Self::Shrinking => Step {
                cpu_millicores: too_large + jobs - number,
                ..base
            },
            Self::Unlabelled => Step {
                required_label: Some("missing".into()),
                ..base
            },
            Self::Forbidden => base,
        }
    }
}

/// Measures each pattern at each size; returns whether a pass stays within its share of the processor.
pub(crate) fn run() -> bool {
    let mut table = Table::new(&["pattern", "workers", "jobs", "pass us", "slowest us"]);
    let mut targets_met = true;
    for pattern in Pattern::ALL {
        for (workers, jobs) in SIZES {
            let (mean, slowest) = measure(pattern, workers, jobs);
            let entries = u32::try_from(workers + jobs).unwrap_or(u32::MAX);
            let share = 100.0 * mean.as_secs_f64() / (INTERVAL_PER_ENTRY * entries).as_secs_f64();
            targets_met &= share <= PASS_SHARE_MAX;
            table.add(vec![
                pattern.name().to_owned(),
                workers.to_string(),
                jobs.to_string(),
                mean.as_micros().to_string(),
                slowest.as_micros().to_string(),
            ]);
        }
    }
    table.print();
    targets_met
}

/// Returns the mean and the longest time of a pass.
fn measure(pattern: Pattern, workers: usize, jobs: usize) -> (Duration, Duration) {
    let mut leader = Leader::new(pattern, workers);
    for number in 0..jobs {
        leader.submit(number, pattern.step(number, jobs));
    }
    let (mut sum, mut slowest) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..PASSES {
        let time = leader.pass();
        sum += time;
        slowest = slowest.max(time);
    }
    (sum / PASSES, slowest)
}

/// `Leader` is a scheduler with idle workers, on a clock of its own.
struct Leader {
    scheduler: Scheduler,
    config: Arc<Config>,
    now: Instant,
}

impl Leader {
    fn new(pattern: Pattern, workers: usize) -> Self {
        let now = clock();
        let config = Arc::new(config(pattern));
        let mut leader = Self {
            scheduler: Scheduler::new(Options::default(), 1, false, false, now),
            config: config.clone(),
            now,
        };
        leader.step(Event::Config(config));
        for number in 0..workers {
            leader.step(Event::Listed(report(number)));
        }
        leader
    }

    fn submit(&mut self, number: usize, step: Step) {
        let job = Job {
            id: format!("job-{number:06}").into(),
            queue: QUEUE.into(),
            service: SERVICE.into(),
            account: Some(account_name(number % ACCOUNTS)),
            payload: "text".into(),
            steps: vec![step],
            schedule: None,
            accepted_at_ms: 0,
            has_detached_payload: false,
        };
        self.step(Event::Job {
            job: Arc::new(job),
            offset: number as u64 + 1,
            progress: Box::<Progress>::default(),
            is_canceled: false,
        });
    }

    /// Carries out a pass and returns the time that it took.
    fn pass(&mut self) -> Duration {
        self.now += PASS_INTERVAL;
        self.step(Event::TermConfirmed(self.now));
        self.step(Event::PlacementDue);
        self.now += PASS_INTERVAL;
        let mut actions = Vec::new();
        let event = Event::Config(self.config.clone());
        let started_at = clock();
        self.scheduler.step(self.now, 0, event, &mut actions);
        let time = clock().duration_since(started_at);
        self.carry_out(actions);
        time
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.scheduler.step(self.now, 0, event, &mut actions);
        self.carry_out(actions);
    }

    /// Answers polls with empty inventories, and requests to the policy service with no permitted worker.
    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Poll(poll) => self.step(Event::Polled {
                    worker: poll.worker,
                    sent_at: self.now,
                    answer: Ok(Inventory {
                        started_at_ms: 1,
                        clock_ms: 1,
                        ..Inventory::default()
                    }),
                }),
                Action::RequestAdvice(Query {
                    job,
                    occurrence,
                    step,
                    ..
                }) => self.step(Event::Advised {
                    job,
                    occurrence,
                    step,
                    sent_at: self.now,
                    answer: Some((Vec::new(), Duration::from_hours(1))),
                }),
                _ => {}
            }
        }
    }
}

/// Returns the present time.
fn clock() -> Instant {
    tokio::time::Instant::now().into_std()
}

fn account_name(number: usize) -> ids::Account {
    format!("account-{number}").into()
}

fn report(number: usize) -> Report {
    Report {
        worker: format!("w{number:05}").into(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 1).into(),
        host: Some(format!("h{number:05}").into()),
        is_shutting_down: false,
        started_at_ms: 1,
        capacity: Resources {
            cpu_millicores: WORKER_CPU_MILLICORES,
            memory_mb: 256_000,
            gpus: 0,
        },
        labels: vec!["kind".into(), format!("rack-{}", number / 4).into()],
    }
}

fn config(pattern: Pattern) -> Config {
    let policy = Policy {
        base_latency: Duration::from_millis(20),
        latency_per_worker: Duration::from_millis(1),
        validity: Duration::from_hours(1),
    };
    let queue = Queue {
        name: QUEUE.into(),
        hostname: "host".into(),
        path_prefix: "/queue/".into(),
        service: SERVICE.into(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        allowance: Duration::from_secs(1),
        call_timeout: Duration::from_secs(3),
        policy_service: (pattern == Pattern::Forbidden).then_some(policy),
        is_open: false,
    };
    let service = Service {
        name: SERVICE.into(),
        rejects_overload: false,
        is_spare: false,
    };
    let account = |number| Account {
        name: account_name(number),
        keys: Vec::new(),
        weight: 10.0,
        limit: Limit::default(),
    };
    let count = if pattern == Pattern::Accounts {
        ACCOUNTS
    } else {
        0
    };
    let accounts = Directory::new((0..count).map(account).collect());
    Config::new(1, vec![queue], vec![service]).with_accounts(accounts)
}
