//! What every module of an entry shares, passed by reference.

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
use crate::modules::declarations::{Board, Declarations};
use crate::modules::directory::{Directory, Roll};
use crate::modules::generation::outbox::Limiter;
use crate::modules::membership;
use crate::modules::metrics::Metrics;
use crate::modules::moves;
use crate::modules::orders;
use crate::modules::peers::{Identity, Peers};
use crate::modules::stops::Stops;
use crate::platform;

/// The context of one entry instance.
#[derive(Debug)]
pub struct Context {
    /// Checked settings.
    pub settings: Settings,
    /// The runtime's clock.
    pub clock: Clock,
    /// Metrics of this entry.
    pub metrics: Metrics,
    /// The platform.
    pub platform: platform::http::Client,
    /// What this entry says of itself to its peers.
    pub identity: Identity,
    /// Connections to the other entries.
    pub peers: Peers,
    /// Claims on callers' identifiers.
    pub claims: Claims,
    /// What calls to plain services share.
    pub calls: Calls,
    /// Backend servers.
    pub backend: backend::http::Client,
    /// The other entries that are held to be up.
    pub membership: membership::Handle,
    /// What was last seen of each instance.
    pub roll: Roll,
    /// Highest revisions of the declarations that this entry has seen.
    pub board: Board,
    /// Declarations in force at this entry.
    pub declarations: watch::Receiver<Arc<Declarations>>,
    /// Backend servers that this entry knows of.
    pub directory: watch::Receiver<Arc<Directory>>,
    /// Planned stops, and what holds them.
    pub stops: Stops,
    /// Moves of services to another version.
    pub moves: moves::Handle,
    /// What was learnt of the silences of engines.
    pub detector: Mutex<Detector>,
    /// Text held for readers of generations.
    pub held: Arc<Limiter>,
    /// Admission of requests to backend servers.
    pub admission: Admission,
    /// Cancelled when the entry stops.
    pub stop: CancellationToken,
}

impl Context {
    /// Returns the way in which orders reach backend servers.
    #[must_use]
    pub fn orders(&self) -> orders::Dependencies<platform::http::Client, backend::http::Client> {
        orders::Dependencies {
            store: self.platform.clone(),
            engine: self.backend.clone(),
            clock: self.clock,
            settings: self.settings.orders,
        }
    }

    /// Returns whether a backend server is declared to refuse old fencing numbers.
    #[must_use]
    pub fn enforces_fencing(&self, server: &backend::Server) -> bool {
        let declarations = Arc::clone(&self.declarations.borrow());
        let service = declarations.service(&server.service);
        service.is_some_and(|service| service.fencing)
    }
}
