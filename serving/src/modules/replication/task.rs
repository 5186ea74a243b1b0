//! The tasks that share out the reading of the platform and pass records on to peers.

use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::rendezvous::rank;
use medlarfall_coordination::revision::{Message, Record};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use serde::{Deserialize, Serialize};
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;

use super::{ReaderRole, Replica, View};
use crate::context::Context;
use crate::modules::membership::Membership;

/// Neighbours that new records are passed on to at once.
const FANOUT: usize = 3;

/// Time between two comparisons with a peer.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two comparisons of an entry that has read nothing yet.
const START_INTERVAL: Duration = Duration::from_millis(200);

/// Peers that an entry that has read nothing yet compares with.
const START_PEERS: usize = 3;

/// Calls of one comparison at most.
const STEPS: usize = 4;

/// Records passed on in one message at most.
const CARRIED: usize = 64;

/// Time between two readings of the platform by an entry that leaves it to others, for each entry
/// of its failure domain, so that their calls together do not grow with the entries.
const POLL_INTERVAL: Duration = Duration::from_secs(30);

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer of a peer to a message of an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Response<R, T> {
    /// Whether the peer has read what there is.
    pub loaded: bool,
    /// The answer.
    pub message: Message<R, T>,
}

/// Starts the tasks; `reader_role` tells the readers of the platform what is theirs.
pub fn start(context: &Arc<Context>, reader_role: watch::Sender<ReaderRole>) {
    let stop = context.stop.clone();
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let tasks = async {
            tokio::join!(
                assign(&context, &reader_role),
                pass_on(&context, &context.declaration_replica, ask_declarations),
                pass_on(&context, &context.instance_replica, ask_instances),
                compare(&context),
            )
        };
        tokio::select! {
            () = stop.cancelled() => {}
            _ = tasks => {}
        }
    });
}

/// Shares out the reading of the platform among the entries of the failure domain.
async fn assign(context: &Context, reader_role: &watch::Sender<ReaderRole>) {
    let own = &context.settings.entry.name;
    let mut membership = context.membership.view();
    loop {
        let neighbours = Arc::clone(&membership.borrow_and_update());
        let names = neighbours
            .neighbours
            .iter()
            .map(|member| member.name.as_ref());
        let members = u32::try_from(names.len() + 1).unwrap_or(u32::MAX);
        let assigned = match rank("platform", own, names) {
            0 => ReaderRole::Primary,
            1 => ReaderRole::Secondary,
            _ => ReaderRole::Poll(POLL_INTERVAL.saturating_mul(members)),
        };
        reader_role
            .send_if_modified(|reader_role| std::mem::replace(reader_role, assigned) != assigned);
        if membership.changed().await.is_err() {
            return;
        }
    }
}

/// Passes new records on to a few peers, which pass them on in turn.
async fn pass_on<R, T, V, F>(
    context: &Arc<Context>,
    replica: &Replica<R, T, V>,
    ask: impl Fn(Arc<Context>, SocketAddr, Message<R, T>) -> F,
) where
    R: Copy + Hash + Ord + Send + 'static,
    T: Clone + PartialEq + Send + 'static,
    V: View<R, T>,
    F: Future<Output = Option<Response<R, T>>> + Send + 'static,
{
    let mut updates = replica.updates();
    loop {
        let mut records = match updates.recv().await {
            Ok(records) => records,
            // What was missed is found by comparison.
            Err(RecvError::Lagged(_)) => continue,
            Err(RecvError::Closed) => return,
        };
        while let (true, Ok(more)) = (records.len() < CARRIED, updates.try_recv()) {
            records.extend(more);
        }
        for address in targets(&context.membership.view().borrow()) {
            let message = Message::Records(newest(&records));
            tokio::spawn(ask(Arc::clone(context), address, message));
        }
    }
}

/// Returns the last record of each key.
fn newest<R: Clone, T: Clone>(records: &[Record<R, T>]) -> Vec<Record<R, T>> {
    let superseded = |index: usize, key: &str| {
        let later = &records[index + 1..];
        later.iter().any(|record| *record.key == *key)
    };
    let indexed = records.iter().enumerate();
    indexed
        .filter(|(index, record)| !superseded(*index, &record.key))
        .map(|(_, record)| record.clone())
        .collect()
}

