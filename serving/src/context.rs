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
use crate::modules::generation::outbox::Ledger;
use crate::modules::membership;
use crate::modules::metrics::Metrics;
use crate::modules::moves;
use crate::modules::peers::{Identity, Peers};
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
    /// Moves of services to another version.
    pub moves: moves::Handle,
    /// What was learnt of the silences of engines.
    pub detector: Mutex<Detector>,
    /// Text held for readers of generations.
    pub held: Arc<Ledger>,
    /// Admission of requests to backend servers.
    pub admission: Admission,
    /// Cancelled when the entry stops.
    pub stop: CancellationToken,
}
