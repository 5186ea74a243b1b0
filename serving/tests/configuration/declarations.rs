//! Declarations in force while the store is unavailable, is outdated or has lost keys.

use std::time::Duration;

use medlarfall_schema::declaration::Service;
use medlarfall_serving::configs::platform::Platform;
use medlarfall_serving::modules::declarations::{self, DeclarationReplica, PREFIX, Source};
use medlarfall_serving::modules::metrics::{Metrics, Refusal};
use medlarfall_serving::modules::replication::ReaderRole;
use medlarfall_serving::platform::Store;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::memory::{Fault, Memory};

/// Longest time until a change must be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// A running task that reads declarations from the store.
struct Reader {
    replica: DeclarationReplica,
    role: watch::Sender<ReaderRole>,
    metrics: Metrics,
    _stop: DropGuard,
}

impl Reader {
    fn start(store: Memory, role: ReaderRole) -> Self {
        let stop = CancellationToken::new();
        let reader = Self {
            replica: DeclarationReplica::default(),
            role: watch::Sender::new(role),
            metrics: Metrics::new(),
            _stop: stop.clone().drop_guard(),
        };
        let source = Source {
            store,
            settings: Platform::new(([127, 0, 0, 1], 1).into()),
            reader_role: reader.role.subscribe(),
            refusals: reader.metrics.store_refusals.clone(),
        };
        let replica = reader.replica.clone();
        declarations::start(source, replica, stop);
        reader
    }

    fn rejected(&self, reason: &'static str) -> u64 {
        let refusals = &self.metrics.store_refusals;
        refusals.get_or_create(&Refusal { reason }).get()
    }

    fn revision(&self) -> u64 {
        self.replica.revision("briefs").unwrap_or_default()
    }

    async fn expect_revision(&self, revision: u64) {
        let mut view = self.replica.view();
        let reached =
            view.wait_for(|declarations| declarations.revision("briefs") >= Some(revision));
        let reached = tokio::time::timeout(IN_FORCE_LIMIT, reached).await;
        assert!(reached.is_ok(), "revision {revision} is not in force");
    }
}

/// Writes a declaration without the checks of an operator's change, as after a loss of data.
async fn write(store: &Memory, revision: u64, deleted: bool) {
    let key = format!("{PREFIX}briefs");
    let item = store.get(&key).await.expect("a read");
    let service = Service {
        name: "briefs".to_owned(),
        version: format!("v{revision}"),
        revision,
        deleted,
        ..Service::default()
    };
    let value = serde_json::to_string(&service).expect("a value");
    let expected = item.map_or(0, |item| item.revision);
    store
        .put(&key, value, expected, None)
        .await
        .expect("a write");
}

#[tokio::test(start_paused = true)]
async fn a_newer_revision_comes_into_force_and_an_older_one_never() {
    let store = Memory::new();
    let reader = Reader::start(store.clone(), ReaderRole::Primary);
    write(&store, 1, false).await;
    reader.expect_revision(1).await;
    write(&store, 5, false).await;
    reader.expect_revision(5).await;
    write(&store, 3, false).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(reader.revision(), 5);
    assert!(reader.rejected("older") > 0);
}

#[tokio::test(start_paused = true)]
async fn an_outdated_first_list_is_corrected_by_a_later_one() {
    let store = Memory::new();
    write(&store, 1, false).await;
    write(&store, 2, false).await;
    let reader = Reader::start(store.with(&[Fault::Stale]), ReaderRole::Primary);
    reader.expect_revision(2).await;
}

#[tokio::test(start_paused = true)]
async fn a_missing_key_is_reported_and_a_deletion_is_applied() {
    let store = Memory::new();
    let reader = Reader::start(store.clone(), ReaderRole::Primary);
    write(&store, 1, false).await;
    reader.expect_revision(1).await;
    let key = format!("{PREFIX}briefs");
    let item = store.get(&key).await.expect("a read").expect("an item");
    store.delete(&key, item.revision).await.expect("a delete");
    sleep(Duration::from_secs(5)).await;
    assert!(reader.replica.view().borrow().service("briefs").is_some());
    assert!(reader.rejected("missing") > 0);
    write(&store, 2, true).await;
    reader.expect_revision(2).await;
    let declarations = reader.replica.view().borrow().clone();
    assert!(declarations.service("briefs").is_none());
    assert!(declarations.deleted.contains_key("briefs"));
}

#[tokio::test(start_paused = true)]
async fn declarations_are_kept_in_an_outage_and_updated_after_it() {
    let store = Memory::new();
    let reader = Reader::start(store.clone(), ReaderRole::Primary);
    write(&store, 1, false).await;
    reader.expect_revision(1).await;
    store.set_down(true);
    sleep(Duration::from_mins(10)).await;
    assert_eq!(reader.revision(), 1);
    assert!(!reader.replica.view().borrow().store_reachable);
    let calls = store.calls();
    sleep(Duration::from_mins(1)).await;
    assert!(
        store.calls() - calls <= 61,
        "calls in a minute of outage: {}",
        store.calls() - calls
    );
    store.set_down(false);
    write(&store, 2, false).await;
    // The longest retry pause is 2 s, with a jitter of half of it.
    sleep(Duration::from_secs(3)).await;
    reader.expect_revision(2).await;
    assert!(reader.replica.view().borrow().store_reachable);
}

#[tokio::test(start_paused = true)]
async fn an_entry_without_peers_is_not_loaded_in_an_outage() {
    let store = Memory::new();
    store.set_down(true);
    let reader = Reader::start(store.clone(), ReaderRole::Primary);
    sleep(Duration::from_secs(30)).await;
    assert!(!reader.replica.view().borrow().loaded);
    store.set_down(false);
    sleep(Duration::from_secs(4)).await;
    assert!(reader.replica.view().borrow().loaded);
}

#[tokio::test(start_paused = true)]
async fn a_polling_entry_makes_few_calls_until_it_becomes_primary() {
    let store = Memory::new();
    write(&store, 1, false).await;
    let before = store.calls();
    let interval = Duration::from_mins(1);
    let reader = Reader::start(store.clone(), ReaderRole::Poll(interval));
    reader.expect_revision(1).await;
    let started = Instant::now();
    sleep(Duration::from_mins(10)).await;
    let calls = store.calls() - before;
    assert!(calls <= 11, "{calls} calls in {:?}", started.elapsed());
    reader.role.send_replace(ReaderRole::Primary);
    write(&store, 2, false).await;
    reader.expect_revision(2).await;
}

#[test]
fn records_from_before_a_subscription_count_as_a_change() {
    let replica = DeclarationReplica::default();
    let service = Service {
        name: "briefs".to_owned(),
        revision: 1,
        ..Service::default()
    };
    replica.offer(declarations::record(service));
    let view = replica.view();
    assert_eq!(view.has_changed().ok(), Some(true));
}
