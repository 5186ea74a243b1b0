//! Duties of entries towards the platform's provider: keeps the locks that
//! [`medlarfall_coordination::duty`] decides on, and hands permits to the drivers of the duties.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::duty;
use medlarfall_runtime::clock::BootClock;

pub use medlarfall_coordination::duty::Subject;

/// Longest time for a call to the provider. A holder acts only while its lease lasts for longer.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings of the duties.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Whether usage is reported.
    pub usage_reporting: bool,
    /// Whether scaling orders are sent.
    pub autoscaling: bool,
    /// Calls per second that the provider accepts from all entries together.
    pub calls_per_s: f64,
    /// Time within which the holder of a subject must not change twice.
    pub lease: Duration,
    /// Whether the provider checks fencing tokens.
    pub fenced: bool,
    /// Length of a usage window.
    pub window: Duration,
    /// Relative error of a usage count that the provider accepts.
    pub tolerance: f64,
    /// Time after its end by which a window is to be reported.
    pub usage_due: Duration,
}

/// Permission to act for a subject, which must be checked right before each call.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The subject.
    pub subject: Subject,
    /// Fencing token: it increases when the holder changes.
    pub token: u64,
    /// Name of the entry that holds the subject.
    pub holder: Arc<str>,
    pub(crate) permit: duty::Permit,
    pub(crate) clock: BootClock,
}

impl Permit {
    /// Returns whether a call may be sent now that ends within `call_timeout`.
    #[must_use]
    pub fn allows(&self, call_timeout: Duration) -> bool {
        self.permit.allows(self.clock.now(), call_timeout)
    }
}

/// Outcome of a call to the provider.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The provider accepted the call.
    Accepted,
    /// The call was not sent: the permit did not allow it, or no connection was opened.
    NotSent {
        /// Why.
        reason: String,
    },
    /// The provider refused the call, with a status.
    Refused {
        /// Status of the response.
        status: u16,
        /// Pause that the provider asks for.
        retry_after: Option<Duration>,
    },
    /// No response arrived in time; the call may have taken effect.
    Lost {
        /// Why.
        reason: String,
    },
}

impl Outcome {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::NotSent { .. } => "not_sent",
            Self::Refused { .. } => "refused",
            Self::Lost { .. } => "lost",
        }
    }
}

/// The platform's API that takes usage reports and scaling orders. Implementations check the permit
/// right before they write a call, and end a call without a response after [`CALL_TIMEOUT`].
pub trait Provider: Clone + Send + Sync + 'static {
    /// Reports the requests of each account in a window.
    fn report_usage(
        &self,
        permit: &Permit,
        window: u64,
        counts: &BTreeMap<Arc<str>, u64>,
    ) -> impl Future<Output = Outcome> + Send;

    /// Orders the number of servers of a service in a failure domain.
    fn order_servers(
        &self,
        permit: &Permit,
        service: &str,
        failure_domain: &str,
        desired: u32,
    ) -> impl Future<Output = Outcome> + Send;
}
