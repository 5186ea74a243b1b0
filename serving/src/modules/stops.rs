//! Planned stops in force at this entry: which servers get no new work, what still holds them, and
//! whether this entry itself is leaving.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarfall_coordination::planned_stop::Target;
use medlarfall_schema::declaration::Stop;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::backend::Server;
use crate::clock::Clock;
use crate::context::Context;
use crate::modules::directory::Directory;

mod drain;
mod follow;
pub mod handover;
pub mod in_flight;
mod peer_exchange;

use in_flight::InFlight;

/// Prefix of the keys that hold planned stops.
pub const PREFIX: &str = "stops/";

/// Time in which the last bytes of answers reach the callers before an entry that leaves ends.
const FLUSH_GRACE: Duration = Duration::from_millis(200);

/// A planned stop that this entry knows of.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The stop as stored.
    pub stop: Stop,
    /// When this entry came to know of it, by the entry's clock.
    pub known: Duration,
    /// Its date, by the entry's clock.
    pub date: Duration,
    /// Whether this entry accepted it from an operator.
    pub here: bool,
}

/// The planned stops that this entry knows of, cancelled ones included.
#[derive(Clone, Debug, Default)]
pub struct Declared {
    stops: BTreeMap<Target, Planned>,
}

impl Declared {
    /// Returns the stop of a target, even if it was cancelled.
    #[must_use]
    pub fn find(&self, target: &Target) -> Option<&Planned> {
        self.stops.get(target)
    }

    /// Returns all stops, cancelled ones included.
    pub fn iter(&self) -> impl Iterator<Item = (&Target, &Planned)> {
        self.stops.iter()
    }

    /// Returns the earliest stop in force that covers a backend server.
    #[must_use]
    pub fn of_server(&self, server: &Server) -> Option<&Planned> {
        self.earliest(|target| target.covers_server(&server.name, &server.failure_domain))
    }

    /// Returns the earliest stop in force that covers an entry.
    #[must_use]
    pub fn of_entry(&self, entry: &str, failure_domain: &str) -> Option<&Planned> {
        self.earliest(|target| target.covers_entry(entry, failure_domain))
    }

    /// Returns a cancelled stop that covers a backend server, the newest known.
    fn cancelled(&self, server: &Server) -> Option<&Planned> {
        self.stops
            .iter()
            .filter(|(target, _)| target.covers_server(&server.name, &server.failure_domain))
            .map(|(_, planned)| planned)
            .filter(|planned| planned.stop.cancelled)
            .max_by_key(|planned| planned.known)
    }

    fn earliest(&self, covers: impl Fn(&Target) -> bool) -> Option<&Planned> {
        self.stops
            .iter()
            .filter(|(target, planned)| !planned.stop.cancelled && covers(target))
            .map(|(_, planned)| planned)
            .min_by_key(|planned| planned.date)
    }

    /// Takes a stop unless the same or a newer revision of it is in force; returns whether it did.
    fn take(&mut self, stop: Stop, here: bool, clock: Clock) -> bool {
        let target: Target = match stop.target.parse() {
            Ok(target) => target,
            Err(error) => {
                log::error!(error:% = error; "a stored stop cannot be read");
                return false;
            }
        };
        match self.stops.get_mut(&target) {
            Some(held) if stop.revision == held.stop.revision && here && !held.here => {
                held.here = true;
                return true;
            }
            Some(held) if stop.revision <= held.stop.revision => return false,
            Some(_) | None => {}
        }
        let known = clock.now();
        let notice = stop.date_ms.saturating_sub(unix_milliseconds());
        let planned = Planned {
            stop,
            known,
            date: known + Duration::from_millis(notice),
            here,
        };
        self.stops.insert(target, planned);
        true
    }
}

/// That this entry is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Leave {
    /// When the callers of requests still in progress are sent elsewhere, by the entry's clock.
    pub until: Duration,
}

/// Planned stops, and what holds the servers.
#[derive(Debug)]
pub struct Stops {
    declared: watch::Sender<Arc<Declared>>,
    own: watch::Sender<Option<Leave>>,
    /// Requests of this entry in progress, by backend server.
    pub in_flight: InFlight,
}

impl Default for Stops {
    fn default() -> Self {
        Self::new()
    }
}

impl Stops {
    /// Returns the stops of an entry that knows of none.
    #[must_use]
    pub fn new() -> Self {
        Self {
            declared: watch::Sender::new(Arc::default()),
            own: watch::Sender::new(None),
            in_flight: InFlight::new(),
        }
    }

