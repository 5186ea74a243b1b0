//! Sends and receives the messages between entries, which [`medlarfall_coordination::dissemination`]
//! decides on, and attaches the changes of the store to those of hubs.
//!
//! Messages are datagrams on a port used only by entries. An entry that misses changes of the store
//! fetches them from the sender of a message that is ahead.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use medlarfall_coordination::dissemination::{Content, Outgoing, Scope};
use medlarfall_coordination::history::Revision;
use medlarfall_coordination::pacing;
use medlarfall_runtime::store::Change;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::codec::Codec;
use crate::datagram::{self, Updates};
use crate::peer_updates;
use crate::state::Relay;

/// Shortest time between two rounds of messages, so that one carries several changes.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Most bytes of changes in a message. An entry that misses more fetches them from the sender.
const UPDATES_LIMIT: usize = 30_000;

/// Carries the messages between entries.
pub trait Datagrams: Send + Sync + 'static {
    /// Sends a message to an address; it may be lost.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> impl Future<Output = io::Result<usize>> + Send;

    /// Receives a message; returns its length and the address that it came from.
    fn receive(
        &self,
        buffer: &mut [u8],
    ) -> impl Future<Output = io::Result<(usize, SocketAddr)>> + Send;
}

impl Datagrams for UdpSocket {
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        self.send_to(bytes, to).await
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer).await
    }
}

/// Sends and receives messages until the task is aborted.
pub async fn run<C: Codec, D: Datagrams>(relay: Arc<Relay<C>>, socket: Arc<D>) {
    tokio::join!(
        send_messages(&relay, &*socket),
        receive_messages(&relay, &*socket)
    );
}

/// Applies messages as they arrive.
async fn receive_messages<C: Codec, D: Datagrams>(relay: &Arc<Relay<C>>, socket: &D) {
    let mut buffer = vec![0; datagram::SIZE_LIMIT];
    loop {
        match socket.receive(&mut buffer).await {
            Ok((length, from)) => receive(relay, &buffer[..length], from),
            Err(error) => {
                log::debug!(reason = error.to_string().as_str(); "message of a peer not received");
                sleep(MIN_INTERVAL).await;
            }
        }
    }
}

/// Applies a received message.
fn receive<C: Codec>(relay: &Arc<Relay<C>>, bytes: &[u8], from: SocketAddr) {
    let (message, updates) = match datagram::decode(bytes) {
        Ok(decoded) => decoded,
        Err(error) => {
            relay.metrics.messages_rejected.inc();
            log::debug!(
                from = from.to_string().as_str(), reason = error.to_string().as_str();
                "message of a peer not decoded"
            );
            return;
        }
    };
    let own_era = relay.changelog(|changelog| changelog.revision().era);
    let revision = message.sender.revision.or_era(own_era);
    let confirmed = message.sender.store_available && matches!(message.content, Content::Digest(_));
    relay.receive_message(from, message);
    if let Some(Updates { after, changes }) = updates {
        peer_updates::apply_updates(relay, after, changes);
    }
    let behind = revision > relay.changelog(|changelog| changelog.revision());
    if confirmed && !behind {
        relay.confirm_servers();
    }
    relay.record_peer_revision(from, revision);
}

/// Returns the changes since `sent_revision`, if they fit into a message.
fn updates<C: Codec>(relay: &Relay<C>, sent_revision: Revision) -> Option<Updates> {
    if sent_revision.number == 0 {
        return None;
    }
    let current = relay.changelog(|changelog| changelog.revision());
    let changes = relay.changelog(|changelog| changelog.changes_since(sent_revision));
    let bytes: usize = changes.changes.iter().map(Change::size).sum();
    let fits = current > sent_revision && bytes <= UPDATES_LIMIT;
    fits.then_some(Updates {
        after: if sent_revision.era == current.era {
            sent_revision.number
        } else {
            0
        },
        changes,
    })
}

/// Sends messages when they are due.
async fn send_messages<C: Codec, D: Datagrams>(relay: &Relay<C>, socket: &D) {
    let mut sent_revisions = [Revision::default(); Scope::COUNT];
    loop {
        tokio::select! {
            () = relay.streams_changed.notified() => {}
            () = sleep(relay.next_poll()) => {}
        }
        let mut pause = MIN_INTERVAL;
        for outgoing in relay.poll_messages() {
            if outgoing.direct {
                pause += send(relay, socket, outgoing, None).await;
                continue;
            }
            let sent_revision = &mut sent_revisions[outgoing.scope.index()];
            let passes_on = match outgoing.scope {
                Scope::Report => false,
                Scope::Members => true,
                Scope::Hubs => relay.reads_store.load(Ordering::Relaxed),
            };
            let updates = passes_on.then(|| updates(relay, *sent_revision)).flatten();
            *sent_revision = outgoing.message.sender.revision;
            pause += send(relay, socket, outgoing, updates).await;
        }
        sleep(pause).await;
    }
}

/// Sends one message to its recipients; returns the pause that the link needs after it.
async fn send<C: Codec, D: Datagrams>(
    relay: &Relay<C>,
    socket: &D,
    outgoing: Outgoing,
    updates: Option<Updates>,
) -> Duration {
    let Outgoing {
        scope,
        recipients,
        message,
        ..
    } = outgoing;
    let bytes = match datagram::encode(message, updates) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(reason = error.to_string().as_str(); "message to peers not encoded");
            return Duration::ZERO;
        }
    };
    relay
        .metrics
        .count_messages(scope, recipients.len(), bytes.len());
    for peer in &recipients {
        if let Err(error) = socket.send(&bytes, *peer).await {
            log::debug!(reason = error.to_string().as_str(); "message to a peer not sent");
        }
    }
    pacing::pause(bytes.len(), recipients.len(), relay.settings.link_mbps)
}
