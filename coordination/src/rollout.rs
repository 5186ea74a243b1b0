//! The state of a move from one version to another, as a lattice that peers merge by join.
//!
//! The stage grows, a brake absorbs stages, and the recorded end absorbs both. A record of a later
//! move replaces the record of an earlier one.
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

/// The whole of a service's requests, in thousandths.
pub const FULL_SHARE: u64 = 1_000;

/// How far a move has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The share of this index of the plan goes to the new version.
    Stage(usize),
    /// An entry has evidence against the new version, which gets no more requests; the end is not
    /// yet recorded.
    Braked {
        /// The evidence.
        reason: Arc<str>,
    },
    /// Recorded: the new version serves.
    Done,
    /// Recorded: the old version serves.
    TakenBack {
        /// Why.
        reason: Arc<str>,
    },
}

impl Phase {
    /// Returns whether this is a recorded end.
    #[must_use]
    pub fn ended(&self) -> bool {
        matches!(self, Self::Done | Self::TakenBack { .. })
    }

    /// Returns the order of phases; a later one absorbs an earlier one.
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
    /// Number of the move of this service; it grows with each move.
    pub number: u64,
    /// Identifier that the operator gave.
    pub id: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Version in force before the move.
    pub from: Arc<str>,
    /// Version that is moved to.
    pub to: Arc<str>,
    /// Stages and their bounds.
    pub plan: Plan,
    /// Time by which the move must have ended, in milliseconds of Unix time.
    pub deadline_ms: u64,
    /// How far the move has come.
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

    /// Merges two records of a service: the later move, and of one move the later phase.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        let ours = (self.number, &self.id, &self.phase);
        let theirs = (other.number, &other.id, &other.phase);
        if ours >= theirs { self } else { other }
    }

    /// Returns the record with a brake, unless its end is recorded or a brake absorbs this one.
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

    /// Returns the record one stage on; after the last stage it is done. A brake or an end stays.
    #[must_use]
    pub fn advance(self) -> Self {
        let phase = match self.phase {
            Phase::Stage(index) if index + 1 < self.plan.shares.len() => Phase::Stage(index + 1),
            Phase::Stage(_) => Phase::Done,
            phase => phase,
        };
        Self { phase, ..self }
    }

    /// Returns the record as it may be stored: a brake becomes the recorded end.
    #[must_use]
    pub fn recorded(self) -> Self {
        let phase = match self.phase {
            Phase::Braked { reason } => Phase::TakenBack { reason },
            phase => phase,
        };
        Self { phase, ..self }
    }

    /// Returns what is to be stored where `stored` stands, or nothing if `stored` stays.
    ///
    /// An end that is stored is never changed, nor is the record of another move.
    #[must_use]
    pub fn replacement_for(self, stored: &Self) -> Option<Self> {
        let same = self.number == stored.number && self.id == stored.id;
        let later = self.phase > stored.phase;
        let open = same && later && !stored.phase.ended();
        open.then(|| self.recorded())
    }

    /// Returns the share of requests that goes to the new version, in thousandths.
    #[must_use]
    pub fn share(&self) -> u64 {
        match &self.phase {
            Phase::Stage(index) => self.plan.shares.get(*index).copied().unwrap_or(0),
            Phase::Done => FULL_SHARE,
            Phase::Braked { .. } | Phase::TakenBack { .. } => 0,
        }
    }

    /// Returns the version that a request goes to.
    ///
    /// The choice depends on nothing but the move and the request's identifier, so that the share
    /// over all entries is that of the stage, and a request that goes to the new version at one
    /// stage does so at every later stage.
    #[must_use]
    pub fn version(&self, request_id: &str) -> &Arc<str> {
        let lot = xxh3_64_with_seed(request_id.as_bytes(), self.number) % FULL_SHARE;
        if lot < self.share() {
            &self.to
        } else {
            &self.from
        }
    }
}
