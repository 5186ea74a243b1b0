//! Mutual authentication of two entries by the shared peers' key.
//!
//! The accepting side sends a challenge. The connecting side responds with its own challenge and an
//! authentication code over both challenges; the accepting side responds with its code over both.
//! Each side's code has a different label, so that neither code can be replayed as the other.

use std::io;

use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::configs::keys::Secret;
use crate::utils::mac;

/// First bytes in both directions of every connection: the protocol and its version.
const GREETING: [u8; 8] = *b"medlar01";

/// Length of a challenge, in bytes.
const CHALLENGE_LENGTH: usize = 16;

/// Label in the authentication code of the connecting side.
const CONNECTING: &[u8] = b"connecting";

/// Label in the authentication code of the accepting side.
const ACCEPTING: &[u8] = b"accepting";

/// Authenticates a connection opened by this entry.
///
/// # Errors
///
/// Returns an I/O error, or that the peer uses another protocol version or another key.
pub(super) async fn connect(stream: &mut TcpStream, key: &Secret) -> io::Result<()> {
    stream.write_all(&GREETING).await?;
    expect_greeting(stream).await?;
    let mut peer_challenge = [0; CHALLENGE_LENGTH];
    stream.read_exact(&mut peer_challenge).await?;
    let own_challenge: [u8; CHALLENGE_LENGTH] = rand::rng().random();
    stream.write_all(&own_challenge).await?;
    stream
        .write_all(&mac::code(
            key,
            &[CONNECTING, &peer_challenge, &own_challenge],
        ))
        .await?;
    expect_code(stream, key, &[ACCEPTING, &peer_challenge, &own_challenge]).await
}

/// Authenticates a connection opened by a peer.
///
/// # Errors
///
/// Returns an I/O error, or that the peer uses another protocol version or another key.
pub(super) async fn accept(stream: &mut TcpStream, key: &Secret) -> io::Result<()> {
    stream.write_all(&GREETING).await?;
    let own_challenge: [u8; CHALLENGE_LENGTH] = rand::rng().random();
    stream.write_all(&own_challenge).await?;
    expect_greeting(stream).await?;
    let mut peer_challenge = [0; CHALLENGE_LENGTH];
    stream.read_exact(&mut peer_challenge).await?;
    expect_code(stream, key, &[CONNECTING, &own_challenge, &peer_challenge]).await?;
    stream
        .write_all(&mac::code(
            key,
            &[ACCEPTING, &own_challenge, &peer_challenge],
        ))
        .await
}

/// Reads the greeting and returns an error if the protocol or its version differs.
async fn expect_greeting(stream: &mut TcpStream) -> io::Result<()> {
    let mut greeting = [0; GREETING.len()];
    stream.read_exact(&mut greeting).await?;
    if greeting == GREETING {
        return Ok(());
    }
    let message = "the other side is no entry of this protocol version; bring both to one release";
    Err(io::Error::new(io::ErrorKind::InvalidData, message))
}

/// Reads an authentication code and returns an error if it is not the code of `parts`.
async fn expect_code(stream: &mut TcpStream, key: &Secret, parts: &[&[u8]]) -> io::Result<()> {
    let mut code = [0; mac::LENGTH];
    stream.read_exact(&mut code).await?;
    if mac::verify(key, parts, &code) {
        return Ok(());
    }
    let message =
        "the other side does not hold the peers' key; give all entries the same `keys.peers`";
    Err(io::Error::new(io::ErrorKind::PermissionDenied, message))
}
