//! HMAC-SHA256 over a list of byte strings.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::configs::keys::Secret;

/// Length of an authentication code, in bytes.
pub const LENGTH: usize = 32;

/// Returns the authentication code of `parts`. Each part is prefixed with its length, so that
/// different lists never have the same input.
#[must_use]
pub fn code(key: &Secret, parts: &[&[u8]]) -> [u8; LENGTH] {
    hasher(key, parts).finalize().into_bytes().into()
}

/// Returns whether `candidate` is the authentication code of `parts`; compares in constant time.
#[must_use]
pub fn verify(key: &Secret, parts: &[&[u8]], candidate: &[u8]) -> bool {
    hasher(key, parts).verify_slice(candidate).is_ok()
}

/// Returns a hasher that has processed `parts`.
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
