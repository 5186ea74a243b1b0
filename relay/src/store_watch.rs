//! Watches configuration, servers, moves and peers in the store.
//!
//! Lists all keys once, then watches them with long polls. Nothing that is known is dropped while
//! the store is unavailable. Each watch is bounded in time, since a connection can fall silent
//! without an error; the store's client opens a new connection after a call without a response.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, timeout, timeout_at};

use medlarfall_coordination::canary::Order;
use medlarfall_coordination::history::Revision;
use medlarfall_coordination::propagation::Budget;
use medlarfall_coordination::reader_election::{member_retry_pause, retry_pause};
use medlarfall_coordination::store_outage::{Detector, Outcome, State};
use medlarfall_runtime::store::{Change, Changes, Error, Listing, Store};

use crate::codec::{Codec, Record};
use crate::duty;
use crate::metrics::StoreCall;
use crate::quarantine;
use crate::registration;
use crate::state::Relay;

/// Time that a watch waits for changes while it is not known whether the store responds. The era of a store
/// that was restored and has the known revision again appears only in the response.
const FIRST_WATCH_TIME: Duration = Duration::from_millis(20);

/// Time that a call may take on top of its own wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// The same while the store is known not to respond: it may be slow.
const SLOW_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Additional time for a list of all keys: a configuration with a thousand routes takes half a megabyte,
/// and several entries may read it at once after all were restarted.
const LIST_TIME: Duration = Duration::from_secs(3);

/// Time that the response to a list or a watch may take beyond its limit as long as it arrives.
const TRANSFER_TIME: Duration = Duration::from_secs(10);

/// Largest registration of a server, in bytes.
const REGISTRATION_LIMIT: usize = 16 << 10;

/// Time between two checks whether this entry has to read the store.
const READER_CHECK: Duration = Duration::from_millis(50);

/// Pause after a response, so that the next one carries several changes: servers that fail together
/// are restarted together, and each store call has a cost.
const COALESCE: Duration = Duration::from_millis(120);

/// Time limits of a watch.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// Time that the store may wait for a change.
    wait: Duration,
    /// Time that its response may take in addition.
    response: Duration,
}

impl Limits {
    /// Returns the limits of the next watch. `delay` is the time by which the last response was late.
    fn of(state: State, reads_store: bool, budget: &Budget, delay: Duration) -> Self {
        let wait = match state {
            State::Available if reads_store => budget.confirmation().saturating_sub(COALESCE),
            _ => FIRST_WATCH_TIME,
        };
        let response = match state {
            // Others step in for a reader whose watch is overdue, unless the store is as slow to all.
            State::Available => (delay * 2)
                .max(budget.overdue())
                .min(RESPONSE_TIMEOUT.max(budget.overdue())),
            // A live store answers a new connection at once.
            State::Unconfirmed => RESPONSE_TIMEOUT,
            State::Unavailable => SLOW_RESPONSE_TIMEOUT,
        };
        Self { wait, response }
    }
}

/// Position of this entry in the store's history.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Position {
    /// Nothing has been read.
    Unknown,
    /// The store no longer has the changes after the last known revision: its history was compacted, or it
    /// was restored.
    Gone,
    /// All changes up to this revision are known.
    At(Revision),
}

impl Position {
    /// Returns the later one of this position and a revision up to which all changes are known.
    fn at_least(self, revision: Revision) -> Self {
        match self {
            Self::At(position) => Self::At(position.max(revision)),
            Self::Unknown if revision.number > 0 => Self::At(revision),
            Self::Unknown | Self::Gone => self,
        }
    }
}

