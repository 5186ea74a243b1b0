//! An in-memory store with scripted faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use medlarfall_serving::platform::{Change, Changes, Error, Instance, Item, Lease, Listing, Store};
use tokio::sync::watch;

/// Fault of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// None: the call succeeds.
    Pass,
    /// The store is unavailable.
    Down,
    /// The call is lost before it takes effect.
    LostBefore,
    /// The call takes effect and its response is lost.
    LostAfter,
    /// The response is lost and the call takes effect 250 ms later.
    LostLate,
    /// A read returns the value before the last change; a write succeeds.
    Stale,
}

/// Delay of a write with [`Fault::LostLate`].
const LATE: Duration = Duration::from_millis(250);

/// Contents of the store.
#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    previous: BTreeMap<String, Option<Item>>,
    changes: Vec<Change>,
    calls: u64,
}

/// A handle of the store; each handle has its own script of faults.
#[derive(Clone, Debug)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    revision: Arc<watch::Sender<u64>>,
    script: Arc<Mutex<VecDeque<Fault>>>,
    down: Arc<watch::Sender<bool>>,
}

impl Memory {
    /// Returns an empty store without faults.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            revision: Arc::new(watch::Sender::new(0)),
            script: Arc::default(),
            down: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Returns a handle whose calls have the faults of `script`, and succeed after its end.
    pub fn with(&self, script: &[Fault]) -> Self {
        Self {
            script: Arc::new(Mutex::new(script.iter().copied().collect())),
            ..self.clone()
        }
    }

    /// Sets whether every call of every handle fails.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Returns the written values, oldest first.
    pub fn written(&self) -> Vec<String> {
        let state = self.lock();
        state
            .changes
            .iter()
            .filter_map(|change| change.value.clone())
            .collect()
    }

    /// Returns the number of calls.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the next fault of the script, or the error of a call that fails without effect.
    async fn enter(&self) -> Result<Fault, Error> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        self.lock().calls += 1;
        let mut script = self.script.lock().unwrap_or_else(PoisonError::into_inner);
        let reason = "injected fault".to_owned();
        match script.pop_front().unwrap_or(Fault::Pass) {
            _ if *self.down.borrow() => Err(Error::Unavailable { reason }),
            Fault::Down => Err(Error::Unavailable { reason }),
            Fault::LostBefore => Err(Error::Lost { reason }),
            fault => Ok(fault),
        }
    }

    fn write(&self, key: &str, value: Option<String>, expected: u64) -> Result<u64, Error> {
        let mut state = self.lock();
        let current = state.items.get(key).cloned();
        if current.as_ref().map_or(0, |item| item.revision) != expected {
            return Err(Error::Conflict { current });
        }
        state.revision += 1;
        let revision = state.revision;
        let item = value.clone().map(|value| Item {
            key: key.to_owned(),
            value,
            revision,
        });
        match item {
            Some(item) => state.items.insert(key.to_owned(), item),
            None => state.items.remove(key),
        };
        state.previous.insert(key.to_owned(), current);
        state.changes.push(Change {
            key: key.to_owned(),
            value,
            revision,
        });
        self.revision.send_replace(revision);
        Ok(revision)
    }

    async fn change(&self, key: &str, value: Option<String>, expected: u64) -> Result<u64, Error> {
        let lost = Err(Error::Lost {
            reason: "injected fault".to_owned(),
        });
        match self.enter().await? {
            Fault::LostAfter => {
                let _ = self.write(key, value, expected);
                lost
            }
            Fault::LostLate => {
                let (store, key) = (self.clone(), key.to_owned());
                tokio::spawn(async move {
                    tokio::time::sleep(LATE).await;
                    let _ = store.write(&key, value, expected);
                });
                lost
            }
            _ => self.write(key, value, expected),
        }
    }

    /// Returns the current item of a key, or the previous one if the fault is [`Fault::Stale`].
    fn item(state: &State, key: &str, fault: Fault) -> Option<Item> {
        match state.previous.get(key) {
            Some(previous) if fault == Fault::Stale => previous.clone(),
            _ => state.items.get(key).cloned(),
        }
    }
}

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        let fault = self.enter().await?;
        Ok(Self::item(&self.lock(), key, fault))
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: u64,
        _: Option<Lease>,
    ) -> Result<u64, Error> {
        self.change(key, Some(value), expected).await
    }

    async fn delete(&self, key: &str, expected: u64) -> Result<u64, Error> {
        self.change(key, None, expected).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let fault = self.enter().await?;
        let state = self.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        Ok(Listing {
            items: keys
                .filter_map(|key| Self::item(&state, key, fault))
                .collect(),
            revision: state.revision,
            era: 0,
        })
    }

    async fn watch(&self, prefix: &str, after: u64, timeout: Duration) -> Result<Changes, Error> {
        self.enter().await?;
        let mut revision = self.revision.subscribe();
        let mut down = self.down.subscribe();
        tokio::select! {
            _ = tokio::time::timeout(timeout, revision.wait_for(|revision| *revision > after)) => {}
            _ = down.wait_for(|down| *down) => {
                return Err(Error::Lost { reason: "injected fault".to_owned() });
            }
        }
        let state = self.lock();
        let newer = |change: &&Change| change.revision > after && change.key.starts_with(prefix);
        Ok(Changes {
            changes: state.changes.iter().filter(newer).cloned().collect(),
            revision: state.revision,
            era: 0,
        })
    }

    async fn grant(&self, _: Duration) -> Result<Lease, Error> {
        Err(Error::LeaseEnded)
    }

    async fn renew(&self, _: Lease) -> Result<(), Error> {
        Err(Error::LeaseEnded)
    }

    async fn revoke(&self, _: Lease) -> Result<(), Error> {
        Err(Error::LeaseEnded)
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.enter().await?;
        Ok(Vec::new())
    }
}
