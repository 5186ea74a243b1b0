//! Answers calls: requests whose answer is one whole response.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};
use medlarfall_coordination::routing::Kind;
use tokio::sync::mpsc;

use crate::answer::{Content, Part, Reason, Refusal};
use crate::attempt::{self, Answer, Failure};
use crate::dialect::{Dialect, Send};
use crate::intake::{Job, SHORT_WAIT};
use crate::state::{Backend, Measure, Relay, Sight, Wanted};

/// Largest answer that is read whole before the caller gets its first byte, so that one that
/// breaks off can be repeated or turned into an error.
const WHOLE_LIMIT: usize = 256 << 10;

/// Parts of a larger answer that wait for a slow caller.
const PARTS_WAITING: usize = 8;

/// Load that a server in another failure domain counts for: calls are short, so a free slot
/// elsewhere is worth the way.
const DISTANCE: f64 = 0.5;

/// About how long a call lasts.
const HORIZON: Duration = Duration::from_millis(100);

/// Sends that reached no server, or that servers refused, until a request is refused.
const REFUSALS: u32 = 4;

/// When a request may come back that found all servers full: some calls' time.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// When a request may come back that found no server: a failure is known by then.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(250);

/// What a server answered, in whole or as far as it has come.
struct Taken {
    status: StatusCode,
    headers: HeaderMap,
    content: Content,
}

/// What is known of a request's sends so far.
#[derive(Debug, Default)]
struct Course {
    tried: Vec<Arc<str>>,
    ran: u32,
    refusals: u32,
    arrivals: u32,
    paid: u32,
    offered: bool,
    full: bool,
}

/// Answers a call.
pub async fn answer<D: Dialect>(relay: &Arc<Relay<D>>, job: Job) -> Response<Content> {
    let _open = relay.metrics.open("call");
    let mut course = Course::default();
    let deadline = relay.clock.instant(job.deadline);
    let outcome = tokio::time::timeout_at(deadline, run(relay, &job, &mut course)).await;
    let outcome = outcome.unwrap_or_else(|_| Err(Refusal::new(late(&course))));
    let (status, reason) = match &outcome {
        Ok(taken) => (taken.status, "answered"),
        Err(refusal) => (refusal.reason.status(), refusal.reason.name()),
    };
    let route = &*job.route.name;
    let took = relay.clock.now().saturating_sub(job.began);
    relay.metrics.end(route, status.as_u16(), reason);
    relay.metrics.answered(route, &job.service, took);
    let late = outcome.is_ok() && took > job.route.target_latency;
    if late {
        relay.metrics.late(route);
    }
    log::info!(
        request = &*job.original.request_id, route, status = status.as_u16(), reason, late,
        account = job.account.as_ref().map_or("", |account| &*account.name),
        configuration = job.table.version, ms = took.as_millis(),
        servers = course.tried.join(",").as_str(), ran = course.ran;
        "call ended"
    );
    match outcome {
        Ok(taken) => {
            let mut response = Response::new(taken.content);
            *response.status_mut() = taken.status;
            *response.headers_mut() = taken.headers;
            response
        }
        Err(refusal) => refusal.response(&relay.dialect, Some(&job.original.request_id)),
    }
}

fn late(course: &Course) -> Reason {
    if course.offered {
        Reason::TimedOut
    } else {
        Reason::TooLate
    }
}

/// Sends a call to one server after another, as far as its kind and the budgets allow.
async fn run<D: Dialect>(
    relay: &Arc<Relay<D>>,
    job: &Job,
    course: &mut Course,
) -> Result<Taken, Refusal> {
    let mut failed: Option<Taken> = None;
    loop {
        let Some(backend) = next(relay, job, course).await else {
            return failed.ok_or_else(|| refusal(course));
        };
        let repeat = course.arrivals > course.paid;
        if repeat && !relay.take_retry(&job.service) {
            let refused = match course.ran {
                0 => Refusal::come_back(Reason::RetryBudget, FULL_PAUSE),
                _ => Refusal::new(Reason::Lost),
            };
            return failed.ok_or(refused);
        }
        course.paid = course.arrivals;
        course.tried.push(Arc::clone(&backend.server.id));
        course.offered = true;
        let send = send(relay, job, &backend);
        let sent_at = relay.clock.now();
        let taken = match attempt::send(relay, &backend, &job.original, &send).await {
            Ok(answer) => take(relay, &backend, answer).await,
            Err(failure) => Err(failure),
        };
        saw(relay, job, &backend, &taken, sent_at);
        match taken {
            Ok(taken) if !taken.status.is_server_error() => return Ok(taken),
            Ok(taken) => {
                course.ran(&mut failed, Some(taken));
            }
            Err(Failure::NotSent { reason }) => {
                course.offered = course.arrivals > 0;
                course.refusals += 1;
                note(job, &backend, "not_sent", &reason);
            }
            Err(Failure::NotRun { status, .. }) => {
                course.offered = course.ran > 0;
                course.arrivals += 1;
                course.refusals += 1;
                course.full |= status != 421;
                note(job, &backend, "not_run", "the server refused it");
            }
            Err(Failure::Lost { reason }) => {
                course.ran(&mut failed, None);
                note(job, &backend, "lost", &reason);
            }
        }
        let repeats = job.route.kind == Kind::Idempotent && course.ran < job.route.attempts;
        if course.ran > 0 && !repeats {
            return failed.ok_or(Refusal::new(Reason::Lost));
        }
        if course.refusals >= REFUSALS {
            return failed.ok_or_else(|| refusal(course));
        }
    }
}

