//! `/s/{service}/...`: calls to plain services.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use medlarfall_coordination::claim::identifier::{self, Identifier};
use medlarfall_schema::declaration::{Kind as ServiceKind, Service};
use salvo::http::StatusCode;
use salvo::prelude::*;

use super::problem::{Kind, Problem, RUN, RunStatus};
use super::{Caller, body};
use crate::backend::{Call, Reply};
use crate::context::Context;
use crate::modules::calls;
use crate::modules::claims;
use crate::utils::budget::Reservation;

/// Header that carries the caller's identifier of a call.
const IDENTIFIER: &str = "idempotency-key";

/// Header that carries the caller's timeout of a call in milliseconds.
const TIMEOUT: &str = "medlarfall-timeout-ms";

/// Length of a W3C trace context of version 00.
const TRACEPARENT_LENGTH: usize = 55;

/// Handler of calls to plain services.
pub(super) struct Endpoint {
    /// Shared context of the entry.
    pub(super) context: Arc<Context>,
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let Ok(caller) = depot.get_typed::<Caller>().cloned() else {
            return;
        };
        let timeout = self.context.settings.services.read_timeout;
        match self.run(request, &caller).await {
            Ok(reply) => render(reply, timeout, response),
            Err(problem) => problem.render(response),
        }
    }
}

impl Endpoint {
    /// Runs the call of a request.
    async fn run(&self, request: &mut Request, caller: &Caller) -> Result<Reply, Problem> {
        let now = self.context.clock.now();
        let name = request.param::<String>("service").unwrap_or_default();
        let service = self.service(&name)?;
        let _in_flight = self.context.stops.in_flight.start_request();
        let identifier = self.identifier(request)?;
        let deadline = now + self.timeout(request)?;
        let _reservation = self.reserve_body(request)?;
        let body = read_body(request, self.context.settings.callers.body_limit).await?;
        let call = self.backend_call(request, caller, body);
        let call = calls::Request {
            account: Arc::clone(&caller.account),
            idempotent: idempotent(&service, &call),
            service,
            call,
            identifier,
            deadline,
        };
        let name = call.service.name.clone();
        let result = calls::run(&self.context, call).await;
        let result = result.map_err(|error| problem(&error));
        self.count_request(&name, result.as_ref().err());
        result
    }

    /// Counts a call of a declared service by its run status.
    fn count_request(&self, service: &str, problem: Option<&Problem>) {
        let status = problem.map_or(RunStatus::Ran, Problem::run_status);
        self.context.metrics.count_request(service, status.as_str());
    }

    /// Returns the declaration of a plain service.
    fn service(&self, name: &str) -> Result<Arc<Service>, Problem> {
        let declarations = Arc::clone(&self.context.declarations.borrow());
        declarations
            .service(name)
            .filter(|service| service.kind() == ServiceKind::Plain)
            .cloned()
            .ok_or_else(|| unknown_service(name))
    }

    /// Returns the caller's identifier of the call after checking it.
    fn identifier(&self, request: &Request) -> Result<Option<Identifier>, Problem> {
        let Some(value) = request.headers().get(IDENTIFIER) else {
            return Ok(None);
        };
        let text = String::from_utf8_lossy(value.as_bytes());
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let window = claims::window(&self.context.settings.services);
        let checked = Identifier::check(&text, now, window);
        checked.map(Some).map_err(|error| {
            let run_status = match error {
                // An earlier call under it may have run, but its claim has been removed.
                identifier::Error::TooOld { .. } => RunStatus::Unknown,
                _ => RunStatus::NotRun,
            };
            Problem::new(Kind::BadIdentifier, run_status, error.to_string())
        })
    }

    /// Returns the timeout of the call: the caller's, limited to the answer timeout, or the
    /// default.
    fn timeout(&self, request: &Request) -> Result<Duration, Problem> {
        let Some(value) = request.headers().get(TIMEOUT) else {
            return Ok(self.context.settings.services.deadline);
        };
        let millis = value.to_str().ok().and_then(|text| text.parse().ok());
        let timeout = millis
            .filter(|millis| *millis > 0)
            .map(Duration::from_millis);
        let longest = self.context.settings.callers.answer_timeout;
        timeout.map(|timeout| timeout.min(longest)).ok_or_else(|| {
            let message = format!("write `{TIMEOUT}` as milliseconds above zero");
            Problem::new(Kind::BadRequest, RunStatus::NotRun, message)
        })
    }

