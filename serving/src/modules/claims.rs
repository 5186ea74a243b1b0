//! Claims on callers' identifiers, which make calls to plain services run at most once.
//!
//! [`Claims`] records the claims of this entry and reports their status to other entries. [`run`]
//! makes a call under an identifier; `cleanup` updates the store once a call has ended; [`sweep`]
//! deletes the claims of identifiers that have expired at every entry.

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

/// Maximum number of ended calls whose status this entry keeps.
const LEDGER_CAPACITY: usize = 16_384;

/// Maximum total size of the answers that this entry keeps, in bytes.
const LEDGER_BYTES: usize = 4 << 20;

/// Average number of claims, over all entries, per sweep. Sweeps are triggered by claims so that
/// their number does not grow with the number of entries.
const CLAIMS_PER_SWEEP: u32 = 500;

/// Maximum number of concurrent cleanups; claims of calls that end beyond it are left to the sweep.
const CONCURRENT_CLEANUPS: usize = 256;

/// Claims of this entry.
#[derive(Debug)]
pub struct Claims {
    ledger: Mutex<Ledger>,
    ended: Notify,
    sweep_due: Notify,
    cleanups: Arc<Semaphore>,
}

impl Claims {
    /// Returns an empty set of claims for a newly started entry.
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
            cleanups: Arc::new(Semaphore::new(CONCURRENT_CLEANUPS)),
        }
    }

    /// Returns the status of a claim of this entry; waits up to `wait` while its call is running.
    /// Returns nothing if the claim was not made by this incarnation of the entry.
    pub async fn wait(&self, claimer: &Claimer, wait: Duration) -> Option<Status> {
        let deadline = Instant::now() + wait;
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            let status = self.lock().status(claimer);
            let waiting = status == Some(Status::Running) && Instant::now() < deadline;
            if !waiting {
                return status;
            }
            let _ = tokio::time::timeout_at(deadline, ended).await;
        }
    }

    /// Records the start of a call and returns the claimer that identifies it.
    fn open(&self) -> Claimer {
        if rand::rng().random_ratio(1, CLAIMS_PER_SWEEP) {
            self.sweep_due.notify_one();
        }
        self.lock().open()
    }

    /// Records the end of a call with the status that is reported for it.
    fn close(&self, sequence: u64, status: Status) {
        self.lock().close(sequence, status);
        self.ended.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the sweep task; `address` is the peers' port, which claims of this entry contain.
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
            () = sweep::run_when_due(store, window, &context.identity.name, due) => {}
        }
    });
}

/// Returns the window in which identifiers are valid.
#[must_use]
pub fn window(settings: &Services) -> Window {
    Window {
        retention: settings.claim_retention,
        skew: settings.clock_skew,
    }
}
