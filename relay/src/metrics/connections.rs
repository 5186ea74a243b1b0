//! Metrics of the connections to servers.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::{ServiceLabels, add};

/// Metrics by service.
#[derive(Debug)]
pub struct Connections {
    /// Open connections.
    pub open: Family<ServiceLabels, Gauge>,
    /// Requests that were rejected while a server had no connection left for this entry.
    pub lacking: Family<ServiceLabels, Counter>,
    /// Responses that servers truncated.
    pub truncated: Family<ServiceLabels, Counter>,
}

impl Connections {
    /// Registers the metrics.
    pub(super) fn new(registry: &mut Registry) -> Self {
        let lacking = "Requests rejected for lack of a connection";
        let truncated = "Responses truncated by servers";
        Self {
            open: add(
                registry,
                "connections",
                "Connections to servers",
                Family::default(),
            ),
            lacking: add(registry, "without_connection", lacking, Family::default()),
            truncated: add(registry, "truncated", truncated, Family::default()),
        }
    }

    /// Sets the number of open connections of a service.
    pub(super) fn set_open(&self, service: &str, count: u32) {
        let service = service.to_owned();
        let gauge = self.open.get_or_create(&ServiceLabels { service });
        gauge.set(i64::from(count));
    }

    /// Counts a request that is rejected for lack of a connection to a server.
    pub fn count_lacking(&self, service: &str) {
        let service = service.to_owned();
        self.lacking.get_or_create(&ServiceLabels { service }).inc();
    }

    /// Counts a response that a server truncated.
    pub fn count_truncated(&self, service: &str) {
        let service = service.to_owned();
        self.truncated
            .get_or_create(&ServiceLabels { service })
            .inc();
    }
}
