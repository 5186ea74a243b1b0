//! Admission: which backend server takes a request, and when.
//!
//! One task owns what this entry has reserved on every server, the queue of requests that wait and
//! the record of servers that fail. A request is sent only with a [`Permit`], which holds its memory
//! on the server until it is dropped.

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

/// Pause between two looks for memory that lies idle.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Messages that may wait for the task.
const MAILBOX: usize = 1_024;

/// What a request needs of a backend server.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// Service that is asked.
    pub service: Arc<str>,
    /// Version that answers.
    pub version: Arc<str>,
    /// Client account of the caller.
    pub account: Arc<str>,
    /// Weight of the client account.
    pub weight: u64,
    /// Priority within the client account.
    pub priority: i32,
    /// Memory that the request may grow to, in tokens; 1 for a call to a plain service.
    pub tokens: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Time, on the entry's clock, until which the request may wait.
    pub deadline: Duration,
    /// Servers that must not take it.
    pub excluded: Vec<Arc<str>>,
}

/// Why a request was not admitted; it was not run.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Refusal {
    /// No backend server could ever hold it.
    #[snafu(display(
        "the request needs {tokens} tokens of memory, more than any backend server gives; ask for less"
    ))]
    TooLarge {
        /// Memory that the request needs.
        tokens: u64,
    },
    /// No backend server became free in time.
    #[snafu(display("no backend server became free in time; try again later"))]
    Deadline,
    /// Too many requests wait already.
    #[snafu(display("too many requests wait at this entry; try again later or at another entry"))]
    Full,
    /// The entry is stopping.
    #[snafu(display("the entry is stopping; send the request to another entry"))]
    Stopping,
}

/// How a request went at its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server answered.
    Succeeded,
    /// The server failed.
    Failed,
}

/// A message to the task.
enum Message {
    /// Asks for a permit.
    Ask(Requirements, oneshot::Sender<Result<Permit, Refusal>>),
    /// Tells what this entry may hold on a server, or that no more was granted.
    Granted(Arc<str>, Option<u64>),
    /// Ends a reservation.
    Release(ReservationKey),
    /// Tells how a request went.
    Report(Arc<Server>, Outcome),
}

/// Allows one request to be sent to a server; dropping it frees the memory.
#[derive(Debug)]
pub struct Permit {
    /// The server.
    pub server: Arc<Server>,
    key: ReservationKey,
    sender: mpsc::UnboundedSender<Message>,
}

impl Permit {
    /// Tells how the request went.
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

/// Asks the task for permits.
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
    /// Returns why the request was not admitted; it was not run.
    pub async fn acquire(&self, need: Requirements) -> Result<Permit, Refusal> {
        let span = telemetry::hop("queue");
        let (reply, answer) = oneshot::channel();
        let sent = self.sender.send(Message::Ask(need, reply)).await;
        sent.map_err(|_| Refusal::Stopping)?;
        let permit = answer.await.unwrap_or(Err(Refusal::Stopping))?;
        span.add_property(|| ("server", permit.server.name.to_string()));
        Ok(permit)
    }
}

/// What the task is started with.
#[derive(Debug)]
pub struct Dependencies<'a, S> {
    /// Checked settings.
    pub settings: &'a Settings,
    /// What this entry says of itself.
    pub identity: &'a Identity,
    /// The platform's store.
    pub store: S,
    /// Counts of admitted requests.
    pub admitted: Admissions,
    /// The entry's clock.
    pub clock: Clock,
    /// Backend servers that the entry knows of.
    pub directory: watch::Receiver<Arc<Directory>>,
    /// Cancelled when the entry stops.
    pub stop: CancellationToken,
}

/// Starts the task, and the one that asks the store for memory.
#[must_use]
pub fn start<S: Store>(start: Dependencies<'_, S>) -> Admission {
    let (sender, asks) = mpsc::channel(MAILBOX);
    let (releases, ended) = mpsc::unbounded_channel();
    let (demands, wanted) = mpsc::unbounded_channel();
    let task = Task {
        store: start.store,
        holder: holder(&start.identity.name, &start.identity.incarnation),
        reclaim_grace: start.settings.admission.reclaim_grace,
        clock: start.clock,
        absences: Absences::new(),
    };
    let granting = task.run(wanted, releases.clone());
    let channels = Channels {
        admitted: start.admitted,
        releases,
        demands,
    };
    let state = State::new(start.settings, channels);
    let serving = serve(state, start.clock, start.directory, asks, ended);
    let stop = start.stop;
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = serving => {}
            () = granting => {}
        }
    });
    Admission { sender }
}

/// Serves messages for ever.
async fn serve(
    mut state: State,
    clock: Clock,
    mut directory: watch::Receiver<Arc<Directory>>,
    mut asks: mpsc::Receiver<Message>,
    mut ended: mpsc::UnboundedReceiver<Message>,
) {
    let mut idle = tokio::time::interval(IDLE_INTERVAL);
    // What the directory held before the start is no change to wait for.
    let known = Arc::clone(&directory.borrow_and_update());
    state.set_directory(&known, clock.now());
    loop {
        let wake = state
            .next_deadline()
            .map(|deadline| clock.instant(deadline));
        tokio::select! {
            biased;
            Some(message) = ended.recv() => state.take(message, clock.now()),
            changed = directory.changed() => {
                if changed.is_err() {
                    return;
                }
                let directory = Arc::clone(&directory.borrow_and_update());
                state.set_directory(&directory, clock.now());
            }
            Some(message) = asks.recv() => state.take(message, clock.now()),
            _ = idle.tick() => state.tick(clock.now()),
            () = sleep_until(wake) => {}
        }
        state.refuse_late(clock.now());
    }
}

/// Waits until an instant, or for ever.
async fn sleep_until(instant: Option<tokio::time::Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
