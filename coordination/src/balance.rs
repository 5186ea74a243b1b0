//! Load balancing: selects the server of a service that a request is sent to.
//!
//! Several entries distribute requests over the same servers, each with out-of-date load reports.
//! An entry counts its own requests immediately and takes those of the other entries from the
//! servers' reports, whose weight decays with age. Ties are broken by a hash of the request, so
//! that entries with the same reports do not all select the same server.

use std::cmp::Reverse;
use std::time::Duration;

use crate::dissemination::Count;
use crate::placement::{Proximity, mix};

/// Weight of a new outcome in the moving average of a server's failure rate. With 1/8, three
/// failures in a row raise it from 0 to about one third.
const OUTCOME_WEIGHT: f64 = 1.0 / 8.0;

/// Load, in requests, that a failure rate of 1 adds to a server.
const FAILURE_LOAD: f64 = 24.0;

/// Load of a stream that produces events, relative to a stream in prefill: it lengthens each engine
/// step by a few percent and holds memory that a prompt needs.
const GENERATION_LOAD: f64 = 0.2;

/// Initial time for which an unreachable server is ranked behind the others. An engine that crashed
/// takes about a second to restart.
const INITIAL_SUSPICION: Duration = Duration::from_secs(1);

/// Longest time for which an unreachable server is ranked behind the others.
const MAX_SUSPICION: Duration = Duration::from_secs(4);

/// Time after a response during which other entries' reports that the server is unreachable are
/// ignored.
const OWN_RESPONSE_VALIDITY: Duration = Duration::from_millis(300);

/// Time for which a server that other entries reported as unreachable is ranked behind the others.
/// The reports are repeated while the server remains unreachable.
const REPORTED_SUSPICION: Duration = Duration::from_millis(500);

/// Load and health of one server, as known to this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    own_requests: u32,
    prefilling: u32,
    backups: u32,
    other_requests: f64,
    reported_at: Duration,
    failure_rate: f64,
    responded_at: Duration,
    suspect_until: Duration,
    suspicions: u32,
}

impl Load {
    /// Counts a request sent to the server.
    pub fn request_started(&mut self) {
        self.own_requests = self.own_requests.saturating_add(1);
    }

    /// Counts a request that has ended.
    pub fn request_ended(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Returns the number of this entry's requests in progress at the server.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Counts a stream that waits for its first event.
    pub fn prefill_started(&mut self) {
        self.prefilling = self.prefilling.saturating_add(1);
    }

    /// Counts a stream that received its first event, or ended before it.
    pub fn prefill_ended(&mut self) {
        self.prefilling = self.prefilling.saturating_sub(1);
    }

    /// Returns the number of this entry's streams at the server.
    #[must_use]
    pub fn streams(&self) -> Count {
        Count {
            streams: self.own_requests,
            prefilling: self.prefilling,
            backups: self.backups,
        }
    }

    /// Counts a backup of a stream of this entry that the server holds.
    pub fn backup_started(&mut self) {
        self.backups = self.backups.saturating_add(1);
    }

    /// Counts a backup that the server no longer holds.
    pub fn backup_ended(&mut self) {
        self.backups = self.backups.saturating_sub(1);
    }

    /// Returns whether none of this entry's streams at the server has received an event yet.
    #[must_use]
    pub fn only_prefilling(&self) -> bool {
        self.prefilling >= self.own_requests
    }

    /// Returns the load of the streams of this entry and of `peers`, in units of one stream in
    /// prefill: a stream past its prefill delays others by a fraction of what a prefill does.
    #[must_use]
    pub fn stream_load(&self, peers: Count) -> f64 {
        let prefilling = f64::from(self.prefilling + peers.prefilling);
        prefilling + f64::from(self.own_requests + peers.streams) * GENERATION_LOAD
    }

    /// Records the server's report of all its requests, including those of this entry.
    pub fn record_report(&mut self, requests: u32, now: Duration) {
        self.other_requests = f64::from(requests.saturating_sub(self.own_requests));
        self.reported_at = now;
    }

    /// Records whether a request to the server failed.
    pub fn record_outcome(&mut self, failed: bool, now: Duration) {
        self.responded_at = now;
        let value = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (value - self.failure_rate) * OUTCOME_WEIGHT;
        if !failed {
            self.suspicions = 0;
            self.suspect_until = Duration::ZERO;
        }
    }

    /// Records that the server could not be reached, or was lost.
    pub fn record_unreachable(&mut self, now: Duration) {
        let backoff = INITIAL_SUSPICION * 2_u32.pow(self.suspicions.min(4));
        self.suspicions = self.suspicions.saturating_add(1);
        self.suspect_until = now + backoff.min(MAX_SUSPICION);
    }

    /// Records that another entry could not reach the server. Returns whether the server is ranked
    /// behind the others as a result, which it is unless it responded to this entry recently.
    pub fn record_peer_unreachable(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.responded_at) < OWN_RESPONSE_VALIDITY {
            return false;
        }
        self.suspect_until = self.suspect_until.max(now + REPORTED_SUSPICION);
        true
    }

    /// Returns whether the server is ranked behind the others.
    #[must_use]
    pub fn suspect(&self, now: Duration) -> bool {
        now < self.suspect_until
    }

    /// Returns the share of recent requests that failed.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the estimated number of requests at the server. The reported number of other entries'
    /// requests decays over `horizon`, about the duration of one of the service's requests.
    #[must_use]
    pub fn estimate(&self, now: Duration, horizon: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let decay = (-age / horizon.as_secs_f64().max(1e-3)).exp();
        f64::from(self.own_requests) + self.other_requests * decay
    }
}

