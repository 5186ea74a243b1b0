//! Metrics of the duties towards the provider.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::add;

/// Label of the subject of a duty.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct SubjectLabels {
    /// The subject.
    pub subject: String,
}

/// Labels of a call to the provider.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct DutyCallLabels {
    /// The duty.
    pub duty: &'static str,
    /// How the call ended.
    pub outcome: &'static str,
}

/// Label of a usage window.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabels {
    /// What became of the window.
    pub outcome: &'static str,
}

/// Labels of a service in one failure domain.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct GroupLabels {
    /// The service.
    pub service: String,
    /// The failure domain.
    pub failure_domain: String,
}

/// The metrics.
#[derive(Debug)]
pub struct Metrics {
    /// Whether this entry holds a subject: 1 or 0.
    pub held: Family<SubjectLabels, Gauge>,
    /// Time for which no entry has held a subject, in seconds.
    pub unheld: Family<SubjectLabels, Gauge<f64, AtomicU64>>,
    /// Calls to the provider by duty and outcome.
    pub calls: Family<DutyCallLabels, Counter>,
    /// Servers that this entry ordered last, by service and failure domain whose orders it gives.
    pub desired_servers: Family<GroupLabels, Gauge>,
    /// Usage windows by outcome: `reported`, `uncounted` or `abandoned`.
    pub windows: Family<OutcomeLabels, Counter>,
}

impl Metrics {
    /// Returns the metrics, registered in `new`.
    pub(super) fn new(new: &mut Registry) -> Self {
        Self {
            held: add(
                new,
                "duty_held",
                "Whether this entry holds a duty",
                Family::default(),
            ),
            unheld: add(
                new,
                "duty_unheld_seconds",
                "Time without a holder of a duty",
                Family::default(),
            ),
            calls: add(
                new,
                "duty_calls",
                "Calls to the provider",
                Family::default(),
            ),
            desired_servers: add(
                new,
                "desired_servers",
                "Servers ordered last",
                Family::default(),
            ),
            windows: add(
                new,
                "usage_windows",
                "Usage windows by outcome",
                Family::default(),
            ),
        }
    }

    /// Counts a call to the provider.
    pub fn count_call(&self, duty: &'static str, outcome: &'static str) {
        let labels = DutyCallLabels { duty, outcome };
        self.calls.get_or_create(&labels).inc();
    }

    /// Sets the number of servers that this entry ordered last; `None` if another entry gives the orders.
    pub fn set_desired(&self, service: &str, failure_domain: &str, desired: Option<u32>) {
        let labels = GroupLabels {
            service: service.to_owned(),
            failure_domain: failure_domain.to_owned(),
        };
        match desired {
            Some(desired) => {
                let gauge = self.desired_servers.get_or_create(&labels).clone();
                gauge.set(i64::from(desired));
            }
            None => drop(self.desired_servers.remove(&labels)),
        }
    }

    /// Counts a usage window.
    pub fn count_window(&self, outcome: &'static str) {
        let labels = OutcomeLabels { outcome };
        self.windows.get_or_create(&labels).inc();
    }

    /// Sets whether this entry holds a subject, and for how long nobody has.
    pub fn set_subject(&self, subject: String, held: bool, unheld: Duration) {
        let labels = SubjectLabels { subject };
        let gauge = self.held.get_or_create(&labels).clone();
        gauge.set(i64::from(held));
        let gauge = self.unheld.get_or_create(&labels).clone();
        gauge.set(unheld.as_secs_f64());
    }
}
