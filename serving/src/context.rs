//! Shared state of an entry, passed to its modules by reference.

use std::sync::{Arc, Mutex};

use medlarfall_coordination::detector::Detector;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::backend;
use crate::clock::Clock;
use crate::configs::Settings;
use crate::modules::admission::Admission;
use crate::modules::calls::Calls;
use crate::modules::claims::Claims;
use crate::modules::declarations::{DeclarationReplica, Declarations};
use crate::modules::directory::{Directory, InstanceReplica};
use crate::modules::generation::outbox::Limiter;
use crate::modules::membership;
use crate::modules::metrics::Metrics;
use crate::modules::moves;
use crate::modules::orders;
use crate::modules::peers::{Identity, Peers};
use crate::modules::stops::Stops;
use crate::platform;

/// Shared state of one entry.
#[derive(Debug)]
pub struct Context {
    /// Validated settings.
    pub settings: Settings,
    /// Monotonic clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
    /// Client of the platform.
    pub platform: platform::http::Client,
    /// Identity that this entry reports to its peers.
    pub identity: Identity,
    /// Connections to the other entries.
    pub peers: Peers,
    /// Claims of this entry on callers' identifiers.
    pub claims: Claims,
    /// Shared state of calls to plain services.
    pub calls: Calls,
    /// Client of the backend servers.
    pub backend: backend::http::Client,
    /// Handle of the membership task.
    pub membership: membership::Handle,
    /// Replica of the platform's instance list.
    pub instance_replica: InstanceReplica,
    /// Replica of the declarations in the platform's store.
    pub declaration_replica: DeclarationReplica,
    /// Declarations in force at this entry.
    pub declarations: watch::Receiver<Arc<Declarations>>,
    /// Known backend servers and entries; servers that are about to stop are marked as leaving.
    pub directory: watch::Receiver<Arc<Directory>>,
    /// Planned stops and their progress.
    pub stops: Stops,
    /// Handle of the task that runs moves of services to another version.
    pub moves: moves::Handle,
    /// Detector of engines that have stopped responding.
    pub detector: Mutex<Detector>,
    /// Limit on the text buffered for readers of generations.
    pub buffer_limiter: Arc<Limiter>,
    /// Admission of requests to backend servers.
    pub admission: Admission,
    /// Cancelled when the entry stops.
    pub stop: CancellationToken,
}

impl Context {
    /// Returns the clients and settings that orders to backend servers need.
    #[must_use]
    pub fn orders(&self) -> orders::Dependencies<platform::http::Client, backend::http::Client> {
        orders::Dependencies {
            store: self.platform.clone(),
            engine: self.backend.clone(),
            clock: self.clock,
            settings: self.settings.orders,
        }
    }

    /// Returns whether the service of a backend server is declared to refuse outdated fencing
    /// numbers.
    #[must_use]
    pub fn enforces_fencing(&self, server: &backend::Server) -> bool {
        let declarations = Arc::clone(&self.declarations.borrow());
        let service = declarations.service(&server.service);
        service.is_some_and(|service| service.fencing)
    }
}
