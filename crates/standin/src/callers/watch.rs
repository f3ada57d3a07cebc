//! Samples of the fleet's status during a run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep};
use persimmongate_core::record::Phase;
use persimmongate_core::report::Status;

/// Time between two samples.
const PERIOD: Duration = Duration::from_millis(100);
/// Time that a fleet instance has to answer.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Largest status read, in bytes.
const STATUS_MAX: usize = 16 * 1024 * 1024;

/// `Watch` is what the samples showed.
#[derive(Clone, Debug, Default)]
pub(super) struct Watch {
    /// Lowest number of serving hosts seen and the promise, by service.
    pub(super) lowest: BTreeMap<String, (u32, u32)>,
    pub(super) wave_ended: bool,
    pub(super) wave_phase: Option<Phase>,
    pub(super) wave_time: Duration,
    pub(super) moves: u64,
    pub(super) spare: usize,
    pub(super) samples: u64,
}

/// Starts to sample; the watch is read by the task that started it.
pub(super) fn watch(
    http: awc::Client,
    fleet: Vec<SocketAddr>,
    wave: Option<String>,
) -> Rc<RefCell<Watch>> {
    let watch = Rc::new(RefCell::new(Watch {
        wave_ended: wave.is_none(),
        ..Watch::default()
    }));
    let shared = Rc::clone(&watch);
    actix_rt::spawn(async move {
        let started = Instant::now();
        for turn in 0.. {
            let address = fleet[turn % fleet.len()];
            if let Some(status) = sample(&http, address).await {
                shared
                    .borrow_mut()
                    .note(&status, wave.as_deref(), started.elapsed());
            }
            sleep(PERIOD).await;
        }
    });
    watch
}

async fn sample(http: &awc::Client, address: SocketAddr) -> Option<Status> {
    let request = http
        .get(format!("http://{address}/v1/status"))
        .timeout(TIMEOUT);
    let mut response = request.send().await.ok()?;
    response.json().limit(STATUS_MAX).await.ok()
}

impl Watch {
    fn note(&mut self, status: &Status, wave: Option<&str>, elapsed: Duration) {
        self.samples += 1;
        for service in &status.services {
            let sample = (service.serving_count, service.budget);
            let lowest = self
                .lowest
                .entry(service.name.to_string())
                .or_insert(sample);
            if sample.0 < lowest.0 {
                *lowest = sample;
            }
        }
        self.moves = self.moves.max(status.accepted_moves);
        let spare = status.pools.iter().find(|pool| pool.service.is_none());
        self.spare = spare.map_or(0, |pool| pool.host_count);
        let Some(wave) = wave else { return };
        let Some(entry) = status.waves.iter().find(|entry| entry.name == wave) else {
            return;
        };
        self.wave_phase = Some(entry.phase);
        if !self.wave_ended {
            self.wave_time = elapsed;
        }
        self.wave_ended |= matches!(entry.phase, Phase::Aborted | Phase::Done);
    }
}
