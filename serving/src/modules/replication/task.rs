//! Tasks that assign the reader role of this entry, push updates to peers and compare replicas with
//! them.

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

/// Number of neighbours that an update is pushed to.
const FANOUT: usize = 3;

/// Mean time between two comparisons with a peer.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Mean time between two comparisons before the declarations have been loaded.
const START_INTERVAL: Duration = Duration::from_millis(200);

/// Number of peers in a comparison before the declarations have been loaded.
const START_PEERS: usize = 3;

/// Maximum number of calls in one exchange with a peer.
const EXCHANGE_LIMIT: usize = 4;

/// Number of records from which on no further group of records is added to a push.
const BATCH_SIZE: usize = 64;

/// Time between two reads of the platform by an entry in the role [`ReaderRole::Poll`], multiplied by
/// the number of entries in its failure domain, so that their total rate does not grow with their
/// number.
const POLL_INTERVAL: Duration = Duration::from_secs(30);

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Response of a peer to a message of an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Response<R, T> {
    /// Whether the peer has loaded the records from the platform or from its own peers.
    pub loaded: bool,
    /// The next message of the exchange.
    pub message: Message<R, T>,
}

/// Starts the tasks; `reader_role` sets the role of the tasks that read the platform.
pub fn start(context: &Arc<Context>, reader_role: watch::Sender<ReaderRole>) {
    let stop = context.stop.clone();
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let tasks = async {
            tokio::join!(
                assign_reader_role(&context, &reader_role),
                push_updates(&context, &context.declaration_replica, send_declarations),
                push_updates(&context, &context.instance_replica, send_instances),
                compare(&context),
            )
        };
        tokio::select! {
            () = stop.cancelled() => {}
            _ = tasks => {}
        }
    });
}

/// Sets the reader role by this entry's rank among the entries of its failure domain, each time that
/// the membership changes.
async fn assign_reader_role(context: &Context, reader_role: &watch::Sender<ReaderRole>) {
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

/// Pushes new records to a few peers, which push them to others in turn.
async fn push_updates<R, T, V, F>(
    context: &Arc<Context>,
    replica: &Replica<R, T, V>,
    send: impl Fn(Arc<Context>, SocketAddr, Message<R, T>) -> F,
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
            // The missed updates reach the peers by comparison.
            Err(RecvError::Lagged(_)) => continue,
            Err(RecvError::Closed) => return,
        };
        while let (true, Ok(more)) = (records.len() < BATCH_SIZE, updates.try_recv()) {
            records.extend(more);
        }
        for address in targets(&context.membership.view().borrow()) {
            let message = Message::Records(newest(&records));
            tokio::spawn(send(Arc::clone(context), address, message));
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

/// Returns the addresses of random peers to push to: neighbours and a contact in another failure
/// domain.
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

/// Compares the replicas with a random peer periodically, or with several peers more often until the
/// declarations have been loaded.
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
            let peer = random_peer(&context.membership.view().borrow());
            if let Some(address) = peer {
                compare_with(context, address).await;
            }
        } else {
            load_from_peers(context).await;
        }
    }
}

/// Compares the replicas with several peers and marks the declarations as loaded if one of the peers
/// has loaded them.
async fn load_from_peers(context: &Arc<Context>) {
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

/// Returns the address of a random peer; one in four is in another failure domain.
fn random_peer(membership: &Membership) -> Option<SocketAddr> {
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

/// Compares all replicas with a peer, and returns whether the peer has loaded the declarations.
async fn compare_with(context: &Arc<Context>, address: SocketAddr) -> bool {
    let loaded = exchange(
        context,
        &context.declaration_replica,
        address,
        send_declarations,
    )
    .await;
    if loaded.is_some() {
        exchange(context, &context.instance_replica, address, send_instances).await;
    }
    loaded.unwrap_or_default()
}

/// Reconciles a replica with that of a peer, and returns whether the peer has loaded its records.
/// Returns nothing if the peer does not respond.
async fn exchange<R, T, V, F>(
    context: &Arc<Context>,
    replica: &Replica<R, T, V>,
    address: SocketAddr,
    send: impl Fn(Arc<Context>, SocketAddr, Message<R, T>) -> F,
) -> Option<bool>
where
    R: Copy + Hash + Ord,
    T: Clone + PartialEq,
    V: View<R, T>,
    F: Future<Output = Option<Response<R, T>>>,
{
    let mut message = replica.start_exchange();
    let mut loaded = true;
    for _ in 0..EXCHANGE_LIMIT {
        let response = send(Arc::clone(context), address, message).await?;
        loaded = response.loaded;
        message = replica.respond(response.message);
        if matches!(message, Message::Done) {
            break;
        }
    }
    Some(loaded)
}

/// Sends a message of an exchange of declarations and returns the response.
async fn send_declarations(
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

/// Sends a message of an exchange of instances and returns the response.
async fn send_instances(
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

/// Message of an exchange of declarations.
pub type DeclarationsMessage = Message<u64, Arc<medlarfall_schema::declaration::Service>>;

/// Response in an exchange of declarations.
pub type DeclarationsResponse = Response<u64, Arc<medlarfall_schema::declaration::Service>>;

/// Message of an exchange of instances.
pub type InstancesMessage =
    Message<crate::modules::directory::Stamp, crate::modules::directory::Observation>;

/// Response in an exchange of instances.
pub type InstancesResponse =
    Response<crate::modules::directory::Stamp, crate::modules::directory::Observation>;
