//! Open-loop load generator; the services have their peaks of demand one after the other.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::{Instant, interval};
use argh::FromArgs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::call::{Call, Request, send};
use super::table::{Row, Table};
use super::watch::{Observations, start_sampling};
use crate::deployment::{Deployment, SLOTS_PER_WORKER, Service};
use crate::runs::Counts;

/// Time between two batches of requests.
const SEND_INTERVAL: Duration = Duration::from_millis(5);
/// Demand at a peak, as a multiple of the mean.
const PEAK_FACTOR: f64 = 5.0;
/// Demand between peaks, as a multiple of the mean.
const OFF_PEAK_FACTOR: f64 = 0.05;
/// Number of client accounts of each service.
const CALLERS_PER_SERVICE: u32 = 4;
/// Maximum number of connections to one entry host.
const MAX_CONNECTIONS: usize = 4096;
/// Time-out of the call that reads the run counts.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the run counts read at the end.
const LEDGER_MAX_BYTES: usize = 256 * 1024 * 1024;

/// Sends the load of a deployment's callers and checks the outcomes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "callers")]
pub struct Args {
    /// deployment: andaman or kuiseb
    #[argh(option)]
    deployment: Deployment,
    /// entry hosts, separated by commas
    #[argh(option, from_str_fn(parse_addresses))]
    entries: Addresses,
    /// fleet instances, separated by commas
    #[argh(option, from_str_fn(parse_addresses))]
    fleet: Addresses,
    /// address of the platform
    #[argh(option)]
    platform: SocketAddr,
    /// maintenance wave that must end before the load stops
    #[argh(option)]
    wave: Option<String>,
    /// minimum duration of the load in seconds
    #[argh(option, long = "seconds", default = "20")]
    min_seconds: u64,
    /// maximum duration of the load in seconds
    #[argh(option, long = "most", default = "50")]
    max_seconds: u64,
    /// mean demand as a share of the capacity of a pool
    #[argh(option, long = "load", default = "0.25")]
    mean_load: f64,
    /// seed of the random numbers of the load
    #[argh(option, default = "1")]
    seed: u64,
}

/// `Addresses` is a comma-separated list of socket addresses.
#[derive(Clone, Debug)]
struct Addresses(Vec<SocketAddr>);

fn parse_addresses(text: &str) -> Result<Addresses, String> {
    let parse = |part: &str| {
        part.parse()
            .map_err(|_| format!("expected IP:PORT, found {part}"))
    };
    text.split(',')
        .map(parse)
        .collect::<Result<_, _>>()
        .map(Addresses)
}

/// Runs the load to its end, prints the table of results and checks the guarantees.
///
/// # Errors
///
/// Returns the violated guarantees, one per line, or the error of reading the run counts.
pub async fn run(args: Args) -> Result<(), String> {
    let http = awc::Client::builder()
        .connector(awc::Connector::new().limit(MAX_CONNECTIONS))
        .disable_redirects()
        .finish();
    let samples = start_sampling(http.clone(), args.fleet.0.clone(), args.wave.clone());
    let services = args.deployment.services();
    let mut flows: Vec<Flow> = services.iter().map(|service| Flow::new(*service)).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let started_at = Instant::now();
    let peak_time =
        Duration::from_secs(args.min_seconds) / u32::try_from(services.len()).unwrap_or(1);
    let mut ticks = interval(SEND_INTERVAL);
    loop {
        ticks.tick().await;
        let elapsed = started_at.elapsed();
        let is_complete =
            elapsed >= Duration::from_secs(args.min_seconds) && samples.borrow().wave_ended;
        if is_complete || elapsed >= Duration::from_secs(args.max_seconds) {
            break;
        }
        let peak_index =
            elapsed.as_millis() / peak_time.as_millis().max(1) % services.len() as u128;
        for (index, flow) in flows.iter_mut().enumerate() {
            let factor = if index as u128 == peak_index {
                PEAK_FACTOR
            } else {
                OFF_PEAK_FACTOR
            };
            flow.send_due(factor * args.mean_load, &http, &args.entries.0, &mut rng);
        }
    }
    let elapsed = started_at.elapsed();
    let mut rows = Vec::new();
    for flow in flows {
        rows.push(flow.finish().await);
    }
    let counts = read_run_counts(&http, args.platform).await?;
    let observations: Observations = samples.borrow().clone();
    let table = Table::new(rows, &counts, observations, elapsed);
    println!("{table}");
    table.check(args.wave.is_some())
}

/// `Flow` is the request load of one service.
struct Flow {
    service: Service,
    /// Number of requests that are due but not sent, with the fraction of the next one.
    due_requests: f64,
    last_sent_at: Instant,
    calls: VecDeque<JoinHandle<Call>>,
}

impl Flow {
    fn new(service: Service) -> Self {
        Self {
            service,
            due_requests: 0.0,
            last_sent_at: Instant::now(),
            calls: VecDeque::new(),
        }
    }

    /// Sends the requests that became due since the last call, each in its own task.
    fn send_due(
        &mut self,
        load: f64,
        http: &awc::Client,
        entries: &[SocketAddr],
        rng: &mut ChaCha8Rng,
    ) {
        let elapsed = self.last_sent_at.elapsed().as_secs_f64();
        self.last_sent_at = Instant::now();
        let slots = f64::from(u32::try_from(self.service.worker_count).unwrap_or(0))
            * f64::from(SLOTS_PER_WORKER);
        let mean_work = Duration::from_millis(self.service.mean_work_ms).as_secs_f64();
        self.due_requests += load * elapsed * slots / mean_work;
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0;
            let first_entry = rng.random_range(0..entries.len());
            let mut ordered_entries = entries.to_vec();
            ordered_entries.rotate_left(first_entry);
            let request = Request {
                service: self.service,
                caller: format!(
                    "{}-{}",
                    self.service.name,
                    rng.random_range(0..CALLERS_PER_SERVICE)
                ),
                random: rng.random(),
                work_ms: rng.random_range(
                    self.service.mean_work_ms / 2..=self.service.mean_work_ms * 3 / 2,
                ),
                entries: ordered_entries,
            };
            self.calls
                .push_back(actix_rt::spawn(send(http.clone(), request)));
        }
    }

    async fn finish(self) -> Row {
        let mut row = Row::new(self.service);
        for call in self.calls {
            match call.await {
                Ok(call) => row.add(call),
                Err(_) => row.failed_tasks += 1,
            }
        }
        row
    }
}

async fn read_run_counts(http: &awc::Client, platform: SocketAddr) -> Result<Counts, String> {
    let request = http
        .get(format!("http://{platform}/ledger"))
        .timeout(LEDGER_TIMEOUT);
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    response
        .json()
        .limit(LEDGER_MAX_BYTES)
        .await
        .map_err(|error| error.to_string())
}