/// Tells what a send showed of the server's version.
fn saw<D: Dialect>(
    relay: &Relay<D>,
    job: &Job,
    backend: &Backend,
    taken: &Result<Taken, Failure>,
    sent_at: Duration,
) {
    let failed = match taken {
        Ok(taken) => taken.status.is_server_error(),
        Err(Failure::Lost { .. }) => true,
        Err(Failure::NotSent { .. } | Failure::NotRun { .. }) => return,
    };
    let took = relay.clock.now().saturating_sub(sent_at);
    let sight = Sight {
        failed: Some(failed),
        call: (!failed).then_some(took),
        ..Sight::default()
    };
    relay.saw(backend, &job.route.name, sight);
}

impl Course {
    /// Notes a send that ran, or may have; `taken` is the server's answer, which is a failure.
    fn ran(&mut self, failed: &mut Option<Taken>, taken: Option<Taken>) {
        self.arrivals += 1;
        self.ran += 1;
        if taken.is_some() {
            *failed = taken;
        }
    }
}

fn note(job: &Job, backend: &Backend, outcome: &str, reason: &str) {
    log::info!(
        request = &*job.original.request_id, server = &*backend.server.id,
        failure_domain = &*backend.server.failure_domain, outcome, reason;
        "send failed"
    );
}

/// Returns the refusal of a call that no server took.
fn refusal(course: &Course) -> Refusal {
    match course {
        course if course.ran > 0 => Refusal::new(Reason::Lost),
        course if course.full => Refusal::come_back(Reason::Full, FULL_PAUSE),
        _ => Refusal::come_back(Reason::NoServer, NO_SERVER_PAUSE),
    }
}

/// Chooses the next server; waits a little for one where none is known.
async fn next<D: Dialect>(relay: &Relay<D>, job: &Job, course: &Course) -> Option<Arc<Backend>> {
    let wanted = Wanted {
        service: &job.service,
        not: &course.tried,
        outside: &[],
        distance: DISTANCE,
        measure: Measure::Calls { horizon: HORIZON },
        side: if course.tried.is_empty() {
            job.side
        } else {
            relay.repeat_side(&job.service)
        },
        version: None,
        lot: job.lot(),
    };
    if let Some(backend) = relay.choose(wanted) {
        return Some(backend);
    }
    if !course.tried.is_empty() {
        return None;
    }
    let mut changed = relay.changed.subscribe();
    let known = changed.wait_for(|_| relay.choose(wanted).is_some());
    let _ = tokio::time::timeout(SHORT_WAIT, known).await;
    relay.choose(wanted)
}

fn send<D: Dialect>(relay: &Relay<D>, job: &Job, backend: &Backend) -> Send {
    Send {
        server: Arc::clone(&backend.server),
        account: job.account.as_ref().map(|a| Arc::clone(&a.name)),
        priority: job.priority(),
        remains: job.deadline.saturating_sub(relay.clock.now()),
        backup: None,
        copy: None,
        last_event: None,
    }
}

/// Reads a server's answer, whole if it is not too large.
async fn take<D: Dialect>(
    relay: &Relay<D>,
    backend: &Backend,
    answer: Answer,
) -> Result<Taken, Failure> {
    let Answer {
        response, guard, ..
    } = answer;
    let (parts, mut body) = response.into_parts();
    let mut headers = relay.dialect.answer_headers(&parts.headers);
    let length = body.size_hint().exact();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let now = relay.clock.now();
            backend.load(|load| load.record_outcome(true, now));
            Failure::Lost {
                reason: error.to_string(),
            }
        })?;
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        if bytes.len() > WHOLE_LIMIT {
            let (sender, parts_of_body) = mpsc::channel(PARTS_WAITING);
            tokio::spawn(pass_on(bytes.freeze(), body, sender, guard));
            return Ok(Taken {
                status: parts.status,
                headers,
                content: Content::Parts {
                    parts: parts_of_body,
                    length,
                },
            });
        }
    }
    headers.insert(CONTENT_LENGTH, bytes.len().into());
    Ok(Taken {
        status: parts.status,
        headers,
        content: Content::Whole(Some(bytes.freeze())),
    })
}

/// Passes on the rest of a large answer.
async fn pass_on(
    first: Bytes,
    mut body: Incoming,
    sender: mpsc::Sender<Part>,
    guard: attempt::Guard,
) {
    let mut next = Some(first);
    while let Some(bytes) = next {
        if sender.send(Part::Data(bytes)).await.is_err() {
            return;
        }
        next = match body.frame().await {
            Some(Ok(frame)) => Some(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => {
                log::warn!(reason = error.to_string().as_str(); "a large answer broke off");
                return;
            }
            None => None,
        };
    }
    let _ = sender.send(Part::End).await;
    drop(guard);
}
