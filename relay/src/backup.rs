//! Keeps a copy of a run's memory on another server, in place of a backup that was lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::attempt;
use crate::codec::{Backup, Codec};
use crate::state::{Backend, Relay};

/// Time between orders to bring a copy up to date. A server frees a copy that is 4 s old.
const REFRESH: Duration = Duration::from_millis(2_500);

/// Longest wait for a copy to be made: a long prompt takes some tens of milliseconds.
const COPY_TIME: Duration = Duration::from_secs(1);

/// A copy that is kept up to date until this is dropped.
#[derive(Debug)]
pub struct Keeper {
    /// Server that holds the copy.
    pub holder: Arc<Backend>,
    source: SocketAddr,
    handle: watch::Receiver<Option<Arc<str>>>,
    task: AbortHandle,
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Keeper {
    /// Returns the copy, once it is made.
    #[must_use]
    pub fn copy(&self) -> Option<Backup> {
        let handle = self.handle.borrow().clone()?;
        Some(Backup {
            holder: self.source,
            handle,
        })
    }

    /// Frees the copy at both servers.
    pub fn free<D: Codec>(self, relay: &Arc<Relay<D>>) {
        let Some(handle) = self.handle.borrow().clone() else {
            return;
        };
        let order = relay.codec.free_command(&handle);
        let source = self.source;
        tokio::spawn(async move {
            let freed = tokio::time::timeout(COPY_TIME, attempt::exchange(source, order)).await;
            if !matches!(freed, Ok(Ok(_))) {
                log::info!(copy = &*handle; "copy not freed; it ends by its age");
            }
        });
    }
}

/// Copies the memory of the run `request_id` at `source` to `holder`, again and again.
pub fn keep<D: Codec>(
    relay: &Arc<Relay<D>>,
    request_id: &Arc<str>,
    source: &Arc<Backend>,
    holder: Arc<Backend>,
) -> Keeper {
    let (sender, handle) = watch::channel(None);
    let source = source.server.address;
    let target = holder.server.address;
    let relay = Arc::clone(relay);
    let request_id = Arc::clone(request_id);
    let task = tokio::spawn(async move {
        loop {
            let order = relay.codec.copy_command(&request_id, target);
            let made = tokio::time::timeout(COPY_TIME, attempt::exchange(source, order)).await;
            let made = match made {
                Ok(Ok((parts, body))) => relay.codec.decode_copy(parts.status, &body),
                _ => None,
            };
            log::info!(
                request = &*request_id, source = source.to_string().as_str(),
                target = target.to_string().as_str(), made = made.is_some();
                "copy of a run in place of a lost backup"
            );
            sender.send_replace(made);
            tokio::time::sleep(REFRESH).await;
        }
    });
    Keeper {
        holder,
        source,
        handle,
        task: task.abort_handle(),
    }
}
