//! The caller's identifier of a call: a `UUIDv7`, which contains the time at which it was made.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use snafu::Snafu;
use uuid::Uuid;

use super::Body;

/// Prefix of the store keys of claims.
pub const PREFIX: &str = "claims/";

/// Time span whose claims are deleted together after they have expired.
pub const BUCKET: Duration = Duration::from_mins(1);

/// Length, in bytes, of the hash of account and service in a key.
const SCOPE_BYTES: usize = 16;

/// Why an identifier was refused.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The text is not a `UUIDv7`.
    #[snafu(display("`{text}` is not a UUID of version 7; make a new one for each new call"))]
    Malformed {
        /// The text that was sent, cut to 64 characters.
        text: String,
    },
    /// The identifier is older than the retention period of answers.
    #[snafu(display(
        "the identifier is older than {} s, and whether its call ran is no longer known; read the record, then decide whether to call again with a new one",
        window.as_secs()
    ))]
    TooOld {
        /// Retention period of answers.
        window: Duration,
    },
    /// The identifier was made in the future, by more than the tolerated clock skew.
    #[snafu(display(
        "the identifier lies more than {} s in the future; set the clock of the machine that made it",
        skew.as_secs()
    ))]
    FromFuture {
        /// Tolerated clock skew.
        skew: Duration,
    },
}

/// Validity period of identifiers.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Age above which identifiers are refused.
    pub retention: Duration,
    /// Tolerated skew between the clocks of callers and entries.
    pub skew: Duration,
}

/// A caller's identifier that was valid when it was checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identifier {
    id: Uuid,
    made: Duration,
}

impl Identifier {
    /// Parses and validates an identifier; `now` is the time since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a `UUIDv7` or its time lies outside the window.
    pub fn check(text: &str, now: Duration, window: Window) -> Result<Self, Error> {
        let id = Uuid::try_parse(text).ok();
        let id = id.filter(|id| id.get_version_num() == 7);
        let made = id.and_then(|id| id.get_timestamp());
        let (Some(id), Some(made)) = (id, made) else {
            let text = text.chars().take(64).collect();
            return Err(Error::Malformed { text });
        };
        let (seconds, nanos) = made.to_unix();
        let made = Duration::new(seconds, nanos);
        match made {
            _ if made > now + window.skew => Err(Error::FromFuture { skew: window.skew }),
            _ if made + window.retention < now => Err(Error::TooOld {
                window: window.retention,
            }),
            _ => Ok(Self { id, made }),
        }
    }

    /// Returns the store key of the claim on this identifier for one account and service.
    #[must_use]
    pub fn key(&self, account: &str, service: &str) -> String {
        let scope = hex(&digest(&[account.as_bytes(), service.as_bytes()])[..SCOPE_BYTES]);
        let bucket = prefix(bucket(self.made));
        format!("{bucket}{}-{scope}", self.id.simple())
    }
}

/// Returns the bucket number of a time since the Unix epoch.
#[must_use]
pub fn bucket(made: Duration) -> u64 {
    made.as_secs() / BUCKET.as_secs()
}

/// Returns the prefix of the store keys in a bucket.
#[must_use]
pub fn prefix(bucket: u64) -> String {
    format!("{PREFIX}{bucket:08x}/")
}

/// Returns the newest bucket in which every identifier has expired at every entry, whatever the
/// clock skew between them.
#[must_use]
pub fn sweepable(now: Duration, window: Window) -> Option<u64> {
    let margin = window.retention + window.skew + window.skew;
    let before = now.checked_sub(margin)?;
    bucket(before).checked_sub(1)
}

/// Returns the hash of the request to which an identifier is bound.
#[must_use]
pub fn binding(method: &str, path: &str, body: &[u8]) -> Arc<str> {
    let hash = digest(&[method.as_bytes(), path.as_bytes(), body]);
    Arc::from(hex(&hash))
}

/// Returns the stored form of a body.
#[must_use]
pub fn encode_body(body: &[u8]) -> Body {
    match str::from_utf8(body) {
        Ok(text) => Body::Text(Arc::from(text)),
        Err(_) => Body::Hex(Arc::from(hex(body))),
    }
}

/// Returns the bytes of a stored body, or nothing if it is not valid hexadecimal.
#[must_use]
pub fn decode_body(body: &Body) -> Option<Vec<u8>> {
    match body {
        Body::Text(text) => Some(text.as_bytes().to_vec()),
        Body::Hex(text) => text
            .as_bytes()
            .chunks(2)
            .map(|pair| u8::from_str_radix(str::from_utf8(pair).ok()?, 16).ok())
            .collect(),
    }
}

/// Returns the hash of a list of parts, each preceded by its length so that different lists do not
/// hash the same bytes.
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// Encodes bytes in hexadecimal.
fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
