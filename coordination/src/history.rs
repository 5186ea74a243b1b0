//! Positions in the history of a store that may be restored from a copy.
//!
//! A restore takes the newest changes back, and the store gives out their revisions again for other
//! changes. It also begins a new era. Revisions are therefore ordered by era first.
//!
//! ```
//! use medlarfall_coordination::history::Revision;
//!
//! let lost = Revision { era: 1, number: 40 };
//! let written_after_the_restore = Revision { era: 2, number: 36 };
//! assert!(lost < written_after_the_restore);
//! ```

/// A revision of the store.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Revision {
    /// Era of the store, which increases with each restore; 0 if it is not known.
    pub era: u64,
    /// The store's counter, which increases with each change within an era.
    pub number: u64,
}

impl Revision {
    /// Returns this revision with `era` if it names none, as in messages of entries that know no eras.
    #[must_use]
    pub fn or_era(self, era: u64) -> Self {
        match self.era {
            0 => Self { era, ..self },
            _ => self,
        }
    }

    /// Returns whether this may be a revision of a history that had ended when `other` was given out: its era
    /// is an earlier one or not known.
    #[must_use]
    pub fn is_of_earlier_era(self, other: Self) -> bool {
        self != Self::default() && self.era < other.era
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}", self.era, self.number)
    }
}
