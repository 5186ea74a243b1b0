//! The peers' port: calls between entries, and refusal of wrong keys and other protocols.

use std::time::Duration;

use medlarfall::cluster::{Cluster, Plan};
use medlarfall_serving::configs::keys::Secret;
use medlarfall_serving::modules::peers::{CALL_TIMEOUT, Error, Peers};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn cluster() -> Cluster {
    Cluster::start(Plan::default())
        .await
        .expect("the cluster is up")
}

#[tokio::test]
async fn an_entry_answers_a_peer_that_holds_the_key() {
    let cluster = cluster().await;
    let peers = &cluster.entries[0].context.peers;
    let address = cluster.entries[1].addresses.peers;
    let identity = peers
        .call(address, CALL_TIMEOUT, |client, context| async move {
            client.identity(context).await
        })
        .await
        .expect("an answer");
    assert_eq!(identity, cluster.entries[1].context.identity);
    let (received, sent) = peers.traffic().bytes();
    assert!(received > 0 && sent > 0);
}

#[tokio::test]
async fn a_wrong_key_is_refused_before_any_call() {
    let cluster = cluster().await;
    let address = cluster.entries[0].addresses.peers;
    for key in [
        "another-key",
        medlarfall::cluster::CALLER_KEY,
        medlarfall::cluster::OPERATOR_KEY,
    ] {
        let unauthorized = Peers::new(Secret::new(key));
        let answer = unauthorized
            .call(address, CALL_TIMEOUT, |client, context| async move {
                client.identity(context).await
            })
            .await;
        assert!(
            matches!(answer, Err(Error::Unreachable { .. })),
            "{answer:?}"
        );
    }
}

#[tokio::test]
async fn another_protocol_is_refused() {
    let cluster = cluster().await;
    let mut stream = TcpStream::connect(cluster.entries[0].addresses.peers)
        .await
        .expect("a connection");
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("bytes are sent");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
    assert!(
        read.is_ok(),
        "the entry did not close the connection within 5 s"
    );
}

#[tokio::test]
async fn calls_to_a_peer_that_has_died_fail_as_unreachable() {
    let cluster = cluster().await;
    let peers = &cluster.entries[0].context.peers;
    let address = cluster.entries[1].addresses.peers;
    let identity = || {
        peers.call(address, CALL_TIMEOUT, |client, context| async move {
            client.identity(context).await
        })
    };
    assert!(identity().await.is_ok());
    cluster.entries[1].kill();
    medlarfall::cluster::wait_until("the peer's port is closed", || {
        std::net::TcpStream::connect(address).is_err()
    })
    .await
    .expect("the entry has closed its port");
    assert!(identity().await.is_err());
    assert!(matches!(identity().await, Err(Error::Unreachable { .. })));
}
