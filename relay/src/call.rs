//! Handles calls: requests that a server answers with one whole response.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};
use medlarfall_coordination::routing::Kind;
use tokio::sync::mpsc;

use crate::admission;
use crate::answer::{Content, Part, Reason, Refusal};
use crate::attempt::socket::Transmission;
use crate::attempt::{self, Answer, Failure};
use crate::codec::Codec;
use crate::ingress::Job;
use crate::state::{Backend, Measurement, Relay};

use self::placement::{dispatch, next, refusal};

mod placement;

/// Largest response that is buffered before the caller gets its first byte. A buffered response
/// that is truncated can be retried or turned into an error.
const BUFFER_LIMIT: usize = 256 << 10;

/// Parts of a larger response that are queued for a slow caller.
const PART_QUEUE: usize = 8;

/// Attempts that reached no server or were refused by one, after which the request is refused.
const REFUSAL_LIMIT: u32 = 4;

/// Retry delay when all servers are at capacity: the duration of a few calls.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// A server's response, whole or with a body that still arrives.
struct Received {
    status: StatusCode,
    headers: HeaderMap,
    content: Content,
}

/// Progress of a request over its attempts.
#[derive(Debug, Default)]
struct Progress {
    tried: Vec<Arc<str>>,
    ran: u32,
    refusals: u32,
    arrivals: u32,
    retries_withdrawn: u32,
    /// Whether the request was counted as one that began to run.
    counted: bool,
    full: bool,
    current: Option<Current>,
}

/// The current attempt.
#[derive(Debug)]
struct Current {
    backend: Arc<Backend>,
    began: Duration,
    transmission: Transmission,
}

/// Handles a call.
pub async fn answer<C: Codec>(relay: &Arc<Relay<C>>, job: Job) -> Response<Content> {
    let _open = relay.metrics.open("call");
    let mut progress = Progress::default();
    let deadline = relay.clock.instant(job.deadline);
    let outcome = tokio::time::timeout_at(deadline, run(relay, &job, &mut progress)).await;
    let outcome = outcome.unwrap_or_else(|_| Err(time_out(relay, &job, &progress)));
    let (status, reason) = match &outcome {
        Ok(received) => (received.status, "answered"),
        Err(refusal) => (refusal.reason.status(), refusal.reason.name()),
    };
    let route = &*job.route.name;
    let took = relay.clock.now().saturating_sub(job.began);
    relay.metrics.count_ended(route, status.as_u16(), reason);
    relay.metrics.record_latency(route, &job.service, took);
    let late = outcome.is_ok() && took > job.route.target_latency;
    if late {
        relay.metrics.count_late(route);
    }
    log::info!(
        request = &*job.original.request_id, route, status = status.as_u16(), reason, late,
        account = job.account.as_ref().map_or("", |account| &*account.name),
        configuration = job.table.version, ms = took.as_millis(),
        servers = progress.tried.join(",").as_str(), ran = progress.ran;
        "call ended"
    );
    match outcome {
        Ok(received) => {
            let mut response = Response::new(received.content);
            *response.status_mut() = received.status;
            *response.headers_mut() = received.headers;
            response
        }
        Err(refusal) => refusal.response(&relay.codec, Some(&job.original.request_id)),
    }
}

/// Returns the refusal of a call that was not answered by its deadline. One of which no byte reached a server
/// was not run.
fn time_out<C: Codec>(relay: &Relay<C>, job: &Job, progress: &Progress) -> Refusal {
    let current = progress.current.as_ref();
    let sent = current.filter(|current| !current.transmission.withdraw());
    if let Some(current) = sent {
        record_timeout(relay, job, current);
    }
    if progress.ran > 0 || sent.is_some() {
        return Refusal::new(Reason::TimedOut);
    }
    let wait = relay.limit_wait(placement::criteria(relay, job, progress));
    let pause = wait.map_or(FULL_PAUSE, |wait| relay.limit_pause(&job.service, wait));
    Refusal::with_retry(Reason::TooLate, pause)
}

