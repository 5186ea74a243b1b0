//! Finds the server that has a prompt in its cache.
//!
//! A caller that resumes a broken stream may reach any entry, often one that has just started and
//! knows nothing of the stream. The server that ran it still has the prompt in its cache, and
//! prefill takes about a second, so this entry queries the caches of the likely servers.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::timeout;

use crate::attempt;
use crate::codec::Codec;
use crate::state::{Backend, Criteria, Relay};

/// Longest wait for the servers' responses: a tenth of the usual prefill time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Most servers that are queried: those that probably ran the stream.
const QUERY_LIMIT: usize = 32;

/// Assumed size of a response, which lists the whole cache, in bytes. With 32 servers queried over
/// links of 10 Mbit/s most did not respond in time; with 8 they did.
const RESPONSE_BYTES: usize = 16 << 10;

/// Load, in prompts in prefill, from which prefill at another server is faster than the wait for
/// the server with the cached prompt.
const BUSY_LOAD: f64 = 2.0;

/// Returns the server that meets the criteria and has the most tokens of `part` in its cache, unless it is
/// busy. `part` is the last part of the prompt of `request_id`.
pub async fn find_holder<C: Codec>(
    relay: &Relay<C>,
    criteria: Criteria<'_>,
    request_id: &str,
    part: &str,
) -> Option<Arc<Backend>> {
    let limit = query_limit(relay.settings.link_mbps);
    let mut backends = relay.likely_servers(criteria, limit);
    if backends.iter().any(|backend| backend.reports_slowness()) {
        let allowed = relay.take_probes(backends.len());
        backends.truncate(allowed);
    }
    let queries = backends
        .iter()
        .map(|backend| cached_tokens(relay, backend, part));
    let answers = join_all(queries).await;
    let held = answers.iter().zip(&backends);
    let held = held.filter_map(|(tokens, backend)| tokens.map(|tokens| (tokens, backend)));
    let best = held.max_by_key(|(tokens, _)| *tokens);
    let best = best.filter(|(tokens, _)| *tokens > 0);
    let load = best.map_or(0.0, |(_, backend)| relay.stream_load(backend));
    log::info!(
        request = request_id, part, asked = backends.len(),
        answered = answers.iter().flatten().count(),
        server = best.map_or("", |(_, backend)| &*backend.server.id),
        tokens = best.map_or(0, |(tokens, _)| tokens), load;
        "servers' caches queried for a prompt"
    );
    let (_, backend) = best?;
    (load < BUSY_LOAD).then(|| Arc::clone(backend))
}

/// Returns how many servers' responses a link carries in time.
fn query_limit(link_mbps: u32) -> usize {
    let bytes = u128::from(link_mbps) * RESPONSE_TIMEOUT.as_micros() / 8;
    usize::try_from(bytes).map_or(QUERY_LIMIT, |bytes| {
        (bytes / RESPONSE_BYTES).clamp(1, QUERY_LIMIT)
    })
}

/// Returns how many tokens of `part` a server has in its cache, or `None` if it does not respond in
/// time or leaves.
async fn cached_tokens<C: Codec>(
    relay: &Relay<C>,
    backend: &Arc<Backend>,
    part: &str,
) -> Option<u64> {
    let _open = backend.open_connection();
    relay.metrics.count_probe("cache");
    let command = relay.codec.cache_command();
    let query = attempt::fetch(backend.server.address, command);
    let answer = timeout(RESPONSE_TIMEOUT, query).await.ok()?;
    let (parts, body) = answer.ok()?;
    if relay.codec.decode_leaving(&parts.headers) {
        relay.record_departure(&backend.server.id, backend.server.started_ms);
        return None;
    }
    Some(relay.codec.decode_cached_tokens(parts.status, &body, part))
}