/// Watches the store until the task is aborted.
pub async fn run<C: Codec, S: Store>(relay: Arc<Relay<C>>, store: S) {
    let mut position = Position::Unknown;
    let mut last_available = None;
    let mut detector = Detector::default();
    let mut contacts_known = relay.settings.peer_address.is_none();
    let mut failures = 0_u32;
    let mut delay = Duration::ZERO;
    loop {
        if !contacts_known && relay.changelog(|changelog| changelog.revision().number) == 0 {
            contacts_known = read_contacts(&relay, &store).await;
            if !contacts_known {
                failures = failures.saturating_add(1);
                tokio::time::sleep(jittered(retry_pause(failures, false))).await;
                continue;
            }
        }
        if !relay.must_read() {
            relay.reads_store.store(false, Ordering::Relaxed);
            // An outage begins with calls of this entry's own that are lost.
            if relay.hub_store_available() {
                relay.set_store_available(true);
            }
            tokio::time::sleep(READER_CHECK).await;
            continue;
        }
        // Peers may have sent changes that this entry has not read itself.
        position = position.at_least(relay.changelog(|changelog| changelog.revision()));
        let reads_store = relay.reads_store.load(Ordering::Relaxed);
        let budget = &relay.settings.propagation;
        let limits = Limits::of(detector.state(), reads_store, budget, delay);
        let began = relay.clock.now();
        let step = step(&relay, &store, position, limits).await;
        let took = relay.clock.now().saturating_sub(began);
        if step.is_ok() && took > limits.wait {
            delay = took.saturating_sub(limits.wait);
        }
        let outcome = outcome(&step);
        let state = detector.record(outcome, relay.clock.now());
        let (next, reason) = match step {
            Ok(next) => (next, None),
            Err(Error::HistoryGone) => (Position::Gone, None),
            Err(error) => (position, Some(error.to_string())),
        };
        position = next;
        let reason = reason.as_deref().unwrap_or("");
        if state == State::Unconfirmed {
            // The others step in unless the next call confirms soon that this entry has all changes.
            if relay.reads_store.swap(false, Ordering::Relaxed) {
                relay.streams_changed.notify_one();
            }
            log::info!(dependency = "store", reason; "call to the store lost; another one follows on a new connection");
            tokio::time::sleep(jittered(retry_pause(1, false))).await;
            continue;
        }
        let available = state == State::Available;
        // If the store refuses only this entry, it counts as available through the others.
        let others_read = relay.others_read();
        relay.set_store_available(available || others_read);
        relay.reads_store.store(available, Ordering::Relaxed);
        if last_available != Some(available) {
            record_store_state(&relay, available, reason);
            last_available = Some(available);
        }
        if available {
            relay.confirm_servers();
            failures = 0;
            relay.streams_changed.notify_one();
            tokio::time::sleep(COALESCE).await;
        } else {
            failures = failures.saturating_add(1);
            // An entry that knows the store up to a revision has hubs that tell it when the store is back.
            let informed = relay.changelog(|changelog| changelog.revision().number) > 0;
            let member = relay.settings.peer_address.is_some() && !relay.is_hub();
            let pause = if member && informed {
                member_retry_pause(failures)
            } else {
                retry_pause(failures, others_read)
            };
            tokio::time::sleep(jittered(pause)).await;
        }
    }
}

/// Shortens a pause at random, so that entries do not retry at the same moment.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..=1.0))
}

/// Reads the contacts of an entry that starts, which gets all else from its hubs. A list of all keys for
/// each of hundreds of entries that start at once would take the store's link for seconds. Returns
/// whether the store answered.
async fn read_contacts<C: Codec, S: Store>(relay: &Relay<C>, store: &S) -> bool {
    relay.metrics.count_store_call(StoreCall::CachedList);
    let prefix = relay.codec.entry_key("");
    let listing = with_timeout(Duration::ZERO, store.list_cached(&prefix)).await;
    match listing {
        Ok(listing) => {
            for item in listing.items {
                apply(relay, listing.era, &item.into());
            }
            relay.streams_changed.notify_one();
            true
        }
        Err(error) => {
            log::info!(reason = error.to_string().as_str(); "contacts not read from the store");
            false
        }
    }
}

/// Returns what a call says of the store.
fn outcome<T>(step: &Result<T, Error>) -> Outcome {
    match step {
        Ok(_) | Err(Error::HistoryGone) => Outcome::Answered,
        Err(Error::Lost { .. }) => Outcome::Lost,
        Err(_) => Outcome::Refused,
    }
}

fn record_store_state<C: Codec>(relay: &Relay<C>, available: bool, reason: &str) {
    relay.metrics.store_up.set(i64::from(available));
    if available {
        log::info!(dependency = "store"; "store available");
    } else {
        log::warn!(dependency = "store", reason; "store unavailable");
    }
}

