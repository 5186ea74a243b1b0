//! Counts of this entry's requests in progress, and of its attempts at each backend server.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::watch;

/// Attempts in progress by backend server.
type Counts = BTreeMap<Arc<str>, u64>;

/// Requests and attempts in progress at this entry.
#[derive(Debug)]
pub struct InFlight {
    requests: watch::Sender<u64>,
    servers: watch::Sender<Counts>,
}

/// A guard that counts one request of this entry until it is dropped.
#[derive(Debug)]
pub struct Request(watch::Sender<u64>);

/// A guard that counts one attempt at a backend server until it is dropped.
#[derive(Debug)]
pub struct Attempt {
    servers: watch::Sender<Counts>,
    server: Arc<str>,
}

impl Default for InFlight {
    fn default() -> Self {
        Self::new()
    }
}

impl InFlight {
    /// Returns counts of zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            requests: watch::Sender::new(0),
            servers: watch::Sender::new(BTreeMap::new()),
        }
    }

    /// Counts a request until the returned guard is dropped.
    #[must_use]
    pub fn start_request(&self) -> Request {
        self.requests.send_modify(|requests| *requests += 1);
        Request(self.requests.clone())
    }

    /// Counts an attempt at a backend server until the returned guard is dropped.
    #[must_use]
    pub fn start_attempt(&self, server: &Arc<str>) -> Attempt {
        self.servers.send_modify(|servers| {
            *servers.entry(Arc::clone(server)).or_default() += 1;
        });
        Attempt {
            servers: self.servers.clone(),
            server: Arc::clone(server),
        }
    }

    /// Returns the number of attempts at a backend server in progress.
    #[must_use]
    pub fn attempts_at(&self, server: &str) -> u64 {
        self.servers.borrow().get(server).copied().unwrap_or(0)
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn requests(&self) -> u64 {
        *self.requests.borrow()
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        let mut requests = self.requests.subscribe();
        let _ = requests.wait_for(|requests| *requests == 0).await;
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.0.send_modify(|requests| *requests -= 1);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.servers.send_modify(|servers| {
            let Some(count) = servers.get_mut(&self.server) else {
                return;
            };
            *count -= 1;
            if *count == 0 {
                servers.remove(&self.server);
            }
        });
    }
}
