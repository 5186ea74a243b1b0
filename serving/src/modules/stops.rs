//! Planned stops in force at this entry: which backend servers receive no new work, which requests
//! they still wait for, and whether this entry itself is leaving.

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

/// Time that a leaving entry allows for the last bytes of its responses to reach the callers.
const FLUSH_GRACE: Duration = Duration::from_millis(200);

/// A planned stop as this entry recorded it.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The stop as stored.
    pub stop: Stop,
    /// When this entry recorded it, by the entry's clock.
    pub recorded_at: Duration,
    /// Its date, by the entry's clock.
    pub date: Duration,
    /// Whether an operator planned it at this entry, not at a peer.
    pub accepted_here: bool,
}

/// The recorded planned stops, including cancelled ones.
#[derive(Clone, Debug, Default)]
pub struct Declared {
    stops: BTreeMap<Target, Planned>,
}

impl Declared {
    /// Returns the stop of a target, including a cancelled one.
    #[must_use]
    pub fn find(&self, target: &Target) -> Option<&Planned> {
        self.stops.get(target)
    }

    /// Returns all stops, including cancelled ones.
    pub fn iter(&self) -> impl Iterator<Item = (&Target, &Planned)> {
        self.stops.iter()
    }

    /// Returns the earliest stop in force that covers a backend server.
    #[must_use]
    pub fn of_server(&self, server: &Server) -> Option<&Planned> {
        self.earliest_covering(|target| target.covers_server(&server.name, &server.failure_domain))
    }

    /// Returns the earliest stop in force that covers an entry.
    #[must_use]
    pub fn of_entry(&self, entry: &str, failure_domain: &str) -> Option<&Planned> {
        self.earliest_covering(|target| target.covers_entry(entry, failure_domain))
    }

    /// Returns the cancelled stop that covers a backend server and was recorded last.
    fn cancelled(&self, server: &Server) -> Option<&Planned> {
        self.stops
            .iter()
            .filter(|(target, _)| target.covers_server(&server.name, &server.failure_domain))
            .map(|(_, planned)| planned)
            .filter(|planned| planned.stop.cancelled)
            .max_by_key(|planned| planned.recorded_at)
    }

    fn earliest_covering(&self, covers: impl Fn(&Target) -> bool) -> Option<&Planned> {
        self.stops
            .iter()
            .filter(|(target, planned)| !planned.stop.cancelled && covers(target))
            .map(|(_, planned)| planned)
            .min_by_key(|planned| planned.date)
    }

    /// Records a stop unless the same or a newer revision of it is recorded; returns whether anything
    /// changed.
    fn record(&mut self, stop: Stop, accepted_here: bool, clock: Clock) -> bool {
        let target: Target = match stop.target.parse() {
            Ok(target) => target,
            Err(error) => {
                log::error!(error:% = error; "planned stop has an invalid target; ignoring it");
                return false;
            }
        };
        match self.stops.get_mut(&target) {
            Some(current)
                if stop.revision == current.stop.revision
                    && accepted_here
                    && !current.accepted_here =>
            {
                current.accepted_here = true;
                return true;
            }
            Some(current) if stop.revision <= current.stop.revision => return false,
            Some(_) | None => {}
        }
        let recorded_at = clock.now();
        let notice = stop.date_ms.saturating_sub(unix_milliseconds());
        let planned = Planned {
            stop,
            recorded_at,
            date: recorded_at + Duration::from_millis(notice),
            accepted_here,
        };
        self.stops.insert(target, planned);
        true
    }
}

/// The state of an entry that is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Leave {
    /// When the callers of requests still in progress are sent to other entries, by the entry's clock.
    pub until: Duration,
}

/// Planned stops, and the requests in progress that they wait for.
#[derive(Debug)]
pub struct Stops {
    declared: watch::Sender<Arc<Declared>>,
    own: watch::Sender<Option<Leave>>,
    /// Requests of this entry in progress, and attempts by backend server.
    pub in_flight: InFlight,
}

impl Default for Stops {
    fn default() -> Self {
        Self::new()
    }
}