/// Makes one store call and applies the returned changes.
async fn step<C: Codec, S: Store>(
    relay: &Relay<C>,
    store: &S,
    position: Position,
    limits: Limits,
) -> Result<Position, Error> {
    match position {
        Position::Unknown | Position::Gone => {
            // An entry that starts may use an older list: the watch returns what changed since.
            let listing = if position == Position::Unknown {
                relay.metrics.count_store_call(StoreCall::CachedList);
                while_receiving(store, LIST_TIME, store.list_cached("")).await?
            } else {
                relay.metrics.count_store_call(StoreCall::List);
                while_receiving(store, LIST_TIME, store.list("")).await?
            };
            let known = relay.changelog(|changelog| changelog.revision());
            let read = Revision {
                era: listing.era,
                number: listing.revision,
            };
            let read = read.or_era(known.era);
            if read.is_of_earlier_era(known) {
                return Err(outdated());
            }
            apply_listing(relay, listing);
            Ok(Position::At(read))
        }
        Position::At(revision) => {
            relay.metrics.count_store_call(StoreCall::Watch);
            let watching = store.watch("", revision.number, limits.wait);
            let Changes {
                changes,
                revision: number,
                era,
            } = while_receiving(store, limits.wait + limits.response, watching).await?;
            let read = Revision { era, number }.or_era(revision.era);
            if read.is_of_earlier_era(revision) {
                return Err(outdated());
            }
            // Revisions of another era are other changes.
            if revision.is_of_earlier_era(read) {
                return Ok(Position::Gone);
            }
            // The first response after an outage carries the changes made during it.
            relay.set_store_available(true);
            for change in newest(&changes) {
                apply(relay, era, change);
            }
            relay.changelog(|changelog| changelog.mark_complete(read));
            Ok(Position::At(read))
        }
    }
}

/// Reads the store once, up to its newest revision.
///
/// # Errors
///
/// Returns why it was not read.
pub async fn catch_up<C: Codec, S: Store>(relay: &Relay<C>, store: &S) -> Result<(), String> {
    let mut position =
        Position::Unknown.at_least(relay.changelog(|changelog| changelog.revision()));
    let limits = Limits {
        wait: FIRST_WATCH_TIME,
        response: relay.settings.propagation.bound(),
    };
    loop {
        let read = step(relay, store, position, limits).await;
        match (position, read) {
            (Position::At(_), Ok(Position::At(revision))) => {
                log::info!(era = revision.era, revision = revision.number; "caught up from the store");
                return Ok(());
            }
            (_, Ok(next)) => position = next,
            (_, Err(Error::HistoryGone)) => position = Position::Gone,
            (_, Err(error)) => return Err(error.to_string()),
        }
    }
}

/// Returns the newest change of each key, oldest first. A value that was replaced or removed since has no
/// effect, not even for a moment.
fn newest(changes: &[Change]) -> Vec<&Change> {
    let mut keys = HashSet::new();
    let newest = changes.iter().rev();
    let mut newest: Vec<&Change> = newest.filter(|it| keys.insert(&*it.key)).collect();
    newest.reverse();
    newest
}

fn outdated() -> Error {
    Error::Unavailable {
        reason: "the answer is older than the store's last restore".to_owned(),
    }
}

/// Applies a list of all keys with their values, read at once from the store or from a peer.
pub fn apply_listing<C: Codec>(relay: &Relay<C>, listing: Listing) {
    let absent = relay.changelog(|changelog| changelog.absent(&listing));
    let Listing {
        items,
        revision: number,
        era,
    } = listing;
    relay.enter_era(era, number);
    let mut listed = HashSet::new();
    for item in items {
        if let Some(id) = relay.codec.server_id(&item.key) {
            listed.insert(Arc::from(id));
        }
        apply(relay, era, &item.into());
    }
    for key in absent {
        let removed = Change {
            key,
            value: None,
            revision: number,
        };
        apply(relay, era, &removed);
    }
    let revision = Revision { era, number };
    relay.retain_servers(&listed, revision);
    relay.changelog(|changelog| changelog.mark_complete(revision));
}

/// Bounds a call that itself waits up to `wait`.
pub(crate) async fn with_timeout<T>(
    wait: Duration,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let call = timeout(wait + RESPONSE_TIMEOUT, call).await;
    call.unwrap_or_else(|_| {
        Err(Error::Lost {
            reason: "no answer in time".to_owned(),
        })
    })
}

