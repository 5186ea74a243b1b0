//! What the HTTP library makes of a response without a length whose connection task ends: attempts rely on an
//! error, and take the end of the body for the end of the response.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use medlarfall_relay::attempt::socket::{Socket, Transmission};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// An upload that exceeds the buffers of a connection on the loopback interface.
const LONG_UPLOAD: usize = 16 << 20;

/// An attempt that is dropped aborts its connection task. The part of a body that has arrived by then is no
/// complete body.
#[tokio::test]
async fn the_body_of_a_response_whose_connection_is_dropped_ends_with_an_error() {
    for upload in [0, LONG_UPLOAD] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("connected");
        let (mut server, _) = listener.accept().await.expect("accepted");
        let socket = TokioIo::new(Socket::new(client, Transmission::default()));
        let handshake = http1::handshake(socket).await;
        let (mut sender, connection) = handshake.expect("a connection");
        let task = tokio::spawn(connection);
        let body = Full::new(Bytes::from(vec![b'x'; upload]));
        let sending = sender.send_request(Request::post("/").body(body).expect("valid"));
        let answering = async {
            server.read_u8().await.expect("a request");
            let head = b"HTTP/1.1 200 OK\r\n\r\npart";
            server.write_all(head).await.expect("written");
        };
        let (response, ()) = tokio::join!(sending, answering);
        let mut body = response.expect("a head").into_body();
        let part = body.frame().await.expect("a part").expect("received");
        assert_eq!(part.into_data().expect("data"), "part");
        task.abort();
        let rest = body.frame().await;
        assert!(matches!(rest, Some(Err(_))), "{upload}: {rest:?}");
    }
}
