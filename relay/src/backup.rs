//! Backups of runs' KV caches: counts each at the server that holds it, and maintains one on another server to
//! replace one that was lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::AbortHandle;

use medlarfall_coordination::balance::Load;

use crate::attempt;
use crate::codec::{Backup, Codec};
use crate::state::{Backend, Relay};

/// Time between refreshes of a backup. A server frees a backup that is 4 s old.
const REFRESH_INTERVAL: Duration = Duration::from_millis(2_500);

/// Longest wait for a copy command: a long prompt takes some tens of milliseconds.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// The server that holds the backup of a stream, counted there until this is dropped.
pub struct Holder {
    /// The server.
    pub backend: Arc<Backend>,
    counted: bool,
}

impl Holder {
    /// Returns the holder of a backup, which is counted if `counted`. The other entries hear of it with the
    /// next change of streams, which follows at once.
    #[must_use]
    pub fn start(backend: Arc<Backend>, counted: bool) -> Self {
        if counted {
            backend.load(Load::backup_started);
            backend.backups.fetch_add(1, Ordering::Relaxed);
        }
        Self { backend, counted }
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        if self.counted {
            self.backend.load(Load::backup_ended);
            self.backend.backups.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A backup that is refreshed until this is dropped.
pub struct Replacement {
    /// Server that holds the backup.
    pub holder: Holder,
    source: SocketAddr,
    handle: watch::Receiver<Option<Arc<str>>>,
    task: AbortHandle,
}

impl Drop for Replacement {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Replacement {
    /// Returns the backup, once it is made.
    #[must_use]
    pub fn backup(&self) -> Option<Backup> {
        let handle = self.handle.borrow().clone()?;
        Some(Backup {
            address: self.source,
            handle,
        })
    }

    /// Frees the backup at both servers.
    pub fn free<C: Codec>(self, relay: &Arc<Relay<C>>) {
        let Some(handle) = self.handle.borrow().clone() else {
            return;
        };
        let command = relay.codec.free_command(&handle);
        let source = self.source;
        tokio::spawn(async move {
            let freed = tokio::time::timeout(COPY_TIMEOUT, attempt::fetch(source, command)).await;
            if !matches!(freed, Ok(Ok(_))) {
                log::info!(copy = &*handle; "backup not freed; it expires on the server");
            }
        });
    }
}

/// Copies the KV cache of the run `request_id` from `source` to `holder`, periodically until the
/// returned value is dropped.
pub fn maintain<C: Codec>(
    relay: &Arc<Relay<C>>,
    request_id: &Arc<str>,
    source: &Arc<Backend>,
    holder: Holder,
) -> Replacement {
    let (sender, handle) = watch::channel(None);
    let source = source.server.address;
    let target = holder.backend.server.address;
    let relay = Arc::clone(relay);
    let request_id = Arc::clone(request_id);
    let task = tokio::spawn(async move {
        loop {
            let command = relay.codec.copy_command(&request_id, target);
            let made = tokio::time::timeout(COPY_TIMEOUT, attempt::fetch(source, command)).await;
            let made = match made {
                Ok(Ok((parts, body))) => relay.codec.decode_copy(parts.status, &body),
                _ => None,
            };
            log::info!(
                request = &*request_id, source = source.to_string().as_str(),
                target = target.to_string().as_str(), made = made.is_some();
                "refresh of a replacement backup"
            );
            // The copy made before is used if its source is lost during the refresh.
            if made.is_some() {
                sender.send_replace(made);
            }
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
    });
    Replacement {
        holder,
        source,
        handle,
        task: task.abort_handle(),
    }
}
