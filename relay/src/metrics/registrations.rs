//! Metrics of registrations of servers that are not in use.

use medlarfall_coordination::registry::Unused;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::add;
use super::labels::KindLabels;

/// The metrics.
#[derive(Debug)]
pub struct Registrations {
    /// Registrations that were not decoded.
    pub unreadable: Counter,
    /// Registrations that are not in use, by kind: their `service` is not configured, or another server holds
    /// their `address`.
    unused: Family<KindLabels, Gauge>,
}

impl Registrations {
    pub(super) fn new(registry: &mut Registry) -> Self {
        Self {
            unreadable: add(
                registry,
                "unreadable_registrations",
                "Registrations not decoded",
                Counter::default(),
            ),
            unused: add(
                registry,
                "unused_registrations",
                "Registrations not in use",
                Family::default(),
            ),
        }
    }

    pub(super) fn set_unused(&self, unused: Unused) {
        for (kind, count) in [("service", unused.service), ("address", unused.address)] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            let gauge = self.unused.get_or_create(&KindLabels { kind }).clone();
            gauge.set(count);
        }
    }
}
