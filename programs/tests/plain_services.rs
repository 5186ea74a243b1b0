//! Calls to plain services: the memory budget of bodies and answers, retries, the headers that are
//! passed on, and metrics.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use medlarfall::cluster::{CALLER_KEY, Cluster, Plan, wait_until};
use medlarfall_serving::configs::Settings;
use medlarfall_standin::service;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of an answer and of an upload in these tests, in bytes: half of the memory budget.
const ANSWER_BYTES: usize = 6 << 20;
/// Time limit for receiving a request and for a caller to read its answer.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

fn adjust(_: usize, settings: &mut Settings) {
    settings.services.answer_limit = ANSWER_BYTES + 1024;
    settings.services.held_limit = 2 * ANSWER_BYTES;
    settings.services.read_timeout = READ_TIMEOUT;
    settings.callers.request_timeout = READ_TIMEOUT;
    settings.callers.body_limit = 2 * ANSWER_BYTES;
}

async fn cluster() -> Cluster {
    let plan = Plan {
        entries: 1,
        engines: 0,
        adjust_settings: adjust,
        ..Plan::default()
    };
    Cluster::start(plan).await.expect("the cluster is up")
}

/// Sends the head of a request with a body of `length` bytes, and `body` as the body's start.
async fn send_partial_request(address: SocketAddr, length: usize, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "POST /s/tracker/plots/7 HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CALLER_KEY}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    stream
}

/// Runs an action of the service and returns the status and outcome of the call.
async fn run_action(cluster: &Cluster, action: &str) -> (u16, String) {
    let caller = cluster.caller(0);
    let reply = caller
        .call(Method::POST, "/s/tracker/plots/7", action)
        .await;
    let reply = reply.expect("a reply");
    (reply.status, reply.run)
}

#[tokio::test]
async fn an_unread_answer_releases_its_memory() {
    let cluster = cluster().await;
    let budget = &cluster.entries[0].context.calls.budget;
    cluster.services[0].service.set_faults(service::Faults {
        answer_bytes: ANSWER_BYTES,
        ..service::Faults::default()
    });
    let address = cluster.entries[0].addresses.callers;
    let mut unread = send_partial_request(address, 4, "held").await;
    wait_until("the answer is buffered", || {
        budget.reserved() >= ANSWER_BYTES
    })
    .await
    .expect("the memory is reserved");
    let refused = run_action(&cluster, "no room").await;
    assert_eq!(refused, (503, "not-run".to_owned()));
    assert!(
        !cluster.services[0]
            .service
            .run_counts()
            .contains_key("no room")
    );
    wait_until("the memory is released", || budget.reserved() == 0)
        .await
        .expect("the memory is released");
    assert_eq!(run_action(&cluster, "room").await, (200, "ran".to_owned()));
    let mut rest = Vec::new();
    let _ = unread.read_to_end(&mut rest).await;
    assert!(
        rest.len() < ANSWER_BYTES,
        "the answer was sent whole to a reader that missed its time limit"
    );
}

#[tokio::test]
async fn a_read_answer_releases_its_memory_immediately() {
    let cluster = cluster().await;
    let budget = &cluster.entries[0].context.calls.budget;
    cluster.services[0].service.set_faults(service::Faults {
        answer_bytes: ANSWER_BYTES,
        ..service::Faults::default()
    });
    for index in 0..8 {
        let ran = run_action(&cluster, &format!("large {index}")).await;
        assert_eq!(ran, (200, "ran".to_owned()));
        wait_until("the memory is released", || budget.reserved() == 0)
            .await
            .expect("the memory is released");
    }
}

#[tokio::test]
async fn a_stalled_upload_releases_its_memory() {
    let cluster = cluster().await;
    let budget = &cluster.entries[0].context.calls.budget;
    let address = cluster.entries[0].addresses.callers;
    let mut stalled = send_partial_request(address, ANSWER_BYTES, "only the start").await;
    wait_until("memory is reserved for the body", || {
        budget.reserved() >= ANSWER_BYTES
    })
    .await
    .expect("the memory is reserved");
    let refused = run_action(&cluster, "no room").await;
    assert_eq!(refused, (503, "not-run".to_owned()));
    wait_until("the memory is released", || budget.reserved() == 0)
        .await
        .expect("the memory is released");
    assert_eq!(run_action(&cluster, "room").await, (200, "ran".to_owned()));
    let mut answer = Vec::new();
    let _ = stalled.read_to_end(&mut answer).await;
    let runs = cluster.services[0].service.run_counts();
    assert_eq!(runs.keys().collect::<Vec<_>>(), ["room"]);
}

