//! A panic in the code that handles a request: the caller gets an answer, and the connection goes on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::http::response::Parts;
use hyper::{HeaderMap, StatusCode};
use medlarfall_coordination::duty::Subject;
use medlarfall_coordination::retry_budget::Bounds;
use medlarfall_coordination::{canary, liveness, propagation};
use medlarfall_relay::codec::{
    Codec, Command, Dispatch, Head, Health, Invalid, Record, Reply, Report,
};
use medlarfall_relay::listener;
use medlarfall_relay::state::{Relay, Settings};
use medlarfall_runtime::store::Change;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// Time limit for an answer.
const WAIT_LIMIT: Duration = Duration::from_secs(5);

/// A protocol that panics, except where it makes the head of a refusal.
struct Panicking;

impl Codec for Panicking {
    fn decode_request(&self, _: &HeaderMap) -> Result<Head, Invalid> {
        panic!("injected")
    }

    fn request_headers(&self, _: &HeaderMap, _: &Dispatch) -> HeaderMap {
        unimplemented!()
    }

    fn decode_reply(&self, _: &str, _: &Parts) -> Reply {
        unimplemented!()
    }

    fn response_headers(&self, _: &HeaderMap) -> HeaderMap {
        unimplemented!()
    }

    fn refusal_headers(&self, _: Option<&str>, _: Option<Duration>) -> HeaderMap {
        HeaderMap::new()
    }

    fn report_path(&self) -> &'static str {
        unimplemented!()
    }

    fn decode_report(&self, _: &Parts, _: &[u8]) -> Option<Report> {
        unimplemented!()
    }

    fn health_path(&self) -> &'static str {
        unimplemented!()
    }

    fn decode_health(&self, _: &Parts) -> Option<Health> {
        unimplemented!()
    }

    fn decode_leaving(&self, _: &HeaderMap) -> bool {
        unimplemented!()
    }

    fn copy_command(&self, _: &str, _: SocketAddr) -> Command {
        unimplemented!()
    }

    fn decode_copy(&self, _: StatusCode, _: &[u8]) -> Option<Arc<str>> {
        unimplemented!()
    }

    fn free_command(&self, _: &str) -> Command {
        unimplemented!()
    }

    fn cache_command(&self) -> Command {
        unimplemented!()
    }

    fn decode_cached_tokens(&self, _: StatusCode, _: &[u8], _: &str) -> u64 {
        unimplemented!()
    }

    fn decode_record(&self, _: &Change) -> Result<Record, Invalid> {
        unimplemented!()
    }

    fn move_status(&self, _: &str, _: &str, _: bool) -> (String, String) {
        unimplemented!()
    }

    fn entry_key(&self, _: &str) -> String {
        unimplemented!()
    }

    fn duty_key(&self, _: &Subject) -> String {
        unimplemented!()
    }

    fn usage_key(&self, _: Option<usize>) -> String {
        unimplemented!()
    }

    fn blocked_prompt_key(&self, _: &str) -> String {
        unimplemented!()
    }

    fn server_id<'key>(&self, _: &'key str) -> Option<&'key str> {
        unimplemented!()
    }
}

fn settings() -> Settings {
    Settings {
        entry: Arc::from("entry-1"),
        failure_domain: Arc::from("domain-1"),
        regions: HashMap::new(),
        held_bytes: 1 << 20,
        retries: Bounds {
            share: 0.5,
            reserve: 10.0,
            window: Duration::from_secs(10),
        },
        moves: canary::Bounds {
            share: 0.1,
            slack: 50.0,
        },
        liveness: liveness::Bounds::default(),
        link_mbps: 1_000,
        peer_address: None,
        grace: Duration::from_secs(8),
        duties: None,
        propagation: propagation::Budget::default(),
        store_calls_per_s: 2_000.0,
    }
}

/// Sends a request and returns its answer.
async fn call(stream: &mut TcpStream) -> String {
    let text = "POST / HTTP/1.1\r\nHost: plots.example\r\nContent-Length: 4\r\n\r\nbody";
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    while !answer.ends_with(b"}\n") {
        let read = timeout(WAIT_LIMIT, stream.read_buf(&mut answer)).await;
        let length = read.expect("in time").expect("read");
        assert!(length > 0, "the connection ended without an answer");
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn a_request_whose_handler_panics_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let relay = Arc::new(Relay::new(Panicking, settings()));
    tokio::spawn(listener::serve(relay, listener, TaskTracker::new()));
    let mut stream = TcpStream::connect(address).await.expect("connected");
    for _ in 0..2 {
        let answer = call(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
        assert!(answer.ends_with("{\"error\":\"internal\"}\n"), "{answer}");
    }
}
