//! Whether bytes of a request were written to a server's socket.

use std::io::{ErrorKind, IoSlice};

use medlarfall_relay::attempt::socket::{Socket, Transmission};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Returns both ends of a connection: the client's and the server's.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).await.expect("connected");
    let (server, _) = listener.accept().await.expect("accepted");
    (client, server)
}

/// A request on a connection that was reset before it was written counted as one that may have run.
#[tokio::test]
async fn nothing_is_sent_on_a_connection_whose_reset_has_arrived() {
    let (client, server) = connection().await;
    server.set_zero_linger().expect("set");
    drop(server);
    client.readable().await.expect("the reset has arrived");
    let transmission = Transmission::default();
    let mut socket = Socket::new(client, transmission.clone());
    assert!(socket.write_all(b"request").await.is_err());
    assert!(transmission.withdraw());
}

/// A request of which one byte was written may have run, also if the connection is reset later.
#[tokio::test]
async fn a_request_that_was_written_in_part_is_not_withdrawn() {
    let (client, mut server) = connection().await;
    let transmission = Transmission::default();
    let mut socket = Socket::new(client, transmission.clone());
    socket.write_all(b"r").await.expect("written");
    assert!(!transmission.withdraw());
    assert_eq!(server.read_u8().await.ok(), Some(b'r'));
    server.set_zero_linger().expect("set");
    drop(server);
    let _ = socket.read_u8().await;
    assert!(socket.write_all(b"equest").await.is_err());
    assert!(!transmission.withdraw());
}

/// A request that was reported as not run must not be sent later.
#[tokio::test]
async fn a_withdrawn_request_is_never_sent() {
    let (client, mut server) = connection().await;
    let transmission = Transmission::default();
    let mut socket = Socket::new(client, transmission.clone());
    assert!(transmission.withdraw());
    let written = socket.write_all(b"request").await;
    assert_eq!(
        written.map_err(|error| error.kind()),
        Err(ErrorKind::ConnectionAborted)
    );
    let slices = [IoSlice::new(b"request")];
    assert!(socket.write_vectored(&slices).await.is_err());
    drop(socket);
    let mut received = Vec::new();
    server.read_to_end(&mut received).await.expect("the end");
    assert_eq!(received, b"");
    assert!(transmission.withdraw());
}
