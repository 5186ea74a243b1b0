//! Watches the servers that run streams of this entry, and tells the streams when one is lost.
//!
//! There is one task for each server that has streams; it drives
//! [`medlarfall_coordination::liveness`] and ends with the last stream.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use medlarfall_coordination::liveness::{Detector, Step};
use tokio::sync::watch;

use crate::attempt;
use crate::dialect::{Dialect, Report};
use crate::state::{Backend, Relay};

/// What is known of a server with streams.
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

/// A stream's interest in a server; dropped when the stream leaves it.
#[derive(Debug)]
pub struct Subscription {
    backend: Arc<Backend>,
    lost: watch::Receiver<bool>,
}

impl Subscription {
    /// Returns when the server is lost.
    pub async fn lost(&mut self) {
        if self.lost.wait_for(|lost| *lost).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.backend.monitor.with(|watched| {
            if let Some(watched) = watched {
                watched.streams = watched.streams.saturating_sub(1);
            }
        });
    }
}

impl Monitor {
    /// Notes that something came from the server.
    pub fn heard(&self, now: Duration) {
        self.with(|watched| {
            if let Some(watched) = watched {
                watched.detector.record_activity(now);
            }
        });
    }

    fn with<T>(&self, act: impl FnOnce(&mut Option<Watched>) -> T) -> T {
        act(&mut self.watched.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the next step; ends the watch when no stream is left.
    fn step(&self, now: Duration, reading: bool) -> Option<Step> {
        self.with(|slot| {
            let watched = slot.as_ref()?;
            if watched.streams == 0 {
                *slot = None;
                return None;
            }
            let step = watched.detector.next_step(now, reading);
            if step == Step::Lost {
                watched.lost.send_replace(true);
                *slot = None;
            }
            Some(step)
        })
    }

    /// Notes that a question that was asked at `asked_at` found no answer.
    fn unanswered(&self, asked_at: Duration) {
        self.with(|watched| {
            if let Some(watched) = watched {
                watched.detector.record_failed_probe(asked_at);
            }
        });
    }
}

/// Watches `backend` for a stream.
pub fn subscribe<D: Dialect>(relay: &Arc<Relay<D>>, backend: &Arc<Backend>) -> Subscription {
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

/// Drives the detector of one server until its last stream has left or it is lost.
async fn run<D: Dialect>(relay: Arc<Relay<D>>, backend: Arc<Backend>) {
    let step = || {
        let reading = backend.load(|load| load.only_prefilling());
        backend.monitor.step(relay.clock.now(), reading)
    };
    while let Some(step) = step() {
        match step {
            Step::Wait(until) => tokio::time::sleep_until(relay.clock.instant(until)).await,
            Step::Probe => ask(&relay, &backend).await,
            Step::Lost => {
                relay.unreachable(&backend);
                relay.metrics.servers_lost.inc();
                log::warn!(
                    server = &*backend.server.id, failure_domain = &*backend.server.failure_domain;
                    "server lost: it is silent and does not answer questions"
                );
                return;
            }
        }
    }
}

/// Asks a server for its report.
async fn ask<D: Dialect>(relay: &Relay<D>, backend: &Arc<Backend>) {
    let asked_at = relay.clock.now();
    let wait = relay.settings.liveness.probe_timeout;
    let answer = attempt::report(relay, backend.server.address);
    let answer = tokio::time::timeout(wait, answer).await;
    let now = relay.clock.now();
    match answer {
        Ok(Ok(report)) if same_start(backend, &report) => {
            relay.answered(backend);
            backend.load(|load| load.record_report(report.requests, now));
        }
        // The connection was refused, or another start of the server answered: no need to wait.
        Ok(_) => {
            backend.monitor.unanswered(asked_at);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(_) => backend.monitor.unanswered(asked_at),
    }
}

/// Returns whether a report is by the start of the server that the streams run at.
fn same_start(backend: &Backend, report: &Report) -> bool {
    match (backend.server.started_ms, report.born_ms) {
        (Some(known), Some(told)) => known == told,
        _ => true,
    }
}
