//! Chooses the server of a request, and records failed and successful contacts with servers.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::balance::{self, Candidate};
use medlarfall_coordination::evidence::Cohort;
use medlarfall_coordination::kept_prompts::Part;
use medlarfall_coordination::registry::Server;
use medlarfall_coordination::server_memory;

use crate::codec::Codec;

use super::expected_time::{self, Known};
use super::{Backend, Relay};

/// Most servers of a group that one entry searches for at the same time. Entries share the servers
/// that they find, and thousands of probes a second would fill the links of a large fleet.
const SEARCH_LIMIT: usize = 8;

/// How a server's load is measured.
#[derive(Clone, Copy, Debug)]
pub enum Measure {
    /// By calls: those of this entry, and those of others from server reports whose weight decays
    /// over `horizon`.
    Calls {
        /// Usual duration of a call.
        horizon: Duration,
    },
    /// By streams of this entry and of its peers.
    Streams {
        /// Length of the prompt, in tokens, if it is stated.
        prompt_tokens: Option<u64>,
        /// Memory that the stream needs, if servers are placed by it too.
        memory: Option<server_memory::Demand>,
    },
    /// By the memory that a backup finds.
    BackupMemory(server_memory::Demand),
}

/// Criteria for the choice of a server.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'request> {
    /// The service.
    pub service: &'request str,
    /// Servers that are excluded.
    pub excluded: &'request [Arc<str>],
    /// Failure domains that are avoided while others have servers.
    pub avoided_domains: &'request [Arc<str>],
    /// Load, in requests, that is added to servers in another failure domain.
    pub remote_penalty: f64,
    /// How load is measured.
    pub measure: Measure,
    /// Parts of the prompt that other requests may share. Servers that probably have them in their caches are
    /// preferred by the time that this saves, if streams are placed by expected time.
    pub shared_parts: &'request [Part],
    /// Version cohort that the request was assigned to, if the service moved then. A move that has ended
    /// since goes before it.
    pub cohort: Option<Cohort>,
    /// The only acceptable version, if the service moves.
    pub version: Option<&'request str>,
    /// Hash that breaks ties.
    pub request_hash: u64,
}

impl Criteria<'_> {
    /// Returns whether a version serves requests of `cohort` while the service moves to the version `target`.
    fn fits_version(&self, version: &str, target: Option<&str>, cohort: Option<Cohort>) -> bool {
        match (target, cohort, self.version) {
            (None, ..) | (Some(_), None, None) => true,
            (Some(_), _, Some(only)) => version == only,
            (Some(target), Some(cohort), _) => (version == target) == (cohort == Cohort::Canary),
        }
    }

    /// Returns whether a server could serve the request, now or later. The old version also serves requests
    /// of the new one's cohort.
    pub(super) fn may_serve(&self, server: &Server, target: Option<&str>) -> bool {
        let fits = |cohort| self.fits_version(&server.version, target, cohort);
        let falls_back = self.cohort == Some(Cohort::Canary) && fits(Some(Cohort::Baseline));
        (fits(self.cohort) || falls_back) && !self.excluded.contains(&server.id)
    }
}

impl<C: Codec> Relay<C> {
    /// Records that a server could not be reached or was lost, and starts a search for its
    /// successor. If its whole group is unreachable, the other members are searched for as well.
    pub fn record_unreachable(&self, backend: &Arc<Backend>) {
        let now = self.clock.now();
        backend.load(|load| load.record_unreachable(now));
        backend.set_unconfirmed(true);
        let id = &backend.server.id;
        let group = backend.group();
        let suspect = self.view(|view| {
            let suspect = view.groups.record_failure(group.clone(), id, now);
            view.node.add_lost(backend.tag(), now);
            let searches = view.node.searches(&group.failure_domain, now);
            if searches {
                view.pending_searches.push(Arc::clone(backend));
            }
            if suspect {
                let all = view.backends.get(&group.service).into_iter().flatten();
                let members = all.filter(|other| other.group() == group);
                let members = members.inspect(|other| other.set_unconfirmed(true));
                let members: Vec<Arc<Backend>> = members.cloned().collect();
                if searches {
                    view.pending_searches
                        .extend(members.into_iter().take(SEARCH_LIMIT));
                }
            }
            suspect
        });
        self.search_requested.notify_one();
        self.streams_changed.notify_one();
        if suspect {
            log::warn!(
                service = &*backend.server.service,
                failure_domain = &*backend.server.failure_domain, server = &**id;
                "servers of a failure domain can't be reached"
            );
        }
    }

