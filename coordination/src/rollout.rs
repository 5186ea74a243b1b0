//! The state of a move from one version to another, as a join-semilattice that peers merge.
//!
//! A later stage replaces an earlier one, a brake absorbs all stages, and a recorded end absorbs
//! both. The record of a later move replaces that of an earlier one.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::rollout::{Phase, Record};
//! use medlarfall_coordination::schedule::Plan;
//!
//! let record = Record::new("id", "briefs", "v1", "v2", Plan::default(), 1_000);
//! let ahead = Record { phase: Phase::Stage(1), ..record.clone() };
//! let braked = record.clone().brake("fails");
//! assert_eq!(ahead.clone().join(braked.clone()), braked.clone().join(ahead));
//! assert_eq!(braked.share(), 0);
//! ```

use std::cmp::Ordering;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::schedule::Plan;

/// All of a service's requests, in thousandths.
pub const FULL_SHARE: u64 = 1_000;

/// Share of requests that each stage leaves to the old version, so that both versions are measured over
/// the same time.
const BASELINE_SHARE: u64 = 100;

/// The phase of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The new version gets the share with this index in the plan.
    Stage(usize),
    /// An entry has evidence against the new version, which gets no more requests. The end is not
    /// yet recorded in the store.
    Braked {
        /// The evidence.
        reason: Arc<str>,
    },
    /// Recorded end: the new version stays in use.
    Done,
    /// Recorded end: the old version stays in use.
    TakenBack {
        /// Reason for taking the move back.
        reason: Arc<str>,
    },
}

impl Phase {
    /// Returns whether the end of the move is recorded.
    #[must_use]
    pub fn ended(&self) -> bool {
        matches!(self, Self::Done | Self::TakenBack { .. })
    }

    /// Returns the sort key of the phase; a higher phase absorbs a lower one.
    fn rank(&self) -> (u8, usize, &str) {
        match self {
            Self::Stage(index) => (0, *index, ""),
            Self::Braked { reason } => (1, 0, reason),
            Self::Done => (2, 0, ""),
            Self::TakenBack { reason } => (3, 0, reason),
        }
    }
}

impl Ord for Phase {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl PartialOrd for Phase {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A move of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Sequence number of the move within the service; a later move has a higher one.
    pub number: u64,
    /// Identifier that the operator gave.
    pub id: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Version in force before the move.
    pub from: Arc<str>,
    /// Version that the move leads to.
    pub to: Arc<str>,
    /// Stages and their limits.
    pub plan: Plan,
    /// Time by which the move must have ended, in milliseconds of Unix time.
    pub deadline_ms: u64,
    /// Phase of the move.
    pub phase: Phase,
}

impl Record {
    /// Returns the first move of a service, at its first stage.
    #[must_use]
    pub fn new(
        id: &str,
        service: &str,
        from: &str,
        to: &str,
        plan: Plan,
        deadline_ms: u64,
    ) -> Self {
        Self {
            number: 1,
            id: Arc::from(id),
            service: Arc::from(service),
            from: Arc::from(from),
            to: Arc::from(to),
            plan,
            deadline_ms,
            phase: Phase::Stage(0),
        }
    }

    /// Merges two records of a service: keeps the later move, or the later phase of the same move.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        let ours = (self.number, &self.id, &self.phase);
        let theirs = (other.number, &other.id, &other.phase);
        if ours >= theirs { self } else { other }
    }

    /// Returns the record with a brake, unless a recorded end or another brake absorbs it.
    #[must_use]
    pub fn brake(self, reason: &str) -> Self {
        let braked = Self {
            phase: Phase::Braked {
                reason: Arc::from(reason),
            },
            ..self.clone()
        };
        self.join(braked)
    }

    /// Returns the record at the next stage, or done after the last one. A brake or an end stays.
    #[must_use]
    pub fn advance(self) -> Self {
        let phase = match self.phase {
            Phase::Stage(index) if index + 1 < self.plan.shares.len() => Phase::Stage(index + 1),
            Phase::Stage(_) => Phase::Done,
            phase => phase,
        };
        Self { phase, ..self }
    }

    /// Returns the record in the form that is stored: a brake becomes the recorded end.
    #[must_use]
    pub fn recorded(self) -> Self {
        let phase = match self.phase {
            Phase::Braked { reason } => Phase::TakenBack { reason },
            phase => phase,
        };
        Self { phase, ..self }
    }

    /// Returns the record that is to replace `stored`, or `None` if `stored` stays.
    ///
    /// A stored end is never changed, nor is the record of another move.
    #[must_use]
    pub fn replacement_for(self, stored: &Self) -> Option<Self> {
        let same_move = self.number == stored.number && self.id == stored.id;
        let later = self.phase > stored.phase;
        let replaces = same_move && later && !stored.phase.ended();
        replaces.then(|| self.recorded())
    }

    /// Returns whether the move is at the last stage of its plan.
    #[must_use]
    pub fn at_last_stage(&self) -> bool {
        matches!(self.phase, Phase::Stage(index) if index + 1 >= self.plan.shares.len())
    }

    /// Returns the share of requests that the new version gets, in thousandths.
    #[must_use]
    pub fn share(&self) -> u64 {
        match &self.phase {
            Phase::Stage(index) => {
                let share = self.plan.shares.get(*index).copied().unwrap_or(0);
                share.min(FULL_SHARE - BASELINE_SHARE)
            }
            Phase::Done => FULL_SHARE,
            Phase::Braked { .. } | Phase::TakenBack { .. } => 0,
        }
    }

    /// Returns the version that a request is sent to.
    ///
    /// The choice depends only on the move and the request's identifier. The share over all entries
    /// is therefore that of the stage, and a request that is sent to the new version at one stage is
    /// sent there at every later stage.
    #[must_use]
    pub fn version(&self, request_id: &str) -> &Arc<str> {
        let bucket = xxh3_64_with_seed(request_id.as_bytes(), self.number) % FULL_SHARE;
        if bucket < self.share() {
            &self.to
        } else {
            &self.from
        }
    }
}
