//! Routing of requests to services: by host and longest path prefix, with weighted targets and the
//! client accounts that may use the routes.
//!
//! A [`Table`] is one validated, immutable version of the operators' configuration. A newer version
//! replaces it as a whole, so a request uses the same version from start to end.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How a route's requests may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another server may resume after the last delivered event.
    ResumableStream,
}

impl Kind {
    /// Returns whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have run may be sent to another server.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service and its share of a route's requests.
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
    /// Host of the requests.
    pub host: Arc<str>,
    /// Prefix of the requests' paths.
    pub prefix: Arc<str>,
    /// How the requests may be retried.
    pub kind: Kind,
    /// Longest time that a request may wait for its response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Longest pause between events for which a stream is on time.
    pub longest_pause: Option<Duration>,
    /// Maximum number of servers that one request may be sent to.
    pub attempts: u32,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests are accepted without a key.
    pub anonymous: bool,
    /// Services that the requests are sent to.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service for the request with the hash `request_hash`, if any has a weight.
    #[must_use]
    pub fn target(&self, request_hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remaining = request_hash.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// The configuration of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Service {
    /// Whether its servers keep a backup of a run's memory on another server.
    pub backups: bool,
    /// Memory of one of its engines, in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Models that its engines serve.
    pub models: Vec<Arc<str>>,
    /// Bounds on the number of its servers in each failure domain; `None` if they are not scaled.
    pub autoscaling: Option<Autoscaling>,
    /// Most connections of all entries to each of its servers, if they are limited.
    pub max_connections: Option<u32>,
}

/// Bounds on the number of servers of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Autoscaling {
    /// Least number of servers in each failure domain.
    pub min: u32,
    /// Greatest number of servers in each failure domain.
    pub max: u32,
    /// Time from an order until a new server serves.
    pub startup: Duration,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name that is sent to the servers.
    pub name: Arc<str>,
    /// Urgency that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a head once it has begun.
    pub header_time: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// The limits that apply until the operators' limits are known.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(15),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Version; a later configuration has a higher one.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    accounts: HashMap<Arc<str>, Arc<Account>>,
    keys_required: bool,
}

impl Table {
    /// Returns a table. `accounts` maps keys to accounts; without it no request needs a key.
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
            keys_required: accounts.is_some(),
            accounts: accounts.unwrap_or_default(),
        }
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns whether requests on `route` need the key of an account.
    #[must_use]
    pub fn needs_key(&self, route: &Route) -> bool {
        self.keys_required && !route.anonymous
    }

    /// Returns the account that holds `key`.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// Returns the configuration of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the service whose engines serve one of `models`, if exactly one service does.
    #[must_use]
    pub fn service_of(&self, models: &[Arc<str>]) -> Option<&Arc<str>> {
        let serves = |service: &Service| service.models.iter().any(|model| models.contains(model));
        let mut matching = self.services.iter().filter(|(_, service)| serves(service));
        let (name, _) = matching.next()?;
        matching.next().is_none().then_some(name)
    }

    /// Returns the names of the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }
}
