//! The platform, entry hosts and fleet instances of one test.

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
use persimmongate_standin::ports;
use persimmongate_standin::runs::Counts;
use serde_json::Value;

use crate::process::{Process, run};
use crate::wait::wait_until;

/// Number of addresses reserved for one test, enough for the processes that it starts later.
const ADDRESS_COUNT: usize = 40;
/// Maximum size of a response body.
const RESPONSE_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Time-out of one call to the platform or a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Sheet that a test starts with: two small pools with availability budgets. All other hosts stay
/// in the spare pool.
pub const SHEET: &str = "intent,name,pool,service,hosts,batch,slots,note
pool,finder,,finder,6,,,
pool,catalogue,,catalogue,4,,,
budget,,,finder,4,,,
budget,,,catalogue,2,,,
";

/// `Cluster` is the running system of one test, on loopback addresses.
pub struct Cluster {
    /// HTTP client for all requests of the test.
    pub http: awc::Client,
    /// Folder with the settings and log files of the processes.
    pub folder: PathBuf,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Entry hosts in the order of their start.
    pub entries: Vec<Node>,
    /// Fleet instances in the order of their start.
    pub fleet: Vec<Node>,
    /// Additional settings of entry hosts.
    entry_settings: &'static str,
    /// Reserved addresses that no process uses yet.
    free_addresses: Vec<SocketAddr>,
    _platform: Process,
}

impl Cluster {
    /// Starts the platform, three entry hosts and three fleet instances, applies [`SHEET`] and
    /// waits until its pools have their hosts.
    ///
    /// # Panics
    ///
    /// Panics if the system is not ready in time.
    pub async fn start() -> Self {
        Self::start_with("").await
    }

    /// Starts the same with additional settings of the entry hosts.
    ///
    /// # Panics
    ///
    /// Panics if the system is not ready in time.
    pub async fn start_with(entry_settings: &'static str) -> Self {
        let mut cluster = Self::start_platform();
        cluster.entry_settings = entry_settings;
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
        let mut free_addresses = ports::find_free(ADDRESS_COUNT).unwrap();
        let platform_address = free_addresses.remove(0);
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
            entry_settings: "",
            free_addresses,
            _platform: process,
        }
    }

    /// Starts an entry host or fleet instance. `name` must differ from those of running processes;
    /// `seeds` are the peers that it fetches the replayed state from while the log is down.
    pub fn start_node(&mut self, program: Program, name: &str, seeds: &[SocketAddr]) {
        let count = program.address_count();
        let addresses: Vec<SocketAddr> = self.free_addresses.drain(..count).collect();
        let node = Node::start(
            program,
            name,
            &self.folder,
            self.platform_address,
            &addresses,
            seeds,
            self.entry_settings,
        );
        match program {
            Program::Entry => self.entries.push(node),
            Program::Fleet => self.fleet.push(node),
        }
    }

    /// Returns all entry hosts and fleet instances.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.entries.iter().chain(&self.fleet)
    }

    /// Waits until all processes are members in the state of every fleet instance.
    pub async fn wait_for_members(&self) {
        wait_until(
            "fleet instances that list all processes as members",
            async || {
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
            },
        )
        .await;
    }

    /// Waits until all hosts in the pools of services are serving and each pool has at least its
    /// target number of hosts. A pool keeps surplus hosts for a while.
    pub async fn wait_for_filled_pools(&self) {
        wait_until("filled pools", async || {
            let Some(state) = self.state().await else {
                return false;
            };
            let is_filled = |(name, pool): (&ids::Pool, &Pool)| {
                let hosts: Vec<_> = state.hosts.values().filter(|h| h.pool == *name).collect();
                let all_serving = hosts.iter().all(|host| host.is_serving());
                pool.service.is_none() || all_serving && hosts.len() >= pool.target as usize
            };
            state.pools.len() > 1 && state.pools.iter().all(is_filled)
        })
        .await;
    }

    /// Returns the status reported by the first fleet instance that answers.
    pub async fn status(&self) -> Option<Status> {
        for node in &self.fleet {
            let status = self.fetch_json(node.http_address, "/v1/status").await;
            if let Some(status) = status.and_then(|status| serde_json::from_value(status).ok()) {
                return Some(status);
            }
        }
        None
    }

    /// Returns the replayed state of the first fleet instance that answers.
    pub async fn state(&self) -> Option<State> {
        for node in &self.fleet {
            if let Some(state) = self.node_state(node).await {
                return Some(state);
            }
        }
        None
    }

    /// Returns the replayed state of a process, `None` until the process has one.
    pub async fn node_state(&self, node: &Node) -> Option<State> {
        let dump = self.dump(node).await?;
        if dump["log"]["ready"] != Value::Bool(true) {
            return None;
        }
        serde_json::from_value(dump["log"]["state"].clone()).ok()
    }

    /// Returns the dump of a process.
    pub async fn dump(&self, node: &Node) -> Option<Value> {
        self.fetch_json(node.http_address, "/dump").await
    }

    /// Returns the platform's counts of the requests that ran at the workers.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not answer.
    pub async fn run_counts(&self) -> Counts {
        let counts = self
            .fetch_json(self.platform_address, "/ledger")
            .await
            .unwrap();
        serde_json::from_value(counts).unwrap()
    }

    async fn fetch_json(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let url = format!("http://{address}{path}");
        let mut response = self.http.get(url).timeout(CALL_TIMEOUT).send().await.ok()?;
        response.json().limit(RESPONSE_MAX_BYTES).await.ok()
    }

    /// Injects a fault at the platform.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not accept the fault.
    pub async fn set_fault(&self, fault: Fault) {
        let url = format!("http://{}/faults", self.platform_address);
        let response = self.http.post(url).send_json(&fault).await.unwrap();
        assert!(response.status().is_success());
    }

    /// Applies a sheet with `persimmonctl`.
    ///
    /// # Panics
    ///
    /// Panics if the file of the sheet can't be written.
    #[must_use]
    pub fn apply_sheet(&self, sheet: &str) -> Output {
        let path = self.folder.join("sheet.csv");
        fs::write(&path, sheet).unwrap();
        self.run_ctl(&["apply", path.to_str().unwrap()])
    }

    /// Runs `persimmonctl` to its end, as operator "trial".
    #[must_use]
    pub fn run_ctl(&self, command: &[&str]) -> Output {
        let fleet = self.fleet_addresses();
        let mut arguments = vec!["--fleet", &fleet, "--operator", "trial"];
        arguments.extend(command);
        run("persimmonctl", &arguments)
    }

    /// Starts `persimmonctl` under the name of an operator, without waiting for its end.
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

    /// Waits until at least `count` requests have started to run.
    pub async fn wait_for_runs(&self, count: usize) {
        wait_until("requests to run", async || {
            self.run_counts().await.runs.len() >= count
        })
        .await;
    }

    /// Waits until a maintenance wave is done.
    pub async fn wait_for_wave(&self, wave: &str) {
        wait_until("a wave to be done", async || {
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
        // The folder of a failed test is kept, as it holds the log files.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
