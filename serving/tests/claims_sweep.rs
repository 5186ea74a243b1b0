//! The sweep of expired claims, against an in-memory store whose calls may fail.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use medlarfall_coordination::claim::identifier::{self, Window};
use medlarfall_serving::modules::claims::sweep::sweep;
use medlarfall_serving::platform::{Changes, Error, Instance, Item, Lease, Listing, Store};

const WINDOW: Window = Window {
    retention: Duration::from_hours(1),
    skew: Duration::from_mins(1),
};
const NOW: Duration = Duration::from_hours(500_000);

/// An in-memory store whose calls fail after a given number.
#[derive(Clone, Debug, Default)]
struct Memory {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    leased: BTreeMap<String, Lease>,
    revision: u64,
    calls: usize,
    fails_after: Option<usize>,
}

impl Memory {
    fn call(&self) -> Result<MutexGuard<'_, State>, Error> {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        state.calls += 1;
        if state.fails_after.is_some_and(|calls| state.calls > calls) {
            let reason = "injected fault".to_owned();
            return Err(Error::Unavailable { reason });
        }
        Ok(state)
    }

    fn claims(&self) -> usize {
        let state = self.state.lock().expect("the lock is not poisoned");
        let keys = state.items.keys();
        keys.filter(|key| key.starts_with(identifier::PREFIX))
            .count()
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().expect("the lock is not poisoned"));
    }
}

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        Ok(self.call()?.items.get(key).cloned())
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: u64,
        lease: Option<Lease>,
    ) -> Result<u64, Error> {
        let mut state = self.call()?;
        let current = state.items.get(key).cloned();
        if current.as_ref().map_or(0, |item| item.revision) != expected {
            return Err(Error::Conflict { current });
        }
        state.revision += 1;
        let item = Item {
            key: key.to_owned(),
            value,
            revision: state.revision,
        };
        state.items.insert(key.to_owned(), item);
        if let Some(lease) = lease {
            state.leased.insert(key.to_owned(), lease);
        }
        Ok(state.revision)
    }

    async fn delete(&self, key: &str, expected: u64) -> Result<u64, Error> {
        let mut state = self.call()?;
        let current = state.items.get(key).cloned();
        if current.as_ref().map_or(0, |item| item.revision) != expected {
            return Err(Error::Conflict { current });
        }
        state.items.remove(key);
        state.revision += 1;
        Ok(state.revision)
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let state = self.call()?;
        let items = state.items.values();
        let items = items.filter(|item| item.key.starts_with(prefix)).cloned();
        Ok(Listing {
            items: items.collect(),
            revision: state.revision,
            era: 0,
        })
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Changes, Error> {
        Ok(Changes::default())
    }

    async fn grant(&self, _: Duration) -> Result<Lease, Error> {
        let state = self.call()?;
        Ok(Lease(state.revision + 1))
    }

    async fn renew(&self, _: Lease) -> Result<(), Error> {
        self.call().map(drop)
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let mut state = self.call()?;
        let keys: Vec<String> = state
            .leased
            .iter()
            .filter(|(_, key_lease)| **key_lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            state.items.remove(&key);
            state.leased.remove(&key);
        }
        Ok(())
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        Ok(Vec::new())
    }
}

/// Stores a claim that was made `age` ago.
async fn claim(store: &Memory, age: Duration) {
    let bucket = identifier::bucket(NOW.saturating_sub(age));
    let key = format!("{}{}", identifier::prefix(bucket), age.as_secs());
    let written = store.put(&key, "{}".to_owned(), 0, None).await;
    written.expect("the claim is written");
}

/// Returns a store with four claims, one of which has not expired, and a cursor older than all of
/// them.
async fn store_with_claims() -> Memory {
    let store = Memory::default();
    let before = NOW.saturating_sub(Duration::from_mins(30));
    sweep(&store, WINDOW, before, "entry-0")
        .await
        .expect("the cursor is written");
    for minutes in [63, 70, 80] {
        claim(&store, Duration::from_mins(minutes)).await;
    }
    claim(&store, Duration::from_mins(61)).await;
    store
}

#[tokio::test(start_paused = true)]
async fn only_expired_claims_are_swept() {
    let store = store_with_claims().await;
    sweep(&store, WINDOW, NOW, "entry-0")
        .await
        .expect("the sweep succeeds");
    assert_eq!(store.claims(), 1);
    let later = NOW + Duration::from_mins(10);
    sweep(&store, WINDOW, later, "entry-1")
        .await
        .expect("the sweep succeeds");
    assert_eq!(store.claims(), 0);
}

#[tokio::test(start_paused = true)]
async fn only_one_entry_sweeps_at_a_time() {
    let store = store_with_claims().await;
    let lease = store.grant(Duration::from_secs(30)).await.expect("a lease");
    let written = store
        .put("claims-sweeper", "entry-1".to_owned(), 0, Some(lease))
        .await;
    written.expect("the sweeper's key is written");
    sweep(&store, WINDOW, NOW, "entry-0")
        .await
        .expect("the sweep is skipped");
    assert_eq!(store.claims(), 4);
    store.revoke(lease).await.expect("the lease is revoked");
    sweep(&store, WINDOW, NOW, "entry-0")
        .await
        .expect("the sweep succeeds");
    assert_eq!(store.claims(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_failed_sweep_is_completed_by_the_next() {
    for calls in 0..60 {
        let store = store_with_claims().await;
        store.change(|state| state.fails_after = Some(state.calls + calls));
        let _ = sweep(&store, WINDOW, NOW, "entry-0").await;
        store.change(|state| {
            state.fails_after = None;
            // The lease of the failed sweeper has expired.
            state.items.remove("claims-sweeper");
        });
        sweep(&store, WINDOW, NOW, "entry-1")
            .await
            .expect("the sweep succeeds");
        assert_eq!(store.claims(), 1, "after {calls} calls");
    }
}
