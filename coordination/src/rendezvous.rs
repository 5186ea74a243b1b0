//! Rendezvous hashing of entries: the ranking by which a few of them read a topic of the platform on
//! behalf of the others.
//!
//! ```
//! use medlarfall_coordination::rendezvous::rank;
//!
//! let entries = ["entry-1", "entry-2", "entry-3"];
//! let mut ranks = entries.map(|own| {
//!     rank("declarations", own, entries.into_iter().filter(|other| *other != own))
//! });
//! ranks.sort_unstable();
//! assert_eq!(ranks, [0, 1, 2]);
//! ```

use std::hash::{Hash, Hasher};

use xxhash_rust::xxh3::Xxh3;

/// Returns the rank of `own` among all entries for a topic, from 0. The loss of one entry leaves the
/// order of the others unchanged.
pub fn rank<'a>(topic: &str, own: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let own = weight(topic, own);
    others.filter(|other| weight(topic, other) > own).count()
}

/// Returns the weight of an entry for a topic; the name breaks ties.
fn weight<'a>(topic: &str, name: &'a str) -> (u64, &'a str) {
    let mut hasher = Xxh3::new();
    (topic, name).hash(&mut hasher);
    (hasher.finish(), name)
}
