//! Placement: selects the backend server that a request is offered to.
//!
//! Servers are grouped by proximity (own failure domain, own region, anywhere). Within a group the
//! server is selected by rendezvous hashing on the prompt's prefix, so that prompts with a common
//! prefix reach the same cache. A server whose load exceeds its bound is ranked behind the others of
//! its group.
//!
//! ```
//! use medlarfall_coordination::placement::{Candidate, Proximity, choose};
//!
//! let near = Candidate { hash: 1, proximity: Proximity::FailureDomain, used: 10, capacity: 100, fits: true };
//! let far = Candidate { hash: 2, proximity: Proximity::Region, used: 0, capacity: 100, fits: true };
//! assert_eq!(choose(&[far, near], 7), Some(1));
//! let full = Candidate { fits: false, ..near };
//! assert_eq!(choose(&[far, full], 7), Some(0));
//! ```

use std::cmp::Reverse;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Memory in use, in percent of its group's average, above which a server is ranked behind the
/// others. Source: V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing with
/// Bounded Loads", 2018.
const LOAD_BOUND_PERCENT: u64 = 125;

/// Words of a prompt that count as its prefix.
const PREFIX_WORDS: usize = 16;

/// Proximity of a server to the entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Proximity {
    /// In the entry's own failure domain.
    FailureDomain,
    /// In the entry's own region.
    Region,
    /// Anywhere else.
    Anywhere,
}

/// A server that the request can be offered to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Hash of the server's name, from [`name_hash`].
    pub hash: u64,
    /// Proximity of the server to the entry.
    pub proximity: Proximity,
    /// Memory in use as far as this entry knows, in tokens.
    pub used: u64,
    /// Total usable memory, in tokens.
    pub capacity: u64,
    /// Whether the request can be sent to the server now.
    pub fits: bool,
}

/// Returns the hash of a server's name.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the hash of a prompt's prefix.
#[must_use]
pub fn prefix_hash(prompt: &str) -> u64 {
    prompt
        .split_whitespace()
        .take(PREFIX_WORDS)
        .fold(0, |hash, word| xxh3_64_with_seed(word.as_bytes(), hash))
}

/// Returns the index of the candidate to send the request to, if any fits.
#[must_use]
pub fn choose(candidates: &[Candidate], prefix: u64) -> Option<usize> {
    let mut groups = [(0_u64, 0_u64); 3];
    for candidate in candidates {
        let (used, capacity) = &mut groups[candidate.proximity as usize];
        *used = used.saturating_add(candidate.used);
        *capacity = capacity.saturating_add(candidate.capacity);
    }
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.fits)
        .min_by_key(|(_, candidate)| {
            let group = groups[candidate.proximity as usize];
            let weight = mix(candidate.hash ^ prefix);
            (
                candidate.proximity,
                above_bound(candidate, group),
                Reverse(weight),
            )
        })
        .map(|(index, _)| index)
}

/// Returns whether a candidate's memory in use exceeds the bound set by its group's average.
fn above_bound(candidate: &Candidate, (used, capacity): (u64, u64)) -> bool {
    let own = candidate.used.saturating_mul(capacity).saturating_mul(100);
    let bound = used
        .saturating_mul(candidate.capacity)
        .saturating_mul(LOAD_BOUND_PERCENT);
    own > bound
}

/// Mixes the bits of a hash. Source: `fmix64` of A. Appleby's `MurmurHash3`.
pub(crate) fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
