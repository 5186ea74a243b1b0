//! Tells the other entries how many streams this one has at each server, and hears it from them.
//!
//! Messages are datagrams on a port of the entries' own; each holds all that its sender has. An
//! entry makes its address known through the store, under a lease.

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

use crate::dialect::Dialect;
use crate::follow;
use crate::mirror;
use crate::packing;
use crate::state::Relay;

/// Shortest time between two messages: several changes go into one.
const SHORTEST: Duration = Duration::from_millis(10);

/// Longest time between two messages to all, so that a lost one does no lasting harm. Most of a
/// large fleet's traffic between failure domains is these.
const LONGEST: Duration = Duration::from_secs(2);

/// Longest time until all know of a repeat: a service's repeats are bounded over all entries.
const REPEATS_TOLD: Duration = Duration::from_millis(250);

/// Largest message.
const MESSAGE_LIMIT: usize = 60_000;

/// Most bytes of changes in a message; who misses more asks for them.
const NEWS_LIMIT: usize = 30_000;

/// Time after which the store forgets an entry that does not renew its lease.
const LEASE_TIME: Duration = Duration::from_secs(20);

/// Time between renewals: three fit into a lease.
const RENEWAL: Duration = Duration::from_secs(6);

/// Pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(3);

/// Longest wait for the store.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// What an entry tells: its name and, for each server, its streams and those still unread.
#[derive(Debug, Deserialize, Serialize)]
struct Message {
    entry: Arc<str>,
    failure_domain: Arc<str>,
    /// Speed of its machine's link, in Mbit/s.
    link_mbps: u32,
    /// Whether the entry reads the store with success.
    reads: bool,
    /// Changes that a reader read since its last message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    news: Option<News>,
    /// How far the entry has read in the store.
    revision: u64,
    streams: Vec<(Arc<str>, u32, u32)>,
    /// Servers that it could not reach lately.
    #[serde(default)]
    lost: Vec<Arc<str>>,
    /// Servers that it found in place of others while the store was away.
    #[serde(default)]
    found: Vec<Found>,
    /// Requests and repeats over the last span, by service.
    #[serde(default)]
    repeats: Vec<(Arc<str>, Usage)>,
    /// What it knows of the moves of services that are under way.
    #[serde(default)]
    moves: Vec<(Arc<str>, canary::Report)>,
}

/// Changes in the store after a revision.
#[derive(Debug, Deserialize, Serialize)]
struct News {
    after: u64,
    changes: Changes,
}

/// A server that was found at the address of another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Found {
    /// Name of the server that was there before.
    pub before: Arc<str>,
    /// Name of the server that is there now.
    pub now: Arc<str>,
    /// When it started, in Unix milliseconds.
    pub born_ms: Option<u64>,
}

/// Sends and receives messages for ever.
pub async fn run<D: Dialect>(relay: Arc<Relay<D>>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    tokio::spawn(tell(Arc::clone(&relay), Arc::clone(&socket)));
    let mut buffer = vec![0; MESSAGE_LIMIT];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => hear(&relay, &buffer[..length], from),
            Err(error) => {
                log::debug!(reason = error.to_string().as_str(); "message not received");
                sleep(SHORTEST).await;
            }
        }
    }
}

/// Takes in a message.
fn hear<D: Dialect>(relay: &Arc<Relay<D>>, bytes: &[u8], from: SocketAddr) {
    let message: Message = match packing::unpack(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::warn!(
                from = from.to_string().as_str(), reason = error.to_string().as_str();
                "message of another entry can't be read"
            );
            return;
        }
    };
    relay.peer(&message.entry, Some(from));
    let Message {
        entry,
        failure_domain,
        link_mbps,
        reads,
        ..
    } = &message;
    relay.peer_reads(entry, failure_domain, *link_mbps, *reads);
    if let Some(News { after, changes }) = message.news {
        follow::take_news(relay, after, &changes);
    }
    let behind = message.revision > relay.mirror(|mirror| mirror.revision());
    if message.reads && !behind {
        relay.servers_known();
    }
    if behind && !relay.begin_catching_up() {
        let relay = Arc::clone(relay);
        tokio::spawn(async move {
            mirror::catch_up(Arc::clone(&relay), from, message.revision).await;
            relay.end_catching_up();
        });
    }
    relay.peer_lost(&message.lost);
    relay.peer_found(&message.found);
    relay.peer_repeated(&message.entry, &message.repeats);
    relay.hear_moves(&message.entry, message.moves);
    let counts: HashMap<Arc<str>, Count> = message
        .streams
        .into_iter()
        .map(|(server, runs, reading)| {
            (
                server,
                Count {
                    streams: runs,
                    prefilling: reading,
                },
            )
        })
        .collect();
    relay.peer_told(message.entry, counts);
}

