//! The stages of a move and the time of each transition, computed backwards from the deadline.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::schedule::{Decision, Plan, Progress};
//!
//! let plan = Plan::default();
//! let progress = Progress {
//!     stage: 0,
//!     in_stage: plan.ceiling(),
//!     remaining: Duration::from_secs(3_600),
//!     requests: plan.requests,
//!     proved: true,
//! };
//! assert_eq!(plan.decide(progress), Decision::Advance);
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The stages of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Share of requests that the new version gets at each stage, in thousandths; the last is 1000.
    pub shares: Vec<u64>,
    /// Shortest time at a stage, in milliseconds.
    pub dwell_floor_ms: u64,
    /// Longest time at a stage that has enough evidence, in milliseconds.
    pub dwell_ceiling_ms: u64,
    /// Minimum number of requests that the new version must answer at each stage.
    pub requests: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            shares: vec![10, 50, 250, 500, 1_000],
            dwell_floor_ms: 10_000,
            dwell_ceiling_ms: 600_000,
            requests: 30,
        }
    }
}

/// The progress of a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Index of the current stage.
    pub stage: usize,
    /// Time since the stage began.
    pub in_stage: Duration,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Requests that the new version has answered at this stage.
    pub requests: u64,
    /// Whether the new version is proved sound, without evidence against it.
    pub proved: bool,
}

/// The next transition of a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The move stays at its stage.
    Stay,
    /// The move advances to the next stage, or is done after the last.
    Advance,
    /// The new version cannot be proved good by the deadline, and the move is taken back.
    Revert,
}

impl Plan {
    /// Returns the shortest time in which a move can end.
    #[must_use]
    pub fn shortest(&self) -> Duration {
        Duration::from_millis(self.dwell_floor_ms.saturating_mul(self.shares.len() as u64))
    }

    /// Returns the longest time at a stage that has enough evidence.
    #[must_use]
    pub fn ceiling(&self) -> Duration {
        Duration::from_millis(self.dwell_ceiling_ms)
    }

    /// Returns the shortest time that a move stays at a stage, with `remaining` until the deadline.
    ///
    /// Half of the remaining time is reserved for stages that need longer to collect evidence.
    #[must_use]
    pub fn dwell(&self, stage: usize, remaining: Duration) -> Duration {
        let stages = u32::try_from(self.stages_remaining(stage)).unwrap_or(u32::MAX);
        let floor = Duration::from_millis(self.dwell_floor_ms);
        (remaining / stages.saturating_mul(2).max(1)).clamp(floor, self.ceiling().max(floor))
    }

    /// Decides the next transition of a move, apart from a rejection for sufficient evidence.
    #[must_use]
    pub fn decide(&self, progress: Progress) -> Decision {
        let floor = Duration::from_millis(self.dwell_floor_ms);
        let later_stages =
            u32::try_from(self.stages_remaining(progress.stage) - 1).unwrap_or(u32::MAX);
        let required = floor.saturating_sub(progress.in_stage) + floor.saturating_mul(later_stages);
        let proved = progress.requests >= self.requests && progress.proved;
        let dwell = self.dwell(progress.stage, progress.remaining + progress.in_stage);
        match progress.remaining {
            remaining if remaining.is_zero() || remaining < required => Decision::Revert,
            _ if proved && progress.in_stage >= dwell => Decision::Advance,
            _ => Decision::Stay,
        }
    }

    /// Returns the number of stages from `stage` to the last, including both.
    fn stages_remaining(&self, stage: usize) -> usize {
        self.shares.len().saturating_sub(stage).max(1)
    }
}