    /// Removes and returns the servers whose successors are to be searched for.
    pub fn take_pending_searches(&self) -> Vec<Arc<Backend>> {
        self.view(|view| std::mem::take(&mut view.pending_searches))
    }

    /// Records a response of a server.
    pub fn record_response(&self, backend: &Backend) {
        let now = self.clock.now();
        backend.monitor.record_activity(now);
        backend.set_unconfirmed(false);
        let group = backend.group();
        self.view(|view| view.groups.record_response(&group));
    }

    /// Returns up to `count` servers that meet the criteria, are neither suspect nor paused, and probably
    /// received earlier requests with the same hash.
    #[must_use]
    pub fn likely_servers(&self, criteria: Criteria, count: usize) -> Vec<Arc<Backend>> {
        let now = self.clock.now();
        let request_hash = criteria.request_hash;
        let usable: Vec<Arc<Backend>> = self.view(|view| {
            let target = view.target_version(criteria.service);
            let cohort = view.current_cohort(criteria.service, criteria.cohort, now);
            let backends = view.backends.get(criteria.service).into_iter().flatten();
            let fitting = backends.filter(|backend| {
                criteria.fits_version(&backend.server.version, target, cohort)
                    && !criteria.excluded.contains(&backend.server.id)
            });
            let usable = fitting.filter(|backend| {
                let paused = !view.pauses.wait(backend.start(), now).is_zero();
                !paused && !backend.load(|load| load.suspect(now))
            });
            usable.cloned().collect()
        });
        let servers = usable.iter().map(|backend| backend.hash_and_proximity());
        let likely = balance::likely_servers(&servers.collect::<Vec<_>>(), request_hash, count);
        let likely = likely.into_iter().map(|index| Arc::clone(&usable[index]));
        likely.collect()
    }

    /// Chooses a server.
    #[must_use]
    pub fn choose(&self, criteria: Criteria) -> Option<Arc<Backend>> {
        let now = self.clock.now();
        self.view(|view| {
            let backends = view.backends.get(criteria.service)?;
            let share = if backends.iter().any(|backend| backend.is_shared()) {
                view.limit_share(criteria.service, now)
            } else {
                1.0
            };
            let backends = view.backends.get(criteria.service)?;
            let within_limit = |backend: &Backend| view.wait(backend, share, now).is_zero();
            let target = view.target_version(criteria.service);
            let cohort = view.current_cohort(criteria.service, criteria.cohort, now);
            let criteria = Criteria { cohort, ..criteria };
            let allowed = |backend: &&Arc<Backend>, cohort: Option<Cohort>| {
                let version = &backend.server.version;
                criteria.fits_version(version, target, cohort)
                    && !criteria.excluded.contains(&backend.server.id)
                    && within_limit(backend)
            };
            // Falls back to the old version if no server of the new one is available.
            let new_serves = || {
                backends
                    .iter()
                    .any(|backend| allowed(&backend, criteria.cohort))
            };
            let cohort = match criteria.cohort {
                Some(Cohort::Canary) if !new_serves() => Some(Cohort::Baseline),
                cohort => cohort,
            };
            let fits = |backend: &&Arc<Backend>| allowed(backend, cohort);
            let no_outage = view.groups.is_empty();
            let preferred = |backend: &&Arc<Backend>| {
                !criteria
                    .avoided_domains
                    .contains(&backend.server.failure_domain)
                    && !backend.load(|load| load.suspect(now))
                    && (no_outage || !view.groups.suspect(&backend.group(), now))
            };
            let mut fitting: Vec<&Arc<Backend>> =
                backends.iter().filter(fits).filter(preferred).collect();
            if fitting.is_empty() {
                fitting = backends.iter().filter(fits).collect();
            }
            if expected_time::applies(&fitting, criteria.measure) {
                let service = Arc::clone(&fitting.first()?.server.service);
                let usual = view.usual.entry(service).or_default();
                let usual = usual.refresh(&fitting, now);
                let known = Known {
                    node: &view.node,
                    savings: view.kept_prompts.saved(criteria.shared_parts, now),
                    usual,
                };
                let (chosen, time) = expected_time::choose(&fitting, criteria, &known, now)?;
                self.metrics.count_timed_placement(criteria.service, time);
                return Some(Arc::clone(fitting[chosen]));
            }
            let candidates: Vec<Candidate> = fitting
                .iter()
                .map(|backend| {
                    let peers = view.node.streams_at(backend.tag(), now);
                    backend.candidate(now, criteria, peers)
                })
                .collect();
            let chosen =
                balance::choose(&candidates, criteria.remote_penalty, criteria.request_hash)?;
            self.metrics.count_placement("load");
            Some(Arc::clone(fitting[chosen]))
        })
    }

