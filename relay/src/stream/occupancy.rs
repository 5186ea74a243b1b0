//! Counts a stream among those of its server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use medlarfall_coordination::balance::Load;
use medlarfall_coordination::server_load::Estimate;

use crate::codec::Codec;
use crate::state::{Backend, Relay};

/// A prompt that a server processes.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Its length in tokens, if it is stated.
    pub tokens: Option<u64>,
    /// Tokens that the server probably has in its cache.
    pub saved: u64,
}

/// A prompt in prefill.
struct Prefill {
    /// Tokens that it counts for.
    counted: u64,
    began: Duration,
    /// Prompt tokens that were ahead of it.
    ahead: f64,
    /// Whether its time measures the server's speed: it does not if part of the prompt may be cached, as
    /// the number of tokens that are processed is uncertain.
    measures: bool,
}

/// A stream at a server, counted until this is dropped.
pub struct Occupancy<C: Codec> {
    relay: Arc<Relay<C>>,
    backend: Arc<Backend>,
    prefill: Option<Prefill>,
}

impl<C: Codec> Occupancy<C> {
    /// Counts a stream at `backend`, in prefill if the server processes its `prompt`.
    pub fn start(relay: &Arc<Relay<C>>, backend: &Arc<Backend>, prompt: Option<Prompt>) -> Self {
        let prefill = prompt.map(|prompt| {
            let ahead = relay.tokens_ahead(backend);
            let began = relay.clock.now();
            backend.load(Load::prefill_started);
            let sent =
                |estimate: &mut Estimate| estimate.prompt_sent(prompt.tokens, prompt.saved, began);
            Prefill {
                counted: backend.estimate(sent),
                began,
                ahead,
                measures: prompt.saved == 0,
            }
        });
        backend.streams.fetch_add(1, Ordering::Relaxed);
        relay.streams_changed.notify_one();
        Self {
            relay: Arc::clone(relay),
            backend: Arc::clone(backend),
            prefill,
        }
    }

    /// Records the end of prefill with the first event. Returns whether there was a prompt in prefill.
    pub fn prefill_done(&mut self) -> bool {
        let prefilling = self.prefill.is_some();
        self.end_prefill(true);
        prefilling
    }

    fn end_prefill(&mut self, has_event: bool) {
        let Some(prefill) = self.prefill.take() else {
            return;
        };
        let now = self.relay.clock.now();
        let took = now.saturating_sub(prefill.began);
        let processed = (has_event && prefill.measures).then_some((took, prefill.ahead));
        self.backend.load(Load::prefill_ended);
        self.backend
            .estimate(|estimate| estimate.prompt_ended(prefill.counted, processed, now));
        self.relay.streams_changed.notify_one();
    }
}

impl<C: Codec> Drop for Occupancy<C> {
    fn drop(&mut self) {
        self.end_prefill(false);
        self.backend.streams.fetch_sub(1, Ordering::Relaxed);
        self.relay.streams_changed.notify_one();
    }
}
