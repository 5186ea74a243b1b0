//! Receives a caller's request: finds its route and account, reads its body, and passes it to
//! [`call`] or [`stream`].

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, Uri};
use medlarfall_coordination::evidence::Cohort;
use medlarfall_coordination::quarantine::Fingerprint;
use medlarfall_coordination::routing::{Account, Route, Table};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use medlarfall_runtime::budget::Reservation;
use medlarfall_runtime::http::read_body;

use crate::answer::{Content, Reason, Refusal};
use crate::attempt::Original;
use crate::codec::{Codec, Head, Invalid};
use crate::state::{Relay, parts_text};
use crate::{call, stream};

/// Longest time that a request waits for a configuration or for a server to become known. It stays
/// within an eighth of the shortest target latency in use (300 ms); a caller's retry would take no
/// less.
pub const SHORT_WAIT: Duration = Duration::from_millis(35);

/// Retry delay of a request that found no configuration, or no memory for its body: reading a
/// configuration takes a few store calls.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(300);

/// Retry delay of a request that another entry can serve immediately.
const ELSEWHERE_PAUSE: Duration = Duration::from_millis(5);

/// Factor on the configured size of a head. A caller may follow a newer configuration than this entry,
/// and does not try again after this refusal.
const HEAD_MARGIN: usize = 2;

/// Usual duration of a stream: prefill of one or two seconds and some 130 events of 40 ms.
const STREAM_TIME: Duration = Duration::from_secs(7);

/// A request that is ready to be placed.
#[derive(Debug)]
pub struct Job {
    /// The request as it is forwarded.
    pub original: Original,
    /// Its decoded head.
    pub head: Head,
    /// What identifies it if it crashes servers.
    pub fingerprint: Fingerprint,
    /// Its route.
    pub route: Arc<Route>,
    /// Configuration in force when it arrived.
    pub table: Arc<Table>,
    /// Its account.
    pub account: Option<Arc<Account>>,
    /// Service that it is sent to.
    pub service: Arc<str>,
    /// Version cohort that it is assigned to, if the service moves.
    pub cohort: Option<Cohort>,
    /// When its head arrived.
    pub began: Duration,
    /// When its answer is due.
    pub deadline: Duration,
    /// Reserved memory for its body.
    pub reservation: Reservation,
}

impl Job {
    /// Returns the priority; 0 is the highest.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority).min(9)
    }

    /// Returns the identifiers of the prompt's parts as text, for logs.
    #[must_use]
    pub fn parts_text(&self) -> String {
        parts_text(&self.head.prompt_parts)
    }

    /// Returns the hash that places the request: the hash of its prompt prefix, or else of its
    /// identifier.
    #[must_use]
    pub fn request_hash(&self) -> u64 {
        let own = || xxh3_64(self.original.request_id.as_bytes());
        self.head.prompt_hash.unwrap_or_else(own)
    }
}

/// Handles a request. Every error becomes a response to the caller, and so does a panic. With a refusal that
/// is given before the whole body has arrived, the body is returned too.
pub async fn handle<C: Codec>(
    relay: Arc<Relay<C>>,
    request: Request<Incoming>,
) -> (Response<Content>, Option<Incoming>) {
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let expects = request.headers().contains_key(EXPECT);
    let (parts, mut body) = request.into_parts();
    let handling = AssertUnwindSafe(answer(&relay, parts, &mut body)).catch_unwind();
    let (mut response, refused) = handling.await.unwrap_or_else(|_| {
        let refusal = Refusal::new(Reason::Internal);
        let (status, name) = (refusal.reason.status().as_u16(), refusal.reason.name());
        relay.metrics.count_ended("none", status, name);
        log::error!(status, reason = name; "the handling of a request panicked");
        (refusal.response(&relay.codec, None), Some(refusal.reason))
    });
    let unread = (refused.is_some() && !body.is_end_stream()).then_some(body);
    // Closes the connection after a chunked body, as a guard against request smuggling, and where the
    // rest of a body may never arrive.
    let incomplete = unread.is_some() && (refused == Some(Reason::BodyTooSlow) || expects);
    if chunked || incomplete || *relay.stopping.borrow() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    (response, unread)
}

/// Answers a request. Returns the reason too if it was refused before it was placed.
async fn answer<C: Codec>(
    relay: &Arc<Relay<C>>,
    parts: Parts,
    body: &mut Incoming,
) -> (Response<Content>, Option<Reason>) {
    let began = relay.clock.now();
    let head = relay.codec.decode_request(&parts.headers);
    let id = head.as_ref().ok();
    let id = id.map(|head| Arc::clone(&head.request_id));
    match receive(relay, parts, body, head, began).await {
        Ok(job) if job.route.kind.is_stream() => (stream::answer(relay, job).await, None),
        Ok(job) => (call::answer(relay, job).await, None),
        Err(refusal) => {
            log_refusal(relay, &refusal, id.as_deref().unwrap_or(""));
            let response = refusal.response(&relay.codec, id.as_deref());
            (response, Some(refusal.reason))
        }
    }
}

fn log_refusal<C: Codec>(relay: &Relay<C>, refusal: &Refusal, request_id: &str) {
    let status = refusal.reason.status().as_u16();
    relay
        .metrics
        .count_ended("none", status, refusal.reason.name());
    log::info!(
        request = request_id, status, reason = refusal.reason.name();
        "request refused before placement"
    );
}

