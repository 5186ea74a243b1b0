//! Chooses the server of a request by the time that it is expected to take there.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::balance::{self, TimedCandidate};
use medlarfall_coordination::dissemination::Node;
use medlarfall_coordination::placement::Proximity;
use medlarfall_coordination::server_load::{Usual, Work};

use super::Backend;
use super::placement::Criteria;

/// Delay that a server in another failure domain adds to a call: two round trips, one to connect, over a
/// link of 0.5 to 1.5 ms one way.
const REGION_DELAY: Duration = Duration::from_millis(4);

/// Delay that a server in another region adds to a call.
const DISTANT_DELAY: Duration = Duration::from_millis(8);

/// Difference of the expected times of servers that are about equal, as a share of the usual time of a
/// call.
const CALL_TOLERANCE: f64 = 0.05;

/// Returns whether requests are placed by expected time: some server reports its slowness.
pub(super) fn applies(fitting: &[&Arc<Backend>]) -> bool {
    fitting.iter().any(|backend| backend.reports_slowness())
}

/// Returns the index of the chosen server, and the usual values of the service.
pub(super) fn choose(
    fitting: &[&Arc<Backend>],
    criteria: Criteria,
    usual: Usual,
    node: &Node,
    now: Duration,
) -> Option<(usize, Usual)> {
    let _ = node;
    let mut sum = Usual {
        call: 0.0,
        token: 0.0,
        prompt: 0.0,
    };
    let candidates: Vec<TimedCandidate> = fitting
        .iter()
        .map(|backend| {
            let (candidate, own) = backend.timed_candidate(now, Work::Call, usual);
            sum.call += own.call;
            sum.token += own.token;
            sum.prompt += own.prompt;
            let delay = match backend.proximity {
                Proximity::FailureDomain => Duration::ZERO,
                Proximity::Region => REGION_DELAY,
                Proximity::Anywhere => DISTANT_DELAY,
            };
            TimedCandidate {
                time: candidate.time + delay.as_secs_f64(),
                ..candidate
            }
        })
        .collect();
    let number = f64::from(u32::try_from(candidates.len()).unwrap_or(u32::MAX)).max(1.0);
    let mean = Usual {
        call: sum.call / number,
        token: sum.token / number,
        prompt: sum.prompt / number,
    };
    let chosen = balance::choose_by_time(
        &candidates,
        usual.call,
        usual.call * CALL_TOLERANCE,
        criteria.request_hash,
    )?;
    Some((chosen, mean))
}
