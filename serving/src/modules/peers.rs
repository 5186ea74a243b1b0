//! Remote procedure calls between entries, over the peers' port.
//!
//! [`handshake`] authenticates both sides of a connection before any call is read. Calls are encoded
//! as JSON, so that entries of adjacent releases can communicate: new fields are optional, and an
//! older entry responds to a new method with an error.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use fastrace::future::FutureExt as _;
use futures::StreamExt;
use medlarfall_coordination::claim::{Claimer, Status};
use medlarfall_coordination::membership;
use medlarfall_coordination::rollout;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tarpc::context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::io::{InspectReader, InspectWriter};

use medlarfall_schema::declaration::Stop;

use crate::configs::keys::Secret;
use crate::context::Context;
use crate::modules::moves;
use crate::modules::operators::confirm::{self, Confirmation, Query};
use crate::modules::replication::{
    DeclarationsMessage, DeclarationsResponse, InstancesMessage, InstancesResponse, Response,
};
use crate::telemetry;

mod handshake;

/// Timeout for connecting to a peer, and for the handshake of an accepted connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Default timeout of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of a message, in bytes.
const MESSAGE_LIMIT: usize = 4 << 20;

/// Maximum number of concurrent calls on one connection.
const CONCURRENT_CALLS: usize = 64;

/// Identity of an entry, as it reports it to its peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Identity {
    /// Name of the entry.
    pub name: Arc<str>,
    /// Identifier of this run of the entry; it increases with each restart.
    pub incarnation: Arc<str>,
    /// Failure domain that the entry runs in.
    pub failure_domain: Arc<str>,
}

/// Remote procedure calls between entries.
#[tarpc::service]
pub trait Peer {
    /// Returns the identity of the entry.
    async fn identity() -> Identity;
    /// Delivers the record of a move that is braked or has ended.
    async fn moved(record: rollout::Record);

    /// Returns the status of a claim of the entry; waits up to `wait_ms` while its call is running.
    /// Returns nothing if the claim was not made by this incarnation of the entry.
    async fn claim(claimer: Claimer, wait_ms: u64) -> Option<Status>;
    /// Delivers a message of the membership protocol and returns the responses to its sender.
    async fn gossip(message: membership::Message) -> Vec<membership::Message>;
    /// Delivers a message of an exchange of declarations and returns the response.
    async fn declarations(message: DeclarationsMessage) -> DeclarationsResponse;
    /// Delivers a message of an exchange of instances and returns the response.
    async fn instances(message: InstancesMessage) -> InstancesResponse;
    /// Delivers the planned stops known to the caller and returns those known to the entry.
    async fn stops(known: Vec<Stop>) -> Vec<Stop>;
    /// Returns the entries at which a revision is in force.
    async fn confirm(question: Query) -> Confirmation;
}

/// Error of a call to a peer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The connection could not be established, so the call was not sent.
    #[snafu(display(
        "the peer at {address} cannot be reached: {reason}; check its address and the peers' key"
    ))]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The call failed or its response was lost.
    #[snafu(display(
        "the peer at {address} gave no answer: {reason}; it may have acted on the call"
    ))]
    NoAnswer {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
}

/// Byte counts of the connections with peers.
#[derive(Debug, Default)]
pub struct Traffic {
    received: AtomicU64,
    sent: AtomicU64,
}

impl Traffic {
    /// Returns the bytes received and sent so far.
    #[must_use]
    pub fn bytes(&self) -> (u64, u64) {
        (
            self.received.load(Ordering::Relaxed),
            self.sent.load(Ordering::Relaxed),
        )
    }
}

/// Pool of connections to peers, one per address.
#[derive(Clone, Debug)]
pub struct Peers {
    key: Secret,
    clients: Arc<Mutex<HashMap<SocketAddr, PeerClient>>>,
    traffic: Arc<Traffic>,
}

impl Peers {
    /// Returns an empty pool.
    #[must_use]
    pub fn new(key: Secret) -> Self {
        Self {
            key,
            clients: Arc::default(),
            traffic: Arc::default(),
        }
    }

