//! Which of a service's servers a request is sent to, from what this entry knows of their load.
//!
//! The load that answers: several entries that spread requests over the same servers, each from
//! stale reports. An entry counts its own requests at once and those of the others from the
//! servers' reports, which fade with age; ties are broken by a hash of the request, so that
//! entries with the same reports do not all choose the same server.

use std::cmp::Reverse;
use std::time::Duration;

use crate::placement::{Proximity, mix};
use crate::shared_load::Count;

/// Weight of a new outcome in a server's share of failures. 1/8 lets three failures in a row
/// outweigh a loss of a third.
const OUTCOME_WEIGHT: f64 = 1.0 / 8.0;

/// Load, in requests, that a server's share of failures counts for when all of them fail.
const FAULT_LOAD: f64 = 24.0;

/// Load of a stream that makes events, in prompts that are read: each adds some percent to a step
/// and holds memory that a prompt needs.
const RUN_LOAD: f64 = 0.2;

/// First time that a server which cannot be reached is put behind the others. Source: an engine
/// that crashed takes about a second to start again.
const FIRST_SUSPICION: Duration = Duration::from_secs(1);

/// Longest time that a server which cannot be reached is put behind the others.
const LONGEST_SUSPICION: Duration = Duration::from_secs(4);

/// Time for which an answer speaks against what other entries say.
const OWN_EVIDENCE: Duration = Duration::from_millis(300);

/// Time that a server which others could not reach is put behind the others; they tell it again
/// while it lasts.
const TOLD_SUSPICION: Duration = Duration::from_millis(500);

/// What is known of one server's load and health.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    own: u32,
    reading: u32,
    others: f64,
    reported_at: Duration,
    faults: f64,
    answered_at: Duration,
    suspected_until: Duration,
    suspicions: u32,
}

impl Load {
    /// Counts a request that is sent.
    pub fn request_started(&mut self) {
        self.own = self.own.saturating_add(1);
    }

    /// Counts a request that has ended.
    pub fn request_ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Returns the requests of this entry at the server.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own
    }

    /// Counts a stream whose first event is awaited.
    pub fn prefill_started(&mut self) {
        self.reading = self.reading.saturating_add(1);
    }

    /// Counts a stream whose first event came, or that ended before it.
    pub fn prefill_ended(&mut self) {
        self.reading = self.reading.saturating_sub(1);
    }

    /// Returns the streams of this entry at the server.
    #[must_use]
    pub fn streams(&self) -> Count {
        Count {
            streams: self.own,
            prefilling: self.reading,
        }
    }

    /// Returns whether none of this entry's streams at the server has made an event.
    #[must_use]
    pub fn only_prefilling(&self) -> bool {
        self.reading >= self.own
    }

    /// Returns the load of streams, counted in prompts that are read: a stream that is past its
    /// prompt delays others by a fraction of what a prompt does.
    #[must_use]
    pub fn stream_load(&self, peers: Count) -> f64 {
        let reading = f64::from(self.reading + peers.prefilling);
        reading + f64::from(self.own + peers.streams) * RUN_LOAD
    }

    /// Takes in a report of all requests at the server, this entry's included.
    pub fn record_report(&mut self, requests: u32, now: Duration) {
        self.others = f64::from(requests.saturating_sub(self.own));
        self.reported_at = now;
    }

    /// Notes how a request ended at the server.
    pub fn record_outcome(&mut self, failed: bool, now: Duration) {
        self.answered_at = now;
        let value = if failed { 1.0 } else { 0.0 };
        self.faults += (value - self.faults) * OUTCOME_WEIGHT;
        if !failed {
            self.suspicions = 0;
            self.suspected_until = Duration::ZERO;
        }
    }

    /// Notes that the server could not be reached, or was lost.
    pub fn record_unreachable(&mut self, now: Duration) {
        let doubled = FIRST_SUSPICION * 2_u32.pow(self.suspicions.min(4));
        self.suspicions = self.suspicions.saturating_add(1);
        self.suspected_until = now + doubled.min(LONGEST_SUSPICION);
    }

    /// Notes that another entry could not reach the server; returns whether this entry has not
    /// heard of it lately either, so that it is put behind the others for a short while.
    pub fn record_peer_unreachable(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.answered_at) < OWN_EVIDENCE {
            return false;
        }
        self.suspected_until = self.suspected_until.max(now + TOLD_SUSPICION);
        true
    }

    /// Returns whether the server is put behind the others.
    #[must_use]
    pub fn suspect(&self, now: Duration) -> bool {
        now < self.suspected_until
    }

    /// Returns the share of requests that failed lately.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.faults
    }

    /// Returns the requests that are probably at the server. Those of other entries fade over
    /// `horizon`, about as long as one of the service's requests lasts.
    #[must_use]
    pub fn estimate(&self, now: Duration, horizon: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let fresh = (-age / horizon.as_secs_f64().max(1e-3)).exp();
        f64::from(self.own) + self.others * fresh
    }
}

