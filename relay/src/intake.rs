//! Takes in a caller's request: finds its route and account, reads its body, and hands it on.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, Uri};
use medlarfall_coordination::evidence::Cohort;
use medlarfall_coordination::routing::{Account, Route, Table};
use xxhash_rust::xxh3::xxh3_64;

use medlarfall_runtime::budget::Hold;
use medlarfall_runtime::http::read_within;

use crate::answer::{Content, Reason, Refusal};
use crate::attempt::Original;
use crate::dialect::{Caller, Dialect};
use crate::state::Relay;
use crate::{call, stream};

/// Longest time that a request waits for a configuration or a server that is about to be known.
/// Within an eighth of the shortest target latency in use (300 ms), coming back is no sooner.
pub const SHORT_WAIT: Duration = Duration::from_millis(35);

/// When a request may come back that found no configuration: reading one takes a few calls.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(300);

/// When a request may come back that another entry can take at once.
const ELSEWHERE_PAUSE: Duration = Duration::from_millis(5);

/// Time that a stream usually needs: a prompt of a second or two and some 130 events of 40 ms.
const STREAM_TIME: Duration = Duration::from_secs(7);

/// A request that is about to be placed.
#[derive(Debug)]
pub struct Job {
    /// The request as it is sent on.
    pub original: Original,
    /// What its head says.
    pub caller: Caller,
    /// Its route.
    pub route: Arc<Route>,
    /// Configuration that it came under.
    pub table: Arc<Table>,
    /// Its account.
    pub account: Option<Arc<Account>>,
    /// Service that takes it.
    pub service: Arc<str>,
    /// Version that it goes to, if the service moves.
    pub side: Option<Cohort>,
    /// When its head came.
    pub began: Duration,
    /// When its answer must have come.
    pub deadline: Duration,
    /// Memory of its body.
    pub hold: Hold,
}

impl Job {
    /// Returns the urgency; 0 is the most urgent.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority).min(9)
    }

    /// Returns a number that is the same for requests that share a prompt, and else of the request.
    #[must_use]
    pub fn lot(&self) -> u64 {
        let own = || xxh3_64(self.original.request_id.as_bytes());
        self.caller.prompt_hash.unwrap_or_else(own)
    }
}

/// Answers a request.
///
/// # Errors
///
/// Never.
pub async fn handle<D: Dialect>(
    relay: Arc<Relay<D>>,
    request: Request<Incoming>,
) -> Result<Response<Content>, Infallible> {
    let began = relay.clock.now();
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let caller = relay.dialect.caller(request.headers());
    let id = caller.as_ref().ok();
    let id = id.map(|caller| Arc::clone(&caller.request_id));
    let mut response = match take(&relay, request, caller, began).await {
        Ok(job) if job.route.kind.is_stream() => stream::answer(&relay, job).await,
        Ok(job) => call::answer(&relay, job).await,
        Err(refusal) => {
            refused(&relay, &refusal, id.as_deref().unwrap_or(""));
            refusal.response(&relay.dialect, id.as_deref())
        }
    };
    // After a chunked body the connection ends: what follows it may be a request in disguise.
    if chunked || *relay.stopping.borrow() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

fn refused<D: Dialect>(relay: &Relay<D>, refusal: &Refusal, request_id: &str) {
    let status = refusal.reason.status().as_u16();
    relay.metrics.end("none", status, refusal.reason.name());
    log::info!(
        request = request_id, status, reason = refusal.reason.name();
        "request refused before placement"
    );
}

/// Checks a request and reads its body.
async fn take<D: Dialect>(
    relay: &Arc<Relay<D>>,
    request: Request<Incoming>,
    caller: Result<Caller, crate::dialect::Invalid>,
    began: Duration,
) -> Result<Job, Refusal> {
    let caller = caller.map_err(|_| Refusal::new(Reason::Malformed))?;
    let table = table(relay).await?;
    let (parts, body) = request.into_parts();
    let host = host(&parts.uri, &parts.headers).ok_or(Refusal::new(Reason::Malformed))?;
    if parts.headers.get_all(HOST).iter().count() > 1
        || parts.headers.get_all(CONTENT_LENGTH).iter().count() > 1
    {
        return Err(Refusal::new(Reason::Malformed));
    }
    let route = table.route(&host, parts.uri.path());
    let route = Arc::clone(route.ok_or(Refusal::new(Reason::NoRoute))?);
    let account = caller.key.as_deref().and_then(|key| table.account(key));
    let account = account.cloned();
    if account.is_none() && table.needs_key(&route) {
        return Err(Refusal::new(Reason::UnknownKey));
    }
    if relay.ends_before(usual_time(&route)) {
        return Err(Refusal::come_back(Reason::Stopping, ELSEWHERE_PAUSE));
    }
    let patience = caller.patience.unwrap_or(route.timeout);
    let body = read_within(body, table.limits.body_bytes, &relay.memory).await;
    let (body, hold) = match body {
        Ok(Some(body)) => body,
        Ok(None) if relay.memory.free() < table.limits.body_bytes => {
            return Err(Refusal::come_back(Reason::Memory, CONFIGURATION_PAUSE));
        }
        Ok(None) => return Err(Refusal::new(Reason::BodyTooLarge)),
        Err(_) => return Err(Refusal::new(Reason::BodyBroken)),
    };
    let lot = xxh3_64(caller.request_id.as_bytes());
    let service = route.target(lot).cloned();
    let service = service.ok_or(Refusal::new(Reason::NoRoute))?;
    let memory = table
        .service(&service)
        .map_or(0, |service| service.memory_tokens);
    if memory > 0 && caller.prompt_tokens.is_some_and(|tokens| tokens > memory) {
        return Err(Refusal::new(Reason::PromptTooLarge));
    }
    relay.count_request(&service);
    let side = relay.side(&service);
    Ok(Job {
        original: Original {
            request_id: Arc::clone(&caller.request_id),
            method: parts.method,
            uri: origin_form(&parts.uri),
            headers: parts.headers,
            body,
        },
        deadline: began + patience.min(route.timeout),
        caller,
        route,
        table,
        account,
        service,
        side,
        began,
        hold,
    })
}

/// Returns how long a request of a route usually lasts at most.
fn usual_time(route: &Route) -> Duration {
    if route.kind.is_stream() {
        STREAM_TIME
    } else {
        route.timeout
    }
}

/// Returns the configuration, for which a request may wait a little.
async fn table<D: Dialect>(relay: &Arc<Relay<D>>) -> Result<Arc<Table>, Refusal> {
    if let Some(table) = relay.table() {
        return Ok(table);
    }
    let mut changed = relay.changed.subscribe();
    let known = changed.wait_for(|_| relay.table().is_some());
    let _ = tokio::time::timeout(SHORT_WAIT, known).await;
    let missing = Refusal::come_back(Reason::NoConfiguration, CONFIGURATION_PAUSE);
    relay.table().ok_or(missing)
}

/// Returns the host that a request names, without a port and in lower case.
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