/// Sends a call to one server after another, as far as the route's kind and the retry budget allow.
async fn run<C: Codec>(
    relay: &Arc<Relay<C>>,
    job: &Job,
    progress: &mut Progress,
) -> Result<Received, Refusal> {
    let mut failed: Option<Received> = None;
    admission::admit(relay, job).await?;
    loop {
        if let Some(pause) = relay.refused_for(&job.fingerprint) {
            let refused = match progress.ran {
                0 => Refusal::with_retry(Reason::blocked(job.fingerprint.kind), pause),
                _ => Refusal::new(Reason::Lost),
            };
            return failed.ok_or(refused);
        }
        let Some(backend) = next(relay, job, progress).await else {
            return failed.ok_or_else(|| refusal(relay, job, progress));
        };
        let is_retry = progress.arrivals > progress.retries_withdrawn;
        if is_retry && !relay.take_retry(&job.service) {
            let refused = match progress.ran {
                0 => Refusal::with_retry(Reason::RetryBudget, FULL_PAUSE),
                _ => Refusal::new(Reason::Lost),
            };
            return failed.ok_or(refused);
        }
        progress.retries_withdrawn = progress.arrivals;
        progress.tried.push(Arc::clone(&backend.server.id));
        let dispatch = dispatch(relay, job, &backend);
        let sent_at = relay.clock.now();
        let transmission = Transmission::default();
        progress.current = Some(Current {
            backend: Arc::clone(&backend),
            began: sent_at,
            transmission: transmission.clone(),
        });
        let sending = attempt::send(relay, &backend, &job.original, &dispatch, &transmission);
        let received = match sending.await {
            Ok(answer) => {
                if !std::mem::replace(&mut progress.counted, true) {
                    relay.count_run(job.account.as_deref());
                }
                read_response(relay, &backend, answer, job.deadline).await
            }
            Err(failure) => Err(failure),
        };
        progress.current = None;
        record_attempt(relay, job, &backend, &received, sent_at);
        match received {
            Ok(received) if !received.status.is_server_error() => {
                relay.record_answered(&job.fingerprint);
                return Ok(received);
            }
            Ok(received) => {
                progress.record_run(&mut failed, Some(received));
            }
            Err(Failure::NotSent { reason }) => {
                progress.refusals += 1;
                log_failure(job, &backend, "not_sent", &reason);
            }
            Err(Failure::NotRun { status, .. }) => {
                progress.arrivals += 1;
                progress.refusals += 1;
                progress.full |= status != 421;
                if status == 503 {
                    admission::record_rejection(relay, job);
                }
                log_failure(job, &backend, "not_run", "refused by the server");
            }
            Err(Failure::Lost {
                reason,
                disconnected,
            }) => {
                if disconnected {
                    relay.record_unanswered(&backend, &job.fingerprint);
                }
                progress.record_run(&mut failed, None);
                log_failure(job, &backend, "lost", &reason);
            }
        }
        let may_retry = job.route.kind == Kind::Idempotent && progress.ran < job.route.attempts;
        if progress.ran > 0 && (!may_retry || relay.suspects(&job.fingerprint)) {
            return failed.ok_or(Refusal::new(Reason::Lost));
        }
        if progress.refusals >= admission::attempts(relay, job).unwrap_or(REFUSAL_LIMIT) {
            return failed.ok_or_else(|| refusal(relay, job, progress));
        }
    }
}

/// Records the outcome of an attempt for the comparison of versions.
fn record_attempt<C: Codec>(
    relay: &Relay<C>,
    job: &Job,
    backend: &Backend,
    received: &Result<Received, Failure>,
    sent_at: Duration,
) {
    let failed = match received {
        Ok(received) => received.status.is_server_error(),
        Err(Failure::Lost { .. }) => true,
        Err(Failure::NotSent { .. } | Failure::NotRun { .. }) => return,
    };
    let took = relay.clock.now().saturating_sub(sent_at);
    let measurement = Measurement {
        failed: Some(failed),
        call: (!failed).then_some(took),
        ..Measurement::default()
    };
    relay.record_measurement(backend, &job.route.name, measurement);
}