/// Returns the peers that new records are passed on to.
fn targets(membership: &Membership) -> Vec<SocketAddr> {
    let mut random = rand::rng();
    let neighbours = membership
        .neighbours
        .choose_multiple(&mut random, FANOUT)
        .map(|member| member.address);
    let mut targets: Vec<SocketAddr> = neighbours.collect();
    let contact = membership.contacts.choose(&mut random);
    targets.extend(contact.map(|member| member.address));
    targets
}

/// Compares with a peer from time to time, and with several until this entry has read something.
async fn compare(context: &Arc<Context>) {
    loop {
        let loaded = context.declarations.borrow().loaded;
        let pause = if loaded {
            COMPARE_INTERVAL
        } else {
            START_INTERVAL
        };
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        if loaded {
            let peer = some_peer(&context.membership.view().borrow());
            if let Some(address) = peer {
                compare_with(context, address).await;
            }
        } else {
            learn_from_peers(context).await;
        }
    }
}

/// Compares with several peers, and counts as loaded if one of them was.
async fn learn_from_peers(context: &Arc<Context>) {
    let membership = Arc::clone(&context.membership.view().borrow());
    let peers = membership
        .up()
        .choose_multiple(&mut rand::rng(), START_PEERS);
    let comparisons = peers
        .iter()
        .map(|member| compare_with(context, member.address));
    let loaded = futures::future::join_all(comparisons).await;
    if loaded.contains(&true) {
        context.declaration_replica.mark_loaded();
    }
}

/// Returns a peer, of another failure domain one time in four.
fn some_peer(membership: &Membership) -> Option<SocketAddr> {
    let mut random = rand::rng();
    let near = membership.neighbours.choose(&mut random);
    let far = membership.contacts.choose(&mut random);
    let peer = if random.random_ratio(1, 4) {
        far.or(near)
    } else {
        near.or(far)
    };
    peer.map(|member| member.address)
}

/// Compares all topics with a peer, and returns whether the peer has read the declarations.
async fn compare_with(context: &Arc<Context>, address: SocketAddr) -> bool {
    let loaded = exchange(
        context,
        &context.declaration_replica,
        address,
        ask_declarations,
    )
    .await;
    if loaded.is_some() {
        exchange(context, &context.instance_replica, address, ask_instances).await;
    }
    loaded.unwrap_or_default()
}

/// Makes a replica equal at both sides, and returns whether the peer has read what there is.
async fn exchange<R, T, V, F>(
    context: &Arc<Context>,
    replica: &Replica<R, T, V>,
    address: SocketAddr,
    ask: impl Fn(Arc<Context>, SocketAddr, Message<R, T>) -> F,
) -> Option<bool>
where
    R: Copy + Hash + Ord,
    T: Clone + PartialEq,
    V: View<R, T>,
    F: Future<Output = Option<Response<R, T>>>,
{
    let mut message = replica.start_exchange();
    let mut loaded = true;
    for _ in 0..STEPS {
        let answer = ask(Arc::clone(context), address, message).await?;
        loaded = answer.loaded;
        message = replica.respond(answer.message);
        if matches!(message, Message::Done) {
            break;
        }
    }
    Some(loaded)
}

/// Sends a message of an exchange of declarations.
async fn ask_declarations(
    context: Arc<Context>,
    address: SocketAddr,
    message: DeclarationsMessage,
) -> Option<DeclarationsResponse> {
    let call = context
        .peers
        .call(address, CALL_TIMEOUT, |client, deadline| async move {
            client.declarations(deadline, message).await
        });
    call.await.ok()
}

/// Sends a message of an exchange of instances.
async fn ask_instances(
    context: Arc<Context>,
    address: SocketAddr,
    message: InstancesMessage,
) -> Option<InstancesResponse> {
    let call = context
        .peers
        .call(address, CALL_TIMEOUT, |client, deadline| async move {
            client.instances(deadline, message).await
        });
    call.await.ok()
}

/// A message of an exchange of declarations.
pub type DeclarationsMessage = Message<u64, Arc<medlarfall_schema::declaration::Service>>;

/// An answer in an exchange of declarations.
pub type DeclarationsResponse = Response<u64, Arc<medlarfall_schema::declaration::Service>>;

/// A message of an exchange of instances.
pub type InstancesMessage =
    Message<crate::modules::directory::Stamp, crate::modules::directory::Observation>;

/// An answer in an exchange of instances.
pub type InstancesResponse =
    Response<crate::modules::directory::Stamp, crate::modules::directory::Observation>;
