//! The attempts at one call: again only if it was truly not run or may be repeated, if the retry
//! budget allows it and the deadline leaves time.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::retry_budget::Backoff;

use super::{Error, Order};
use crate::backend::{self, Reply, Server, Service as _};
use crate::context::Context;
use crate::modules::routing;

/// Pauses between attempts.
pub(super) const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(25),
    ceiling: Duration::from_secs(1),
};

/// Lowest HTTP status that does not count as a success.
const SERVER_ERROR: u16 = 500;

/// How the attempts at a call ended.
#[derive(Clone, Debug)]
pub enum Sent {
    /// The call ran.
    Replied(Reply),
    /// No attempt ran.
    NotRun(String),
    /// An attempt may have run.
    Unknown(Error),
}

impl Sent {
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

/// Makes the attempts at a call.
pub async fn run(context: &Context, order: &mut Order) -> Sent {
    let mut tried = Vec::new();
    let mut last = Sent::NotRun("none is there".to_owned());
    for attempt in 1..=context.settings.services.attempts {
        if attempt > 1 && !pause(context, order, attempt).await {
            break;
        }
        let Some(server) = pick(context, order, &tried) else {
            break;
        };
        tried.push(Arc::clone(&server.name));
        order.call.attempt = attempt as u64;
        let sent = send(context, order, &server).await;
        last = match (sent, last) {
            (Sent::Replied(reply), _) => {
                if reply.status < SERVER_ERROR {
                    context.calls.succeeded(&order.service.name);
                }
                return Sent::Replied(reply);
            }
            (Sent::Unknown(error), _) if !order.idempotent => return Sent::Unknown(error),
            (Sent::NotRun(_), Sent::Unknown(error)) => Sent::Unknown(error),
            (sent, _) => sent,
        };
    }
    last
}

/// Waits before a retry; returns whether there shall be one.
async fn pause(context: &Context, order: &Order, attempt: usize) -> bool {
    let retry = u32::try_from(attempt - 1).unwrap_or(u32::MAX);
    let remains = order.remains(context);
    match context.calls.retry(&order.service.name, retry, remains) {
        Some(pause) => {
            tokio::time::sleep(pause).await;
            true
        }
        None => false,
    }
}

/// Returns a server that was not tried, or else any.
fn pick(context: &Context, order: &Order, tried: &[Arc<str>]) -> Option<Arc<Server>> {
    let service = &order.service;
    routing::pick(context, &service.name, &service.version, tried)
        .or_else(|| routing::pick(context, &service.name, &service.version, &[]))
}

/// Makes one attempt.
async fn send(context: &Context, order: &mut Order, server: &Server) -> Sent {
    let remains = order.remains(context);
    let timeout = remains.min(context.settings.services.call_timeout);
    if timeout.is_zero() {
        return Sent::NotRun("the deadline is over".to_owned());
    }
    order.call.timeout = timeout;
    let answer = context.backend.call(server, &order.call);
    match tokio::time::timeout(timeout, answer).await {
        Ok(Ok(reply)) if reply.not_run => Sent::NotRun(format!("{} refused it", server.name)),
        Ok(Ok(reply)) => Sent::Replied(reply),
        Ok(Err(backend::Error::NotRun { reason })) => Sent::NotRun(reason),
        Ok(Err(backend::Error::Lost { .. })) => Sent::Unknown(Error::AnswerLost),
        Err(_) => Sent::Unknown(Error::Timeout { timeout }),
    }
}
