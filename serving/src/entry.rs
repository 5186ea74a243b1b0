//! Startup and shutdown of an entry: its ports, its tasks and their shared context.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::backend;
use crate::clock::Clock;
use crate::configs::Settings;
use crate::context::Context;
use crate::modules::calls::Calls;
use crate::modules::claims::Claims;
use crate::modules::peers::{Identity, Peers};
use crate::modules::replication::{self, ReaderRole};
use crate::modules::{
    admission, callers, claims, declarations, directory, generation, membership, metrics, moves,
    operators, peers, stops,
};
use crate::platform;

/// Error of an entry that cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A port cannot be bound.
    #[snafu(display(
        "{port} cannot listen on {address}: {source}; free the address or change the setting"
    ))]
    Bind {
        /// Setting of the address.
        port: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Addresses that an entry listens on.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Addresses {
    /// Callers' port.
    pub callers: SocketAddr,
    /// Operators' port.
    pub operators: SocketAddr,
    /// Peers' port.
    pub peers: SocketAddr,
    /// Metrics and health port.
    pub metrics: SocketAddr,
}

/// A running entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Addresses that the entry listens on.
    pub addresses: Addresses,
    /// Shared state of the entry's modules.
    pub context: Arc<Context>,
}

impl Entry {
    /// Shuts down gracefully: refuses new requests, waits for those in progress within the entry's
    /// window, then ends the entry's tasks. Returns whether every request ended within the window.
    pub async fn leave(&self) -> bool {
        self.context.membership.leave().await;
        let completed = stops::leave(&self.context).await;
        self.kill();
        completed
    }

    /// Ends the entry's tasks immediately, like a crash of the process.
    pub fn kill(&self) {
        self.context.stop.cancel();
    }
}

/// Channel ends that belong to tasks started after the context is built.
struct Channels {
    moves: moves::Mailbox,
    membership: membership::Inbox,
    reader_role: watch::Sender<ReaderRole>,
}

/// Starts an entry.
///
/// # Errors
///
/// Returns the port that cannot be bound and the cause.
pub async fn start(settings: Settings) -> Result<Entry, Error> {
    let (context, channels) = build(settings);
    stops::start(&context);
    moves::driver::start(&context, channels.moves);
    generation::start_detector_cleanup(Arc::clone(&context));
    let addresses = open_ports(&context).await?;
    let advertised = context.settings.peers.advertise;
    let advertised = advertised.unwrap_or(addresses.peers);
    claims::start(&context, advertised);
    membership::start(Arc::clone(&context), channels.membership, advertised);
    replication::start(&context, channels.reader_role);
    Ok(Entry { addresses, context })
}

/// Builds the context and starts the tasks that do not depend on it.
fn build(settings: Settings) -> (Arc<Context>, Channels) {
    let platform = platform::http::Client::new(
        settings.platform.address,
        Arc::clone(&settings.entry.name),
        settings.platform.call_timeout,
    );
    let stop = CancellationToken::new();
    let metrics = metrics::Metrics::new();
    let (moves_handle, moves_mailbox) = moves::mailbox();
    let (membership, inbox) = membership::channel();
    let (declaration_replica, instance_replica, reader_role) =
        start_platform_readers(&platform, &settings, &metrics, &stop);
    let clock = Clock::start();
    let stops = stops::Stops::new();
    let directory = stops::mark_leaving(instance_replica.view(), &stops, stop.clone());
    let identity = Identity {
        name: Arc::clone(&settings.entry.name),
        incarnation: Arc::from(Uuid::now_v7().to_string()),
        failure_domain: Arc::clone(&settings.entry.failure_domain),
    };
    let admission = admission::start(admission::Dependencies {
        settings: &settings,
        identity: &identity,
        store: platform.clone(),
        admitted: metrics.admitted.clone(),
        clock,
        directory: directory.clone(),
        stop: stop.clone(),
    });
    let context = Arc::new(Context {
        admission,
        calls: Calls::new(&identity, &settings.services),
        claims: Claims::new(&identity),
        clock,
        identity,
        peers: Peers::new(settings.keys.peers.clone()),
        backend: backend::http::Client::new(),
        declarations: declaration_replica.view(),
        declaration_replica,
        detector: generation::detector(&settings.generation),
        buffer_limiter: generation::outbox::Limiter::new(settings.generation.held_limit, &metrics),
        directory,
        moves: moves_handle,
        membership,
        instance_replica,
        metrics,
        stops,
        platform,
        settings,
        stop,
    });
    let channels = Channels {
        moves: moves_mailbox,
        membership: inbox,
        reader_role,
    };
    (context, channels)
}

/// Binds the ports of an entry and starts to serve them.
async fn open_ports(context: &Arc<Context>) -> Result<Addresses, Error> {
    let listen = context.settings.listen;
    let peers = peers::start(Arc::clone(context)).await.context(BindSnafu {
        port: "listen.peers",
        address: listen.peers,
    })?;
    let callers = callers::start(context).context(BindSnafu {
        port: "listen.callers",
        address: listen.callers,
    })?;
    let operators = operators::start(Arc::clone(context))
        .await
        .context(BindSnafu {
            port: "listen.operators",
            address: listen.operators,
        })?;
    let metrics = metrics::start(Arc::clone(context))
        .await
        .context(BindSnafu {
            port: "listen.metrics",
            address: listen.metrics,
        })?;
    Ok(Addresses {
        callers,
        operators,
        peers,
        metrics,
    })
}

/// Starts the tasks that read declarations and instances from the platform. Returns the replicas
/// that they update and the channel that sets their reader role.
fn start_platform_readers(
    platform: &platform::http::Client,
    settings: &Settings,
    metrics: &metrics::Metrics,
    stop: &CancellationToken,
) -> (
    declarations::DeclarationReplica,
    directory::InstanceReplica,
    watch::Sender<ReaderRole>,
) {
    let declaration_replica = declarations::DeclarationReplica::default();
    let instance_replica = directory::InstanceReplica::default();
    let reader_role = watch::Sender::new(ReaderRole::Primary);
    let declarations = declarations::Source {
        store: platform.clone(),
        settings: settings.platform,
        reader_role: reader_role.subscribe(),
        refusals: metrics.store_refusals.clone(),
    };
    declarations::start(declarations, declaration_replica.clone(), stop.clone());
    let instances = directory::Source {
        store: platform.clone(),
        settings: settings.platform,
        reader_role: reader_role.subscribe(),
        writer: rand::random(),
    };
    directory::start(instances, instance_replica.clone(), stop.clone());
    (declaration_replica, instance_replica, reader_role)
}
