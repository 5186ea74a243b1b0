//! How services are moved to another version.

use std::time::Duration;

use medlarfall_coordination::evidence::Tolerance;
use medlarfall_coordination::rollout::FULL_SHARE;
use medlarfall_coordination::schedule::Plan;
use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Default pause between two evaluations of the evidence.
const INTERVAL: Duration = Duration::from_millis(50);

/// Section `[moves]`.
#[derive(Clone, Debug)]
pub struct Moves {
    /// Stages of the moves that are started at this entry.
    pub plan: Plan,
    /// How much worse than the old version a new one may be.
    pub tolerance: Tolerance,
    /// Pause between two evaluations of the evidence.
    pub interval: Duration,
}

impl Default for Moves {
    fn default() -> Self {
        Self {
            plan: Plan::default(),
            tolerance: Tolerance::default(),
            interval: INTERVAL,
        }
    }
}

impl TryFrom<raw::Moves> for Moves {
    type Error = Problem;

    fn try_from(raw: raw::Moves) -> Result<Self, Problem> {
        let default = Self::default();
        let floor = Duration::from_millis(default.plan.dwell_floor_ms);
        let floor = value::duration("moves.dwell_floor", raw.dwell_floor, floor)?;
        let ceiling = value::duration(
            "moves.dwell_ceiling",
            raw.dwell_ceiling,
            default.plan.ceiling().max(floor),
        )?;
        if floor > ceiling {
            return Err(value::invalid(
                "moves.dwell_floor",
                &humantime::format_duration(floor),
                "write at most as much as `moves.dwell_ceiling`",
            ));
        }
        let requests = usize::try_from(default.plan.requests).unwrap_or(usize::MAX);
        let requests = value::count("moves.requests", raw.requests, requests)?;
        Ok(Self {
            plan: Plan {
                shares: shares(raw.shares, default.plan.shares)?,
                dwell_floor_ms: milliseconds(floor),
                dwell_ceiling_ms: milliseconds(ceiling),
                requests: requests as u64,
            },
            tolerance: Tolerance {
                false_alarm: false_alarm(raw.false_alarm_one_in, default.tolerance.false_alarm)?,
                slack: value::duration(
                    "moves.latency_slack",
                    raw.latency_slack,
                    default.tolerance.slack,
                )?,
                ..default.tolerance
            },
            interval: value::duration("moves.interval", raw.interval, default.interval)?,
        })
    }
}

/// Returns the shares of the stages, which must increase up to `FULL_SHARE`.
fn shares(shares: Vec<u64>, default: Vec<u64>) -> Result<Vec<u64>, Problem> {
    if shares.is_empty() {
        return Ok(default);
    }
    let increasing = shares.windows(2).all(|pair| pair[0] < pair[1]);
    if !increasing || shares[0] == 0 || shares.last() != Some(&FULL_SHARE) {
        return Err(value::invalid(
            "moves.shares",
            &format!("{shares:?}"),
            "write growing thousandths that end with 1000, such as [10, 100, 1000]",
        ));
    }
    Ok(shares)
}

/// Returns the probability of a false alarm, given as one in this many moves.
fn false_alarm(one_in: Option<u64>, default: f64) -> Result<f64, Problem> {
    let one_in = one_in.map(|one_in| value::count("moves.false_alarm_one_in", Some(one_in), 1));
    let one_in = one_in.transpose()?.map(u32::try_from);
    match one_in {
        None => Ok(default),
        Some(Ok(one_in)) if one_in > 1 => Ok(1.0 / f64::from(one_in)),
        Some(_) => Err(value::invalid(
            "moves.false_alarm_one_in",
            "out of range",
            "write a number from 2 to 4294967295, such as 100",
        )),
    }
}

/// Returns a duration in whole milliseconds.
fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
