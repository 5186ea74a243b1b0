//! Resume tokens: what a caller shows to any entry to go on with a generation whose entry was lost.
//!
//! A token is sealed with HMAC-SHA256 under a key that all entries share. It is not secret: its
//! holder can read the names in it, but cannot change them. It is bound to the client account, to
//! the request's body and to the tokens delivered so far.
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
const LAYOUT: u8 = 1;

/// Bytes of a seal.
const SEAL_BYTES: usize = 16;

/// Longest token, in characters.
const LONGEST: usize = 4096;

/// A hash, cut to 16 bytes.
pub type Digest = [u8; 16];

/// Returns the hash of parts; where each part ends counts.
#[must_use]
pub fn digest<const N: usize>(parts: [&[u8]; N]) -> Digest {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    cut(&hasher.finalize())
}

/// Returns the hash of the tokens delivered so far, from the hash before the last one.
#[must_use]
pub fn chain(before: Digest, token: &str) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update(before);
    hasher.update(token.as_bytes());
    cut(&hasher.finalize())
}

/// Returns the hash of a list of tokens.
pub fn chain_all<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Digest {
    tokens.into_iter().fold(Digest::default(), chain)
}

/// To whom and to which request a token belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Binding {
    /// Hash of the client account.
    pub account: Digest,
    /// Hash of what the request asks for.
    pub body: Digest,
}

/// What a resume token says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Service that was asked.
    pub service: Arc<str>,
    /// Version that answers.
    pub version: Arc<str>,
    /// Backend server that generated the token.
    pub server: Arc<str>,
    /// Number of the attempt.
    pub attempt: u64,
    /// Index of the last token delivered.
    pub index: u64,
    /// When the token was sealed, in seconds since 1970.
    pub issued: u64,
    /// To whom and to which request the token belongs.
    pub binding: Binding,
    /// Hash of the tokens delivered so far.
    pub delivered: Digest,
}

/// Why a token was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// It was changed, or sealed with another key.
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
    /// It is too old.
    #[snafu(display(
        "the resume token has expired: send the request anew without `last-event-id`"
    ))]
    Expired,
}

/// The key that seals tokens.
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
    /// Returns the key made of a secret.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes secrets of any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes secrets of any length");
        Self { mac }
    }

    /// Returns a token as text, made of characters that fit into a header and an event's `id:`.
    #[must_use]
    pub fn seal(&self, token: &Token) -> String {
        let mut bytes = token.encode();
        let seal = self.mac.clone().chain_update(&bytes).finalize();
        bytes.extend_from_slice(&seal.into_bytes()[..SEAL_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Returns what a token says; `now` is in seconds since 1970 and `lifetime` in seconds.
    ///
    /// # Errors
    ///
    /// Returns why the token is refused.
    pub fn open(
        &self,
        text: &str,
        binding: &Binding,
        now: u64,
        lifetime: u64,
    ) -> Result<Token, Error> {
        if text.len() > LONGEST {
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
    /// Returns the token as bytes, without its seal.
    fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![LAYOUT];
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

    /// Reads a token from bytes.
    fn decode(bytes: &[u8]) -> Option<Self> {
        let (layout, mut rest) = bytes.split_first()?;
        let names = [(); 4].map(|()| name(&mut rest));
        let [request_id, service, version, server] = names;
        let numbers = [(); 3].map(|()| part(&mut rest).map(u64::from_le_bytes));
        let [attempt, index, issued] = numbers;
        let digests = [(); 3].map(|()| part::<16>(&mut rest));
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
        (*layout == LAYOUT && rest.is_empty()).then_some(token)
    }
}

/// Takes a fixed number of bytes.
fn part<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (part, after) = rest.split_first_chunk()?;
    *rest = after;
    Some(*part)
}

/// Takes a name.
fn name(rest: &mut &[u8]) -> Option<Arc<str>> {
    let length = usize::from(u16::from_le_bytes(part(rest)?));
    let (name, after) = rest.split_at_checked(length)?;
    *rest = after;
    std::str::from_utf8(name).ok().map(Arc::from)
}

/// Cuts a hash to 16 bytes.
fn cut(hash: &[u8]) -> Digest {
    let mut digest = Digest::default();
    digest.copy_from_slice(&hash[..16]);
    digest
}
