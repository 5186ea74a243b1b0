//! What every module of an entry shares, passed by reference.

use std::sync::Arc;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::backend;
use crate::clock::Clock;
use crate::configs::Settings;
use crate::modules::declarations::{Board, Declarations};
use crate::modules::directory::Directory;
use crate::modules::metrics::Metrics;
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
    /// Backend servers.
    pub backend: backend::http::Client,
    /// Highest revisions of the declarations that this entry has seen.
    pub board: Board,
    /// Declarations in force at this entry.
    pub declarations: watch::Receiver<Arc<Declarations>>,
    /// Backend servers that this entry knows of.
    pub directory: watch::Receiver<Arc<Directory>>,
    /// Cancelled when the entry stops.
    pub stop: CancellationToken,
}