    /// Returns the byte counts of all connections, including those opened by peers.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Calls the peer at `address` over a pooled connection.
    ///
    /// # Errors
    ///
    /// Returns the cause, and whether the peer may have executed the call.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(PeerClient, context::Context) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        let client = self.client(address).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let response = call(client, context).in_span(telemetry::hop("peer")).await;
        response.map_err(|error| {
            self.disconnect(address);
            Error::NoAnswer {
                address,
                reason: error.to_string(),
            }
        })
    }

    /// Returns the pooled connection to a peer, or opens one.
    async fn client(&self, address: SocketAddr) -> Result<PeerClient, Error> {
        let pooled = self.lock().get(&address).cloned();
        if let Some(client) = pooled {
            return Ok(client);
        }
        let unreachable = |reason: String| Error::Unreachable { address, reason };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, self.connect(address)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(unreachable(error.to_string())),
            Err(_) => return Err(unreachable("timeout".to_owned())),
        };
        let transport = transport(stream, Arc::clone(&self.traffic));
        let client = PeerClient::new(tarpc::client::Config::default(), transport).spawn();
        self.lock().insert(address, client.clone());
        Ok(client)
    }

    /// Connects to a peer and authenticates both sides.
    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        handshake::connect(&mut stream, &self.key).await?;
        Ok(stream)
    }

    /// Removes the connection to a peer from the pool, so that the next call opens a new one.
    fn disconnect(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handler of the calls from peers.
#[derive(Clone)]
struct Handler {
    context: Arc<Context>,
}

impl Peer for Handler {
    async fn stops(self, _: context::Context, known: Vec<Stop>) -> Vec<Stop> {
        self.context.stops.record(known, self.context.clock);
        self.context.stops.stored()
    }

    async fn identity(self, _: context::Context) -> Identity {
        self.context.identity.clone()
    }

    async fn moved(self, _: context::Context, record: rollout::Record) {
        self.context
            .moves
            .send(moves::Message::Received(record))
            .await;
    }

    async fn claim(self, _: context::Context, claimer: Claimer, wait_ms: u64) -> Option<Status> {
        let wait = Duration::from_millis(wait_ms).min(CALL_TIMEOUT);
        self.context.claims.wait(&claimer, wait).await
    }

    async fn gossip(
        self,
        _: context::Context,
        message: membership::Message,
    ) -> Vec<membership::Message> {
        self.context.membership.receive(message).await
    }

    async fn declarations(
        self,
        _: context::Context,
        message: DeclarationsMessage,
    ) -> DeclarationsResponse {
        let loaded = self.context.declarations.borrow().loaded;
        let message = self.context.declaration_replica.respond(message);
        Response { loaded, message }
    }

    async fn instances(self, _: context::Context, message: InstancesMessage) -> InstancesResponse {
        let message = self.context.instance_replica.respond(message);
        let loaded = true;
        Response { loaded, message }
    }

    async fn confirm(self, _: context::Context, query: Query) -> Confirmation {
        confirm::respond(&self.context, query).await
    }
}

/// Starts to serve the peers' port and returns its address.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn start(context: Arc<Context>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(context.settings.listen.peers).await?;
    let address = listener.local_addr()?;
    let stop = context.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = accept(listener, context) => {}
        }
    });
    Ok(address)
}

/// Accepts connections; never returns. Dropping the future closes the connections.
async fn accept(listener: TcpListener, context: Arc<Context>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(connection(stream, Arc::clone(&context)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Authenticates and serves one connection.
async fn connection(mut stream: TcpStream, context: Arc<Context>) {
    let _ = stream.set_nodelay(true);
    let key = &context.settings.keys.peers;
    let result = tokio::time::timeout(CONNECT_TIMEOUT, handshake::accept(&mut stream, key)).await;
    let refused = match result {
        Ok(Ok(())) => None,
        Ok(Err(error)) => Some(error.to_string()),
        Err(_) => Some("timeout".to_owned()),
    };
    if let Some(reason) = refused {
        log::warn!(reason = reason.as_str(); "handshake failed: refused a connection on the peers' port");
        return;
    }
    let transport = transport(stream, Arc::clone(context.peers.traffic()));
    let handler = Handler { context };
    BaseChannel::with_defaults(transport)
        .execute(handler.serve())
        .for_each_concurrent(CONCURRENT_CALLS, |call| call)
        .await;
}

/// Transport of JSON messages over the byte stream `S`.
type Transport<S, Item, SinkItem> =
    serde_transport::Transport<S, Item, SinkItem, Json<Item, SinkItem>>;

/// Returns a transport over an authenticated connection that counts its bytes in `traffic`.
fn transport<Item, SinkItem>(
    stream: TcpStream,
    traffic: Arc<Traffic>,
) -> Transport<impl AsyncRead + AsyncWrite + Send + Unpin, Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let (reader, writer) = stream.into_split();
    let (received, sent) = (Arc::clone(&traffic), traffic);
    let reader = InspectReader::new(reader, move |bytes| {
        received
            .received
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    let writer = InspectWriter::new(writer, move |bytes| {
        sent.sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    let connection = tokio::io::join(reader, writer);
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT)
        .new_framed(connection);
    serde_transport::new(framed, Json::default())
}
