//! Admission: which backend server takes a request, and when.
//!
//! One task owns what this entry has reserved on every server, the queue of requests that wait and
//! the record of servers that fail. A request is sent only with a [`Permit`], which holds its memory
//! on the server until it is dropped.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::memory::ReservationKey;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::backend::Server;
use crate::clock::Clock;
use crate::configs::Settings;
use crate::modules::directory::Directory;

mod desk;
mod pool;

/// Messages that may wait for the task.
const MAILBOX: usize = 1_024;

/// What a request needs of a backend server.
#[derive(Clone, Debug)]
pub struct Need {
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
    Answered,
    /// The server failed.
    Failed,
}

/// A message to the task.
enum Message {
    /// Asks for a permit.
    Ask(Need, oneshot::Sender<Result<Permit, Refusal>>),
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
    pub async fn ask(&self, need: Need) -> Result<Permit, Refusal> {
        let (reply, answer) = oneshot::channel();
        let sent = self.sender.send(Message::Ask(need, reply)).await;
        sent.map_err(|_| Refusal::Stopping)?;
        answer.await.unwrap_or(Err(Refusal::Stopping))
    }
}

/// Starts the task.
#[must_use]
pub fn start(
    settings: &Settings,
    clock: Clock,
    mut directory: watch::Receiver<Arc<Directory>>,
    stop: CancellationToken,
) -> Admission {
    let (sender, mut asks) = mpsc::channel(MAILBOX);
    let (releases, mut ended) = mpsc::unbounded_channel();
    let mut desk = desk::Desk::new(settings, releases);
    tokio::spawn(async move {
        loop {
            let wake = desk.next_deadline().map(|deadline| clock.instant(deadline));
            tokio::select! {
                biased;
                () = stop.cancelled() => return,
                Some(message) = ended.recv() => desk.take(message, clock.now()),
                changed = directory.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let directory = Arc::clone(&directory.borrow_and_update());
                    desk.set_directory(&directory, clock.now());
                }
                Some(message) = asks.recv() => desk.take(message, clock.now()),
                () = sleep_until(wake) => {}
            }
            desk.refuse_late(clock.now());
        }
    });
    Admission { sender }
}

/// Waits until an instant, or for ever.
async fn sleep_until(instant: Option<tokio::time::Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