impl Stops {
    /// Returns an empty set of stops.
    #[must_use]
    pub fn new() -> Self {
        Self {
            declared: watch::Sender::new(Arc::default()),
            own: watch::Sender::new(None),
            in_flight: InFlight::new(),
        }
    }

    /// Returns a receiver of the recorded planned stops and their changes.
    #[must_use]
    pub fn declared(&self) -> watch::Receiver<Arc<Declared>> {
        self.declared.subscribe()
    }

    /// Returns a receiver of whether this entry is leaving, and of changes.
    #[must_use]
    pub fn own_leave(&self) -> watch::Receiver<Option<Leave>> {
        self.own.subscribe()
    }

    /// Returns whether this entry is leaving and takes no new requests.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.own.borrow().is_some()
    }

    /// Records a stop that this entry accepted from an operator.
    pub fn accept(&self, stop: Stop, clock: Clock) {
        self.record_all([stop], true, clock);
    }

    /// Records stops received from the store or a peer; returns whether any of them was new.
    pub fn record(&self, stops: impl IntoIterator<Item = Stop>, clock: Clock) -> bool {
        self.record_all(stops, false, clock)
    }

    /// Returns the recorded planned stops in their stored form.
    #[must_use]
    pub fn stored(&self) -> Vec<Stop> {
        let declared = Arc::clone(&self.declared.borrow());
        declared
            .iter()
            .map(|(_, planned)| planned.stop.clone())
            .collect()
    }

    fn record_all(
        &self,
        stops: impl IntoIterator<Item = Stop>,
        accepted_here: bool,
        clock: Clock,
    ) -> bool {
        self.declared.send_if_modified(|declared| {
            let mut next = Declared::clone(declared);
            let new = stops
                .into_iter()
                .filter(|stop| next.record(stop.clone(), accepted_here, clock));
            let changed = new.count() > 0;
            if changed {
                *declared = Arc::new(next);
            }
            changed
        })
    }
}

/// Returns a receiver of the directory in which the backend servers with a planned stop are marked as
/// leaving.
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

/// Returns the directory with the backend servers that have a planned stop marked as leaving.
fn marked(servers: Arc<Directory>, stops: &Declared) -> Arc<Directory> {
    let unchanged = |server: &Server| server.leaving || stops.of_server(server).is_none();
    if servers.iter().all(|server| unchanged(server)) {
        return servers;
    }
    let marked = servers.iter().map(|server| Server {
        leaving: !unchanged(server) || server.leaving,
        ..server.as_ref().clone()
    });
    Arc::new(marked.collect())
}

/// Starts the task that watches planned stops, exchanges them with peers and drains engines.
pub fn start(context: &Arc<Context>) {
    let stop = context.stop.clone();
    let context = Arc::clone(context);
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = follow::watch_store(&context) => {}
            () = follow::watch_own_stop(&context) => {}
            () = drain::run(&context) => {}
            () = peer_exchange::run(&context) => {}
        }
    });
}

/// Stops taking new requests and waits until those in progress have ended, for the entry's window at
/// most; the callers of the remaining ones are then sent to other entries. Returns whether all ended
/// within the window.
pub async fn leave(context: &Context) -> bool {
    let until = context.clock.now() + context.settings.stops.entry_window;
    context.stops.own.send_replace(Some(Leave { until }));
    log::info!("leaving: refusing new requests, waiting for those in progress");
    let ended = context.stops.in_flight.wait_idle();
    let drained = tokio::time::timeout_at(context.clock.instant(until), ended)
        .await
        .is_ok();
    if !drained {
        // The remaining callers have been sent to other entries; let their last responses be flushed.
        let flushed = context.stops.in_flight.wait_idle();
        let _ = tokio::time::timeout(FLUSH_GRACE, flushed).await;
    }
    tokio::time::sleep(FLUSH_GRACE).await;
    drained
}

/// Waits until this entry is leaving and its window for requests in progress has ended.
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

/// Returns the current Unix time in milliseconds.
#[must_use]
pub fn unix_milliseconds() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
