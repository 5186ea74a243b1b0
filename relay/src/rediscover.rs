//! Finds servers that started again under another name while the store does not answer.
//!
//! A server that crashes is back after about a second. What the store says of it can't be read
//! during an outage, so this entry asks at the address that it had. An address may meanwhile
//! belong to a server of another service: the server found is used only if it holds a model that
//! the servers of just one service hold, the service of the server that was there before.

use std::sync::Arc;
use std::time::Duration;

use crate::attempt;
use crate::codec::Codec;
use crate::state::{Backend, Relay};

/// Time between questions.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time after a loss in which an outage of the store may begin and still hide the next start.
const WATCHED: Duration = Duration::from_secs(4);

/// Questions until a search ends. A crashed server is back within a few seconds.
const QUESTIONS: u32 = 40;

/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// Looks for what has taken the place of the servers that are lost, for ever.
pub async fn run<D: Codec>(relay: Arc<Relay<D>>) {
    loop {
        relay.search_wanted.notified().await;
        for backend in relay.take_searches() {
            if !backend.searched() {
                tokio::spawn(search(Arc::clone(&relay), backend));
            }
        }
    }
}

async fn search<D: Codec>(relay: Arc<Relay<D>>, backend: Arc<Backend>) {
    let began = relay.clock.now();
    let mut questions = 0;
    while questions < QUESTIONS {
        let recent = relay.clock.now().saturating_sub(began) < WATCHED;
        match relay.store_up() {
            true if !recent => break,
            true => {}
            false => {
                questions += 1;
                if look(&relay, &backend).await != Occupant::Nobody {
                    break;
                }
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
    backend.search_ended();
}

/// What answers at the address of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Occupant {
    /// Nothing answers.
    Nobody,
    /// The server itself.
    Same,
    /// Another server.
    Other,
}

/// Returns the server to send a stream to that was meant for `backend`: itself, or what has taken
/// its place while the store is away, or nothing.
///
/// The load that this answers: a failure domain's servers that crashed during an outage of the store
/// have other names when the next one crashes and its streams move there. A send under the old name
/// is refused, and each refusal takes a repeat from the service's budget; a question does not.
pub async fn confirm<D: Codec>(relay: &Relay<D>, backend: &Arc<Backend>) -> Option<Arc<Backend>> {
    if relay.store_up() || !backend.doubted() {
        return Some(Arc::clone(backend));
    }
    match look(relay, backend).await {
        Occupant::Same => {
            relay.answered(backend);
            Some(Arc::clone(backend))
        }
        Occupant::Other => relay.successor(backend),
        Occupant::Nobody => {
            relay.record_unreachable(backend);
            None
        }
    }
}

/// Asks once what answers at the address of a server.
async fn look<D: Codec>(relay: &Relay<D>, backend: &Backend) -> Occupant {
    let address = backend.server.address;
    let asked = async {
        let name = attempt::name(relay, address).await?;
        let report = attempt::report(relay, address).await?;
        Ok::<_, String>((name, report))
    };
    let Ok(Ok((name, report))) = tokio::time::timeout(ANSWER_TIME, asked).await else {
        return Occupant::Nobody;
    };
    if name == backend.server.id {
        return Occupant::Same;
    }
    let service = relay.table();
    let service = service
        .as_ref()
        .and_then(|table| table.service_of(&report.models));
    let same = service == Some(&backend.server.service);
    log::info!(
        server = &*backend.server.id, found = &*name, used = same;
        "another server answers at the address of a lost one"
    );
    if same {
        relay.adopt(&backend.server, &name, report.started_ms, false);
    }
    Occupant::Other
}