/// Records an attempt that was not answered by the deadline: it failed, and took at least this long.
fn record_timeout<C: Codec>(relay: &Relay<C>, job: &Job, current: &Current) {
    let measurement = Measurement {
        failed: Some(true),
        call: Some(relay.clock.now().saturating_sub(current.began)),
        ..Measurement::default()
    };
    relay.record_measurement(&current.backend, &job.route.name, measurement);
}

impl Progress {
    /// Records an attempt that ran or may have run; `received` is the server's error response, if
    /// there is one.
    fn record_run(&mut self, failed: &mut Option<Received>, received: Option<Received>) {
        self.arrivals += 1;
        self.ran += 1;
        if received.is_some() {
            *failed = received;
        }
    }
}

fn log_failure(job: &Job, backend: &Backend, outcome: &str, reason: &str) {
    log::info!(
        request = &*job.original.request_id, server = &*backend.server.id,
        failure_domain = &*backend.server.failure_domain, version = &*backend.server.version,
        outcome, reason;
        "send failed"
    );
}

/// Reads a server's response, whole if it is within [`BUFFER_LIMIT`]; the rest of a larger one is
/// forwarded until the deadline.
async fn read_response<C: Codec>(
    relay: &Arc<Relay<C>>,
    backend: &Backend,
    answer: Answer,
    deadline: Duration,
) -> Result<Received, Failure> {
    let Answer {
        response, guard, ..
    } = answer;
    let (parts, mut body) = response.into_parts();
    let mut headers = relay.codec.response_headers(&parts.headers);
    let length = body.size_hint().exact();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            relay
                .metrics
                .connections
                .count_truncated(&backend.server.service);
            let now = relay.clock.now();
            backend.load(|load| load.record_outcome(true, now));
            Failure::Lost {
                reason: error.to_string(),
                disconnected: true,
            }
        })?;
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        if bytes.len() > BUFFER_LIMIT {
            let (sender, body_parts) = mpsc::channel(PART_QUEUE);
            let deadline = relay.clock.instant(deadline);
            let forwarding = forward(bytes.freeze(), body, sender, guard);
            let (relay, service) = (Arc::clone(relay), Arc::clone(&backend.server.service));
            tokio::spawn(async move {
                // Without its end, the response is truncated for the caller.
                match tokio::time::timeout_at(deadline, forwarding).await {
                    Ok(Forwarded::Ended) => {}
                    Ok(Forwarded::Truncated) => relay.metrics.connections.count_truncated(&service),
                    Err(_) => log::warn!("large response not complete at the deadline"),
                }
            });
            return Ok(Received {
                status: parts.status,
                headers,
                content: Content::Parts {
                    parts: body_parts,
                    length,
                },
            });
        }
    }
    headers.insert(CONTENT_LENGTH, bytes.len().into());
    Ok(Received {
        status: parts.status,
        headers,
        content: Content::Whole(Some(bytes.freeze())),
    })
}

/// How the forwarding of a large response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Forwarded {
    /// The response is complete, or its caller left.
    Ended,
    /// The server truncated the response.
    Truncated,
}

/// Forwards a large response as it arrives.
async fn forward(
    first: Bytes,
    mut body: Incoming,
    sender: mpsc::Sender<Part>,
    guard: attempt::Guard,
) -> Forwarded {
    let mut next = Some(first);
    while let Some(bytes) = next {
        if sender.send(Part::Data(bytes)).await.is_err() {
            return Forwarded::Ended;
        }
        next = match body.frame().await {
            Some(Ok(frame)) => Some(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => {
                log::warn!(reason = error.to_string().as_str(); "large response truncated by the server");
                return Forwarded::Truncated;
            }
            None => None,
        };
    }
    let _ = sender.send(Part::End).await;
    drop(guard);
    Forwarded::Ended
}
