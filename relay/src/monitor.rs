//! Monitors the servers that run streams of this entry, and notifies the streams when a server is
//! lost.
//!
//! Each server with streams has one task, which drives a [`medlarfall_coordination::liveness`]
//! detector and ends with the last stream.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use medlarfall_coordination::liveness::{Detector, Step};
use tokio::sync::watch;

use crate::attempt;
use crate::codec::{Codec, Report};
use crate::state::{Backend, Relay};

/// Pause of a probe that the budget does not allow.
const WITHHELD_PAUSE: Duration = Duration::from_millis(100);

/// Monitoring state of a server with streams.
#[derive(Debug)]
struct Watched {
    detector: Detector,
    streams: usize,
    lost: watch::Sender<bool>,
}

/// The monitor of one server.
#[derive(Debug, Default)]
pub struct Monitor {
    watched: Mutex<Option<Watched>>,
}

/// A stream's subscription to the loss of a server; dropped when the stream leaves it.
#[derive(Debug)]
pub struct Subscription {
    backend: Arc<Backend>,
    lost: watch::Receiver<bool>,
}

impl Subscription {
    /// Waits until the server is lost.
    pub async fn lost(&mut self) {
        if self.lost.wait_for(|lost| *lost).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the server is lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        *self.lost.borrow()
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.backend.monitor.with(|watched| match watched {
            // After a loss, the monitor counts the streams that began since.
            Some(watched) if watched.lost.subscribe().same_channel(&self.lost) => {
                watched.streams = watched.streams.saturating_sub(1);
            }
            _ => {}
        });
    }
}

impl Monitor {
    /// Records that data arrived from the server.
    pub fn record_activity(&self, now: Duration) {
        self.with(|watched| {
            if let Some(watched) = watched {
                watched.detector.record_activity(now);
            }
        });
    }

    fn with<T>(&self, act: impl FnOnce(&mut Option<Watched>) -> T) -> T {
        act(&mut self.watched.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the next step; ends monitoring when no stream remains.
    fn step(&self, now: Duration, prefilling: bool) -> Option<Step> {
        self.with(|slot| {
            let watched = slot.as_ref()?;
            if watched.streams == 0 {
                *slot = None;
                return None;
            }
            let step = watched.detector.next_step(now, prefilling);
            if step == Step::Lost {
                watched.lost.send_replace(true);
                *slot = None;
            }
            Some(step)
        })
    }

    /// Returns whether the last probe got no valid response.
    fn has_failed_probe(&self) -> bool {
        self.with(|watched| {
            watched
                .as_ref()
                .is_some_and(|it| it.detector.has_failed_probe())
        })
    }

    /// Records that a probe sent at `sent_at` got no valid response.
    fn record_failed_probe(&self, sent_at: Duration) {
        self.with(|watched| {
            if let Some(watched) = watched {
                watched.detector.record_failed_probe(sent_at);
            }
        });
    }
}

/// Subscribes a stream to the loss of `backend`, and starts its monitor if needed.
pub fn subscribe<C: Codec>(relay: &Arc<Relay<C>>, backend: &Arc<Backend>) -> Subscription {
    let now = relay.clock.now();
    let (lost, first) = backend.monitor.with(|slot| {
        let first = slot.is_none();
        let watched = slot.get_or_insert_with(|| Watched {
            detector: Detector::new(relay.settings.liveness, now),
            streams: 0,
            lost: watch::Sender::new(false),
        });
        watched.streams += 1;
        (watched.lost.subscribe(), first)
    });
    if first {
        tokio::spawn(run(Arc::clone(relay), Arc::clone(backend)));
    }
    Subscription {
        backend: Arc::clone(backend),
        lost,
    }
}

/// Drives the detector of one server until its last stream has left or the server is lost.
async fn run<C: Codec>(relay: Arc<Relay<C>>, backend: Arc<Backend>) {
    let step = || {
        let prefilling = backend.load(|load| load.only_prefilling());
        backend.monitor.step(relay.clock.now(), prefilling)
    };
    while let Some(step) = step() {
        let confirms = backend.monitor.has_failed_probe();
        match step {
            Step::Wait(until) => tokio::time::sleep_until(relay.clock.instant(until)).await,
            // The second probe of a server is not held back, so that a loss is found soon after the first.
            Step::Probe if !confirms && backend.reports_slowness() && relay.take_probes(1) == 0 => {
                relay.metrics.count_probe("withheld");
                tokio::time::sleep(WITHHELD_PAUSE).await;
            }
            Step::Probe => probe(&relay, &backend).await,
            Step::Lost => {
                relay.record_unreachable(&backend);
                relay.metrics.servers_lost.inc();
                log::warn!(
                    server = &*backend.server.id, failure_domain = &*backend.server.failure_domain;
                    "server lost: silent and unresponsive to probes"
                );
                return;
            }
        }
    }
}

/// Probes a server by fetching its status report.
async fn probe<C: Codec>(relay: &Relay<C>, backend: &Arc<Backend>) {
    let sent_at = relay.clock.now();
    let wait = relay.settings.liveness.probe_timeout;
    let _open = backend.open_connection();
    let answer = attempt::fetch_report(relay, backend.server.address);
    let answer = tokio::time::timeout(wait, answer).await;
    let now = relay.clock.now();
    match answer {
        Ok(Ok(report)) if same_incarnation(backend, &report) => {
            relay.record_response(backend);
            backend.load(|load| load.record_report(report.requests, now));
            if report.leaving {
                relay.record_departure(&backend.server.id, backend.server.started_ms);
            }
        }
        // The connection was refused, or another incarnation responded: no need to wait for the
        // time-out.
        Ok(_) => {
            backend.monitor.record_failed_probe(sent_at);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(_) => backend.monitor.record_failed_probe(sent_at),
    }
}

/// Returns whether a report comes from the incarnation of the server that the streams run at.
fn same_incarnation(backend: &Backend, report: &Report) -> bool {
    match (backend.server.started_ms, report.started_ms) {
        (Some(known), Some(reported)) => known == reported,
        _ => true,
    }
}
