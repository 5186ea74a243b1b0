//! Follows configuration and servers in the store.
//!
//! One listing, then one watch over all that is of interest. What the store no longer says is
//! kept: an outage changes no belief. The watch is bounded in time, since a connection may fall
//! silent for good.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use tokio::time::timeout;

use medlarfall_coordination::canary::Order;
use medlarfall_coordination::reader_election::retry_pause;
use medlarfall_runtime::store::{Change, Changes, Error, Store};

use crate::dialect::{Dialect, Entry};
use crate::state::Relay;

/// Longest time that a watch waits for changes. A configuration has to be in force within 2 s of
/// its acceptance, also when a watch has fallen silent: with the time for an answer and another call
/// after it that takes 1.7 s.
const WATCH_TIME: Duration = Duration::from_millis(1_200);

/// Time beyond its own that a call may take until it is given up.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Time between two looks at whether this entry has to read.
const READER_CHECK: Duration = Duration::from_millis(100);

/// Pause after an answer, in which further changes gather: servers that fail together come back
/// together, and each answer is paid for.
const COALESCE: Duration = Duration::from_millis(30);

/// Where the follower is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    /// Nothing is known.
    Unknown,
    /// The history of the changes after what is known is gone.
    Behind,
    /// All changes up to this revision are known.
    At(u64),
}

impl Place {
    /// Returns the later one of this place and a revision up to which all is known.
    fn at_least(self, revision: u64) -> Self {
        match self {
            Self::At(place) => Self::At(place.max(revision)),
            Self::Unknown if revision > 0 => Self::At(revision),
            Self::Unknown | Self::Behind => self,
        }
    }
}

/// Follows the store for ever.
pub async fn run<D: Dialect, S: Store>(relay: Arc<Relay<D>>, store: S) {
    let mut place = Place::Unknown;
    let mut up = None;
    let mut failures = 0_u32;
    loop {
        if !relay.must_read() {
            relay.reads.store(false, Ordering::Relaxed);
            // Readers answer for the store.
            relay.store_answers(true);
            tokio::time::sleep(READER_CHECK).await;
            continue;
        }
        // Others may have told of changes that this entry did not read itself.
        place = place.at_least(relay.mirror(|mirror| mirror.revision()));
        relay.metrics.store_calls.inc();
        let (next, reason) = match step(&relay, &store, place).await {
            Ok(next) => (next, None),
            Err(Error::HistoryGone) => (Place::Behind, None),
            Err(error) => (place, Some(error.to_string())),
        };
        place = next;
        let answers = reason.is_none();
        // Where the store turns only this entry away, others answer for it.
        let others_read = relay.others_read();
        relay.store_answers(answers || others_read);
        relay.reads.store(answers, Ordering::Relaxed);
        if up != Some(answers) {
            tell(&relay, answers, reason.as_deref().unwrap_or(""));
            up = Some(answers);
        }
        if answers {
            relay.servers_known();
            failures = 0;
            relay.streams_changed.notify_one();
            tokio::time::sleep(COALESCE).await;
        } else {
            failures = failures.saturating_add(1);
            // Spread, so that entries do not ask again at the same moment.
            let part = rand::rng().random_range(0.5..=1.0);
            tokio::time::sleep(retry_pause(failures, others_read).mul_f64(part)).await;
        }
    }
}

fn tell<D: Dialect>(relay: &Relay<D>, answers: bool, reason: &str) {
    relay.metrics.store_up.set(i64::from(answers));
    if answers {
        log::info!(dependency = "store"; "the store answers");
    } else {
        log::warn!(dependency = "store", reason; "the store does not answer");
    }
}

/// Makes one call and takes in what it returns.
async fn step<D: Dialect, S: Store>(
    relay: &Relay<D>,
    store: &S,
    place: Place,
) -> Result<Place, Error> {
    match place {
        Place::Unknown | Place::Behind => {
            let listing = within(Duration::ZERO, store.list("")).await?;
            let mut listed = HashSet::new();
            for item in listing.items {
                if let Some(id) = relay.dialect.server_id(&item.key) {
                    listed.insert(Arc::from(id));
                }
                let change = Change {
                    key: item.key,
                    value: Some(item.value),
                    revision: item.revision,
                };
                take(relay, &change);
            }
            relay.retain(&listed, listing.revision);
            relay.mirror(|mirror| mirror.complete(listing.revision));
            Ok(Place::At(listing.revision))
        }
        Place::At(revision) => {
            let watching = store.watch("", revision, WATCH_TIME);
            let Changes { changes, revision } = within(WATCH_TIME, watching).await?;
            // Changes of an outage come with the first answer after it.
            relay.store_answers(true);
            for change in &changes {
                take(relay, change);
            }
            relay.mirror(|mirror| mirror.complete(revision));
            Ok(Place::At(revision))
        }
    }
}

/// Bounds a call that may itself wait for `wait`.
pub(crate) async fn within<T>(
    wait: Duration,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let call = timeout(wait + ANSWER_TIME, call).await;
    call.unwrap_or_else(|_| {
        Err(Error::Lost {
            reason: "no answer in time".to_owned(),
        })
    })
}

/// Takes in the changes after a revision that another entry read.
pub fn take_news<D: Dialect>(relay: &Relay<D>, after: u64, news: &Changes) {
    let own = relay.mirror(|mirror| mirror.revision());
    if own == 0 || news.revision <= own {
        return;
    }
    for change in &news.changes {
        take(relay, change);
    }
    if after <= own {
        relay.mirror(|mirror| mirror.complete(news.revision));
    }
}

/// Takes in one change.
pub fn take<D: Dialect>(relay: &Relay<D>, change: &Change) {
    relay.mirror(|mirror| mirror.insert(change));
    match relay.dialect.entry(change) {
        Ok(Entry::Configuration(table)) => relay.configure(table),
        Ok(Entry::Server { server, cold }) => relay.announce(server, cold, change.revision),
        Ok(Entry::NoServer { id, problem }) => {
            if let Some(problem) = problem {
                log::warn!(server = &*id, problem = problem.as_str(); "entry names no server");
            }
            relay.remove(&id, change.revision);
        }
        Ok(Entry::Move { service, order }) => {
            let revision = change.revision;
            let order = order.map(|(version, lasts)| Order {
                version,
                revision,
                duration: lasts,
            });
            relay.order_move(&service, order);
        }
        Ok(Entry::MoveEnd {
            service,
            version,
            good,
        }) => relay.move_recorded(&service, &version, good, change.revision),
        Ok(Entry::Peer { name, address }) => relay.peer(&name, address),
        Ok(Entry::Other) => {}
        Err(invalid) => {
            log::error!(
                key = change.key.as_str(), revision = change.revision,
                problem = invalid.to_string().as_str();
                "configuration not used; the one before stays in force"
            );
        }
    }
}
