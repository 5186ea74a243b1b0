//! The attempts at one call: again only if it was truly not run or may be repeated, if the retry
//! budget allows it and the deadline leaves time.

use std::sync::Arc;
use std::time::Duration;

use fastrace::future::FutureExt as _;
use medlarfall_coordination::retry_budget::Backoff;
use uuid::Uuid;

use super::{Error, Order};
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

/// Lowest HTTP status that counts against a version that is being moved to.
const CLIENT_ERROR: u16 = 400;

/// Lowest HTTP status that does not count as a success.
const SERVER_ERROR: u16 = 500;

/// How the attempts at a call ended.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The call ran.
    Replied(Reply),
    /// No attempt ran.
    NotRun(String),
    /// An attempt may have run.
    Unknown(Error),
}

impl CallOutcome {
    /// Returns what the caller is told.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub fn into_result(self) -> Result<Reply, Error> {
        match self {
            Self::Replied(reply) if reply.oversized => Err(Error::Oversized),
            Self::Replied(reply) => Ok(reply),
            Self::NotRun(reason) => Err(Error::NotRun { reason }),
            Self::Unknown(error) => Err(error),
        }
    }
}

/// Waits for a backend server that can take the first attempt.
///
/// # Errors
///
/// Returns why the call was not admitted; it was not run.
pub async fn admit(context: &Context, order: &Order) -> Result<Permit, Refusal> {
    ask(context, order, &[]).await
}

/// Makes the attempts at a call, the first under `permit`.
pub async fn run(context: &Context, order: &mut Order, permit: Permit) -> CallOutcome {
    let mut tried = vec![Arc::clone(&permit.server.name)];
    let mut last = send(context, order, permit).await;
    for retry in 1..context.settings.services.attempts {
        if ended(order, &last) || !pause(context, order, retry).await {
            break;
        }
        let Ok(permit) = ask(context, order, &tried).await else {
            break;
        };
        tried.push(Arc::clone(&permit.server.name));
        let sent = send(context, order, permit).await;
        last = match (sent, last) {
            // An earlier attempt may have run, whatever became of this one.
            (CallOutcome::NotRun(_), CallOutcome::Unknown(error)) => CallOutcome::Unknown(error),
            (sent, _) => sent,
        };
    }
    last
}

/// Returns whether a call must not be sent again.
fn ended(order: &Order, last: &CallOutcome) -> bool {
    match last {
        CallOutcome::Replied(_) => true,
        CallOutcome::NotRun(_) => false,
        CallOutcome::Unknown(_) => !order.idempotent,
    }
}

/// Waits for a backend server, one that was not tried if there is such.
async fn ask(context: &Context, order: &Order, tried: &[Arc<str>]) -> Result<Permit, Refusal> {
    let service = &order.service;
    // What is sent again does not meet an unproved version twice.
    let version = match tried {
        [] => moves::version(context, service, &order.call.request_id),
        _ => moves::in_force(context, service),
    };
    let directory = Arc::clone(&context.directory.borrow());
    let untried = directory
        .servers(&service.name)
        .iter()
        .filter(|server| server.version == version && !server.leaving)
        .any(|server| !tried.contains(&server.name));
    let wait = order
        .remaining(context)
        .min(context.settings.services.call_timeout);
    let need = Requirements {
        service: Arc::from(service.name.as_str()),
        version,
        account: Arc::clone(&order.account),
        weight: 1,
        priority: 0,
        tokens: 1,
        prefix: Uuid::now_v7().as_u64_pair().1,
        deadline: context.clock.now() + wait,
        excluded: if untried { tried.to_vec() } else { Vec::new() },
    };
    context.admission.acquire(need).await
}

/// Waits before a retry; returns whether there shall be one.
async fn pause(context: &Context, order: &Order, retry: usize) -> bool {
    let retry = u32::try_from(retry).unwrap_or(u32::MAX);
    let remains = order.remaining(context);
    match context.calls.retry(&order.service.name, retry, remains) {
        Some(pause) => {
            tokio::time::sleep(pause).await;
            true
        }
        None => false,
    }
}

/// Makes one attempt.
async fn send(context: &Context, order: &mut Order, permit: Permit) -> CallOutcome {
    let longest = context.settings.services.call_timeout;
    let timeout = order.remaining(context).min(longest);
    if timeout.is_zero() {
        return CallOutcome::NotRun("the deadline is over".to_owned());
    }
    order.call.attempt += 1;
    order.call.timeout = timeout;
    let server = &permit.server;
    let _holding = context.stops.holding.attempt(&server.name);
    let route = moves::route(order.call.method.as_str(), &order.call.path);
    let probe = moves::probe(
        context,
        &order.service.name,
        &server.version,
        &server.name,
        &route,
    );
    let span = telemetry::hop("attempt");
    if let Some(traceparent) = telemetry::traceparent_of(&span) {
        order.call.traceparent = Some(Arc::from(traceparent));
    }
    let answer = context.backend.call(server, &order.call);
    let answer = tokio::time::timeout(timeout, answer.in_span(span)).await;
    let good = matches!(&answer, Ok(Ok(reply)) if reply.status < CLIENT_ERROR && !reply.not_run);
    probe.end_call(!good, !matches!(answer, Ok(Ok(_))));
    let (sent, outcome) = match answer {
        Ok(Ok(reply)) if reply.not_run => {
            let reason = format!("{} refused it", permit.server.name);
            (CallOutcome::NotRun(reason), Some(Outcome::Failed))
        }
        Ok(Ok(reply)) if reply.status >= SERVER_ERROR => {
            (CallOutcome::Replied(reply), Some(Outcome::Failed))
        }
        Ok(Ok(reply)) => {
            context.calls.succeeded(&order.service.name);
            (CallOutcome::Replied(reply), Some(Outcome::Succeeded))
        }
        Ok(Err(backend::Error::NotRun { reason })) => {
            (CallOutcome::NotRun(reason), Some(Outcome::Failed))
        }
        Ok(Err(backend::Error::Lost { .. })) => (
            CallOutcome::Unknown(Error::AnswerLost),
            Some(Outcome::Failed),
        ),
        // A caller in a hurry says nothing about the server.
        Err(_) => {
            let failed = (timeout == longest).then_some(Outcome::Failed);
            (CallOutcome::Unknown(Error::Timeout { timeout }), failed)
        }
    };
    if let Some(outcome) = outcome {
        permit.report(outcome);
    }
    sent
}