    /// Returns whether requests may be sent to a server's version: it was not taken back.
    #[must_use]
    pub fn is_version_in_use(&self, backend: &Backend) -> bool {
        let server = &backend.server;
        self.view(|view| {
            let canary = view.canaries.get(&server.service);
            canary.is_none_or(|canary| !canary.has_withdrawn(&server.version))
        })
    }

    /// Records that a server processed a prompt with the parts `shared`, if its requests are placed by
    /// expected time and it has not been started anew since. `memory_tokens` is the server's memory.
    pub fn record_kept_prompt(
        &self,
        backend: &Arc<Backend>,
        shared: &[Part],
        memory_tokens: Option<u64>,
    ) {
        if shared.is_empty() || !backend.reports_slowness() || !self.lists(backend) {
            return;
        }
        let now = self.clock.now();
        self.view(|view| {
            view.kept_prompts
                .record(backend.tag(), shared, memory_tokens, now);
        });
    }

    /// Returns how many tokens of a prompt with the parts `shared` a server probably still has in its cache.
    #[must_use]
    pub fn kept_tokens(&self, backend: &Backend, shared: &[Part]) -> u64 {
        if shared.is_empty() || !backend.reports_slowness() {
            return 0;
        }
        let now = self.clock.now();
        self.view(|view| view.kept_prompts.saved_at(backend.tag(), shared, now))
    }

    /// Returns the work ahead of a stream at a server, in prompt tokens.
    #[must_use]
    pub fn tokens_ahead(&self, backend: &Backend) -> f64 {
        let now = self.clock.now();
        let peers = self.view(|view| view.node.streams_at(backend.tag(), now));
        backend.estimate(|estimate| estimate.tokens_ahead(peers, now))
    }

    /// Returns the load of streams at a server, in prompts in prefill.
    #[must_use]
    pub fn stream_load(&self, backend: &Backend) -> f64 {
        let now = self.clock.now();
        let peers = self.view(|view| view.node.streams_at(backend.tag(), now));
        backend.load(|load| load.stream_load(peers))
    }

    /// Counts a request for a service, which adds to its retry budget.
    pub fn count_request(&self, service: &Arc<str>) {
        let now = self.clock.now();
        let bounds = self.settings.retries;
        self.view(|view| view.retry_window(service, bounds).request(now));
    }

    /// Withdraws a retry from the budget of a service; returns whether there was one.
    #[must_use]
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let now = self.clock.now();
        let bounds = self.settings.retries;
        let taken = self.view(|view| {
            let part = view.reserve(bounds);
            let others = view.node.others(service, now);
            let window = view.retry_window(service, bounds);
            window.withdraw(part, others, now)
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
