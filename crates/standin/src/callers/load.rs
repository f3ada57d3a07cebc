//! Open-loop load: each service's demand peaks in its turn.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::{Instant, interval};
use argh::FromArgs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::call::{Call, Plan, send};
use super::table::{Row, Table};
use super::watch::{Watch, watch};
use crate::deployment::{Deployment, SLOTS_PER_WORKER, Service};
use crate::ledger::Counts;

/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(5);
/// Demand at a peak, as a multiple of the mean.
const PEAK: f64 = 5.0;
/// Demand between peaks, as a multiple of the mean.
const TROUGH: f64 = 0.05;
/// Callers of each service.
const CALLERS: u32 = 4;
/// Connections that the load opens to one entry host, at most.
const CONNECTIONS: usize = 4096;
/// Time that the ledger has to answer.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest ledger read, in bytes.
const LEDGER_MAX: usize = 256 * 1024 * 1024;

/// Drives callers and checks what they were told.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "callers")]
pub struct Args {
    /// deployment: andaman or kuiseb
    #[argh(option)]
    deployment: Deployment,
    /// entry hosts, separated by commas
    #[argh(option, from_str_fn(addresses))]
    entries: Addresses,
    /// fleet instances, separated by commas
    #[argh(option, from_str_fn(addresses))]
    fleet: Addresses,
    /// address of the platform
    #[argh(option)]
    platform: SocketAddr,
    /// wave that must end for the run to end
    #[argh(option)]
    wave: Option<String>,
    /// seconds of load, at least
    #[argh(option, default = "20")]
    seconds: u64,
    /// seconds of load, at most
    #[argh(option, default = "50")]
    most: u64,
    /// mean demand as a share of what a pool can run
    #[argh(option, default = "0.25")]
    load: f64,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
}

/// `Addresses` is a list of addresses.
#[derive(Clone, Debug)]
struct Addresses(Vec<SocketAddr>);

fn addresses(text: &str) -> Result<Addresses, String> {
    let parse = |part: &str| part.parse().map_err(|_| format!("{part} is no address"));
    text.split(',')
        .map(parse)
        .collect::<Result<_, _>>()
        .map(Addresses)
}

/// Drives the load to its end, prints the table and checks every promise.
///
/// # Errors
///
/// Returns the promises that did not hold.
pub async fn run(args: Args) -> Result<(), String> {
    let http = awc::Client::builder()
        .connector(awc::Connector::new().limit(CONNECTIONS))
        .disable_redirects()
        .finish();
    let watched = watch(http.clone(), args.fleet.0.clone(), args.wave.clone());
    let services = args.deployment.services();
    let mut flows: Vec<Flow> = services.iter().map(|service| Flow::new(*service)).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let started = Instant::now();
    let turn = Duration::from_secs(args.seconds) / u32::try_from(services.len()).unwrap_or(1);
    let mut steps = interval(STEP);
    loop {
        steps.tick().await;
        let elapsed = started.elapsed();
        let enough = elapsed >= Duration::from_secs(args.seconds) && watched.borrow().wave_ended;
        if enough || elapsed >= Duration::from_secs(args.most) {
            break;
        }
        let peak = elapsed.as_millis() / turn.as_millis().max(1) % services.len() as u128;
        for (index, flow) in flows.iter_mut().enumerate() {
            let factor = if index as u128 == peak { PEAK } else { TROUGH };
            flow.offer(factor * args.load, &http, &args.entries.0, &mut rng);
        }
    }
    let elapsed = started.elapsed();
    let mut rows = Vec::new();
    for flow in flows {
        rows.push(flow.finish().await);
    }
    let counts = read_ledger(&http, args.platform).await?;
    let watch: Watch = watched.borrow().clone();
    let table = Table::new(rows, &counts, watch, elapsed);
    println!("{table}");
    table.check(args.wave.is_some())
}

/// `Flow` is the load of one service.
struct Flow {
    service: Service,
    /// Requests that are due, as a fraction.
    due: f64,
    last: Instant,
    calls: VecDeque<JoinHandle<Call>>,
}

impl Flow {
    fn new(service: Service) -> Self {
        Self {
            service,
            due: 0.0,
            last: Instant::now(),
            calls: VecDeque::new(),
        }
    }

    /// Sends what became due since the last step.
    fn offer(
        &mut self,
        load: f64,
        http: &awc::Client,
        entries: &[SocketAddr],
        rng: &mut ChaCha8Rng,
    ) {
        let passed = self.last.elapsed().as_secs_f64();
        self.last = Instant::now();
        let slots = f64::from(u32::try_from(self.service.worker_count).unwrap_or(0))
            * f64::from(SLOTS_PER_WORKER);
        let work = Duration::from_millis(self.service.mean_work_ms).as_secs_f64();
        self.due += load * passed * slots / work;
        while self.due >= 1.0 {
            self.due -= 1.0;
            let first = rng.random_range(0..entries.len());
            let mut order = entries.to_vec();
            order.rotate_left(first);
            let plan = Plan {
                service: self.service,
                caller: format!("{}-{}", self.service.name, rng.random_range(0..CALLERS)),
                random: rng.random(),
                work_ms: rng.random_range(
                    self.service.mean_work_ms / 2..=self.service.mean_work_ms * 3 / 2,
                ),
                entries: order,
            };
            self.calls
                .push_back(actix_rt::spawn(send(http.clone(), plan)));
        }
    }

    async fn finish(self) -> Row {
        let mut row = Row::new(self.service);
        for call in self.calls {
            match call.await {
                Ok(call) => row.add(call),
                Err(_) => row.lost += 1,
            }
        }
        row
    }
}

async fn read_ledger(http: &awc::Client, platform: SocketAddr) -> Result<Counts, String> {
    let request = http
        .get(format!("http://{platform}/ledger"))
        .timeout(LEDGER_TIMEOUT);
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    response
        .json()
        .limit(LEDGER_MAX)
        .await
        .map_err(|error| error.to_string())
}
