//! Finds the server that has read a prompt before.
//!
//! A caller that goes on with a broken stream comes back through any entry, often one that has
//! just started and knows nothing of the stream. The server that ran it still has the prompt in
//! its cache, and reading a prompt takes a second; so the servers are asked what they keep.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::timeout;

use crate::attempt;
use crate::dialect::Dialect;
use crate::state::{Backend, Relay};

/// Longest wait for the servers' answers: a tenth of what reading a usual prompt takes.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Most servers that are asked, those that probably ran the stream first.
const ASKED: usize = 32;

/// Load, in prompts that are read, from which another server is sooner than the one with the
/// prompt in its cache.
const BUSY: f64 = 2.0;

/// Returns the server of `service` that keeps most of `part`, the last part of a prompt whose
/// streams are placed by `lot`.
pub async fn holder<D: Dialect>(
    relay: &Relay<D>,
    service: &str,
    part: &str,
    lot: u64,
) -> Option<Arc<Backend>> {
    let backends = relay.likely(service, lot, ASKED);
    let asked = backends.iter().map(|backend| kept(relay, backend, part));
    let kept = join_all(asked).await;
    let best = kept
        .iter()
        .zip(&backends)
        .max_by_key(|(tokens, _)| **tokens);
    let (tokens, backend) = best.filter(|(tokens, _)| **tokens > 0)?;
    let load = relay.stream_load(backend);
    log::info!(
        server = &*backend.server.id, part, tokens, load, asked = backends.len();
        "prompt found in a server's cache"
    );
    (load < BUSY).then(|| Arc::clone(backend))
}

/// Returns how many tokens of `part` a server keeps.
async fn kept<D: Dialect>(relay: &Relay<D>, backend: &Backend, part: &str) -> u64 {
    relay.metrics.questions.inc();
    let order = relay.dialect.cache_order();
    let asked = attempt::exchange(backend.server.address, order);
    match timeout(ANSWER_TIME, asked).await {
        Ok(Ok((parts, body))) => relay.dialect.cached(parts.status, &body, part),
        _ => 0,
    }
}
