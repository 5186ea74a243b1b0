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
use crate::codec::Codec;
use crate::state::{Backend, Relay};

/// Longest wait for the servers' answers: a tenth of what reading a usual prompt takes.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Most servers that are asked: those that probably ran the stream.
const ASKED: usize = 32;

/// Bytes of an answer, which tells all that a server keeps. Of 32 servers that were asked over links
/// of 10 Mbit/s most did not answer in time; of 8 they did.
const ANSWER_BYTES: usize = 16 << 10;

/// Load, in prompts that are read, from which another server is sooner than the one with the
/// prompt in its cache.
const BUSY: f64 = 2.0;

/// Returns the server of `service` that keeps most of `part`, the last part of the prompt of
/// `request_id`, whose streams are placed by `lot`.
pub async fn holder<D: Codec>(
    relay: &Relay<D>,
    service: &str,
    request_id: &str,
    part: &str,
    lot: u64,
) -> Option<Arc<Backend>> {
    let asked = askable(relay.settings.link_mbps);
    let backends = relay.likely_servers(service, lot, asked);
    let asked = backends.iter().map(|backend| kept(relay, backend, part));
    let answers = join_all(asked).await;
    let kept = answers.iter().zip(&backends);
    let kept = kept.filter_map(|(tokens, backend)| tokens.map(|tokens| (tokens, backend)));
    let best = kept.max_by_key(|(tokens, _)| *tokens);
    let best = best.filter(|(tokens, _)| *tokens > 0);
    let load = best.map_or(0.0, |(_, backend)| relay.stream_load(backend));
    log::info!(
        request = request_id, part, asked = backends.len(),
        answered = answers.iter().flatten().count(),
        server = best.map_or("", |(_, backend)| &*backend.server.id),
        tokens = best.map_or(0, |(tokens, _)| tokens), load;
        "prompt looked for in the servers' caches"
    );
    let (_, backend) = best?;
    (load < BUSY).then(|| Arc::clone(backend))
}

/// Returns how many servers' answers a link carries in time.
fn askable(link_mbps: u32) -> usize {
    let bytes = u128::from(link_mbps) * ANSWER_TIME.as_micros() / 8;
    usize::try_from(bytes).map_or(ASKED, |bytes| (bytes / ANSWER_BYTES).clamp(1, ASKED))
}

/// Returns how many tokens of `part` a server keeps, or nothing if it does not answer.
async fn kept<D: Codec>(relay: &Relay<D>, backend: &Backend, part: &str) -> Option<u64> {
    relay.metrics.questions.inc();
    let order = relay.codec.cache_command();
    let asked = attempt::exchange(backend.server.address, order);
    let answer = timeout(ANSWER_TIME, asked).await.ok()?;
    let (parts, body) = answer.ok()?;
    Some(relay.codec.decode_cached_tokens(parts.status, &body, part))
}
