//! The stages of a move and when it goes from one to the next, worked back from its deadline.
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
//!     suspect: false,
//! };
//! assert_eq!(plan.decide(progress), Decision::Advance);
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The stages of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Share of the new version at each stage, in thousandths; the last is the whole.
    pub shares: Vec<u64>,
    /// Shortest time at a stage, in milliseconds.
    pub dwell_floor_ms: u64,
    /// Longest time at a stage that is well proved, in milliseconds.
    pub dwell_ceiling_ms: u64,
    /// Fewest requests that the new version must have answered at each stage.
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

/// Where a move stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Index of the stage.
    pub stage: usize,
    /// Time since the stage began.
    pub in_stage: Duration,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Requests that the new version has answered at this stage.
    pub requests: u64,
    /// Whether the evidence leans against the new version without being enough.
    pub suspect: bool,
}

/// What a move does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It stays at its stage.
    Stay,
    /// It goes to the next stage, or is done after the last.
    Advance,
    /// It cannot be proved good by its deadline and returns.
    TakeBack,
}

impl Plan {
    /// Returns the shortest time in which a move can end.
    #[must_use]
    pub fn shortest(&self) -> Duration {
        Duration::from_millis(self.dwell_floor_ms.saturating_mul(self.shares.len() as u64))
    }

    /// Returns the longest time at a stage that is well proved.
    #[must_use]
    pub fn ceiling(&self) -> Duration {
        Duration::from_millis(self.dwell_ceiling_ms)
    }

    /// Returns how long a move stays at a stage at least, with the time `left` to the deadline.
    ///
    /// Half of the time left is kept in hand for stages that take longer to prove.
    #[must_use]
    pub fn dwell(&self, stage: usize, left: Duration) -> Duration {
        let stages = u32::try_from(self.stages_left(stage)).unwrap_or(u32::MAX);
        let floor = Duration::from_millis(self.dwell_floor_ms);
        (left / stages.saturating_mul(2).max(1)).clamp(floor, self.ceiling().max(floor))
    }

    /// Decides what a move does next, but for evidence that is enough against it.
    #[must_use]
    pub fn decide(&self, progress: Progress) -> Decision {
        let floor = Duration::from_millis(self.dwell_floor_ms);
        let later = u32::try_from(self.stages_left(progress.stage) - 1).unwrap_or(u32::MAX);
        let needed = floor.saturating_sub(progress.in_stage) + floor.saturating_mul(later);
        let proved = progress.requests >= self.requests && !progress.suspect;
        let dwell = self.dwell(progress.stage, progress.remaining + progress.in_stage);
        match progress.remaining {
            left if left.is_zero() || left < needed => Decision::TakeBack,
            _ if proved && progress.in_stage >= dwell => Decision::Advance,
            _ => Decision::Stay,
        }
    }

    /// Returns the number of stages from `stage` on, itself included.
    fn stages_left(&self, stage: usize) -> usize {
        self.shares.len().saturating_sub(stage).max(1)
    }
}