/// Retries that a service's budget allows before its first success.
const RETRY_RESERVE: u64 = 10;

#[tokio::test]
async fn a_refused_call_is_retried_and_runs_once() {
    let cluster = cluster().await;
    let service = &cluster.services[0].service;
    service.set_faults(service::Faults {
        refuse: 2,
        ..service::Faults::default()
    });
    assert_eq!(run_action(&cluster, "again").await, (200, "ran".to_owned()));
    assert_eq!(service.run_counts()["again"], 1);
}

#[tokio::test]
async fn only_an_idempotent_call_is_retried_after_a_lost_answer() {
    let cluster = cluster().await;
    let service = &cluster.services[0].service;
    let lost = service::Faults {
        drop_answers: 1,
        ..service::Faults::default()
    };
    service.set_faults(lost.clone());
    let caller = cluster.caller(0);
    let reply = caller
        .call(Method::PUT, "/s/tracker/records/7", "put")
        .await;
    assert_eq!(reply.expect("a reply").run, "ran");
    assert_eq!(service.run_counts()["put"], 2);
    service.set_faults(lost);
    assert_eq!(
        run_action(&cluster, "post").await,
        (502, "unknown".to_owned())
    );
    assert_eq!(service.run_counts()["post"], 1);
}

#[tokio::test]
async fn retries_stop_when_their_budget_is_exhausted() {
    let cluster = cluster().await;
    let calls = 30;
    cluster.services[0].service.set_faults(service::Faults {
        refuse: calls + RETRY_RESERVE,
        ..service::Faults::default()
    });
    for index in 0..calls {
        let refused = run_action(&cluster, &format!("refused {index}")).await;
        assert_eq!(refused, (503, "not-run".to_owned()));
    }
    assert_eq!(run_action(&cluster, "taken").await, (200, "ran".to_owned()));
}

#[tokio::test]
async fn deadline_and_trace_are_passed_on() {
    let cluster = cluster().await;
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let traceparent = format!("00-{trace}-00f067aa0ba902b7-01");
    let headers = [
        ("traceparent", traceparent.as_str()),
        ("medlarfall-timeout-ms", "900"),
    ];
    let caller = cluster.caller(0);
    let call = caller.call_with_headers(Method::POST, "/s/tracker/plots/7", "traced", &headers);
    assert_eq!(call.await.expect("a reply").run, "ran");
    let passed_on = cluster.services[0].service.forwarded_headers("traced");
    let passed_on = passed_on.expect("the service was called");
    assert_eq!(passed_on.traceparent.split('-').nth(1), Some(trace));
    let timeout_ms: u64 = passed_on.timeout_ms.parse().expect("milliseconds");
    assert!((1..=900).contains(&timeout_ms), "{timeout_ms}");
}

#[tokio::test]
async fn a_malformed_trace_is_not_passed_on() {
    let cluster = cluster().await;
    let headers = [("traceparent", "00-nonsense")];
    let caller = cluster.caller(0);
    let call = caller.call_with_headers(Method::POST, "/s/tracker/plots/7", "untraced", &headers);
    assert_eq!(call.await.expect("a reply").run, "ran");
    let passed_on = cluster.services[0].service.forwarded_headers("untraced");
    let passed_on = passed_on.expect("the service was called");
    assert!(!passed_on.traceparent.contains("nonsense"));
}

#[tokio::test]
async fn calls_are_counted_by_service_and_outcome() {
    let cluster = cluster().await;
    run_action(&cluster, "counted").await;
    cluster.services[0].service.set_faults(service::Faults {
        drop_answers: 1,
        ..service::Faults::default()
    });
    run_action(&cluster, "lost").await;
    let text = cluster.entries[0].context.metrics.text();
    for run in ["ran", "unknown"] {
        let line = format!("medlarfall_requests_total{{service=\"tracker\",run=\"{run}\"}} 1");
        assert!(text.contains(&line), "{text}");
    }
}
