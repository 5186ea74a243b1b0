//! Mutual authentication of two entries by the peers' key, before any call is read.
//!
//! The accepting side sends a challenge; the connecting side answers with its own challenge and a
//! code over both; the accepting side proves itself with a code over both in turn.

use std::io;

use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::configs::keys::Secret;
use crate::utils::mac;

/// First bytes of every connection: the protocol and its version.
const GREETING: [u8; 8] = *b"medlar01";

/// Length of a challenge, in bytes.
const CHALLENGE: usize = 16;

/// Label of the code by which the connecting side proves itself.
const CONNECTING: &[u8] = b"connecting";

/// Label of the code by which the accepting side proves itself.
const ACCEPTING: &[u8] = b"accepting";

/// Authenticates a connection that this side has set up.
///
/// # Errors
///
/// Returns that the other side speaks another version or does not hold the key.
pub(super) async fn connect(stream: &mut TcpStream, key: &Secret) -> io::Result<()> {
    stream.write_all(&GREETING).await?;
    expect_greeting(stream).await?;
    let mut theirs = [0; CHALLENGE];
    stream.read_exact(&mut theirs).await?;
    let ours: [u8; CHALLENGE] = rand::rng().random();
    stream.write_all(&ours).await?;
    stream
        .write_all(&mac::code(key, &[CONNECTING, &theirs, &ours]))
        .await?;
    check(stream, key, &[ACCEPTING, &theirs, &ours]).await
}

/// Authenticates a connection that the other side has set up.
///
/// # Errors
///
/// Returns that the other side speaks another version or does not hold the key.
pub(super) async fn accept(stream: &mut TcpStream, key: &Secret) -> io::Result<()> {
    stream.write_all(&GREETING).await?;
    let ours: [u8; CHALLENGE] = rand::rng().random();
    stream.write_all(&ours).await?;
    expect_greeting(stream).await?;
    let mut theirs = [0; CHALLENGE];
    stream.read_exact(&mut theirs).await?;
    check(stream, key, &[CONNECTING, &ours, &theirs]).await?;
    stream
        .write_all(&mac::code(key, &[ACCEPTING, &ours, &theirs]))
        .await
}

/// Reads the greeting and refuses another protocol or version.
async fn expect_greeting(stream: &mut TcpStream) -> io::Result<()> {
    let mut greeting = [0; GREETING.len()];
    stream.read_exact(&mut greeting).await?;
    if greeting == GREETING {
        return Ok(());
    }
    let message = "the other side is no entry of this protocol version; bring both to one release";
    Err(io::Error::new(io::ErrorKind::InvalidData, message))
}

/// Reads a code and refuses a wrong one.
async fn check(stream: &mut TcpStream, key: &Secret, parts: &[&[u8]]) -> io::Result<()> {
    let mut code = [0; mac::LENGTH];
    stream.read_exact(&mut code).await?;
    if mac::verify(key, parts, &code) {
        return Ok(());
    }
    let message =
        "the other side does not hold the peers' key; give all entries the same `keys.peers`";
    Err(io::Error::new(io::ErrorKind::PermissionDenied, message))
}
