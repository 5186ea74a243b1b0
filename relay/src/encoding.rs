//! Encodes the changes of the store that an entry fetches from another one as deflated JSON. Repeated
//! names and addresses compress several times, and narrow links carry them beside callers' requests.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Largest decoded size, in bytes. A large configuration with thousands of servers takes about a
/// megabyte.
const CONTENT_LIMIT: u64 = 16 << 20;

/// Largest encoded size, in bytes: content that does not compress grows by a few bytes for each block.
pub const SIZE_LIMIT: usize = (16 << 20) + (64 << 10);

/// Why a value can't be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Compression failed, or the bytes are not deflated or exceed the size limit.
    #[snafu(display("message not inflated or deflated: {source}"))]
    Compression {
        /// The underlying error.
        source: std::io::Error,
    },
    /// The JSON content does not match the type.
    #[snafu(display("message content is not the expected JSON: {source}"))]
    Content {
        /// The underlying error.
        source: serde_json::Error,
    },
}

/// Encodes a value.
///
/// # Errors
///
/// Returns an error if the value can't be serialized.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let content = serde_json::to_vec(value).context(ContentSnafu)?;
    encoder.write_all(&content).context(CompressionSnafu)?;
    encoder.finish().context(CompressionSnafu)
}

/// Decodes a value.
///
/// # Errors
///
/// Returns an error if the bytes are not deflated JSON of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut content = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(CONTENT_LIMIT);
    decoder
        .read_to_end(&mut content)
        .context(CompressionSnafu)?;
    serde_json::from_slice(&content).context(ContentSnafu)
}