/// A server that the request can be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the server's name, from [`crate::placement::name_hash`].
    pub hash: u64,
    /// Proximity of the server to this entry.
    pub proximity: Proximity,
    /// Estimated number of requests at the server.
    pub requests: f64,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Share of its recent requests that failed.
    pub failure_rate: f64,
    /// Whether the server was unreachable recently.
    pub suspect: bool,
}

/// Returns the index of the candidate to send the request to, if there is any. `distance` is the
/// load, in requests, added to a server in another failure domain; `request_hash` breaks ties.
#[must_use]
pub fn choose(candidates: &[Candidate], distance: f64, request_hash: u64) -> Option<usize> {
    let lowest_failure_rate = candidates
        .iter()
        .map(|candidate| candidate.failure_rate)
        .fold(f64::INFINITY, f64::min);
    let cost = |candidate: &Candidate| {
        let excess = (candidate.requests + 1.0 - f64::from(candidate.slots)).max(0.0);
        let distance_cost = match candidate.proximity {
            Proximity::FailureDomain => 0.0,
            Proximity::Region => distance,
            Proximity::Anywhere => 2.0 * distance,
        };
        candidate.requests
            + 4.0 * excess
            + distance_cost
            + FAILURE_LOAD * (candidate.failure_rate - lowest_failure_rate)
    };
    candidates
        .iter()
        .enumerate()
        .min_by(|(_, left), (_, right)| {
            let by_suspicion = left.suspect.cmp(&right.suspect);
            // Costs are rounded to half a request: the load of other entries is not known more
            // precisely.
            let rounded_cost = |candidate: &Candidate| (cost(candidate) * 2.0).round();
            let tie_break = |candidate: &Candidate| Reverse(mix(candidate.hash ^ request_hash));
            by_suspicion
                .then(rounded_cost(left).total_cmp(&rounded_cost(right)))
                .then(tie_break(left).cmp(&tie_break(right)))
        })
        .map(|(index, _)| index)
}

/// A server that the request can be sent to, with the time that it is expected to take there.
#[derive(Clone, Copy, Debug)]
pub struct TimedCandidate {
    /// Hash of the server's name, from [`crate::placement::name_hash`].
    pub hash: u64,
    /// Expected time, in seconds, with the delay of the link.
    pub time: f64,
    /// Share of its recent requests that failed.
    pub failure_rate: f64,
    /// Whether the server was unreachable recently.
    pub suspect: bool,
}

/// How a server is chosen by expected time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Preference {
    /// Time of a request at a usual server without load, in seconds.
    pub usual: f64,
    /// Time above the shortest up to which servers are about equal, in seconds.
    pub tolerance: f64,
    /// Whether requests with the same hash are to reach the same server among those that are about equal.
    pub affinity: bool,
}

/// Returns the index of the candidate to send the request to, if there is any: the better of two that
/// the hash of the request selects among those that are about equal, or with affinity the one that it
/// selects.
///
/// Entries with the same reports therefore do not all select the same server, and none selects one that
/// is known to be much slower. Source: M. Mitzenmacher, "How Useful Is Old Information?", 2000.
#[must_use]
pub fn choose_by_time(
    candidates: &[TimedCandidate],
    preference: Preference,
    request_hash: u64,
) -> Option<usize> {
    let lowest_failure_rate = candidates
        .iter()
        .map(|candidate| candidate.failure_rate)
        .fold(f64::INFINITY, f64::min);
    let cost = |candidate: &TimedCandidate| {
        let excess = candidate.failure_rate - lowest_failure_rate;
        candidate.time + FAILURE_LOAD * excess * preference.usual
    };
    let only_suspect = candidates.iter().all(|candidate| candidate.suspect);
    let usable = |candidate: &TimedCandidate| only_suspect || !candidate.suspect;
    let lowest = candidates.iter().filter(|candidate| usable(candidate));
    let limit = lowest.map(cost).fold(f64::INFINITY, f64::min) + preference.tolerance;
    let mut chosen: [Option<(u64, f64, usize)>; 2] = [None, None];
    for (index, candidate) in candidates.iter().enumerate() {
        let cost = cost(candidate);
        if cost > limit || !usable(candidate) {
            continue;
        }
        let weight = mix(candidate.hash ^ request_hash);
        let outranks =
            |other: Option<(u64, f64, usize)>| other.is_none_or(|(other, ..)| weight > other);
        if outranks(chosen[0]) {
            chosen = [Some((weight, cost, index)), chosen[0]];
        } else if outranks(chosen[1]) {
            chosen[1] = Some((weight, cost, index));
        }
    }
    match chosen {
        [Some((_, first, _)), Some((_, second, index))]
            if second < first && !preference.affinity =>
        {
            Some(index)
        }
        [first, _] => first.map(|(_, _, index)| index),
    }
}

/// Share of the returned servers, as a fraction, that is taken from the entry's own failure domain,
/// where most streams run.
const LOCAL_SHARE: (usize, usize) = (5, 8);

/// Returns the indices of the servers, at most `count`, to which [`choose`] has probably sent the
/// request with the hash `request_hash`: among equally loaded servers the hash decides.
///
/// After all entries have restarted, callers resume their streams at entries that have no state for
/// them. Querying every server of a large fleet would take longer than repeating the prefill.
#[must_use]
pub fn likely_servers(servers: &[(u64, Proximity)], request_hash: u64, count: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.sort_by_key(|index| Reverse(mix(servers[*index].0 ^ request_hash)));
    let (mut local, mut remote): (Vec<usize>, Vec<usize>) = order
        .into_iter()
        .partition(|index| servers[*index].1 == Proximity::FailureDomain);
    let local_count = count * LOCAL_SHARE.0 / LOCAL_SHARE.1;
    let remote_count = remote.len().min(count - local_count);
    local.truncate(count - remote_count);
    remote.truncate(count - local.len());
    local.append(&mut remote);
    local
}
