//! Periodic samples of the fleet's status during a run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep};
use persimmongate_core::record::Phase;
use persimmongate_core::report::Status;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time-out of one sample.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a status report.
const STATUS_MAX_BYTES: usize = 16 * 1024 * 1024;

/// `Observations` is a summary of the samples so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Observations {
    /// Lowest number of serving hosts observed, and the availability budget at that time, by
    /// service.
    pub(super) lowest_serving: BTreeMap<String, (u32, u32)>,
    /// True from the start if no wave is awaited.
    pub(super) wave_ended: bool,
    pub(super) wave_phase: Option<Phase>,
    /// Time from the start of the samples to the end of the wave.
    pub(super) wave_time: Duration,
    pub(super) move_count: u64,
    pub(super) spare_hosts: usize,
    pub(super) sample_count: u64,
}

/// Starts a task that samples the fleet instances in turn. The result is shared
/// with that task, which keeps updating it.
pub(super) fn start_sampling(
    http: awc::Client,
    fleet: Vec<SocketAddr>,
    wave: Option<String>,
) -> Rc<RefCell<Observations>> {
    let observations = Rc::new(RefCell::new(Observations {
        wave_ended: wave.is_none(),
        ..Observations::default()
    }));
    let shared = Rc::clone(&observations);
    actix_rt::spawn(async move {
        let started_at = Instant::now();
        for sample_index in 0.. {
            let address = fleet[sample_index % fleet.len()];
            if let Some(status) = read_status(&http, address).await {
                shared
                    .borrow_mut()
                    .record(&status, wave.as_deref(), started_at.elapsed());
            }
            sleep(SAMPLE_INTERVAL).await;
        }
    });
    observations
}

async fn read_status(http: &awc::Client, address: SocketAddr) -> Option<Status> {
    let request = http
        .get(format!("http://{address}/v1/status"))
        .timeout(SAMPLE_TIMEOUT);
    let mut response = request.send().await.ok()?;
    response.json().limit(STATUS_MAX_BYTES).await.ok()
}

impl Observations {
    fn record(&mut self, status: &Status, wave_name: Option<&str>, elapsed: Duration) {
        self.sample_count += 1;
        for service in &status.services {
            let sample = (service.serving_count, service.budget);
            let lowest = self
                .lowest_serving
                .entry(service.name.to_string())
                .or_insert(sample);
            if sample.0 < lowest.0 {
                *lowest = sample;
            }
        }
        self.move_count = self.move_count.max(status.accepted_moves);
        let spare_pool = status.pools.iter().find(|pool| pool.service.is_none());
        self.spare_hosts = spare_pool.map_or(0, |pool| pool.host_count);
        let Some(wave_name) = wave_name else { return };
        let Some(wave) = status.waves.iter().find(|wave| wave.name == wave_name) else {
            return;
        };
        self.wave_phase = Some(wave.phase);
        if !self.wave_ended {
            self.wave_time = elapsed;
        }
        self.wave_ended |= matches!(wave.phase, Phase::Aborted | Phase::Done);
    }
}
