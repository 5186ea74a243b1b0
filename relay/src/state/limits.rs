//! Limits that servers name: what this entry and the others hear of them, and its share. Pauses that
//! servers ask this entry for.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::dissemination::{ServerLimit, Tag};
use medlarfall_coordination::placement::name_hash;
use medlarfall_coordination::server_limit::{self, Named};
use medlarfall_coordination::server_pause::LONGEST_PAUSE;

use crate::codec::Codec;

use super::placement::Criteria;
use super::view::View;
use super::{Backend, Relay};

/// Least pace, in requests a second, at which callers return after a pause of a second or more.
const MIN_RETURN_PACE: f64 = 1.0;

/// Time after which a connection to a server becomes free: the duration of a few calls.
const CONNECTION_WAIT: Duration = Duration::from_millis(100);

/// Steps between 0 and 1 of the part of a request that an entry may send at once.
const START_STEPS: u32 = 1_024;

impl<C: Codec> Relay<C> {
    /// Records what a server said of its limit in an answer.
    pub fn record_limit(&self, backend: &Backend, named: Named) {
        if named.rate().is_none() && !backend.is_limited() {
            return;
        }
        let now = self.clock.now();
        self.apply_limit(backend, named, now);
        let announced = backend.limit(|limit| limit.announce(now));
        if let Some(named) = announced {
            let server = backend.tag();
            self.view(|view| view.node.add_limit(ServerLimit { server, named }, now));
            self.streams_changed.notify_one();
        }
    }

    /// Applies what other entries heard.
    pub(super) fn receive_limits(&self, limits: &[(ServerLimit, Duration)]) {
        if limits.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut latest: HashMap<Tag, (Named, Duration)> = HashMap::new();
        for (limit, age) in limits {
            let known = latest.entry(limit.server).or_insert((limit.named, *age));
            if *age < known.1 {
                *known = (limit.named, *age);
            }
        }
        let heard: Vec<(Arc<Backend>, Named, Duration)> = self.view(|view| {
            let backends = view.backends.values().flatten();
            let heard = backends.filter_map(|backend| {
                let (named, age) = *latest.get(&backend.tag())?;
                Some((Arc::clone(backend), named, age))
            });
            heard.collect()
        });
        for (backend, named, age) in heard {
            self.apply_limit(&backend, named, now.saturating_sub(age));
            backend.limit(|limit| limit.record_announcement(named, now));
        }
    }

    fn apply_limit(&self, backend: &Backend, named: Named, at: Duration) {
        let server = &backend.server;
        let hash = name_hash(&format!("{} {}", self.settings.entry, server.id));
        let steps = u32::try_from(hash % u64::from(START_STEPS)).unwrap_or(0);
        let start = f64::from(steps) / f64::from(START_STEPS);
        let changed = backend.limit(|limit| limit.record(named, at, start));
        if changed {
            let share = self.view(|view| view.limit_share(&server.service, self.clock.now()));
            log::info!(
                server = &*server.id, service = &*server.service,
                per_second = named.rate().map_or_else(String::new, |rate| rate.to_string()).as_str(),
                share;
                "limit of a server changed"
            );
            self.notify_changed();
        }
    }

    /// Counts a request that is sent to a server towards its limit.
    pub fn take_from_limit(&self, backend: &Backend) {
        if !backend.is_limited() {
            return;
        }
        let now = self.clock.now();
        let share = self.view(|view| view.limit_share(&backend.server.service, now));
        backend.limit(|limit| limit.take(share, now));
    }

    /// Records that a server turned a request away and asked for a pause.
    pub fn record_pause(&self, backend: &Backend, pause: Duration) {
        let now = self.clock.now();
        let began = self.view(|view| view.pauses.record(backend.start(), pause, now));
        if began {
            log::info!(
                server = &*backend.server.id, service = &*backend.server.service,
                pause_ms = pause.min(LONGEST_PAUSE).as_millis();
                "server asks for a pause"
            );
        }
    }

    /// Returns whether a server is paused.
    #[must_use]
    pub fn is_paused(&self, backend: &Backend) -> bool {
        let now = self.clock.now();
        self.view(|view| !view.pauses.wait(backend.start(), now).is_zero())
    }

    /// Returns the time until some server may get a request, if the limits or pauses of all that could serve
    /// it forbid it now.
    #[must_use]
    pub fn limit_wait(&self, criteria: Criteria) -> Option<Duration> {
        let now = self.clock.now();
        self.view(|view| {
            let share = view.limit_share(criteria.service, now);
            let backends = view.backends.get(criteria.service)?;
            let target = view.target_version(criteria.service);
            let cohort = view.current_cohort(criteria.service, criteria.cohort, now);
            let criteria = Criteria { cohort, ..criteria };
            let usable = backends
                .iter()
                .filter(|backend| criteria.may_serve(&backend.server, target));
            let waits = usable.map(|backend| view.wait(backend, share, now));
            waits.min().filter(|wait| !wait.is_zero())
        })
    }

    /// Returns the pause after which a caller that limits or pauses refuse may return. After the pause of a
    /// server without a limit, callers return at the pace at which they come, and no further apart than the
    /// pause.
    #[must_use]
    pub fn limit_pause(&self, service: &Arc<str>, wait: Duration) -> Duration {
        let now = self.clock.now();
        self.view(|view| {
            let share = view.limit_share(service, now);
            self.record_shortage(view, service, share, now);
            let (own, _) = view.requests(service, now);
            let arrivals = f64::from(own) / self.settings.retries.window.as_secs_f64();
            let backends = view.backends.get(service).into_iter().flatten();
            let (limited, unlimited): (Vec<_>, Vec<_>) = backends
                .map(|backend| backend.limit(|limit| limit.named().rate()))
                .partition(Option::is_some);
            let limits = limited.into_iter().flatten().sum::<f64>() * share;
            let returns = view.returns.entry(Arc::clone(service)).or_default();
            if unlimited.is_empty() {
                return returns.next(wait, limits, now);
            }
            let per_wait = wait.as_secs_f64().recip();
            let pace = limits + arrivals.max(MIN_RETURN_PACE).max(per_wait);
            returns.next_in_pause(wait, pace, now)
        })
    }
}

impl<C: Codec> Relay<C> {
    /// Counts and logs a request that is rejected while this entry has no connection left at some server.
    fn record_shortage(&self, view: &View, service: &Arc<str>, share: f64, now: Duration) {
        let backends = view.backends.get(service).into_iter().flatten();
        let lacking = backends.filter(|backend| !backend.has_connection(share, now));
        let servers = lacking.count();
        if servers > 0 {
            self.metrics.connections.count_lacking(service);
            log::info!(
                service = &**service, servers, share;
                "no connection left at servers within their limit"
            );
        }
    }
}

impl View {
    /// Returns the time until a server may get a request of this entry, whose share of its limit is `share`.
    pub(super) fn wait(&self, backend: &Backend, share: f64, now: Duration) -> Duration {
        let pause = self.pauses.wait(backend.start(), now);
        let wait = if backend.is_limited() {
            pause.max(backend.limit(|limit| limit.wait(share, now)))
        } else {
            pause
        };
        if wait.is_zero() && !backend.has_connection(share, now) {
            return CONNECTION_WAIT;
        }
        wait
    }

    /// Returns this entry's share of the limits of a service's servers.
    pub(super) fn limit_share(&mut self, service: &str, now: Duration) -> f64 {
        let (own, all) = self.requests(service, now);
        server_limit::share(own, all, self.node.entries())
    }
}
