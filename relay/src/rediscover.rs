//! Finds servers that started again under another name while the store does not answer.
//!
//! A server that crashes is back after about a second. What the store says of it can't be read
//! during an outage, so this entry asks at the address that it had. An address may meanwhile
//! belong to a server of another service: the server found is used only if it holds a model that
//! the servers of just one service hold, the service of the server that was there before.

use std::sync::Arc;
use std::time::Duration;

use crate::attempt;
use crate::dialect::Dialect;
use crate::state::{Backend, Relay};

/// Time between questions.
const INTERVAL: Duration = Duration::from_millis(250);

/// Questions until the search ends: a crashed server is back within a few seconds.
const QUESTIONS: u32 = 16;

/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// Looks for what has taken the place of `backend`, unless a search is under way.
pub fn start<D: Dialect>(relay: &Arc<Relay<D>>, backend: &Arc<Backend>) {
    if backend.searched() {
        return;
    }
    tokio::spawn(search(Arc::clone(relay), Arc::clone(backend)));
}

async fn search<D: Dialect>(relay: Arc<Relay<D>>, backend: Arc<Backend>) {
    for _ in 0..QUESTIONS {
        if !relay.store_up() && look(&relay, &backend).await {
            return;
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Asks once and returns whether the search has ended.
async fn look<D: Dialect>(relay: &Relay<D>, backend: &Backend) -> bool {
    let address = backend.server.address;
    let asked = async {
        let name = attempt::name(relay, address).await?;
        let report = attempt::report(relay, address).await?;
        Ok::<_, String>((name, report))
    };
    let (name, report) = match tokio::time::timeout(ANSWER_TIME, asked).await {
        Ok(Ok(found)) => found,
        _ => return false,
    };
    if name == backend.server.id {
        return true;
    }
    let service = relay.table();
    let service = service.as_ref().and_then(|table| table.service_of(&report.models));
    let same = service == Some(&backend.server.service);
    log::info!(
        server = &*backend.server.id, found = &*name, used = same;
        "another server answers at the address of a lost one"
    );
    if same {
        relay.adopt(&backend.server, name, report.born_ms);
    }
    true
}
