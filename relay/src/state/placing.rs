//! Which server a request goes to, and what its sends show.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::balance::{self, Candidate};
use medlarfall_coordination::evidence::Cohort;

use crate::dialect::Dialect;

use super::{Backend, Relay};

/// Most servers of a group that one entry looks for at once; entries tell one another of finds, and
/// thousands of questions a second would fill the links of a large fleet.
const SEARCHED: usize = 8;

/// How a server's load is counted.
#[derive(Clone, Copy, Debug)]
pub enum Measure {
    /// By calls: this entry's, and those of others from reports that fade over `horizon`.
    Calls {
        /// About how long a call lasts.
        horizon: Duration,
    },
    /// By streams, of this entry and of its peers.
    Streams,
}

/// What to look for in a server.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'request> {
    /// The service.
    pub service: &'request str,
    /// Servers that are not to be chosen.
    pub not: &'request [Arc<str>],
    /// Failure domains that are not to be chosen while others have servers.
    pub outside: &'request [Arc<str>],
    /// Load, in requests, that a server in another failure domain counts for.
    pub distance: f64,
    /// How load is counted.
    pub measure: Measure,
    /// Version to prefer, if the service moves.
    pub side: Option<Cohort>,
    /// The only version to choose from, if the service moves.
    pub version: Option<&'request str>,
    /// Breaks ties.
    pub lot: u64,
}

impl<D: Dialect> Relay<D> {
    /// Notes that a server could not be reached, or was lost. It is looked for anew, with the
    /// others of its group if they can't be reached either.
    pub fn unreachable(&self, backend: &Arc<Backend>) {
        let now = self.clock.now();
        backend.load(|load| load.record_unreachable(now));
        backend.set_doubted(true);
        let id = &backend.server.id;
        let group = backend.group();
        let suspect = self.beliefs(|beliefs| {
            let suspect = beliefs.groups.record_failure(group.clone(), id, now);
            beliefs.to_search.push(Arc::clone(backend));
            beliefs.lost.insert(Arc::clone(id), now);
            if suspect {
                let all = beliefs.backends.get(&group.service).into_iter().flatten();
                let members = all.filter(|other| other.group() == group);
                let members = members.inspect(|other| other.set_doubted(true));
                let members: Vec<Arc<Backend>> = members.cloned().collect();
                beliefs.to_search.extend(members.into_iter().take(SEARCHED));
            }
            suspect
        });
        self.search_wanted.notify_one();
        self.streams_changed.notify_one();
        if suspect {
            log::warn!(
                service = &*backend.server.service,
                failure_domain = &*backend.server.failure_domain, server = &**id;
                "servers of a failure domain can't be reached"
            );
        }
    }

    /// Takes the servers that are to be looked for.
    pub fn take_searches(&self) -> Vec<Arc<Backend>> {
        self.beliefs(|beliefs| std::mem::take(&mut beliefs.to_search))
    }

    /// Notes that a server answered.
    pub fn answered(&self, backend: &Backend) {
        let now = self.clock.now();
        backend.monitor.heard(now);
        backend.set_doubted(false);
        let group = backend.group();
        self.beliefs(|beliefs| beliefs.groups.record_response(&group));
    }

    /// Returns the servers of a service that are not suspect and probably took a request with the
    /// lot `lot` before, at most `count`.
    #[must_use]
    pub fn likely(&self, service: &str, lot: u64, count: usize) -> Vec<Arc<Backend>> {
        let now = self.clock.now();
        let usable: Vec<Arc<Backend>> = self.beliefs(|beliefs| {
            let backends = beliefs.backends.get(service).into_iter().flatten();
            let usable = backends.filter(|backend| !backend.load(|load| load.suspect(now)));
            usable.cloned().collect()
        });
        let places = usable.iter().map(|backend| backend.place());
        let likely = balance::likely_servers(&places.collect::<Vec<_>>(), lot, count);
        let likely = likely.into_iter().map(|index| Arc::clone(&usable[index]));
        likely.collect()
    }

    /// Chooses a server.
    #[must_use]
    pub fn choose(&self, wanted: Wanted) -> Option<Arc<Backend>> {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            let backends = beliefs.backends.get(wanted.service)?;
            let moves_to = beliefs.canaries.get(wanted.service);
            let moves_to = moves_to.map(|canary| Arc::clone(&canary.order().version));
            let allowed = |backend: &&Arc<Backend>, side: Option<Cohort>| {
                let version = &backend.server.version;
                let fits = match (&moves_to, side, wanted.version) {
                    (None, ..) | (Some(_), None, None) => true,
                    (Some(_), _, Some(only)) => **version == *only,
                    (Some(target), Some(side), _) => {
                        (version == target) == (side == Cohort::Canary)
                    }
                };
                fits && !wanted.not.contains(&backend.server.id)
            };
            // The old version serves where no server of the new one can.
            let new_serves = || {
                backends
                    .iter()
                    .any(|backend| allowed(&backend, wanted.side))
            };
            let side = match wanted.side {
                Some(Cohort::Canary) if !new_serves() => Some(Cohort::Baseline),
                side => side,
            };
            let fits = |backend: &&Arc<Backend>| allowed(backend, side);
            let outside = |backend: &&Arc<Backend>| {
                !wanted.outside.contains(&backend.server.failure_domain)
                    && !backend.load(|load| load.suspect(now))
                    && !beliefs.groups.suspect(&backend.group(), now)
            };
            let mut fitting: Vec<&Arc<Backend>> =
                backends.iter().filter(fits).filter(outside).collect();
            if fitting.is_empty() {
                fitting = backends.iter().filter(fits).collect();
            }
            let candidates: Vec<Candidate> = fitting
                .iter()
                .map(|backend| {
                    let peers = beliefs.shared.at(&backend.server.id);
                    backend.candidate(now, wanted, peers)
                })
                .collect();
            let chosen = balance::choose(&candidates, wanted.distance, wanted.lot)?;
            Some(Arc::clone(fitting[chosen]))
        })
    }

    /// Returns the load of streams at a server, in prompts that are read.
    #[must_use]
    pub fn stream_load(&self, backend: &Backend) -> f64 {
        let peers = self.beliefs(|beliefs| beliefs.shared.at(&backend.server.id));
        backend.load(|load| load.stream_load(peers))
    }

    /// Counts a request for a service, which adds to its budget of repeats.
    pub fn count_request(&self, service: &Arc<str>) {
        let now = self.clock.now();
        let bounds = self.settings.retries;
        self.beliefs(|beliefs| beliefs.repeats(service, bounds).request(now));
    }

    /// Takes a repeat from the budget of a service and returns whether there was one.
    #[must_use]
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let now = self.clock.now();
        let bounds = self.settings.retries;
        let taken = self.beliefs(|beliefs| {
            let part = beliefs.reserve(bounds);
            let entries = u32::try_from(beliefs.peers.len()).unwrap_or(u32::MAX);
            let others = beliefs.others_retries.remove(service).unwrap_or_default();
            let window = beliefs.repeats(service, bounds);
            let taken = window.withdraw(part, &others, entries, now);
            beliefs.others_retries.insert(Arc::clone(service), others);
            beliefs.retries_untold |= taken;
            taken
        });
        if taken {
            self.streams_changed.notify_one();
        }
        let counter = if taken {
            &self.metrics.retries
        } else {
            &self.metrics.retries_refused
        };
        counter.inc();
        taken
    }
}
