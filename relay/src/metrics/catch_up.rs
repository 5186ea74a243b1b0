//! Metrics of how far an entry is behind the others.

use std::sync::atomic::AtomicU64;

use medlarfall_coordination::catch_up::Lag;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::add;
use super::labels::SourceLabels;

/// The metrics.
#[derive(Debug)]
pub struct CatchUp {
    /// Attempts to fetch changes, by source (`peer`, `store`) and outcome (`advanced`, `failed`).
    pub attempts: Family<SourceLabels, Counter>,
    /// Bytes of changes that were sent to peers at their request.
    pub sent_bytes: Counter,
    /// Requests of peers for changes that were refused, since the link was busy with others.
    pub refused: Counter,
    /// Revisions of the store that are missing.
    revisions: Gauge,
    /// Time since they are missing, in seconds.
    seconds: Gauge<f64, AtomicU64>,
}

impl CatchUp {
    pub(super) fn new(registry: &mut Registry) -> Self {
        Self {
            attempts: add(
                registry,
                "catch_ups",
                "Attempts to fetch changes that are missing",
                Family::default(),
            ),
            sent_bytes: add(
                registry,
                "changes_sent_bytes",
                "Bytes of changes that peers fetched",
                Counter::default(),
            ),
            refused: add(
                registry,
                "changes_refused",
                "Peers that were sent elsewhere for changes",
                Counter::default(),
            ),
            revisions: add(
                registry,
                "behind_revisions",
                "Revisions of the store that are missing",
                Gauge::default(),
            ),
            seconds: add(
                registry,
                "behind_seconds",
                "Time since revisions are missing",
                Gauge::default(),
            ),
        }
    }

    /// Counts an attempt to fetch changes.
    pub fn count_attempt(&self, source: &'static str, outcome: &'static str) {
        let labels = SourceLabels { source, outcome };
        self.attempts.get_or_create(&labels).inc();
    }

    pub(super) fn set_lag(&self, lag: &Lag) {
        let revisions = i64::try_from(lag.revisions).unwrap_or(i64::MAX);
        self.revisions.set(revisions);
        self.seconds.set(lag.time.as_secs_f64());
    }
}
