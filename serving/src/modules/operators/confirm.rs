//! Confirmation that a revision of a declaration is in force at every entry.
//!
//! An entry queries the entries of its own failure domain, and one contact in each other failure
//! domain, which queries the entries there.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use medlarfall_coordination::membership::Member;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::context::Context;
use crate::modules::declarations::Declarations;

/// Time that a queried entry waits for the revision before it answers.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a query that the called entry answers for itself alone.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a query that the called entry answers for its failure domain.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Queries in progress at the same time.
const CONCURRENT_CALLS: usize = 64;

/// Default time limit for all confirmations.
const DEFAULT_LIMIT: Duration = Duration::from_secs(30);

/// Pause between two rounds of queries.
const PAUSE: Duration = Duration::from_millis(50);

/// A query about whether a revision of a service is in force at an entry or in its failure domain.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Query {
    /// Name of the service.
    pub name: Arc<str>,
    /// The revision.
    pub revision: u64,
    /// Whether the called entry answers for its whole failure domain.
    pub domain: bool,
}

/// Which entries have confirmed a revision, and which have not.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Confirmation {
    /// Entries at which the revision, or a newer one, is in force.
    pub confirmed: BTreeSet<Arc<str>>,
    /// Entries that are believed to be up and have not confirmed it.
    pub missing: BTreeSet<Arc<str>>,
    /// Entries that are known to be down.
    pub down: BTreeSet<Arc<str>>,
}

impl Confirmation {
    /// Adds the results of another query.
    fn join(&mut self, other: Self) {
        self.confirmed.extend(other.confirmed);
        self.missing.extend(other.missing);
        self.down.extend(other.down);
    }

    /// Removes confirmed entries and those known to be down from the missing ones.
    fn prune_missing(&mut self) {
        let Self {
            confirmed,
            missing,
            down,
        } = self;
        missing.retain(|name| !confirmed.contains(name) && !down.contains(name));
    }
}

/// Waits until every live entry has confirmed a revision, or until `limit` has passed (30 s if it is
/// zero).
pub async fn wait(
    context: &Arc<Context>,
    name: &str,
    revision: u64,
    limit: Duration,
) -> Confirmation {
    let limit = if limit.is_zero() {
        DEFAULT_LIMIT
    } else {
        limit
    };
    let deadline = Instant::now() + limit;
    let query = Query {
        name: Arc::from(name),
        revision,
        domain: true,
    };
    let mut confirmation = Confirmation::default();
    loop {
        let mut round = query_all_domains(context, &query).await;
        round.confirmed.append(&mut confirmation.confirmed);
        round.prune_missing();
        confirmation = round;
        if confirmation.missing.is_empty() || Instant::now() >= deadline {
            return confirmation;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Queries all failure domains once.
async fn query_all_domains(context: &Arc<Context>, query: &Query) -> Confirmation {
    let membership = Arc::clone(&context.membership.view().borrow());
    let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for contact in &membership.contacts {
        let domain = contact.failure_domain.as_ref();
        domains.entry(domain).or_default().push(contact);
    }
    let contacts = domains
        .values()
        .filter_map(|contacts| contacts.iter().copied().choose(&mut rand::rng()));
    let mut result = respond(context, query.clone()).await;
    result.join(query_all(context, contacts, query, DOMAIN_TIMEOUT).await);
    let directory = Arc::clone(&context.directory.borrow());
    result.missing.extend(directory.entries().keys().cloned());
    result
}

/// Answers a query; waits a short time if the revision is not in force yet.
pub async fn respond(context: &Arc<Context>, query: Query) -> Confirmation {
    let mut result = Confirmation::default();
    let own = Arc::clone(&context.settings.entry.name);
    let mut view = context.declaration_replica.view();
    let in_force = |declarations: &Arc<Declarations>| {
        declarations.revision(&query.name) >= Some(query.revision)
    };
    let waited = tokio::time::timeout(CONFIRM_TIMEOUT, view.wait_for(in_force)).await;
    let confirmed = waited.is_ok_and(|waited| waited.is_ok());
    let names = if confirmed {
        &mut result.confirmed
    } else {
        &mut result.missing
    };
    names.insert(own);
    if query.domain {
        let membership = Arc::clone(&context.membership.view().borrow());
        let query = Query {
            domain: false,
            ..query
        };
        let neighbours = membership.neighbours.iter();
        result.join(query_all(context, neighbours, &query, CALL_TIMEOUT).await);
        let down = membership
            .down
            .iter()
            .map(|member| Arc::clone(&member.name));
        result.down.extend(down);
    }
    result
}

/// Queries several entries concurrently; those that do not answer count as missing.
async fn query_all<'a>(
    context: &Arc<Context>,
    members: impl Iterator<Item = &'a Member>,
    query: &Query,
    timeout: Duration,
) -> Confirmation {
    let addresses: Vec<(Arc<str>, SocketAddr)> = members
        .map(|member| (Arc::clone(&member.name), member.address))
        .collect();
    let calls = addresses.into_iter().map(|(name, address)| {
        let (context, query) = (Arc::clone(context), query.clone());
        async move {
            let call = context
                .peers
                .call(address, timeout, |client, deadline| async move {
                    client.confirm(deadline, query).await
                });
            call.await.unwrap_or_else(|_| Confirmation {
                missing: BTreeSet::from([name]),
                ..Confirmation::default()
            })
        }
    });
    let answers: Vec<Confirmation> = futures::stream::iter(calls)
        .buffer_unordered(CONCURRENT_CALLS)
        .collect()
        .await;
    answers
        .into_iter()
        .fold(Confirmation::default(), |mut all, one| {
            all.join(one);
            all
        })
}
