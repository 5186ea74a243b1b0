//! Message authentication codes over several parts.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::configs::keys::Secret;

/// Length of a code, in bytes.
pub const LENGTH: usize = 32;

/// Returns the code of `parts`; each is prefixed with its length, so that no two lists collide.
#[must_use]
pub fn code(key: &Secret, parts: &[&[u8]]) -> [u8; LENGTH] {
    hasher(key, parts).finalize().into_bytes().into()
}

/// Returns whether `candidate` is the code of `parts`, in constant time.
#[must_use]
pub fn verify(key: &Secret, parts: &[&[u8]], candidate: &[u8]) -> bool {
    hasher(key, parts).verify_slice(candidate).is_ok()
}

/// Returns a hasher that has taken `parts`.
fn hasher(key: &Secret, parts: &[&[u8]]) -> Hmac<Sha256> {
    let Ok(mut hasher) = Hmac::<Sha256>::new_from_slice(key.bytes()) else {
        unreachable!("HMAC takes keys of any length");
    };
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher
}
