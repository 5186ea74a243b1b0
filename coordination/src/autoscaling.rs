//! Scaling orders: how many servers of a service a failure domain needs.
//!
//! Each entry measures the demand on it ([`meter`]); the sums over the entries of each failure domain are
//! observed about once a second ([`history`]). The servers that the work occupies follow from the prompt
//! work, memory and slots ([`need`]). [`Fleet`] adds the state of the servers and decides the order of each
//! failure domain: it raises an order at once, and lowers it in steps after the lower need has held.
//!
//! ```
//! use medlarfall_coordination::autoscaling::{Demand, Domain, Fleet, Observation, Servers};
//! use medlarfall_coordination::routing::Autoscaling;
//! use std::time::Duration;
//!
//! // 57 prompts of 5,200 tokens a second, at 0.2 ms a token: 59 servers are busy with prompts.
//! let demand = Demand { entries: 18, requests: 29, prompt_tokens: 148_200, running: 26, waiting: 15,
//!     measured: 100, prefill_ns: 100 * 200_000 };
//! let servers = Servers { ready: 44, ..Servers::default() };
//! let names = ["a", "b", "c", "d"];
//! let domains = names.map(|name| (name.into(), Domain { demand: Some(demand), servers }));
//! let observation = Observation { domains: domains.into(), slots: 12, memory_tokens: 55_000,
//!     backups: false, rollout: false };
//! let limits = Autoscaling { min: 19, max: 46, startup: Duration::from_secs(8) };
//! let mut fleet = Fleet::new(limits);
//! let mut order = None;
//! for second in 0..15 {
//!     let now = Duration::from_secs(second);
//!     fleet.observe(&observation, now);
//!     order = fleet.order("a", now).or(order);
//! }
//! assert_eq!(order.map(|order| order.desired), Some(24));
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

mod fleet;
pub mod history;
pub mod meter;
pub mod need;

pub use fleet::{Fleet, Order, Reason};

/// Time over which an entry counts the requests that it shares. A shorter one gives noisy numbers, a longer
/// one delays the detection of growth.
pub const WINDOW: Duration = Duration::from_secs(2);

/// Demand for a service at one or several entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Entries whose demand is counted.
    pub entries: u32,
    /// Requests of callers within [`WINDOW`].
    pub requests: u32,
    /// Tokens of their prompts.
    pub prompt_tokens: u64,
    /// Requests at servers.
    pub running: u32,
    /// Those that wait for their first event.
    pub waiting: u32,
    /// Weight of the measurements of `prefill_ns`.
    pub measured: u32,
    /// Time that an idle server needs for a prompt token, in nanoseconds, times the weight.
    pub prefill_ns: u64,
}

impl Demand {
    /// Returns the sum of two demands.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            entries: self.entries.saturating_add(other.entries),
            requests: self.requests.saturating_add(other.requests),
            prompt_tokens: self.prompt_tokens.saturating_add(other.prompt_tokens),
            running: self.running.saturating_add(other.running),
            waiting: self.waiting.saturating_add(other.waiting),
            measured: self.measured.saturating_add(other.measured),
            prefill_ns: self.prefill_ns.saturating_add(other.prefill_ns),
        }
    }
}

/// The servers of a service in one failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Servers {
    /// Registered servers that accept requests, with the starting and suspect ones.
    pub ready: u32,
    /// Those that warm up.
    pub starting: u32,
    /// Those that could not be reached recently.
    pub suspect: u32,
    /// Registered servers that are about to stop.
    pub draining: u32,
}

impl Servers {
    /// Returns the number of servers that can process requests.
    #[must_use]
    pub fn live(self) -> u32 {
        self.ready.saturating_sub(self.suspect)
    }
}

/// What is known of a service in one failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Domain {
    /// Demand at the entries of the failure domain; `None` if that of any entry is unknown.
    pub demand: Option<Demand>,
    /// Its servers.
    pub servers: Servers,
}

/// What is known of a service at one time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Observation {
    /// The failure domains that have entries or servers of the service.
    pub domains: BTreeMap<Arc<str>, Domain>,
    /// Requests that a server processes concurrently; 0 if unknown.
    pub slots: u32,
    /// Memory of a server, in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Whether each request has a backup in the memory of another server.
    pub backups: bool,
    /// Whether another version is rolled out.
    pub rollout: bool,
}
