//! Claims on callers' identifiers: what this entry holds, and its word to other entries.
//!
//! [`run`] makes a call under an identifier; [`sweep`] deletes the claims of identifiers that every
//! entry refuses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use medlarfall_coordination::claim::identifier::Window;
use medlarfall_coordination::claim::{Claimer, Ledger, Status};
use rand::Rng;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

use crate::configs::services::Services;
use crate::context::Context;
use crate::modules::peers::Identity;

mod cleanup;
pub mod run;
pub mod sweep;

/// Most ended calls that this entry remembers.
const LEDGER_CAPACITY: usize = 16_384;

/// Most bytes of answers that this entry remembers.
const LEDGER_BYTES: usize = 4 << 20;

/// Claims, over all entries, after which on average one entry looks for old ones: so the looks
/// grow with the claims and not with the entries.
const CLAIMS_PER_SWEEP: u32 = 500;

/// Most claims that are cleared up in the store at once; others are left to the sweep.
const CLEARING_LIMIT: usize = 256;

/// Claims of this entry.
#[derive(Debug)]
pub struct Claims {
    ledger: Mutex<Ledger>,
    ended: Notify,
    sweep_due: Notify,
    clearing: Arc<Semaphore>,
}

impl Claims {
    /// Returns the claims of an entry that has just started: none.
    #[must_use]
    pub fn new(identity: &Identity) -> Self {
        let ledger = Ledger::new(
            Arc::clone(&identity.name),
            Arc::clone(&identity.incarnation),
            LEDGER_CAPACITY,
            LEDGER_BYTES,
        );
        Self {
            ledger: Mutex::new(ledger),
            ended: Notify::new(),
            sweep_due: Notify::new(),
            clearing: Arc::new(Semaphore::new(CLEARING_LIMIT)),
        }
    }

    /// Returns this entry's word on a claim, waiting up to `wait` for a call to end; nothing if
    /// the claim is not of this incarnation.
    pub async fn wait(&self, claimer: &Claimer, wait: Duration) -> Option<Status> {
        let deadline = Instant::now() + wait;
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            let word = self.lock().status(claimer);
            let waiting = word == Some(Status::Running) && Instant::now() < deadline;
            if !waiting {
                return word;
            }
            let _ = tokio::time::timeout_at(deadline, ended).await;
        }
    }

    /// Opens a call.
    fn open(&self) -> Claimer {
        if rand::rng().random_ratio(1, CLAIMS_PER_SWEEP) {
            self.sweep_due.notify_one();
        }
        self.lock().open()
    }

    /// Closes a call with the word that is to be given on it.
    fn close(&self, sequence: u64, word: Status) {
        self.lock().close(sequence, word);
        self.ended.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the sweep, once the peers' port listens on `address`.
pub fn start(context: &Arc<Context>, address: SocketAddr) {
    let address = Arc::from(address.to_string());
    context.claims.lock().set_address(address);
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let store = &context.platform;
        let window = window(&context.settings.services);
        let due = &context.claims.sweep_due;
        tokio::select! {
            () = context.stop.cancelled() => {}
            () = sweep::keep_clear(store, window, &context.identity.name, due) => {}
        }
    });
}

/// Returns the window in which identifiers are good.
#[must_use]
pub fn window(settings: &Services) -> Window {
    Window {
        retention: settings.claim_retention,
        skew: settings.clock_skew,
    }
}