    /// Returns the planned stops that this entry knows of, and tells of changes.
    #[must_use]
    pub fn declared(&self) -> watch::Receiver<Arc<Declared>> {
        self.declared.subscribe()
    }

    /// Returns whether this entry is leaving, and tells of changes.
    #[must_use]
    pub fn own_leave(&self) -> watch::Receiver<Option<Leave>> {
        self.own.subscribe()
    }

    /// Returns whether this entry is leaving and takes no new requests.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.own.borrow().is_some()
    }

    /// Takes a stop that this entry accepted from an operator.
    pub fn accept(&self, stop: Stop, clock: Clock) {
        self.take_all([stop], true, clock);
    }

    /// Takes stops that the store or a peer told of; returns whether any was new.
    pub fn record(&self, stops: impl IntoIterator<Item = Stop>, clock: Clock) -> bool {
        self.take_all(stops, false, clock)
    }

    /// Returns the planned stops that this entry knows of as they are stored.
    #[must_use]
    pub fn stored(&self) -> Vec<Stop> {
        let declared = Arc::clone(&self.declared.borrow());
        declared
            .iter()
            .map(|(_, planned)| planned.stop.clone())
            .collect()
    }

    fn take_all(&self, stops: impl IntoIterator<Item = Stop>, here: bool, clock: Clock) -> bool {
        self.declared.send_if_modified(|declared| {
            let mut next = Declared::clone(declared);
            let new = stops
                .into_iter()
                .filter(|stop| next.take(stop.clone(), here, clock));
            let changed = new.count() > 0;
            if changed {
                *declared = Arc::new(next);
            }
            changed
        })
    }
}

/// Returns the directory with each backend server marked as leaving for which a stop is planned.
#[must_use]
pub fn mark_leaving(
    mut listed: watch::Receiver<Arc<Directory>>,
    stops: &Stops,
    stop: CancellationToken,
) -> watch::Receiver<Arc<Directory>> {
    let mut declared = stops.declared();
    let (sender, receiver) = watch::channel(Arc::clone(&listed.borrow()));
    let mark = async move {
        loop {
            let servers = Arc::clone(&listed.borrow_and_update());
            let stops = Arc::clone(&declared.borrow_and_update());
            sender.send_replace(marked(servers, &stops));
            let ended = tokio::select! {
                changed = listed.changed() => changed.is_err(),
                changed = declared.changed() => changed.is_err(),
            };
            if ended {
                return;
            }
        }
    };
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = mark => {}
        }
    });
    receiver
}

/// Returns the directory with the leaving backend servers marked.
fn marked(servers: Arc<Directory>, stops: &Declared) -> Arc<Directory> {
    let stays = |server: &Server| server.leaving || stops.of_server(server).is_none();
    if servers.iter().all(|server| stays(server)) {
        return servers;
    }
    let marked = servers.iter().map(|server| Server {
        leaving: !stays(server) || server.leaving,
        ..server.as_ref().clone()
    });
    Arc::new(marked.collect())
}

/// Starts the tasks that follow the planned stops.
pub fn start(context: &Arc<Context>) {
    let stop = context.stop.clone();
    let context = Arc::clone(context);
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = follow::store(&context) => {}
            () = follow::own(&context) => {}
            () = drain::run(&context) => {}
            () = peer_exchange::run(&context) => {}
        }
    });
}

/// Leaves: takes no new requests and waits until those in progress have ended, at most for the
/// entry's window; then their callers are sent elsewhere. Returns whether all ended before that.
pub async fn leave(context: &Context) -> bool {
    let until = context.clock.now() + context.settings.stops.entry_window;
    context.stops.own.send_replace(Some(Leave { until }));
    log::info!("leaving: no new requests are taken");
    let ended = context.stops.in_flight.wait_idle();
    let whole = tokio::time::timeout_at(context.clock.instant(until), ended)
        .await
        .is_ok();
    if !whole {
        // The callers have been told; what is left is to let them read it.
        let told = context.stops.in_flight.wait_idle();
        let _ = tokio::time::timeout(FLUSH_GRACE, told).await;
    }
    tokio::time::sleep(FLUSH_GRACE).await;
    whole
}

/// Waits until this entry leaves and its window for requests in progress is over.
pub async fn window_over(context: &Context) {
    let mut own = context.stops.own_leave();
    loop {
        let until = own.borrow_and_update().map(|leave| leave.until);
        let over = async {
            match until {
                Some(until) => tokio::time::sleep_until(context.clock.instant(until)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = over => return,
            changed = own.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// Returns the milliseconds since the Unix epoch.
#[must_use]
pub fn unix_milliseconds() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
