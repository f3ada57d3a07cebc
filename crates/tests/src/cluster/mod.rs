//! The platform, entry hosts and fleet instances of one trial.

mod node;

pub use node::{Node, Program};

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Output;
use std::time::Duration;

use persimmongate_core::ids;
use persimmongate_core::record::Phase;
use persimmongate_core::report::Status;
use persimmongate_core::state::{Pool, State};
use persimmongate_standin::faults::Fault;
use persimmongate_standin::ledger::Counts;
use persimmongate_standin::ports;
use serde_json::Value;

use crate::process::{Process, run};
use crate::wait::wait_until;

/// Addresses set aside for one trial.
const ADDRESSES: usize = 40;
/// Largest answer read, in bytes.
const ANSWER_MAX: usize = 64 * 1024 * 1024;
/// Time that a call has to be answered.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Sheet of a trial: five small pools, and one spare.
pub const SHEET: &str = "intent,name,pool,service,hosts,batch,slots,note
pool,finder,,finder,6,,,
pool,catalogue,,catalogue,4,,,
budget,,,finder,4,,,
budget,,,catalogue,2,,,
";

/// `Cluster` is a running system on loopback.
pub struct Cluster {
    /// Client with connections of the trial.
    pub http: awc::Client,
    /// Folder of settings and log lines.
    pub folder: PathBuf,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Entry hosts in the order of their start.
    pub entries: Vec<Node>,
    /// Fleet instances in the order of their start.
    pub fleet: Vec<Node>,
    addresses: Vec<SocketAddr>,
    _platform: Process,
}

impl Cluster {
    /// Starts the platform, three entry hosts and three fleet instances with pools filled.
    ///
    /// # Panics
    ///
    /// Panics when the system does not come up.
    pub async fn start() -> Self {
        let mut cluster = Self::start_platform();
        for index in 0..3 {
            cluster.start_node(Program::Entry, &format!("entry-{index}"), &[]);
            cluster.start_node(Program::Fleet, &format!("fleet-{index}"), &[]);
        }
        cluster.wait_for_members().await;
        wait_until("the platform's hosts", async || {
            let status = cluster.status().await;
            status.is_some_and(|status| status.pools.iter().any(|pool| pool.host_count >= 48))
        })
        .await;
        let output = cluster.apply_sheet(SHEET);
        assert!(output.status.success(), "{output:?}");
        cluster.wait_for_filled_pools().await;
        cluster
    }

