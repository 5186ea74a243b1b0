//! Resume tokens, with which a caller resumes a generation at any entry after its entry was lost.
//!
//! A token is authenticated with HMAC-SHA256 under a key that all entries share. It is not
//! encrypted: its holder can read the names in it but cannot change them. It is bound to the client
//! account, the body of the request and the tokens delivered so far.
//!
//! ```
//! use medlarfall_coordination::resume_token::{Binding, Key, Token, digest};
//!
//! let key = Key::new(b"key-of-resume-tokens");
//! let binding = Binding { account: digest([b"cedarline"]), body: digest([b"a prompt"]) };
//! let token = Token {
//!     request_id: "r-1".into(),
//!     service: "briefs".into(),
//!     version: "v1".into(),
//!     server: "engine-0".into(),
//!     attempt: 1,
//!     index: 4,
//!     issued: 1_000,
//!     binding,
//!     delivered: digest([b" a b c d e"]),
//! };
//! let text = key.seal(&token);
//! assert_eq!(key.open(&text, &binding, 1_060, 3_600), Ok(token));
//! ```

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::{Digest as _, Sha256};
use snafu::Snafu;

/// Version of the token's layout.
const LAYOUT_VERSION: u8 = 1;

/// Length of the truncated HMAC, in bytes.
const SEAL_BYTES: usize = 16;

/// Maximum length of an encoded token, in characters.
const MAX_TOKEN_CHARS: usize = 4096;

/// A SHA-256 hash truncated to 16 bytes.
pub type Digest = [u8; 16];

/// Returns the hash of a list of parts, including the length of each.
#[must_use]
pub fn digest<const N: usize>(parts: [&[u8]; N]) -> Digest {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    truncate_hash(&hasher.finalize())
}

/// Extends the hash `before` of the earlier tokens by the next token.
#[must_use]
pub fn chain(before: Digest, token: &str) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update(before);
    hasher.update(token.as_bytes());
    truncate_hash(&hasher.finalize())
}

/// Returns the hash of a list of tokens.
pub fn chain_all<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Digest {
    tokens.into_iter().fold(Digest::default(), chain)
}

/// The client account and request to which a token belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Binding {
    /// Hash of the client account.
    pub account: Digest,
    /// Hash of the request's body.
    pub body: Digest,
}

/// The content of a resume token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Service that the request addresses.
    pub service: Arc<str>,
    /// Version of the service that generates the answer.
    pub version: Arc<str>,
    /// Backend server that generated the token.
    pub server: Arc<str>,
    /// Number of the attempt.
    pub attempt: u64,
    /// Index of the last token delivered.
    pub index: u64,
    /// Time at which the token was issued, in seconds since the Unix epoch.
    pub issued: u64,
    /// Client account and request of the token.
    pub binding: Binding,
    /// Hash of the tokens delivered so far.
    pub delivered: Digest,
}

/// Why a token was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// It was modified, or sealed with another key.
    #[snafu(display(
        "this is no resume token of this system: send the last `id:` as it was received"
    ))]
    Forged,
    /// It belongs to another client account.
    #[snafu(display(
        "the resume token belongs to another client account: use the key of the first request"
    ))]
    Account,
    /// It belongs to another request.
    #[snafu(display(
        "the resume token belongs to another request: send the same body as the first time"
    ))]
    Body,
    /// It is older than its lifetime.
    #[snafu(display(
        "the resume token has expired: send the request anew without `last-event-id`"
    ))]
    Expired,
}

/// The key that authenticates tokens.
#[derive(Clone)]
pub struct Key {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Key(..)")
    }
}

impl Key {
    /// Returns the key for a secret.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes secrets of any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes secrets of any length");
        Self { mac }
    }

    /// Encodes and authenticates a token, as text that is valid in a header and in an event's
    /// `id:`.
    #[must_use]
    pub fn seal(&self, token: &Token) -> String {
        let mut bytes = token.encode();
        let seal = self.mac.clone().chain_update(&bytes).finalize();
        bytes.extend_from_slice(&seal.into_bytes()[..SEAL_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies and decodes a token; `now` is in seconds since the Unix epoch and `lifetime` in
    /// seconds.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the token is refused.
    pub fn open(
        &self,
        text: &str,
        binding: &Binding,
        now: u64,
        lifetime: u64,
    ) -> Result<Token, Error> {
        if text.len() > MAX_TOKEN_CHARS {
            return Err(Error::Forged);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| Error::Forged)?;
        let split = bytes.len().checked_sub(SEAL_BYTES).ok_or(Error::Forged)?;
        let (bytes, seal) = bytes.split_at(split);
        let mac = self.mac.clone().chain_update(bytes);
        mac.verify_truncated_left(seal).map_err(|_| Error::Forged)?;
        let token = Token::decode(bytes).ok_or(Error::Forged)?;
        match &token {
            token if token.binding.account != binding.account => Err(Error::Account),
            token if token.binding.body != binding.body => Err(Error::Body),
            token if now.saturating_sub(token.issued) > lifetime => Err(Error::Expired),
            _ => Ok(token),
        }
    }
}

impl Token {
    /// Encodes the token, without its HMAC.
    fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![LAYOUT_VERSION];
        for name in [&self.request_id, &self.service, &self.version, &self.server] {
            let length = u16::try_from(name.len()).unwrap_or(u16::MAX);
            bytes.extend_from_slice(&length.to_le_bytes());
            bytes.extend_from_slice(&name.as_bytes()[..usize::from(length)]);
        }
        for number in [self.attempt, self.index, self.issued] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        for digest in [self.binding.account, self.binding.body, self.delivered] {
            bytes.extend_from_slice(&digest);
        }
        bytes
    }

    /// Decodes a token, or returns nothing if the layout does not match.
    fn decode(bytes: &[u8]) -> Option<Self> {
        let (layout, mut rest) = bytes.split_first()?;
        let names = [(); 4].map(|()| take_name(&mut rest));
        let [request_id, service, version, server] = names;
        let numbers = [(); 3].map(|()| take_array(&mut rest).map(u64::from_le_bytes));
        let [attempt, index, issued] = numbers;
        let digests = [(); 3].map(|()| take_array::<16>(&mut rest));
        let [account, body, delivered] = digests;
        let token = Self {
            request_id: request_id?,
            service: service?,
            version: version?,
            server: server?,
            attempt: attempt?,
            index: index?,
            issued: issued?,
            binding: Binding {
                account: account?,
                body: body?,
            },
            delivered: delivered?,
        };
        (*layout == LAYOUT_VERSION && rest.is_empty()).then_some(token)
    }
}

/// Removes a fixed number of bytes from the front of `rest`.
fn take_array<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (part, after) = rest.split_first_chunk()?;
    *rest = after;
    Some(*part)
}

/// Removes a name, preceded by its length, from the front of `rest`.
fn take_name(rest: &mut &[u8]) -> Option<Arc<str>> {
    let length = usize::from(u16::from_le_bytes(take_array(rest)?));
    let (name, after) = rest.split_at_checked(length)?;
    *rest = after;
    std::str::from_utf8(name).ok().map(Arc::from)
}

/// Truncates a hash to 16 bytes.
fn truncate_hash(hash: &[u8]) -> Digest {
    let mut digest = Digest::default();
    digest.copy_from_slice(&hash[..16]);
    digest
}
