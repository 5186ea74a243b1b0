//! Counts a stream among those of its server.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use medlarfall_coordination::balance::Load;

use crate::codec::Codec;
use crate::state::{Backend, Relay};

/// A stream at a server, counted until this is dropped.
pub struct Occupancy<C: Codec> {
    relay: Arc<Relay<C>>,
    backend: Arc<Backend>,
    prefilling: bool,
}

impl<C: Codec> Occupancy<C> {
    /// Counts a stream at `backend`, in prefill if `prefilling`.
    pub fn start(relay: &Arc<Relay<C>>, backend: &Arc<Backend>, prefilling: bool) -> Self {
        if prefilling {
            backend.load(Load::prefill_started);
        }
        backend.streams.fetch_add(1, Ordering::Relaxed);
        relay.streams_changed.notify_one();
        Self {
            relay: Arc::clone(relay),
            backend: Arc::clone(backend),
            prefilling,
        }
    }

    /// Records the end of prefill.
    pub fn prefill_done(&mut self) {
        if std::mem::take(&mut self.prefilling) {
            self.backend.load(Load::prefill_ended);
            self.relay.streams_changed.notify_one();
        }
    }
}

impl<C: Codec> Drop for Occupancy<C> {
    fn drop(&mut self) {
        self.prefill_done();
        self.backend.streams.fetch_sub(1, Ordering::Relaxed);
        self.relay.streams_changed.notify_one();
    }
}
