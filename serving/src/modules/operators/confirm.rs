//! Confirmations that a revision is in force: each entry asks its failure domain, and one contact
//! in each other failure domain asks there.

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

/// Longest wait for a revision at an entry that is asked.
const HOLD: Duration = Duration::from_millis(500);

/// Timeout of a call to an entry that asks nobody else.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call to an entry that asks its failure domain.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Entries asked at a time.
const ASKED: usize = 64;

/// Default of the longest wait for all confirmations.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(50);

/// The question whether a revision is in force.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Query {
    /// Name of the service.
    pub name: Arc<str>,
    /// The revision.
    pub revision: u64,
    /// Whether the entry that is asked is to ask its whole failure domain.
    pub domain: bool,
}

/// Who confirmed a revision, and who cannot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Confirmation {
    /// Entries at which the revision, or a newer one, is in force.
    pub confirmed: BTreeSet<Arc<str>>,
    /// Entries that are held to be up and have not confirmed it.
    pub missing: BTreeSet<Arc<str>>,
    /// Entries that are known to be down.
    pub down: BTreeSet<Arc<str>>,
}

impl Confirmation {
    /// Adds what others have found.
    fn join(&mut self, other: Self) {
        self.confirmed.extend(other.confirmed);
        self.missing.extend(other.missing);
        self.down.extend(other.down);
    }

    /// Leaves each entry in one set: a confirmation counts for more than any doubt.
    fn settle(&mut self) {
        let Self {
            confirmed,
            missing,
            down,
        } = self;
        missing.retain(|name| !confirmed.contains(name) && !down.contains(name));
    }
}

/// Waits until every live entry confirms a revision, or the limit has passed; 0 stands for 30 s.
pub async fn wait(
    context: &Arc<Context>,
    name: &str,
    revision: u64,
    limit: Duration,
) -> Confirmation {
    let limit = if limit.is_zero() { WAIT_LIMIT } else { limit };
    let deadline = Instant::now() + limit;
    let question = Query {
        name: Arc::from(name),
        revision,
        domain: true,
    };
    let mut confirmation = Confirmation::default();
    loop {
        let mut round = everywhere(context, &question).await;
        round.confirmed.append(&mut confirmation.confirmed);
        round.settle();
        confirmation = round;
        if confirmation.missing.is_empty() || Instant::now() >= deadline {
            return confirmation;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Asks all failure domains once.
async fn everywhere(context: &Arc<Context>, question: &Query) -> Confirmation {
    let membership = Arc::clone(&context.membership.view().borrow());
    let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for contact in &membership.contacts {
        let domain = contact.failure_domain.as_ref();
        domains.entry(domain).or_default().push(contact);
    }
    let contacts = domains
        .values()
        .filter_map(|contacts| contacts.iter().copied().choose(&mut rand::rng()));
    let mut found = respond(context, question.clone()).await;
    found.join(ask_all(context, contacts, question, DOMAIN_TIMEOUT).await);
    let listed = Arc::clone(&context.directory.borrow());
    found.missing.extend(listed.entries().keys().cloned());
    found
}

/// Answers a question of a peer, after a short wait if the revision is not in force yet.
pub async fn respond(context: &Arc<Context>, question: Query) -> Confirmation {
    let mut found = Confirmation::default();
    let own = Arc::clone(&context.settings.entry.name);
    let mut view = context.board.view();
    let in_force = |declarations: &Arc<Declarations>| {
        declarations.revision(&question.name) >= Some(question.revision)
    };
    let waited = tokio::time::timeout(HOLD, view.wait_for(in_force)).await;
    let confirmed = waited.is_ok_and(|waited| waited.is_ok());
    let side = if confirmed {
        &mut found.confirmed
    } else {
        &mut found.missing
    };
    side.insert(own);
    if question.domain {
        let membership = Arc::clone(&context.membership.view().borrow());
        let question = Query {
            domain: false,
            ..question
        };
        let neighbours = membership.neighbours.iter();
        found.join(ask_all(context, neighbours, &question, CALL_TIMEOUT).await);
        let down = membership
            .down
            .iter()
            .map(|member| Arc::clone(&member.name));
        found.down.extend(down);
    }
    found
}

/// Asks several entries at once.
async fn ask_all<'a>(
    context: &Arc<Context>,
    members: impl Iterator<Item = &'a Member>,
    question: &Query,
    timeout: Duration,
) -> Confirmation {
    let asked: Vec<(Arc<str>, SocketAddr)> = members
        .map(|member| (Arc::clone(&member.name), member.address))
        .collect();
    let calls = asked.into_iter().map(|(name, address)| {
        let (context, question) = (Arc::clone(context), question.clone());
        async move {
            let call = context
                .peers
                .call(address, timeout, |client, deadline| async move {
                    client.confirm(deadline, question).await
                });
            call.await.unwrap_or_else(|_| Confirmation {
                missing: BTreeSet::from([name]),
                ..Confirmation::default()
            })
        }
    });
    let answers: Vec<Confirmation> = futures::stream::iter(calls)
        .buffer_unordered(ASKED)
        .collect()
        .await;
    answers
        .into_iter()
        .fold(Confirmation::default(), |mut all, one| {
            all.join(one);
            all
        })
}
