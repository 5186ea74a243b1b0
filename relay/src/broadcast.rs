//! Shares this entry's state with the other entries: its streams at each server, changes of the
//! store, lost servers, retries and moves.
//!
//! Messages are datagrams on a port used only by entries. Each carries current values instead of
//! differences, so a lost one needs no retransmission; an entry that misses changes of the store
//! fetches them from the sender. An entry registers its address in the store under a lease.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use medlarfall_coordination::canary;
use medlarfall_coordination::reader_election::READER_ANNOUNCE_INTERVAL;
use medlarfall_coordination::retry_budget::Usage;
use medlarfall_coordination::shared_load::Count;
use medlarfall_coordination::updates;
use medlarfall_runtime::store::{Change, Changes, Error, Lease, Store};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

use crate::changelog;
use crate::codec::Codec;
use crate::encoding;
use crate::state::Relay;
use crate::store_watch;

/// Shortest time between two messages, so that one message carries several changes.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time between two messages to all entries, so that a lost message does no lasting harm.
/// Messages to all are most of a large fleet's traffic between failure domains.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time until a retry is sent to all entries: a service's retries are bounded across the
/// fleet.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Size of the receive buffer, in bytes.
const MESSAGE_LIMIT: usize = 60_000;

/// Most bytes of changes in a message. An entry that misses more fetches them from the sender.
const UPDATES_LIMIT: usize = 30_000;

/// Lease of an entry's address; it expires if the entry does not renew it.
const LEASE_TIME: Duration = Duration::from_secs(20);

/// Time between renewals: three fit into a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(6);

/// Pause after a failed store call.
const RETRY_PAUSE: Duration = Duration::from_secs(3);

/// Longest wait for a response of the store.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A message of an entry, with its current state.
#[derive(Debug, Deserialize, Serialize)]
struct Message {
    entry: Arc<str>,
    failure_domain: Arc<str>,
    /// Capacity of its machine's link, in Mbit/s.
    link_mbps: u32,
    /// Whether the entry reads the store and its last call succeeded.
    #[serde(rename = "reads")]
    reads_store: bool,
    /// Changes that the sender read in the store since its last message.
    #[serde(default, rename = "news", skip_serializing_if = "Option::is_none")]
    updates: Option<Updates>,
    /// Revision of the store up to which the sender knows all changes.
    revision: u64,
    /// For each server: its name, the entry's streams there, and those of them in prefill.
    streams: Vec<(Arc<str>, u32, u32)>,
    /// Servers that it could not reach recently.
    #[serde(default)]
    lost: Vec<Arc<str>>,
    /// Successors of lost servers, found while the store was unavailable.
    #[serde(default, rename = "found")]
    successors: Vec<Successor>,
    /// Requests and retries over the last span of the retry budget, by service.
    #[serde(default, rename = "repeats")]
    retries: Vec<(Arc<str>, Usage)>,
    /// Reports on the moves in progress.
    #[serde(default)]
    moves: Vec<(Arc<str>, canary::Report)>,
}

/// Changes in the store after a revision.
#[derive(Debug, Deserialize, Serialize)]
struct Updates {
    after: u64,
    changes: Changes,
}

/// A server that was found at the address of a lost one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Successor {
    /// Name of the lost server.
    #[serde(rename = "before")]
    pub predecessor: Arc<str>,
    /// Name of the server that is there now.
    #[serde(rename = "now")]
    pub id: Arc<str>,
    /// Its start time, in Unix milliseconds.
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
}

/// Sends and receives messages until the task is aborted.
pub async fn run<C: Codec>(relay: Arc<Relay<C>>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    tokio::spawn(send_state(Arc::clone(&relay), Arc::clone(&socket)));
    let mut buffer = vec![0; MESSAGE_LIMIT];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => receive(&relay, &buffer[..length], from),
            Err(error) => {
                log::debug!(reason = error.to_string().as_str(); "message of a peer not received");
                sleep(MIN_INTERVAL).await;
            }
        }
    }
}

/// Applies a received message.
fn receive<C: Codec>(relay: &Arc<Relay<C>>, bytes: &[u8], from: SocketAddr) {
    let message: Message = match encoding::decode(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::warn!(
                from = from.to_string().as_str(), reason = error.to_string().as_str();
                "message of a peer not decoded"
            );
            return;
        }
    };
    relay.record_peer(&message.entry, Some(from));
    let Message {
        entry,
        failure_domain,
        link_mbps,
        reads_store,
        ..
    } = &message;
    relay.record_peer_reader(entry, failure_domain, *link_mbps, *reads_store);
    if let Some(Updates { after, changes }) = message.updates {
        store_watch::apply_updates(relay, after, &changes);
    }
    let behind = message.revision > relay.changelog(|changelog| changelog.revision());
    if message.reads_store && !behind {
        relay.confirm_servers();
    }
    if behind && !relay.begin_catching_up() {
        let relay = Arc::clone(relay);
        tokio::spawn(async move {
            changelog::catch_up(Arc::clone(&relay), from, message.revision).await;
            relay.end_catching_up();
        });
    }
    relay.record_peer_unreachable(&message.lost);
    relay.record_peer_successors(&message.successors);
    relay.record_peer_retries(&message.entry, &message.retries);
    relay.receive_move_reports(&message.entry, message.moves);
    let counts: HashMap<Arc<str>, Count> = message
        .streams
        .into_iter()
        .map(|(server, streams, prefilling)| {
            (
                server,
                Count {
                    streams,
                    prefilling,
                },
            )
        })
        .collect();
    relay.record_peer_streams(message.entry, counts);
}

