//! Refusals by the callers' and operators' ports: invalid, oversized and slow requests, too many
//! connections, and wrong keys.

use std::time::Duration;

use hyper::Method;
use medlarfall::caller::{Caller, Completion, Error};
use medlarfall::cluster::{BRIEFS, CALLER_KEY, Cluster, OPERATOR_KEY, Plan, TRACKER};
use medlarfall::operator::Operator;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Body limit of the entries under test, in bytes.
const BODY_LIMIT: usize = 4_096;

/// Time within which the entries under test must have received a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the end of a connection.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

async fn cluster() -> Cluster {
    let plan = Plan {
        adjust_settings: |_, settings| {
            settings.callers.body_limit = BODY_LIMIT;
            settings.callers.request_timeout = REQUEST_TIMEOUT;
            settings.callers.header_limit = 2_048;
            settings.callers.connections = 32;
        },
        ..Plan::default()
    };
    Cluster::start(plan).await.expect("the cluster is up")
}

/// Sends bytes on a new connection and returns everything received until the entry closes it.
async fn send_raw(cluster: &Cluster, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(cluster.entries[0].addresses.callers)
        .await
        .expect("a connection");
    stream.write_all(bytes).await.expect("the bytes are sent");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(WAIT_LIMIT, stream.read_to_end(&mut answer)).await;
    let _ = read.expect("the entry closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Checks that the entry still serves another caller.
async fn expect_other_callers_served(cluster: &Cluster) {
    let read = cluster
        .caller(0)
        .call(Method::GET, &format!("/s/{TRACKER}/plots/1"), "")
        .await;
    assert_eq!(read.expect("a reply").status, 200);
}

#[tokio::test]
async fn an_invalid_request_gets_a_typed_error_and_does_not_affect_other_callers() {
    let cluster = cluster().await;
    let long = "x".repeat(BODY_LIMIT + 1);
    let cases = [
        ("malformed JSON", "{", 400, "bad_request"),
        ("wrong type of a field", "{\"model\":7}", 400, "bad_request"),
        (
            "unknown model",
            "{\"model\":\"none\",\"prompt\":\"a\"}",
            404,
            "unknown_service",
        ),
        (
            "zero tokens",
            "{\"model\":\"briefs\",\"prompt\":\"a\",\"max_tokens\":0}",
            400,
            "bad_request",
        ),
        (
            "too many tokens",
            "{\"model\":\"briefs\",\"prompt\":\"a\",\"max_tokens\":999999999}",
            400,
            "bad_request",
        ),
        ("oversized body", &long, 413, "too_large"),
    ];
    let caller = cluster.caller(0);
    for (name, body, status, kind) in cases {
        let reply = caller
            .call(Method::POST, "/v1/completions", body)
            .await
            .expect("a reply");
        let error: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
        assert_eq!(
            (reply.status, error["error"]["kind"].as_str()),
            (status, Some(kind)),
            "{name}: {}",
            reply.body
        );
        assert_eq!(reply.run, "not-run", "{name}");
        let message = error["error"]["message"].as_str().unwrap_or_default();
        assert!(!message.is_empty(), "{name}: the error has no message");
    }
    expect_other_callers_served(&cluster).await;
}

#[tokio::test]
async fn a_request_too_large_for_any_engine_is_refused_as_not_run() {
    let cluster = cluster().await;
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: "a".to_owned(),
        max_tokens: 500_000,
        ..Completion::default()
    };
    let refused = cluster
        .caller(0)
        .generate(&completion)
        .await
        .expect_err("a refusal");
    let Error::Refused { body, .. } = refused else {
        panic!("{refused:?}");
    };
    assert!(
        body.contains("not-run") && body.contains("tokens of memory"),
        "{body}"
    );
}

#[tokio::test]
async fn generations_are_counted_by_service_and_outcome() {
    let cluster = cluster().await;
    let completion = |stream, max_tokens| Completion {
        model: BRIEFS.to_owned(),
        prompt: "a".to_owned(),
        max_tokens,
        stream,
    };
    let caller = cluster.caller(0);
    caller
        .generate(&completion(false, 4))
        .await
        .expect("a whole answer");
    let mut stream = caller.stream(&completion(true, 4)).await.expect("a stream");
    stream.text().await.expect("the whole stream");
    caller
        .generate(&completion(false, 500_000))
        .await
        .expect_err("a refusal");
    let metrics = cluster.entries[0].context.metrics.text();
    for (run, count) in [("ran", 2), ("not-run", 1)] {
        let line =
            format!("medlarfall_requests_total{{service=\"{BRIEFS}\",run=\"{run}\"}} {count}");
        assert!(metrics.contains(&line), "{line} is not in {metrics}");
    }
}

#[tokio::test]
async fn a_request_that_is_sent_too_slowly_is_ended() {
    let cluster = cluster().await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {CALLER_KEY}\r\ncontent-length: 100\r\n\r\n{{"
    );
    let answer = send_raw(&cluster, head.as_bytes()).await;
    assert!(!answer.contains("200 OK"), "{answer}");
    send_raw(&cluster, b"GET /s/tracker/plots/1 HTTP/1.1\r\nhost:").await;
    expect_other_callers_served(&cluster).await;
}

#[tokio::test]
async fn oversized_headers_are_refused() {
    let cluster = cluster().await;
    let head = format!(
        "GET /s/{TRACKER}/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\nauthorization: Bearer {CALLER_KEY}\r\nlong: {}\r\n\r\n",
        "x".repeat(4_096)
    );
    let answer = send_raw(&cluster, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    expect_other_callers_served(&cluster).await;
}

#[tokio::test]
async fn excess_connections_do_not_affect_other_callers() {
    let cluster = cluster().await;
    let address = cluster.entries[0].addresses.callers;
    let mut idle = Vec::new();
    for _ in 0..64 {
        idle.push(TcpStream::connect(address).await.expect("a connection"));
    }
    drop(idle);
    expect_other_callers_served(&cluster).await;
}

#[tokio::test]
async fn each_port_refuses_the_keys_of_the_other_ports() {
    let cluster = cluster().await;
    for key in ["", "wrong-key-altogether", OPERATOR_KEY] {
        let caller = Caller::new(cluster.entries[0].addresses.callers, key);
        let reply = caller
            .call(Method::GET, &format!("/s/{TRACKER}/plots/1"), "")
            .await
            .expect("a reply");
        assert_eq!((reply.status, reply.run.as_str()), (401, "not-run"));
    }
    for key in ["", "wrong-key-altogether", CALLER_KEY] {
        let mut operator =
            Operator::new(cluster.entries[0].addresses.operators, key).expect("an operator client");
        let refused = operator.list().await.expect_err("a refusal");
        assert_eq!(refused.code(), tonic::Code::Unauthenticated);
    }
}