    /// Reserves memory for a request's body.
    fn reserve_body(&self, request: &Request) -> Result<Reservation, Problem> {
        let limit = self.context.settings.callers.body_limit;
        let chunked = request.headers().contains_key("transfer-encoding");
        let undeclared = if chunked { limit } else { 0 };
        let declared = request
            .header::<usize>("content-length")
            .unwrap_or(undeclared);
        let budget = &self.context.calls.budget;
        // Memory for the response is checked before the call runs, while it can still be refused
        // safely.
        let response_fits = budget.available() >= self.context.settings.services.answer_limit;
        let reservation = budget.reserve(declared.min(limit));
        reservation.filter(|_| response_fits).ok_or_else(|| {
            let message =
                "this entry holds too many bodies and answers; try again later or at another entry";
            Problem::new(Kind::Overloaded, RunStatus::NotRun, message)
        })
    }

    /// Returns the call to send to the backend server.
    fn backend_call(&self, request: &Request, caller: &Caller, body: Bytes) -> Call {
        let rest = request.param::<String>("rest").unwrap_or_default();
        let query = request
            .uri()
            .query()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        Call {
            request_id: Arc::clone(&caller.request_id),
            attempt: 0,
            method: request.method().clone(),
            path: Arc::from(format!("/{rest}{query}")),
            content_type: request.header::<String>("content-type").map(Arc::from),
            body,
            traceparent: traceparent(request),
            timeout: self.context.settings.services.call_timeout,
            answer_limit: self.context.settings.services.answer_limit,
            budget: self.context.calls.budget.clone(),
        }
    }
}

/// Returns the W3C trace context of a request if it is well formed.
fn traceparent(request: &Request) -> Option<Arc<str>> {
    let text = request.header::<String>("traceparent")?;
    let well_formed = text.len() >= TRACEPARENT_LENGTH
        && text
            .bytes()
            .all(|byte| byte == b'-' || matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    well_formed.then(|| Arc::from(text))
}

/// Converts the error of a call into the problem that the caller receives.
fn problem(error: &calls::Error) -> Problem {
    use medlarfall_coordination::claim::Reason;
    let (kind, run_status) = match error {
        calls::Error::NotRun { .. } => (Kind::Unavailable, RunStatus::NotRun),
        calls::Error::Timeout { .. } => (Kind::Timeout, RunStatus::Unknown),
        calls::Error::Oversized => (Kind::AnswerTooLarge, RunStatus::Ran),
        calls::Error::AnswerNotKept { .. } => (Kind::AnswerNotKept, RunStatus::Ran),
        calls::Error::Refused {
            reason: Reason::Mismatch,
        } => (Kind::BadIdentifier, RunStatus::NotRun),
        calls::Error::Refused { .. } => (Kind::StoreUnavailable, RunStatus::NotRun),
        calls::Error::Uncertain {
            reason: Reason::StillRunning,
        } => (Kind::StillRunning, RunStatus::Unknown),
        calls::Error::AnswerLost | calls::Error::Uncertain { .. } => {
            (Kind::AnswerLost, RunStatus::Unknown)
        }
    };
    Problem::new(kind, run_status, error.to_string())
}

/// Returns the problem of a service that is not declared.
pub(super) fn unknown_service(name: &str) -> Problem {
    let message = format!(
        "no service `{name}` of this kind is declared; check the name or ask your operator"
    );
    Problem::new(Kind::UnknownService, RunStatus::NotRun, message)
}

/// Returns whether a call is idempotent, as the longest matching route declares; without a matching
/// route only `GET` and `HEAD` are.
fn idempotent(service: &Service, call: &Call) -> bool {
    let method = call.method.as_str();
    let declared = service
        .routes
        .iter()
        .filter(|route| route.method == method && call.path.starts_with(&route.path_prefix))
        .max_by_key(|route| route.path_prefix.len());
    match declared {
        Some(route) => route.idempotent,
        None => matches!(method, "GET" | "HEAD"),
    }
}

/// Reads a request's body up to `limit` bytes.
pub(super) async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, Problem> {
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes; send a smaller one");
        Problem::new(Kind::TooLarge, RunStatus::NotRun, message)
    };
    let declared = request.header::<usize>("content-length").unwrap_or(0);
    if declared > limit {
        return Err(too_large());
    }
    match request.payload_with_max_size(limit).await {
        Ok(body) => Ok(body.clone()),
        Err(salvo::http::ParseError::PayloadTooLarge) => Err(too_large()),
        Err(error) => {
            let message = format!("the body did not arrive whole: {error}; send it again, faster");
            Err(Problem::new(Kind::TooSlow, RunStatus::NotRun, message))
        }
    }
}

/// Writes a plain service's response, which is dropped if the caller does not read it within
/// `timeout`.
fn render(reply: Reply, timeout: Duration, response: &mut Response) {
    response.status_code(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let _ = response.add_header(RUN, RunStatus::Ran.as_str(), true);
    if let Some(content_type) = reply.content_type {
        let _ = response.add_header("content-type", content_type.as_ref(), true);
    }
    if reply.body.is_empty() {
        return;
    }
    let _ = response.add_header("content-length", reply.body.len(), true);
    response.stream(body::stream(reply.body, reply.reservation, timeout));
}
