//! Metrics of admission.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::{KindLabels, ServiceLabels, add, latency};

/// Metrics of admission to services whose servers report slowness.
#[derive(Debug)]
pub struct Admission {
    /// Decisions: `sent`, `queued`, `gave_up`, or the reason of a rejection.
    decisions: Family<KindLabels, Counter>,
    /// Wait for a turn, in seconds.
    wait: Histogram,
    /// Part of the demand of the last request's account and priority that is let through, by service.
    share: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
}

impl Admission {
    /// Registers the metrics.
    pub(super) fn new(registry: &mut Registry) -> Self {
        Self {
            decisions: add(
                registry,
                "admission",
                "Decisions about requests to full services",
                Family::default(),
            ),
            wait: add(
                registry,
                "admission_wait_seconds",
                "Wait for a turn",
                latency(),
            ),
            share: add(
                registry,
                "admission_share",
                "Part of the requests that is let through",
                Family::default(),
            ),
        }
    }

    /// Counts a decision.
    pub fn count(&self, kind: &'static str) {
        self.decisions.get_or_create(&KindLabels { kind }).inc();
    }

    /// Records the wait for a turn.
    pub fn record_wait(&self, wait: Duration) {
        self.wait.observe(wait.as_secs_f64());
    }

    /// Sets the part of the requests to a service that is let through.
    pub fn set_share(&self, service: &str, share: f64) {
        let service = service.to_owned();
        let gauge = self.share.get_or_create(&ServiceLabels { service });
        gauge.set(share);
    }
}
