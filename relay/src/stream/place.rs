//! Counts a stream at its server.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use medlarfall_coordination::balance::Load;

use crate::dialect::Dialect;
use crate::state::{Backend, Relay};

/// A stream's place at a server, counted until this is dropped.
pub struct Place<D: Dialect> {
    relay: Arc<Relay<D>>,
    backend: Arc<Backend>,
    reading: bool,
}

impl<D: Dialect> Place<D> {
    /// Counts a stream at `backend`, whose prompt is to be read there unless the server has it.
    pub fn take(relay: &Arc<Relay<D>>, backend: &Arc<Backend>, reading: bool) -> Self {
        if reading {
            backend.load(Load::prefill_started);
        }
        backend.streams.fetch_add(1, Ordering::Relaxed);
        relay.streams_changed.notify_one();
        Self {
            relay: Arc::clone(relay),
            backend: Arc::clone(backend),
            reading,
        }
    }

    /// Notes that the prompt has been read.
    pub fn read(&mut self) {
        if std::mem::take(&mut self.reading) {
            self.backend.load(Load::prefill_ended);
            self.relay.streams_changed.notify_one();
        }
    }
}

impl<D: Dialect> Drop for Place<D> {
    fn drop(&mut self) {
        self.read();
        self.backend.streams.fetch_sub(1, Ordering::Relaxed);
        self.relay.streams_changed.notify_one();
    }
}
