//! Orders to backend servers.
//!
//! An order is given by the holder of the server's lock in the store. The revision of the lock is the
//! order's fencing number, by which a server can refuse the orders of earlier holders.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::fencing::{Action, Answer, Ending, Holder, Outcome};
use snafu::Snafu;
use uuid::Uuid;

use crate::backend::{self, Engine, Order, OrderResponse, OrderState, Server};
use crate::clock::Clock;
use crate::configs::orders::Orders;
use crate::platform::{self, Lease, Store};

/// Prefix of the keys of the locks, one for each backend server.
const PREFIX: &str = "orders/";

/// Pause between two requests for a lock that was not acquired.
const LOCK_PAUSE: Duration = Duration::from_millis(250);

/// The state that a server is ordered into; absent values stay unchanged.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Desired {
    /// Versions to be loaded.
    pub versions: Option<BTreeSet<String>>,
    /// Role of the server.
    pub role: Option<String>,
    /// Whether the server accepts no new work.
    pub drain: Option<bool>,
}

impl Desired {
    /// Returns whether a server is in this state.
    #[must_use]
    pub fn matches(&self, state: &OrderState) -> bool {
        let versions = self.versions.as_ref();
        let role = self.role.as_ref();
        versions.is_none_or(|versions| *versions == state.versions)
            && role.is_none_or(|role| *role == state.role)
            && self.drain.is_none_or(|drain| drain == state.draining)
    }
}

/// Why a server did not reach the ordered state.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// A later holder of the lock has given an order.
    #[snafu(display(
        "`{server}` has obeyed a newer order: look at its state, then order again if you still want to"
    ))]
    Superseded {
        /// Name of the server.
        server: Arc<str>,
    },
    /// The lock could not be acquired in time.
    #[snafu(display(
        "the lock of `{server}` could not be had: {reason}; order again when the platform is back or the other holder is done"
    ))]
    NoLock {
        /// Name of the server.
        server: Arc<str>,
        /// Cause of the failure.
        reason: String,
    },
    /// The server is not known to have reached the state.
    #[snafu(display(
        "`{server}` did not come to be in the ordered state: {reason}; look at the server, then order again"
    ))]
    Failed {
        /// Name of the server.
        server: Arc<str>,
        /// Cause of the last failure.
        reason: String,
    },
}

/// What is needed to give orders to a server.
#[derive(Clone, Debug)]
pub struct Dependencies<S, E> {
    /// The platform's store.
    pub store: S,
    /// The client of the servers.
    pub engine: E,
    /// The entry's clock.
    pub clock: Clock,
    /// Limits of time and attempts.
    pub settings: Orders,
}

/// One order in progress.
struct Task<'a, S, E> {
    dependencies: &'a Dependencies<S, E>,
    server: &'a Server,
    desired: &'a Desired,
    token: String,
    lease: Option<Lease>,
    holder: Holder,
    reason: String,
}

/// Gives an order and returns the state that the server has reached.
///
/// `enforced` says whether the server refuses outdated fencing numbers. The lock is requested
/// repeatedly until `lock_timeout` has passed, at least once.
///
/// # Errors
///
/// Returns why the server is not known to have reached the state.
pub async fn execute<S: Store, E: Engine>(
    dependencies: &Dependencies<S, E>,
    server: &Server,
    desired: &Desired,
    enforced: bool,
    lock_timeout: Duration,
) -> Result<OrderState, Error> {
    let mut task = Task {
        dependencies,
        server,
        desired,
        token: Uuid::now_v7().to_string(),
        lease: None,
        holder: Holder::new(dependencies.settings.policy, enforced),
        reason: "no order was sent".to_owned(),
    };
    let deadline = dependencies.clock.now() + lock_timeout;
    let ending = task.run(deadline).await?;
    let state = task.end(ending.outcome).await;
    if ending.release {
        task.release().await;
    }
    state
}

