//! Admission: which backend server takes a request, and when.
//!
//! One task owns this entry's reservations on every server, the queue of waiting requests and the
//! record of failing servers. A request is sent only with a [`Permit`], which reserves memory on
//! the server until it is dropped.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::grants::{Absences, holder};
use medlarfall_coordination::memory::ReservationKey;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::backend::Server;
use crate::clock::Clock;
use crate::configs::Settings;
use crate::modules::directory::Directory;
use crate::modules::metrics::Admissions;
use crate::modules::peers::Identity;
use crate::platform::Store;
use crate::telemetry;

use grants::Task;
use state::{Channels, State};

pub mod grants;
mod pool;
mod state;

/// Interval between checks for idle granted memory.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Capacity of the task's message channel.
const CHANNEL_CAPACITY: usize = 1_024;

/// Requirements of a request that waits for a backend server.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// Service to which the request goes.
    pub service: Arc<str>,
    /// Version of the service.
    pub version: Arc<str>,
    /// Client account of the caller.
    pub account: Arc<str>,
    /// Weight of the client account.
    pub weight: u64,
    /// Priority within the client account.
    pub priority: i32,
    /// Most memory that the request can use, in tokens; 1 for a call to a plain service.
    pub tokens: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Time of the entry's clock until which the request may wait.
    pub deadline: Duration,
    /// Servers that must not be chosen.
    pub excluded: Vec<Arc<str>>,
}

/// Reason why a request was not admitted; it was not run.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Refusal {
    /// The request needs more memory than this entry may reserve on any backend server of the
    /// service.
    #[snafu(display(
        "the request needs {tokens} tokens of memory, more than any backend server gives; ask for less"
    ))]
    TooLarge {
        /// Memory that the request needs, in tokens.
        tokens: u64,
    },
    /// No backend server became free before the deadline.
    #[snafu(display("no backend server became free in time; try again later"))]
    Deadline,
    /// The queue of waiting requests is full.
    #[snafu(display("too many requests wait at this entry; try again later or at another entry"))]
    Full,
    /// The entry is stopping.
    #[snafu(display("the entry is stopping; send the request to another entry"))]
    Stopping,
}

/// Result of a request at its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server responded.
    Succeeded,
    /// The server failed.
    Failed,
}

/// A message to the admission task.
enum Message {
    /// Requests a permit.
    Ask(Requirements, oneshot::Sender<Result<Permit, Refusal>>),
    /// The tokens that this entry may now use on a server, or none if the grant request failed.
    Granted(Arc<str>, Option<u64>),
    /// Ends a reservation.
    Release(ReservationKey),
    /// Reports the result of a request.
    Report(Arc<Server>, Outcome),
}

/// Permission to send one request to a server; dropping it releases the reserved memory.
#[derive(Debug)]
pub struct Permit {
    /// The server.
    pub server: Arc<Server>,
    key: ReservationKey,
    sender: mpsc::UnboundedSender<Message>,
}

impl Permit {
    /// Reports the result of the request.
    pub fn report(&self, outcome: Outcome) {
        let _ = self
            .sender
            .send(Message::Report(Arc::clone(&self.server), outcome));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.sender.send(Message::Release(self.key));
    }
}

/// Client of the admission task.
#[derive(Clone, Debug)]
pub struct Admission {
    sender: mpsc::Sender<Message>,
}

impl std::fmt::Debug for Message {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Ask(..) => "Ask",
            Self::Granted(..) => "Granted",
            Self::Release(_) => "Release",
            Self::Report(..) => "Report",
        })
    }
}

impl Admission {
    /// Waits until a backend server can take a request.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request was not admitted; it was not run.
    pub async fn acquire(&self, requirements: Requirements) -> Result<Permit, Refusal> {
        let span = telemetry::hop("queue");
        let (reply, response) = oneshot::channel();
        let sent = self.sender.send(Message::Ask(requirements, reply)).await;
        sent.map_err(|_| Refusal::Stopping)?;
        let permit = response.await.unwrap_or(Err(Refusal::Stopping))?;
        span.add_property(|| ("server", permit.server.name.to_string()));
        Ok(permit)
    }
}

/// What the admission task needs to start.
#[derive(Debug)]
pub struct Dependencies<'a, S> {
    /// Checked settings.
    pub settings: &'a Settings,
    /// Identity of this entry.
    pub identity: &'a Identity,
    /// The platform's store.
    pub store: S,
    /// Counters of admitted requests.
    pub admitted: Admissions,
    /// The entry's clock.
    pub clock: Clock,
    /// Backend servers known to the entry.
    pub directory: watch::Receiver<Arc<Directory>>,
    /// Cancelled when the entry stops.
    pub stop: CancellationToken,
}

/// Starts the admission task and the task that requests grants of memory from the store.
#[must_use]
pub fn start<S: Store>(dependencies: Dependencies<'_, S>) -> Admission {
    let (sender, requests) = mpsc::channel(CHANNEL_CAPACITY);
    let (priority_sender, priority_messages) = mpsc::unbounded_channel();
    let (grant_sender, grant_requests) = mpsc::unbounded_channel();
    let task = Task {
        store: dependencies.store,
        holder: holder(
            &dependencies.identity.name,
            &dependencies.identity.incarnation,
        ),
        reclaim_grace: dependencies.settings.admission.reclaim_grace,
        clock: dependencies.clock,
        absences: Absences::new(),
    };
    let granting = task.run(grant_requests, priority_sender.clone());
    let channels = Channels {
        admitted: dependencies.admitted,
        priority_sender,
        grant_requests: grant_sender,
    };
    let state = State::new(dependencies.settings, channels);
    let serving = serve(
        state,
        dependencies.clock,
        dependencies.directory,
        requests,
        priority_messages,
    );
    let stop = dependencies.stop;
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = serving => {}
            () = granting => {}
        }
    });
    Admission { sender }
}

/// Handles messages, changes of the directory and deadlines until the directory's sender is gone.
///
/// Messages in `priority_messages` (releases, grants and reports) are handled before new requests.
async fn serve(
    mut state: State,
    clock: Clock,
    mut directory: watch::Receiver<Arc<Directory>>,
    mut requests: mpsc::Receiver<Message>,
    mut priority_messages: mpsc::UnboundedReceiver<Message>,
) {
    let mut idle = tokio::time::interval(IDLE_CHECK_INTERVAL);
    // `changed` does not report servers that were in the directory before the start.
    let known = Arc::clone(&directory.borrow_and_update());
    state.set_directory(&known, clock.now());
    loop {
        let wake = state
            .next_deadline()
            .map(|deadline| clock.instant(deadline));
        tokio::select! {
            biased;
            Some(message) = priority_messages.recv() => state.handle(message, clock.now()),
            changed = directory.changed() => {
                if changed.is_err() {
                    return;
                }
                let directory = Arc::clone(&directory.borrow_and_update());
                state.set_directory(&directory, clock.now());
            }
            Some(message) = requests.recv() => state.handle(message, clock.now()),
            _ = idle.tick() => state.tick(clock.now()),
            () = sleep_until(wake) => {}
        }
        state.refuse_expired(clock.now());
    }
}

/// Waits until an instant, or forever if there is none.
async fn sleep_until(instant: Option<tokio::time::Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
