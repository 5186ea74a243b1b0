//! Finds servers that restarted under another name while the store is unavailable.
//!
//! A crashed server is back after about a second, but its new registration can't be read during an
//! outage of the store. This entry therefore probes the address that the server had. Meanwhile
//! another service's server may have taken the address: the server found is used only if it holds a
//! model that just one service's servers hold, and that is the service of the lost server.

use std::sync::Arc;
use std::time::Duration;

use crate::attempt;
use crate::codec::{Codec, Health};
use crate::state::{Backend, Relay};

/// Time between the first probes.
const INTERVAL: Duration = Duration::from_millis(250);

/// Number of probes after which the time between them grows.
const QUICK_PROBES: u32 = 6;

/// Time between further probes.
const SLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a loss during which an outage of the store may still begin and hide the server's
/// restart.
const OUTAGE_WINDOW: Duration = Duration::from_secs(4);

/// Probes until a search ends. A crashed server is back within a few seconds.
const PROBE_LIMIT: u32 = 16;

/// Longest wait for the responses to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Searches for the successors of lost servers until the task is aborted.
pub async fn run<C: Codec>(relay: Arc<Relay<C>>) {
    loop {
        relay.search_requested.notified().await;
        for backend in relay.take_pending_searches() {
            if !backend.mark_searching() {
                tokio::spawn(search(Arc::clone(&relay), backend));
            }
        }
    }
}

async fn search<C: Codec>(relay: Arc<Relay<C>>, backend: Arc<Backend>) {
    let began = relay.clock.now();
    let mut probes = 0;
    // Another entry may have found the successor meanwhile.
    while probes < PROBE_LIMIT && relay.lists(&backend) {
        let recent = relay.clock.now().saturating_sub(began) < OUTAGE_WINDOW;
        match relay.store_available() {
            true if !recent => break,
            true => {}
            false => {
                probes += 1;
                if probe(&relay, &backend).await != Occupant::Vacant {
                    break;
                }
            }
        }
        let interval = if probes < QUICK_PROBES {
            INTERVAL
        } else {
            SLOW_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
    backend.end_search();
}

/// Which server responds at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Occupant {
    /// No server responds.
    Vacant,
    /// The server that is known there.
    Same,
    /// The server that is known there, which leaves.
    Leaving,
    /// The server that is known there, which takes no requests now.
    Refusing,
    /// Another server.
    Other,
}

/// Returns the server to send a stream to instead of `backend`: itself, its successor if the store
/// is unavailable, or `None` if no server responds or the server leaves or refuses.
///
/// If a failure domain's servers crash during an outage of the store, they have other names by the
/// time the next failure domain crashes and its streams move there. A request under the old name is
/// refused, and each refusal takes a retry from the service's budget; a probe does not.
pub async fn confirm<C: Codec>(relay: &Relay<C>, backend: &Arc<Backend>) -> Option<Arc<Backend>> {
    if relay.store_available() || !backend.unconfirmed() {
        return Some(Arc::clone(backend));
    }
    match probe(relay, backend).await {
        Occupant::Same => {
            relay.record_response(backend);
            Some(Arc::clone(backend))
        }
        Occupant::Refusing => {
            relay.record_response(backend);
            None
        }
        Occupant::Other => relay.successor(backend),
        Occupant::Leaving => None,
        Occupant::Vacant => {
            relay.record_unreachable(backend);
            None
        }
    }
}

/// Probes the address of a server once, and adopts a successor of the same service.
async fn probe<C: Codec>(relay: &Relay<C>, backend: &Arc<Backend>) -> Occupant {
    let _open = backend.open_connection();
    let address = backend.server.address;
    let health = attempt::fetch_health(relay, address);
    let health = tokio::time::timeout(PROBE_TIMEOUT, health).await;
    let Ok(Ok(Health {
        id,
        leaving,
        accepting,
        pause,
    })) = health
    else {
        return Occupant::Vacant;
    };
    match id == backend.server.id {
        true if leaving => {
            relay.record_departure(&id, backend.server.started_ms);
            return Occupant::Leaving;
        }
        true if accepting => return Occupant::Same,
        true => {
            if let Some(pause) = pause {
                relay.record_pause(backend, pause);
            }
            return Occupant::Refusing;
        }
        false if !accepting && !leaving => return Occupant::Vacant,
        false => {}
    }
    let report = tokio::time::timeout(PROBE_TIMEOUT, attempt::fetch_report(relay, address)).await;
    let Ok(Ok(report)) = report else {
        return Occupant::Vacant;
    };
    let service = relay.table();
    let service = service
        .as_ref()
        .and_then(|table| table.service_of(&report.models));
    let same = service == Some(&backend.server.service);
    let leaving = leaving || report.leaving;
    log::info!(
        server = &*backend.server.id, found = &*id, used = same && !leaving;
        "another server answers at the address of a lost one"
    );
    if leaving {
        relay.record_departure(&id, report.started_ms);
    }
    if same {
        relay.adopt(&backend.server, &id, report.started_ms, false);
    }
    Occupant::Other
}