/// Returns what was read since `told`, if this entry reads and it is not too much for a message.
fn news<D: Dialect>(relay: &Relay<D>, told: u64) -> Option<News> {
    if told == 0 || !relay.reads.load(Ordering::Relaxed) {
        return None;
    }
    let changes = relay.mirror(|mirror| mirror.after(told));
    let length = |change: &Change| change.key.len() + change.value.as_ref().map_or(0, String::len);
    let bytes: usize = changes.changes.iter().map(length).sum();
    let fits = changes.revision > told && bytes <= NEWS_LIMIT;
    fits.then_some(News {
        after: told,
        changes,
    })
}

/// Sends what this entry has: to those of its own failure domain at each change, to all now and
/// then, and at once when it read something new in the store.
async fn tell<D: Dialect>(relay: Arc<Relay<D>>, socket: Arc<UdpSocket>) {
    let mut told_all = Instant::now();
    let mut told = 0;
    loop {
        let reads = relay.reads.load(Ordering::Relaxed);
        let moving = relay.moving();
        let longest = match (relay.has_repeated(), reads || moving) {
            (true, _) => REPEATS_TOLD,
            (false, true) => READER_ANNOUNCE_INTERVAL,
            (false, false) => LONGEST,
        };
        tokio::select! {
            () = relay.streams_changed.notified() => {}
            () = tokio::time::sleep_until(told_all + longest) => {}
        }
        let news = news(&relay, told);
        let everyone = news.is_some() || relay.has_found() || told_all.elapsed() >= longest;
        let revision = relay.mirror(|mirror| mirror.revision());
        if everyone {
            told_all = Instant::now();
            told = revision;
        }
        let message = Message {
            entry: Arc::clone(&relay.settings.entry),
            failure_domain: Arc::clone(&relay.settings.failure_domain),
            link_mbps: relay.settings.link_mbps,
            reads,
            news,
            revision,
            streams: relay.own_streams(),
            lost: relay.lost_to_tell(everyone),
            found: relay.found_to_tell(everyone),
            repeats: if everyone {
                relay.repeats_to_tell()
            } else {
                Vec::new()
            },
            moves: if everyone {
                relay.move_reports()
            } else {
                Vec::new()
            },
        };
        let bytes = match packing::pack(&message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(reason = error.to_string().as_str(); "message can't be written");
                continue;
            }
        };
        let audience = relay.audience(everyone);
        for peer in &audience.addresses {
            if let Err(error) = send(&socket, &bytes, *peer).await {
                log::debug!(reason = error.to_string().as_str(); "message not sent");
            }
        }
        let pause = updates::pause(bytes.len(), audience.addresses.len(), audience.link_mbps);
        sleep(pause.max(SHORTEST)).await;
    }
}

async fn send(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) -> io::Result<()> {
    socket.send_to(bytes, peer).await.map(|_| ())
}

/// Keeps this entry's address in the store.
pub async fn register<D: Dialect, S: Store>(relay: Arc<Relay<D>>, store: S, address: SocketAddr) {
    let mut lease = None;
    loop {
        relay.metrics.store_calls.inc();
        let step = timeout(ANSWER_TIME, renew(&relay, &store, address, lease)).await;
        let pause = match step {
            Ok(Ok(renewed)) => {
                lease = Some(renewed);
                RENEWAL
            }
            Ok(Err(Error::LeaseEnded)) => {
                lease = None;
                RETRY_PAUSE
            }
            Ok(Err(error)) => {
                log::info!(reason = error.to_string().as_str(); "this entry's address not renewed");
                RETRY_PAUSE
            }
            Err(_) => RETRY_PAUSE,
        };
        sleep(pause).await;
    }
}

/// Renews the lease, or writes the address under a new one.
async fn renew<D: Dialect, S: Store>(
    relay: &Relay<D>,
    store: &S,
    address: SocketAddr,
    lease: Option<Lease>,
) -> Result<Lease, Error> {
    if let Some(lease) = lease {
        store.renew(lease).await?;
        return Ok(lease);
    }
    let lease = store.grant(LEASE_TIME).await?;
    let key = relay.dialect.entry_key(&relay.settings.entry);
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