/// A server that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the server's name, from [`crate::placement::name_hash`].
    pub hash: u64,
    /// How near the server is.
    pub proximity: Proximity,
    /// Requests that are probably at the server.
    pub requests: f64,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Share of its requests that failed lately.
    pub failure_rate: f64,
    /// Whether it could not be reached lately.
    pub suspect: bool,
}

/// Returns the index of the candidate to send to. `distance` is the load, in requests, that a
/// server in another failure domain counts for; `lot` breaks ties.
#[must_use]
pub fn choose(candidates: &[Candidate], distance: f64, lot: u64) -> Option<usize> {
    let usual = candidates
        .iter()
        .map(|candidate| candidate.failure_rate)
        .fold(f64::INFINITY, f64::min);
    let cost = |candidate: &Candidate| {
        let over = (candidate.requests + 1.0 - f64::from(candidate.slots)).max(0.0);
        let away = match candidate.proximity {
            Proximity::FailureDomain => 0.0,
            Proximity::Region => distance,
            Proximity::Anywhere => 2.0 * distance,
        };
        candidate.requests + 4.0 * over + away + FAULT_LOAD * (candidate.failure_rate - usual)
    };
    candidates
        .iter()
        .enumerate()
        .min_by(|(_, left), (_, right)| {
            let order = left.suspect.cmp(&right.suspect);
            // Loads within half a request are alike: entries know no more of one another's.
            let level = |candidate: &Candidate| (cost(candidate) * 2.0).round();
            let weight = |candidate: &Candidate| Reverse(mix(candidate.hash ^ lot));
            order
                .then(level(left).total_cmp(&level(right)))
                .then(weight(left).cmp(&weight(right)))
        })
        .map(|(index, _)| index)
}

/// Part of the servers asked that are in the caller's own failure domain, where most streams run.
const NEAR_PART: (usize, usize) = (5, 8);

/// Returns the indices of the servers to which [`choose`] probably sent a request with the lot `lot`
/// before, at most `count`: among servers as loaded it sends to the one that the lot favours.
///
/// The load that answers: after all entries stopped at once, callers go on with their streams at
/// entries that know nothing of them; asking all servers of a large fleet would take longer than
/// reading the prompts anew.
#[must_use]
pub fn likely_servers(servers: &[(u64, Proximity)], lot: u64, count: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.sort_by_key(|index| Reverse(mix(servers[*index].0 ^ lot)));
    let (mut near, mut far): (Vec<usize>, Vec<usize>) = order
        .into_iter()
        .partition(|index| servers[*index].1 == Proximity::FailureDomain);
    let part = count * NEAR_PART.0 / NEAR_PART.1;
    let others = far.len().min(count - part);
    near.truncate(count - others);
    far.truncate(count - near.len());
    near.append(&mut far);
    near
}