impl<S: Store, E: Engine> Task<'_, S, E> {
    /// Carries out the holder's actions until it has ended.
    async fn run(&mut self, deadline: Duration) -> Result<Ending, Error> {
        loop {
            let now = self.dependencies.clock.now();
            match self.holder.next(now) {
                Action::Acquire => self.acquire(deadline).await?,
                Action::Wait { until } => {
                    tokio::time::sleep_until(self.dependencies.clock.instant(until)).await;
                }
                Action::Read => {
                    let state = self.state().await;
                    let in_state = state.map(|state| self.desired.matches(&state));
                    self.holder.record_read(in_state);
                }
                Action::Order { fencing } => {
                    let answer = self.order(fencing).await;
                    self.holder
                        .record_answer(self.dependencies.clock.now(), answer);
                }
                Action::End(ending) => return Ok(ending),
            }
        }
    }

    /// Requests the lock once; pauses if it was not acquired, or returns an error after the deadline.
    async fn acquire(&mut self, deadline: Duration) -> Result<(), Error> {
        match self.lock().await {
            Ok((fencing, until)) => {
                self.holder
                    .record_acquired(self.dependencies.clock.now(), fencing, until);
                Ok(())
            }
            Err(reason) if self.dependencies.clock.now() >= deadline => Err(Error::NoLock {
                server: Arc::clone(&self.server.name),
                reason,
            }),
            Err(_) => {
                tokio::time::sleep(LOCK_PAUSE).await;
                Ok(())
            }
        }
    }

    /// Requests the lock; returns its revision and the time until which its lease is valid at least.
    async fn lock(&mut self) -> Result<(u64, Duration), String> {
        let requested_at = self.dependencies.clock.now();
        let key = format!("{PREFIX}{}", self.server.name);
        let duration = self.dependencies.settings.lease();
        let lease = self.dependencies.store.grant(duration).await;
        let lease = lease.map_err(|error| error.to_string())?;
        let put = self
            .dependencies
            .store
            .put(&key, self.token.clone(), 0, Some(lease))
            .await;
        let fencing = match put {
            Ok(fencing) => Ok(fencing),
            Err(platform::Error::Lost { reason }) => {
                self.own_lock_revision(&key).await.ok_or(reason)
            }
            Err(platform::Error::Conflict { .. }) => Err("another holds it".to_owned()),
            Err(error) => Err(error.to_string()),
        };
        match fencing {
            Ok(fencing) => {
                self.lease = Some(lease);
                Ok((fencing, requested_at + duration))
            }
            Err(reason) => {
                // A lease that cannot be revoked expires.
                let _ = self.dependencies.store.revoke(lease).await;
                Err(reason)
            }
        }
    }

    /// Reads the lock after a lost answer; returns its revision if this holder has it.
    async fn own_lock_revision(&self, key: &str) -> Option<u64> {
        let item = self.dependencies.store.get(key).await.ok()??;
        (item.value == self.token).then_some(item.revision)
    }

    /// Reads the state of the server, or nothing if it cannot be read.
    async fn state(&mut self) -> Option<OrderState> {
        let timeout = self.dependencies.settings.policy.order_timeout;
        let read = self.dependencies.engine.order_state(self.server);
        match tokio::time::timeout(timeout, read).await {
            Ok(Ok(state)) => Some(state),
            Ok(Err(error)) => {
                self.reason = format!("its state cannot be read: {error}");
                None
            }
            Err(_) => {
                "its state was not told in time".clone_into(&mut self.reason);
                None
            }
        }
    }

    /// Sends the order.
    async fn order(&mut self, fencing: u64) -> Answer {
        let order = Order {
            fencing,
            versions: self.desired.versions.clone(),
            role: self.desired.role.clone(),
            drain: self.desired.drain,
        };
        let timeout = self.dependencies.settings.policy.order_timeout;
        let sent = self.dependencies.engine.order(self.server, &order);
        match tokio::time::timeout(timeout, sent).await {
            Ok(Ok(OrderResponse::Done(_))) => Answer::Done,
            Ok(Ok(OrderResponse::Fenced)) => Answer::Fenced,
            Ok(Err(backend::Error::NotRun { reason })) => {
                self.reason = reason;
                Answer::NotRun
            }
            Ok(Err(backend::Error::Lost { reason })) => {
                self.reason = reason;
                Answer::Lost
            }
            Err(_) => {
                "it did not answer in time".clone_into(&mut self.reason);
                Answer::Lost
            }
        }
    }

    /// Releases the lock.
    async fn release(&mut self) {
        if let Some(lease) = self.lease.take() {
            // A lease that cannot be revoked expires.
            let _ = self.dependencies.store.revoke(lease).await;
        }
    }

    /// Returns the result of the order.
    async fn end(&mut self, outcome: Outcome) -> Result<OrderState, Error> {
        let server = Arc::clone(&self.server.name);
        let state = match outcome {
            Outcome::Achieved => self.state().await,
            Outcome::Superseded => return Err(Error::Superseded { server }),
            Outcome::Failed => None,
        };
        state.ok_or_else(|| Error::Failed {
            server,
            reason: self.reason.clone(),
        })
    }
}