/// Returns the changes since `sent_revision`, if this entry reads the store and they fit into a
/// message.
fn updates<C: Codec>(relay: &Relay<C>, sent_revision: u64) -> Option<Updates> {
    if sent_revision == 0 || !relay.reads_store.load(Ordering::Relaxed) {
        return None;
    }
    let changes = relay.changelog(|changelog| changelog.changes_since(sent_revision));
    let length = |change: &Change| change.key.len() + change.value.as_ref().map_or(0, String::len);
    let bytes: usize = changes.changes.iter().map(length).sum();
    let fits = changes.revision > sent_revision && bytes <= UPDATES_LIMIT;
    fits.then_some(Updates {
        after: sent_revision,
        changes,
    })
}

/// Sends this entry's state: to the peers in its failure domain at each change, and to all peers
/// periodically and as soon as it has read a change of the store or found a successor.
async fn send_state<C: Codec>(relay: Arc<Relay<C>>, socket: Arc<UdpSocket>) {
    let mut all_sent_at = Instant::now();
    let mut sent_revision = 0;
    loop {
        let reads = relay.reads_store.load(Ordering::Relaxed);
        let has_open_moves = relay.has_open_moves();
        let interval = match (relay.has_unsent_retries(), reads || has_open_moves) {
            (true, _) => RETRY_INTERVAL,
            (false, true) => READER_ANNOUNCE_INTERVAL,
            (false, false) => MAX_INTERVAL,
        };
        tokio::select! {
            () = relay.streams_changed.notified() => {}
            () = tokio::time::sleep_until(all_sent_at + interval) => {}
        }
        let updates = updates(&relay, sent_revision);
        let everyone =
            updates.is_some() || relay.has_unsent_successors() || all_sent_at.elapsed() >= interval;
        let revision = relay.changelog(|changelog| changelog.revision());
        if everyone {
            all_sent_at = Instant::now();
            sent_revision = revision;
        }
        let message = Message {
            entry: Arc::clone(&relay.settings.entry),
            failure_domain: Arc::clone(&relay.settings.failure_domain),
            link_mbps: relay.settings.link_mbps,
            reads_store: reads,
            updates,
            revision,
            streams: relay.own_streams(),
            lost: relay.unreachable_to_send(everyone),
            successors: relay.successors_to_send(everyone),
            retries: if everyone {
                relay.take_retry_usage()
            } else {
                Vec::new()
            },
            moves: if everyone {
                relay.move_reports()
            } else {
                Vec::new()
            },
        };
        let bytes = match encoding::encode(&message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(reason = error.to_string().as_str(); "message to peers not encoded");
                continue;
            }
        };
        let recipients = relay.recipients(everyone);
        for peer in &recipients.addresses {
            if let Err(error) = send(&socket, &bytes, *peer).await {
                log::debug!(reason = error.to_string().as_str(); "message to a peer not sent");
            }
        }
        let pause = updates::pause(
            bytes.len(),
            recipients.addresses.len(),
            recipients.link_mbps,
        );
        sleep(pause.max(MIN_INTERVAL)).await;
    }
}

async fn send(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) -> io::Result<()> {
    socket.send_to(bytes, peer).await.map(|_| ())
}

/// Keeps this entry's address registered in the store.
pub async fn register<C: Codec, S: Store>(relay: Arc<Relay<C>>, store: S, address: SocketAddr) {
    let mut lease = None;
    loop {
        relay.metrics.store_calls.inc();
        let step = timeout(RESPONSE_TIMEOUT, renew(&relay, &store, address, lease)).await;
        let pause = match step {
            Ok(Ok(renewed)) => {
                lease = Some(renewed);
                RENEWAL_INTERVAL
            }
            Ok(Err(Error::LeaseEnded)) => {
                lease = None;
                RETRY_PAUSE
            }
            Ok(Err(error)) => {
                log::info!(reason = error.to_string().as_str(); "registration of this entry's address not renewed");
                RETRY_PAUSE
            }
            Err(_) => RETRY_PAUSE,
        };
        sleep(pause).await;
    }
}

/// Renews the lease, or registers the address under a new one.
async fn renew<C: Codec, S: Store>(
    relay: &Relay<C>,
    store: &S,
    address: SocketAddr,
    lease: Option<Lease>,
) -> Result<Lease, Error> {
    if let Some(lease) = lease {
        store.renew(lease).await?;
        return Ok(lease);
    }
    let lease = store.grant(LEASE_TIME).await?;
    let key = relay.codec.entry_key(&relay.settings.entry);
    let value = address.to_string();
    match store.put(&key, value.clone(), 0, Some(lease)).await {
        Err(Error::Conflict {
            current: Some(current),
        }) => {
            store
                .put(&key, value, current.revision, Some(lease))
                .await?
        }
        written => written?,
    };
    Ok(lease)
}