    fn start_platform() -> Self {
        let folder = std::env::temp_dir().join(format!("persimmongate-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let mut addresses = ports::find_free(ADDRESSES).unwrap();
        let platform_address = addresses.remove(0);
        let address = platform_address.to_string();
        let arguments = ["platform", "--deployment", "kuiseb", "--address", &address];
        let process = Process::start(&folder, "platform", "persimmongate-standin", &arguments);
        Self {
            http: awc::Client::builder()
                .connector(awc::Connector::new().limit(1024))
                .disable_redirects()
                .finish(),
            folder,
            platform_address,
            entries: Vec::new(),
            fleet: Vec::new(),
            addresses,
            _platform: process,
        }
    }

    /// Starts a process under a name that no running one has, with seeds for its fold.
    pub fn start_node(&mut self, program: Program, name: &str, seeds: &[SocketAddr]) {
        let count = program.address_count();
        let addresses: Vec<SocketAddr> = self.addresses.drain(..count).collect();
        let node = Node::start(
            program,
            name,
            &self.folder,
            self.platform_address,
            &addresses,
            seeds,
        );
        match program {
            Program::Entry => self.entries.push(node),
            Program::Fleet => self.fleet.push(node),
        }
    }

    /// Gets every process but the platform.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.entries.iter().chain(&self.fleet)
    }

    /// Waits until every process is a member in the view of every fleet instance.
    pub async fn wait_for_members(&self) {
        wait_until("members that all know each other", async || {
            for node in &self.fleet {
                let Some(state) = self.node_state(node).await else {
                    return false;
                };
                if !self
                    .nodes()
                    .all(|node| state.members.contains_key(&node.name))
                {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Waits until every host of each service's pool serves, and at least as many as the sheet
    /// asks for; a pool keeps hosts beyond that for a while.
    pub async fn wait_for_filled_pools(&self) {
        wait_until("filled pools", async || {
            let Some(state) = self.state().await else {
                return false;
            };
            let filled = |(name, pool): (&ids::Pool, &Pool)| {
                let hosts: Vec<_> = state.hosts.values().filter(|h| h.pool == *name).collect();
                let serving = hosts.iter().all(|host| host.is_serving());
                pool.service.is_none() || serving && hosts.len() >= pool.target as usize
            };
            state.pools.len() > 1 && state.pools.iter().all(filled)
        })
        .await;
    }

    /// Gets the status that the first fleet instance which answers shows.
    pub async fn status(&self) -> Option<Status> {
        for node in &self.fleet {
            let status = self.fetch_json(node.http_address, "/v1/status").await;
            if let Some(status) = status.and_then(|status| serde_json::from_value(status).ok()) {
                return Some(status);
            }
        }
        None
    }

    /// Gets the fold of the first fleet instance that answers.
    pub async fn state(&self) -> Option<State> {
        for node in &self.fleet {
            if let Some(state) = self.node_state(node).await {
                return Some(state);
            }
        }
        None
    }

    /// Gets the fold of a process.
    pub async fn node_state(&self, node: &Node) -> Option<State> {
        let dump = self.dump(node).await?;
        if dump["log"]["ready"] != Value::Bool(true) {
            return None;
        }
        serde_json::from_value(dump["log"]["state"].clone()).ok()
    }

    /// Gets the dump of a process.
    pub async fn dump(&self, node: &Node) -> Option<Value> {
        self.fetch_json(node.http_address, "/dump").await
    }

    /// Gets what ran at the workers.
    ///
    /// # Panics
    ///
    /// Panics when the platform does not answer.
    pub async fn run_counts(&self) -> Counts {
        let counts = self
            .fetch_json(self.platform_address, "/ledger")
            .await
            .unwrap();
        serde_json::from_value(counts).unwrap()
    }

    async fn fetch_json(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let url = format!("http://{address}{path}");
        let mut response = self.http.get(url).timeout(TIMEOUT).send().await.ok()?;
        response.json().limit(ANSWER_MAX).await.ok()
    }

    /// Sets a fault of the platform.
    ///
    /// # Panics
    ///
    /// Panics when the platform does not answer.
    pub async fn set_fault(&self, fault: Fault) {
        let url = format!("http://{}/faults", self.platform_address);
        let response = self.http.post(url).send_json(&fault).await.unwrap();
        assert!(response.status().is_success());
    }

    /// Applies a sheet as an operator does.
    ///
    /// # Panics
    ///
    /// Panics when the sheet can't be written.
    #[must_use]
    pub fn apply_sheet(&self, sheet: &str) -> Output {
        let path = self.folder.join("sheet.csv");
        fs::write(&path, sheet).unwrap();
        self.run_ctl(&["apply", path.to_str().unwrap()])
    }

    /// Runs a command of an operator.
    #[must_use]
    pub fn run_ctl(&self, command: &[&str]) -> Output {
        let fleet = self.fleet_addresses();
        let mut arguments = vec!["--fleet", &fleet, "--operator", "trial"];
        arguments.extend(command);
        run("persimmonctl", &arguments)
    }

    /// Starts a command of an operator, under its name.
    #[must_use]
    pub fn start_ctl(&self, operator: &str, command: &[&str]) -> Process {
        let fleet = self.fleet_addresses();
        let mut arguments = vec!["--fleet", &fleet, "--operator", operator];
        arguments.extend(command);
        Process::start(&self.folder, operator, "persimmonctl", &arguments)
    }

    fn fleet_addresses(&self) -> String {
        let fleet = self.fleet.iter().map(|node| node.http_address.to_string());
        fleet.collect::<Vec<_>>().join(",")
    }

    /// Waits until a number of requests ran.
    pub async fn wait_for_runs(&self, count: usize) {
        wait_until("requests that run", async || {
            self.run_counts().await.runs.len() >= count
        })
        .await;
    }

    /// Waits until a wave is done.
    pub async fn wait_for_wave(&self, wave: &str) {
        wait_until("a wave that is done", async || {
            let Some(state) = self.state().await else {
                return false;
            };
            let wave = state.waves.get(wave);
            wave.is_some_and(|wave| wave.phase == Phase::Done)
        })
        .await;
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // The folder of a trial that failed is kept for a look at its log lines.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