/// Validates a request and reads its body, which a refusal may leave unread.
async fn receive<C: Codec>(
    relay: &Arc<Relay<C>>,
    parts: Parts,
    body: &mut Incoming,
    head: Result<Head, Invalid>,
    began: Duration,
) -> Result<Job, Refusal> {
    let head = head.map_err(|_| Refusal::new(Reason::Malformed))?;
    let table = table(relay).await?;
    if head_bytes(&parts) > table.limits.header_bytes * HEAD_MARGIN {
        return Err(Refusal::new(Reason::HeadTooLarge));
    }
    let host = host(&parts.uri, &parts.headers).ok_or(Refusal::new(Reason::Malformed))?;
    if parts.headers.get_all(HOST).iter().count() > 1
        || parts.headers.get_all(CONTENT_LENGTH).iter().count() > 1
    {
        return Err(Refusal::new(Reason::Malformed));
    }
    let route = table.route(&host, parts.uri.path());
    let route = Arc::clone(route.ok_or(Refusal::new(Reason::NoRoute))?);
    let account = head.key.as_deref().and_then(|key| table.account(key));
    let account = account.cloned();
    if account.is_none() && table.needs_key(&route) {
        return Err(Refusal::new(Reason::UnknownKey));
    }
    if relay.ends_before(usual_time(&route)) {
        return Err(Refusal::with_retry(Reason::Stopping, ELSEWHERE_PAUSE));
    }
    let timeout = head.timeout.unwrap_or(route.timeout);
    let deadline = began + timeout.min(route.timeout);
    let body = read_body(body, table.limits.body_bytes, &relay.memory);
    let body = tokio::time::timeout_at(relay.clock.instant(deadline), body).await;
    let (body, reservation) = match body.map_err(|_| Refusal::new(Reason::BodyTooSlow))? {
        Ok(Some(body)) => body,
        Ok(None) if relay.memory.available() < table.limits.body_bytes => {
            return Err(Refusal::with_retry(Reason::Memory, CONFIGURATION_PAUSE));
        }
        Ok(None) => return Err(Refusal::new(Reason::BodyTooLarge)),
        Err(_) => return Err(Refusal::new(Reason::BodyBroken)),
    };
    let request_hash = xxh3_64(head.request_id.as_bytes());
    let service = route.target(request_hash).cloned();
    let service = service.ok_or(Refusal::new(Reason::NoRoute))?;
    let capacity = table
        .service(&service)
        .map_or(0, |service| service.memory_tokens);
    if capacity > 0 && head.prompt_tokens.is_some_and(|tokens| tokens > capacity) {
        return Err(Refusal::new(Reason::PromptTooLarge));
    }
    relay.count_request(&service);
    relay.count_demand(&service, head.prompt_tokens.unwrap_or(0));
    relay.record_probed_request();
    let cohort = relay.assign_cohort(&service);
    let original = Original {
        request_id: Arc::clone(&head.request_id),
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: parts.headers,
        body,
    };
    Ok(Job {
        fingerprint: fingerprint(&head, &original, account.as_deref()),
        original,
        deadline,
        head,
        route,
        table,
        account,
        service,
        cohort,
        began,
        reservation,
    })
}

/// Returns what identifies a request if it crashes servers: the parts of its prompt, or else what is the same
/// each time it comes.
fn fingerprint(head: &Head, original: &Original, account: Option<&Account>) -> Fingerprint {
    if !head.prompt_parts.is_empty() {
        return Fingerprint::prompt(Arc::clone(&head.prompt_parts));
    }
    let mut hasher = Xxh3::new();
    let account = account.map_or("", |account| &*account.name);
    let uri = original.uri.to_string();
    for text in [original.method.as_str(), &uri, account] {
        hasher.update(&text.len().to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(&original.body);
    Fingerprint::call(hasher.digest())
}

/// Returns the least number of bytes that a head took.
fn head_bytes(parts: &Parts) -> usize {
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + ":\r\n".len());
    let target = parts.uri.path_and_query().map_or("", |path| path.as_str());
    headers.sum::<usize>() + target.len()
}

/// Returns the longest usual duration of a request of a route.
fn usual_time(route: &Route) -> Duration {
    if route.kind.is_stream() {
        STREAM_TIME
    } else {
        route.timeout
    }
}

/// Returns the configuration; waits for it up to [`SHORT_WAIT`].
async fn table<C: Codec>(relay: &Arc<Relay<C>>) -> Result<Arc<Table>, Refusal> {
    if let Some(table) = relay.table() {
        return Ok(table);
    }
    let mut changed = relay.changed.subscribe();
    let known = changed.wait_for(|_| relay.table().is_some());
    let _ = tokio::time::timeout(SHORT_WAIT, known).await;
    let missing = Refusal::with_retry(Reason::NoConfiguration, CONFIGURATION_PAUSE);
    relay.table().ok_or(missing)
}

/// Returns the host of a request, without a port and in lower case.
fn host(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let named = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = uri
        .authority()
        .map_or(named, |authority| Some(authority.as_str()))?;
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    Some(name.to_ascii_lowercase())
}

/// Returns the path and query of a request.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(|| Uri::from_static("/"), |path| Uri::from(path.clone()))
}