/// Bounds a list or a watch. As long as its response arrives, it may take up to [`TRANSFER_TIME`] longer: a
/// large value takes a second on a narrow link.
async fn while_receiving<S: Store, T>(
    store: &S,
    limit: Duration,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let mut call = std::pin::pin!(call);
    let mut received = store.received();
    let mut ends = Instant::now() + limit;
    let last = ends + TRANSFER_TIME;
    loop {
        if let Ok(answer) = timeout_at(ends, &mut call).await {
            return answer;
        }
        let before = std::mem::replace(&mut received, store.received());
        if received == before || ends >= last {
            return Err(Error::Lost {
                reason: "no answer in time".to_owned(),
            });
        }
        ends += RESPONSE_TIMEOUT;
    }
}

/// Applies the registration of an entry, or its end.
fn record_entry<C: Codec>(relay: &Relay<C>, name: &Arc<str>, value: Option<&str>) {
    let registration = match value
        .map(|value| registration::decode(name, value))
        .transpose()
    {
        Ok(registration) => registration,
        Err(error) => {
            log::warn!(peer = &**name, problem = error.to_string().as_str(); "registration of a peer not decoded");
            None
        }
    };
    relay.record_registration(name, registration);
}

/// Returns a change without its value if that is too large for a server's registration. Other writers may
/// leave values of any kind under these keys; without this they would be kept and passed on to all entries.
fn without_oversized_registration<C: Codec>(relay: &Relay<C>, change: &Change) -> Option<Change> {
    let value = change.value.as_ref()?;
    let oversized =
        value.len() > REGISTRATION_LIMIT && relay.codec.server_id(&change.key).is_some();
    oversized.then(|| Change {
        key: change.key.clone(),
        value: Some(String::new()),
        revision: change.revision,
    })
}

/// Applies one change of an era of the store. A change of another era than the one known is ignored: after a
/// restore all keys are read anew. So is one that a newer change of its key has replaced: a watch from an
/// older page of a list returns it again.
pub fn apply<C: Codec>(relay: &Relay<C>, era: u64, change: &Change) {
    // Only the entry that reports usage needs these records, and reads them itself: they are not passed on.
    if change.key.starts_with(&relay.codec.usage_key(None)) {
        return;
    }
    let oversized = without_oversized_registration(relay, change);
    let change = oversized.as_ref().unwrap_or(change);
    if !relay.changelog(|changelog| changelog.insert(era, change)) {
        return;
    }
    let revision = Revision {
        era,
        number: change.revision,
    };
    let revision = revision.or_era(relay.store_era());
    match relay.codec.decode_record(change) {
        Ok(Record::Configuration(table)) => relay.configure(table),
        Ok(Record::Server {
            server,
            warmup,
            sequence,
        }) => relay.register_server(server, warmup, sequence, revision),
        Ok(Record::ServerRemoved { id, problem }) => {
            if let Some(problem) = problem {
                relay.metrics.registrations.unreadable.inc();
                log::warn!(server = &*id, problem = problem.as_str(); "registration of a server not decoded");
            }
            relay.remove_server(&id, revision);
        }
        Ok(Record::Move { service, order }) => {
            let order = order.map(|(version, duration)| Order {
                version,
                revision,
                duration,
            });
            relay.apply_move_order(&service, order.as_ref(), revision);
        }
        Ok(Record::MoveEnd {
            service,
            version,
            good,
        }) => relay.record_move_end(&service, &version, good, revision),
        Ok(Record::Entry { name, value }) => record_entry(relay, &name, value.as_deref()),
        Ok(Record::BlockedPrompt { key, value }) => {
            quarantine::apply(relay, &key, value.as_deref(), revision);
        }
        Ok(Record::Lock { subject, value }) => {
            duty::apply(relay, &subject, value.as_deref(), change.revision);
        }
        Ok(Record::Other) => {}
        Err(invalid) => {
            log::error!(
                key = change.key.as_str(), revision = change.revision,
                problem = invalid.to_string().as_str();
                "configuration or order to move a service not decoded; the previous one stays in force"
            );
        }
    }
}
