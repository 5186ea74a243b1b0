//! Which service a request goes to: routes by host and longest path prefix, weighted targets, and
//! the client accounts that may use them.
//!
//! A [`Table`] is one version of the operators' configuration, checked and never changed; a newer
//! version replaces it as a whole, so that a request sees one version from start to end.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another server may go on with after the last event delivered.
    ResumableStream,
}

impl Kind {
    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have run may be sent to another server.
    #[must_use]
    pub fn repeats(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may be kept waiting for its answer.
    pub timeout: Duration,
    /// Time within which an answer (of a stream: its first event) is on time.
    pub target_latency: Duration,
    /// Longest pause between events with which a stream is on time.
    pub longest_pause: Option<Duration>,
    /// Most servers that one request may be sent to.
    pub attempts: u32,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Services that take the requests.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service that takes a request with the lot `lot`.
    #[must_use]
    pub fn target(&self, lot: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut rest = lot.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        None
    }
}

/// What the operators say of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Service {
    /// Whether its servers keep a backup copy of a run's memory on another server.
    pub backups: bool,
    /// Memory of one of its engines, in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Models that its engines hold.
    pub models: Vec<Arc<str>>,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name that servers are told.
    pub name: Arc<str>,
    /// Urgency that goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Holds until the operators' limits are known.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Version; a later configuration has a higher one.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    accounts: HashMap<Arc<str>, Arc<Account>>,
    closed: bool,
}

impl Table {
    /// Returns a table. `accounts` maps keys to accounts; without it every request is anonymous.
    #[must_use]
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: HashMap<Arc<str>, Service>,
        accounts: Option<HashMap<Arc<str>, Arc<Account>>>,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host.entry(Arc::clone(&route.host)).or_default();
            host.push(Arc::new(route));
        }
        for host in by_host.values_mut() {
            host.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            routes: by_host,
            services,
            closed: accounts.is_some(),
            accounts: accounts.unwrap_or_default(),
        }
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns whether requests of `route` need the key of an account.
    #[must_use]
    pub fn needs_key(&self, route: &Route) -> bool {
        self.closed && !route.anonymous
    }

    /// Returns the account that holds `key`.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// Returns what is said of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the only service whose engines hold one of `models`.
    #[must_use]
    pub fn service_of(&self, models: &[Arc<str>]) -> Option<&Arc<str>> {
        let holds = |service: &Service| service.models.iter().any(|model| models.contains(model));
        let mut holding = self.services.iter().filter(|(_, service)| holds(service));
        let (name, _) = holding.next()?;
        holding.next().is_none().then_some(name)
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }
}
