//! The attempts of one call. A call is retried only if it certainly did not run or is idempotent,
//! and only while the retry budget and the deadline allow it.

use std::sync::Arc;
use std::time::Duration;

use fastrace::future::FutureExt as _;
use medlarfall_coordination::retry_budget::Backoff;
use uuid::Uuid;

use super::{Error, Request};
use crate::backend::{self, Reply, Service as _};
use crate::context::Context;
use crate::modules::admission::{Outcome, Permit, Refusal, Requirements};
use crate::modules::moves;
use crate::telemetry;

/// Pauses between attempts.
pub(super) const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(25),
    ceiling: Duration::from_secs(1),
};

/// Lowest HTTP status that a move counts as a failure of the new version.
const CLIENT_ERROR: u16 = 400;

/// Lowest HTTP status that counts as a failure of the server.
const SERVER_ERROR: u16 = 500;

/// Outcome of the attempts of a call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The call ran, with this response.
    Replied(Reply),
    /// No attempt ran; holds the reason of the last one.
    NotRun(String),
    /// An attempt may have run.
    Unknown(Error),
}

impl CallOutcome {
    /// Converts the outcome into the result for the caller.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no response.
    pub fn into_result(self) -> Result<Reply, Error> {
        match self {
            Self::Replied(reply) if reply.oversized => Err(Error::Oversized),
            Self::Replied(reply) => Ok(reply),
            Self::NotRun(reason) => Err(Error::NotRun { reason }),
            Self::Unknown(error) => Err(error),
        }
    }
}

/// Waits for a permit for the first attempt.
///
/// # Errors
///
/// Returns the reason why the call was not admitted; it was not run.
pub async fn admit(context: &Context, request: &Request) -> Result<Permit, Refusal> {
    acquire_permit(context, request, &[]).await
}

/// Makes the attempts of a call, the first with `permit`.
pub async fn run(context: &Context, request: &mut Request, permit: Permit) -> CallOutcome {
    let mut tried = vec![Arc::clone(&permit.server.name)];
    let mut last = send(context, request, permit).await;
    for retry in 1..context.settings.services.attempts {
        if is_final(request, &last) || !wait_before_retry(context, request, retry).await {
            break;
        }
        let Ok(permit) = acquire_permit(context, request, &tried).await else {
            break;
        };
        tried.push(Arc::clone(&permit.server.name));
        let outcome = send(context, request, permit).await;
        last = match (outcome, last) {
            // An earlier attempt may have run although this one did not.
            (CallOutcome::NotRun(_), CallOutcome::Unknown(error)) => CallOutcome::Unknown(error),
            (outcome, _) => outcome,
        };
    }
    last
}

/// Returns whether a call must not be retried after an outcome.
fn is_final(request: &Request, last: &CallOutcome) -> bool {
    match last {
        CallOutcome::Replied(_) => true,
        CallOutcome::NotRun(_) => false,
        CallOutcome::Unknown(_) => !request.idempotent,
    }
}

/// Waits for a permit, for a server that was not tried if there is one. If the version is taken back
/// meanwhile, waits for one of the version in force.
async fn acquire_permit(
    context: &Context,
    request: &Request,
    tried: &[Arc<str>],
) -> Result<Permit, Refusal> {
    let service = &request.service;
    // A retry goes to the version in force, so that a call meets the new version of a move only
    // once.
    let version = match tried {
        [] => moves::version(context, service, &request.call.request_id),
        _ => moves::in_force(context, service),
    };
    let wait = request
        .remaining(context)
        .min(context.settings.services.call_timeout);
    let deadline = context.clock.now() + wait;
    let requirements = |version| requirements(context, request, tried, version, deadline);
    tokio::select! {
        permit = context.admission.acquire(requirements(Arc::clone(&version))) => permit,
        () = moves::withdrawn(context, &service.name, &version) => {
            let in_force = moves::in_force(context, service);
            context.admission.acquire(requirements(in_force)).await
        }
    }
}

/// Returns the requirements of an attempt at a version that waits until `deadline`.
fn requirements(
    context: &Context,
    request: &Request,
    tried: &[Arc<str>],
    version: Arc<str>,
    deadline: Duration,
) -> Requirements {
    let service = &request.service;
    let directory = Arc::clone(&context.directory.borrow());
    let untried = directory
        .servers(&service.name)
        .iter()
        .filter(|server| server.version == version && !server.leaving)
        .any(|server| !tried.contains(&server.name));
    Requirements {
        service: Arc::from(service.name.as_str()),
        version,
        account: Arc::clone(&request.account),
        weight: 1,
        priority: 0,
        tokens: 1,
        prefix: Uuid::now_v7().as_u64_pair().1,
        deadline,
        excluded: if untried { tried.to_vec() } else { Vec::new() },
    }
}

/// Waits for the backoff before a retry; returns false if no retry is allowed.
async fn wait_before_retry(context: &Context, request: &Request, retry: usize) -> bool {
    let retry = u32::try_from(retry).unwrap_or(u32::MAX);
    let remaining = request.remaining(context);
    match context
        .calls
        .next_retry(&request.service.name, retry, remaining)
    {
        Some(pause) => {
            tokio::time::sleep(pause).await;
            true
        }
        None => false,
    }
}

/// Makes one attempt.
async fn send(context: &Context, request: &mut Request, permit: Permit) -> CallOutcome {
    let longest = context.settings.services.call_timeout;
    let timeout = request.remaining(context).min(longest);
    if timeout.is_zero() {
        return CallOutcome::NotRun("the deadline is over".to_owned());
    }
    request.call.attempt += 1;
    request.call.timeout = timeout;
    let server = &permit.server;
    let _in_flight = context.stops.in_flight.start_attempt(&server.name);
    let route = moves::route(request.call.method.as_str(), &request.call.path);
    let meter = moves::meter(
        context,
        &request.service.name,
        &server.version,
        &server.name,
        &route,
    );
    let span = telemetry::hop("attempt");
    if let Some(traceparent) = telemetry::traceparent_of(&span) {
        request.call.traceparent = Some(Arc::from(traceparent));
    }
    let response = context.backend.call(server, &request.call);
    let response = tokio::time::timeout(timeout, response.in_span(span)).await;
    let good = matches!(&response, Ok(Ok(reply)) if reply.status < CLIENT_ERROR && !reply.not_run);
    meter.end_call(!good, !matches!(response, Ok(Ok(_))));
    let (call_outcome, server_outcome) = match response {
        Ok(Ok(reply)) if reply.not_run => {
            let reason = format!("{} refused it", permit.server.name);
            (CallOutcome::NotRun(reason), Some(Outcome::Failed))
        }
        Ok(Ok(reply)) if reply.status >= SERVER_ERROR => {
            (CallOutcome::Replied(reply), Some(Outcome::Failed))
        }
        Ok(Ok(reply)) => {
            context.calls.record_success(&request.service.name);
            (CallOutcome::Replied(reply), Some(Outcome::Succeeded))
        }
        Ok(Err(backend::Error::NotRun { reason })) => {
            (CallOutcome::NotRun(reason), Some(Outcome::Failed))
        }
        Ok(Err(backend::Error::Lost { .. })) => (
            CallOutcome::Unknown(Error::AnswerLost),
            Some(Outcome::Failed),
        ),
        // A timeout that the caller shortened is no evidence against the server.
        Err(_) => {
            let failed = (timeout == longest).then_some(Outcome::Failed);
            (CallOutcome::Unknown(Error::Timeout { timeout }), failed)
        }
    };
    if let Some(outcome) = server_outcome {
        permit.report(outcome);
    }
    call_outcome
}
