//! Packs what entries tell one another: JSON, deflated. Names and addresses that repeat make it
//! several times smaller, and narrow links carry it beside callers' requests.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Largest content, in bytes: a large configuration and thousands of servers are about a megabyte.
const CONTENT_LIMIT: u64 = 16 << 20;

/// Why something can't be packed or unpacked.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It is not deflated, or larger than what entries tell.
    #[snafu(display("not unpacked: {source}"))]
    Packed {
        /// What went wrong.
        source: std::io::Error,
    },
    /// It is not of the form that is expected.
    #[snafu(display("unexpected content: {source}"))]
    Content {
        /// What went wrong.
        source: serde_json::Error,
    },
}

/// Packs a value.
///
/// # Errors
///
/// Returns why the value can't be written.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let content = serde_json::to_vec(value).context(ContentSnafu)?;
    encoder.write_all(&content).context(PackedSnafu)?;
    encoder.finish().context(PackedSnafu)
}

/// Unpacks a value.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut content = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(CONTENT_LIMIT);
    decoder.read_to_end(&mut content).context(PackedSnafu)?;
    serde_json::from_slice(&content).context(ContentSnafu)
}
