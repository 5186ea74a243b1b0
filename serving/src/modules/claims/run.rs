//! Makes a call under a caller's identifier: at most once, whatever entry it is retried through.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use medlarfall_coordination::claim::identifier::{self, Identifier};
use medlarfall_coordination::claim::{
    Action, Answer, Call, Claimer, Held, Input, Limits, Outcome, Reason, Status,
};

use super::cleanup;
use crate::backend::Reply;
use crate::context::Context;
use crate::modules::calls::attempts::{self, CallOutcome};
use crate::modules::calls::{Error, Request};
use crate::modules::peers::CALL_TIMEOUT;
use crate::platform::{self, Item, Store};

/// Time that the answer of a peer takes on its way.
const PEER_MARGIN: Duration = Duration::from_millis(200);

/// How often a claimer is asked whose connection fails.
const ASKINGS: usize = 2;

/// Makes a call under `identifier`.
///
/// # Errors
///
/// Returns why there is no answer, and whether the call may have run.
pub async fn run(
    context: &Arc<Context>,
    order: &mut Request,
    identifier: Identifier,
) -> Result<Reply, Error> {
    let key = identifier.key(&order.account, &order.service.name);
    let call = &order.call;
    let binding = identifier::binding(call.method.as_str(), &call.path, &call.body);
    let limits = Limits {
        confirmation_ttl: context.settings.services.claim_trust,
        ..Limits::default()
    };
    let claimer = context.claims.open();
    let sequence = claimer.sequence;
    let (mut call, mut action) = Call::begin(claimer, binding, limits, context.clock.now());
    let (mut permit, mut sent) = (None, None);
    let outcome = loop {
        let input = match action {
            Action::Finish(outcome) => break outcome,
            Action::Put { record, expected } => {
                let value = serde_json::to_string(&record).unwrap_or_default();
                let written = context.platform.put(&key, value, expected, None);
                input_of_put(within(context, order, written).await)
            }
            Action::Read => {
                let read = context.platform.get(&key);
                input_of_get(within(context, order, read).await)
            }
            Action::QueryClaimer(claimer) => Input::Status(ask(context, order, &claimer).await),
            Action::Prepare if permit.is_some() => Input::Prepared,
            Action::Prepare => match attempts::admit(context, order).await {
                Ok(admitted) => {
                    permit = Some(admitted);
                    Input::Prepared
                }
                Err(refusal) => {
                    sent = Some(CallOutcome::NotRun(refusal.to_string()));
                    Input::Refused
                }
            },
            Action::Send => {
                let Some(permit) = permit.take() else {
                    break Outcome::NotRun(Reason::Refused);
                };
                let result = attempts::run(context, order, permit).await;
                let input = input_of_send(&result, context.settings.services.kept_answer_limit);
                sent = Some(result);
                input
            }
        };
        action = call.step(input, context.clock.now());
    };
    context.claims.close(sequence, call.status());
    cleanup::clear(context, key, &call);
    conclude(outcome, sent)
}

/// Bounds a call to the store by the order's deadline; over it nothing more is tried.
async fn within<T>(
    context: &Context,
    order: &Request,
    call: impl Future<Output = Result<T, platform::Error>>,
) -> Result<T, platform::Error> {
    let deadline = context.clock.instant(order.deadline);
    let over = || platform::Error::Lost {
        reason: "the deadline is over".to_owned(),
    };
    tokio::time::timeout_at(deadline, call)
        .await
        .unwrap_or_else(|_| Err(over()))
}

/// Asks a claimer for its word.
async fn ask(context: &Context, order: &Request, claimer: &Claimer) -> Option<Status> {
    let wait = order.remaining(context).min(CALL_TIMEOUT);
    let own = context.claims.wait(claimer, wait).await;
    if own.is_some() {
        return own;
    }
    let address = claimer.address.parse().ok()?;
    for _ in 0..ASKINGS {
        let timeout = order.remaining(context).min(CALL_TIMEOUT);
        let wait = timeout.saturating_sub(PEER_MARGIN);
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let claimer = claimer.clone();
        let asked = context
            .peers
            .call(address, timeout, |peer, call| async move {
                peer.claim(call, claimer, wait_ms).await
            })
            .await;
        match asked {
            Ok(word) => return word,
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "a claimer does not answer");
            }
        }
    }
    None
}

/// Returns what an answer of the store to a write means.
fn input_of_put(answer: Result<u64, platform::Error>) -> Input {
    match answer {
        Ok(revision) => Input::Written(revision),
        Err(platform::Error::Conflict { current }) => {
            match current.as_ref().map(held).transpose() {
                Ok(held) => Input::Conflict(held),
                Err(Unreadable) => Input::Unavailable,
            }
        }
        Err(platform::Error::Lost { .. }) => Input::Lost,
        Err(_) => Input::Unavailable,
    }
}

/// Returns what an answer of the store to a read means.
fn input_of_get(answer: Result<Option<Item>, platform::Error>) -> Input {
    match answer.map(|item| item.as_ref().map(held).transpose()) {
        Ok(Ok(held)) => Input::Found(held),
        Ok(Err(Unreadable)) | Err(_) => Input::Unavailable,
    }
}

/// A claim that this release cannot read.
struct Unreadable;

/// Reads a claim.
fn held(item: &Item) -> Result<Held, Unreadable> {
    let revision = item.revision;
    match serde_json::from_str(&item.value) {
        Ok(record) => Ok(Held { record, revision }),
        Err(error) => {
            log::error!(key = item.key.as_str(), error = error.to_string().as_str(); "a claim cannot be read");
            Err(Unreadable)
        }
    }
}

/// Returns what the end of the attempts means.
fn input_of_send(sent: &CallOutcome, limit: usize) -> Input {
    match sent {
        CallOutcome::Replied(reply) => Input::Replied(Answer {
            status: reply.status,
            content_type: reply.content_type.clone(),
            body: (!reply.oversized && reply.body.len() <= limit)
                .then(|| identifier::encode_body(&reply.body)),
        }),
        CallOutcome::NotRun(_) => Input::Refused,
        CallOutcome::Unknown(_) => Input::AnswerLost,
    }
}

/// Returns what the caller is told.
fn conclude(outcome: Outcome, sent: Option<CallOutcome>) -> Result<Reply, Error> {
    match (outcome, sent) {
        (Outcome::RanBefore(answer), _) => replay(answer),
        (_, Some(sent)) => sent.into_result(),
        (Outcome::NotRun(reason), None) => Err(Error::Refused { reason }),
        (Outcome::Unknown(reason), None) => Err(Error::Uncertain { reason }),
        (Outcome::Ran, None) => Err(Error::AnswerLost),
    }
}

/// Returns a kept answer as a reply.
fn replay(answer: Answer) -> Result<Reply, Error> {
    let status = answer.status;
    let body = answer.body.as_ref().and_then(identifier::decode_body);
    let body = body.ok_or(Error::AnswerNotKept { status })?;
    Ok(Reply {
        status,
        content_type: answer.content_type,
        body: Bytes::from(body),
        oversized: false,
        reservation: None,
        not_run: false,
    })
}
