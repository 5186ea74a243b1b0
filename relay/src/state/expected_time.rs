//! Chooses the server of a request by the time that it is expected to take there.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::balance::{self, Preference, TimedCandidate};
use medlarfall_coordination::dissemination::Node;
use medlarfall_coordination::kept_prompts::Savings;
use medlarfall_coordination::placement::Proximity;
use medlarfall_coordination::server_load::{Usual, Work};

use super::Backend;
use super::placement::{Criteria, Measure};

/// Delay that a server in another failure domain adds to a call: two round trips, one to connect, over a
/// link of 0.5 to 1.5 ms one way.
const REGION_DELAY: Duration = Duration::from_millis(4);

/// Delay that a server in another region adds to a call.
const DISTANT_DELAY: Duration = Duration::from_millis(8);

/// Difference of the expected times of servers that are about equal, as a share of the usual time of a
/// call. In simulations with 12 entries, a quarter lengthened the longest waits by a tenth.
const CALL_TOLERANCE: f64 = 0.05;

/// The same for streams, as a share of the usual time of a prompt. It is larger, so that prompts with a
/// common prefix reach the same servers.
const STREAM_TOLERANCE: f64 = 0.25;

/// Part (1/n) of a prompt from which servers that save it are preferred with the tolerance of calls.
const LEAST_SAVING: u64 = 4;

/// Time that a server in another failure domain adds to a stream, as a share of the usual time of a
/// prompt: the stream must move if the failure domains are cut off from each other.
const REMOTE_STREAM: f64 = 0.5;

/// Time after which the usual values of a service are computed anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether requests are placed by expected time: some server reports its slowness. Backups take no
/// time at a server.
pub(super) fn applies(fitting: &[&Arc<Backend>], measure: Measure) -> bool {
    let takes_time = !matches!(measure, Measure::BackupMemory(_));
    takes_time && fitting.iter().any(|backend| backend.reports_slowness())
}

/// What is known of the servers apart from their own estimates.
pub(super) struct Known<'view> {
    /// Streams of other entries.
    pub(super) node: &'view Node,
    /// Tokens of the prompt that servers probably have in their caches.
    pub(super) savings: Savings,
    /// Usual values of the service.
    pub(super) usual: Usual,
}

/// Returns the index of the chosen server, and the time that the request is expected to take there, in
/// seconds.
pub(super) fn choose(
    fitting: &[&Arc<Backend>],
    criteria: Criteria,
    known: &Known,
    now: Duration,
) -> Option<(usize, f64)> {
    let Known {
        node,
        savings,
        usual,
    } = known;
    let prompt_time = usual.token * usual.prompt;
    let (usual_time, tolerance, affinity) = match criteria.measure {
        Measure::Calls { .. } => (usual.call, CALL_TOLERANCE, false),
        // A saving of most of the prompt goes before the affinity of prompts with a common prefix. A small one
        // does not: streams that left their usual servers for a fortieth of a prompt were late more often.
        Measure::Streams {
            prompt_tokens: Some(tokens),
            ..
        } if savings.most() > tokens / LEAST_SAVING => (prompt_time, CALL_TOLERANCE, true),
        Measure::Streams { .. } | Measure::BackupMemory(_) => (prompt_time, STREAM_TOLERANCE, true),
    };
    let remote_stream = criteria.remote_penalty * REMOTE_STREAM * prompt_time;
    let delay = |proximity| match (criteria.measure, proximity) {
        (_, Proximity::FailureDomain) => 0.0,
        (Measure::Calls { .. }, Proximity::Region) => REGION_DELAY.as_secs_f64(),
        (Measure::Calls { .. }, Proximity::Anywhere) => DISTANT_DELAY.as_secs_f64(),
        (_, Proximity::Region) => remote_stream,
        (_, Proximity::Anywhere) => 2.0 * remote_stream,
    };
    let mut candidates: Vec<TimedCandidate> = Vec::with_capacity(fitting.len());
    for backend in fitting {
        let peers = node.streams_at(backend.tag(), now);
        let (work, memory) = match criteria.measure {
            Measure::Calls { .. } => (Work::Call, None),
            Measure::Streams {
                prompt_tokens,
                memory,
            } => (
                Work::Stream {
                    prompt_tokens,
                    peers,
                },
                memory,
            ),
            Measure::BackupMemory(memory) => {
                let prompt_tokens = None;
                (
                    Work::Stream {
                        prompt_tokens,
                        peers,
                    },
                    Some(memory),
                )
            }
        };
        let mut candidate = backend.timed_candidate(now, work);
        if let Measure::Streams { prompt_tokens, .. } = criteria.measure
            && !savings.is_empty()
        {
            let saved = savings.at(backend.tag());
            let saved =
                backend.estimate(|estimate| estimate.saved_seconds(prompt_tokens, saved, now));
            candidate.time = (candidate.time - saved).max(0.0);
        }
        if let Some(memory) = memory {
            let count = backend.load(|load| load.streams()).plus(peers);
            candidate.time += memory.load(count) * prompt_time;
        }
        candidate.time += delay(backend.proximity);
        candidates.push(candidate);
    }
    let preference = Preference {
        usual: usual_time,
        tolerance: tolerance * usual_time,
        affinity,
    };
    let index = balance::choose_by_time(&candidates, preference, criteria.request_hash)?;
    Some((index, candidates[index].time))
}

/// Usual values of a service, which are refreshed from time to time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Service {
    usual: Usual,
    refreshed_at: Option<Duration>,
}

impl Service {
    /// Returns the usual values. If they are due, they become the means of those of the servers, and the
    /// servers' estimates use them where their own values are little known.
    pub(super) fn refresh(&mut self, fitting: &[&Arc<Backend>], now: Duration) -> Usual {
        let due = |at: Duration| now.saturating_sub(at) >= REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(|at| !due(at)) {
            return self.usual;
        }
        let mut mean = Usual {
            call: 0.0,
            token: 0.0,
            prompt: 0.0,
        };
        let part = 1.0 / f64::from(u32::try_from(fitting.len()).unwrap_or(u32::MAX).max(1));
        for backend in fitting {
            let own = backend.estimate(|estimate| {
                estimate.set_usual(self.usual);
                estimate.usual(now)
            });
            mean.call += own.call * part;
            mean.token += own.token * part;
            mean.prompt += own.prompt * part;
        }
        self.usual = mean;
        self.refreshed_at = Some(now);
        mean
    }
}
