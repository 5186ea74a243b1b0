//! Datagrams between entries: a byte that names the format, and a protobuf message.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use medlarfall_coordination::dissemination::Message;
use medlarfall_coordination::dissemination::codec::Invalid;
use medlarfall_runtime::store::{Change, Changes};
use medlarfall_schema::peers;
use prost::Message as _;
use snafu::{ResultExt, Snafu};

/// Format of a message that is not compressed.
const PLAIN: u8 = 0xC1;

/// Format of a deflated message.
const DEFLATED: u8 = 0xC2;

/// Size from which a message is deflated, in bytes. Deflating a smaller one takes more processor time
/// than sending the bytes.
const DEFLATE_SIZE: usize = 1_200;

/// Largest datagram, in bytes.
pub const SIZE_LIMIT: usize = 60_000;

/// Largest message after inflating, in bytes.
const CONTENT_LIMIT: u64 = 1 << 20;

/// Why a datagram can't be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The first byte names no known format; entries of other versions may use others.
    #[snafu(display("unknown datagram format; is an entry of another version running?"))]
    Format,
    /// The content can't be inflated or deflated, or is too large.
    #[snafu(display("datagram not inflated or deflated: {source}"))]
    Compression {
        /// The underlying error.
        source: std::io::Error,
    },
    /// The content is not a protobuf message.
    #[snafu(display("datagram is not the expected protobuf message: {source}"))]
    Content {
        /// The underlying error.
        source: prost::DecodeError,
    },
    /// The message is incomplete or inconsistent.
    #[snafu(transparent)]
    Invalid {
        /// What is wrong.
        source: Invalid,
    },
    /// The encoded message exceeds [`SIZE_LIMIT`].
    #[snafu(display("message of {bytes} bytes exceeds the size of a datagram"))]
    TooLarge {
        /// Size of the encoded message, in bytes.
        bytes: usize,
    },
}

/// Changes in the store after a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Updates {
    /// The revision before the first change; 0 if these are all keys with their values.
    pub after: u64,
    /// The changes.
    pub changes: Changes,
}

/// Encodes a message; only digests carry updates.
///
/// # Errors
///
/// Returns an error if the result exceeds [`SIZE_LIMIT`].
pub fn encode(message: Message, updates: Option<Updates>) -> Result<Vec<u8>, Error> {
    let mut datagram = peers::Datagram::from(message);
    if let Some(peers::datagram::Content::Digest(digest)) = &mut datagram.content {
        digest.updates = updates.map(Into::into);
    }
    let mut bytes = vec![PLAIN];
    if datagram.encoded_len() < DEFLATE_SIZE {
        bytes.extend(datagram.encode_to_vec());
    } else {
        bytes[0] = DEFLATED;
        let mut encoder = DeflateEncoder::new(bytes, Compression::fast());
        let content = datagram.encode_to_vec();
        encoder.write_all(&content).context(CompressionSnafu)?;
        bytes = encoder.finish().context(CompressionSnafu)?;
    }
    match bytes.len() {
        length if length > SIZE_LIMIT => TooLargeSnafu { bytes: length }.fail(),
        _ => Ok(bytes),
    }
}

/// Decodes a message and the updates that it carries.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid message.
pub fn decode(bytes: &[u8]) -> Result<(Message, Option<Updates>), Error> {
    let mut datagram = match bytes.split_first() {
        Some((&PLAIN, content)) => peers::Datagram::decode(content).context(ContentSnafu)?,
        Some((&DEFLATED, content)) => {
            let mut inflated = Vec::new();
            let mut decoder = DeflateDecoder::new(content).take(CONTENT_LIMIT);
            decoder
                .read_to_end(&mut inflated)
                .context(CompressionSnafu)?;
            peers::Datagram::decode(&*inflated).context(ContentSnafu)?
        }
        _ => return FormatSnafu.fail(),
    };
    let updates = match &mut datagram.content {
        Some(peers::datagram::Content::Digest(digest)) => digest.updates.take(),
        _ => None,
    };
    Ok((Message::try_from(datagram)?, updates.map(Into::into)))
}

impl From<Updates> for peers::Updates {
    fn from(updates: Updates) -> Self {
        let changes = updates.changes.changes.into_iter();
        let changes = changes.map(|change| peers::Change {
            key: change.key,
            value: change.value,
            revision: change.revision,
        });
        Self {
            after: updates.after,
            revision: updates.changes.revision,
            changes: changes.collect(),
            era: updates.changes.era,
        }
    }
}

impl From<peers::Updates> for Updates {
    fn from(updates: peers::Updates) -> Self {
        let changes = updates.changes.into_iter();
        let changes = changes.map(|change| Change {
            key: change.key,
            value: change.value,
            revision: change.revision,
        });
        Self {
            after: updates.after,
            changes: Changes {
                changes: changes.collect(),
                revision: updates.revision,
                era: updates.era,
            },
        }
    }
}
