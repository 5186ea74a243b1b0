//! Calls under a caller's identifier, which run at most once even if the caller retries through
//! another entry.
//!
//! [`run`] drives the state machine [`Call`]: it executes each action against the store, the peers
//! and the backend servers and feeds the result back as the next input.

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

/// Part of a call's timeout that is reserved for the network, so that a waiting peer responds in
/// time.
const PEER_MARGIN: Duration = Duration::from_millis(200);

/// Number of attempts to query a claimer; a pooled connection may have failed.
const QUERY_ATTEMPTS: usize = 2;

/// Makes a call under `identifier`.
///
/// # Errors
///
/// Returns the reason why there is no response, and whether the call may have run.
pub async fn run(
    context: &Arc<Context>,
    request: &mut Request,
    identifier: Identifier,
) -> Result<Reply, Error> {
    let key = identifier.key(&request.account, &request.service.name);
    let call = &request.call;
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
                input_of_put(with_deadline(context, request, written).await)
            }
            Action::Read => {
                let read = context.platform.get(&key);
                input_of_get(with_deadline(context, request, read).await)
            }
            Action::QueryClaimer(claimer) => {
                Input::Status(query_claimer(context, request, &claimer).await)
            }
            Action::Prepare if permit.is_some() => Input::Prepared,
            Action::Prepare => match attempts::admit(context, request).await {
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
                let result = attempts::run(context, request, permit).await;
                let input = input_of_send(&result, context.settings.services.kept_answer_limit);
                sent = Some(result);
                input
            }
        };
        action = call.step(input, context.clock.now());
    };
    context.claims.close(sequence, call.status());
    cleanup::start(context, key, &call);
    conclude(outcome, sent)
}

/// Bounds a call to the store by the request's deadline; a call that exceeds it counts as lost.
async fn with_deadline<T>(
    context: &Context,
    request: &Request,
    call: impl Future<Output = Result<T, platform::Error>>,
) -> Result<T, platform::Error> {
    let deadline = context.clock.instant(request.deadline);
    let timed_out = || platform::Error::Lost {
        reason: "the deadline is over".to_owned(),
    };
    tokio::time::timeout_at(deadline, call)
        .await
        .unwrap_or_else(|_| Err(timed_out()))
}

/// Queries the status of a claim from its claimer: this entry or a peer. Returns nothing if the
/// claimer does not respond or has restarted.
async fn query_claimer(context: &Context, request: &Request, claimer: &Claimer) -> Option<Status> {
    let wait = request.remaining(context).min(CALL_TIMEOUT);
    let own = context.claims.wait(claimer, wait).await;
    if own.is_some() {
        return own;
    }
    let address = claimer.address.parse().ok()?;
    for _ in 0..QUERY_ATTEMPTS {
        let timeout = request.remaining(context).min(CALL_TIMEOUT);
        let wait = timeout.saturating_sub(PEER_MARGIN);
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let claimer = claimer.clone();
        let response = context
            .peers
            .call(address, timeout, |peer, call| async move {
                peer.claim(call, claimer, wait_ms).await
            })
            .await;
        match response {
            Ok(status) => return status,
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "querying a claimer failed");
            }
        }
    }
    None
}

/// Converts the result of a write to the store into an input.
fn input_of_put(result: Result<u64, platform::Error>) -> Input {
    match result {
        Ok(revision) => Input::Written(revision),
        Err(platform::Error::Conflict { current }) => {
            match current.as_ref().map(parse).transpose() {
                Ok(held) => Input::Conflict(held),
                Err(Unreadable) => Input::Unavailable,
            }
        }
        Err(platform::Error::Lost { .. }) => Input::Lost,
        Err(_) => Input::Unavailable,
    }
}

/// Converts the result of a read from the store into an input.
fn input_of_get(result: Result<Option<Item>, platform::Error>) -> Input {
    match result.map(|item| item.as_ref().map(parse).transpose()) {
        Ok(Ok(held)) => Input::Found(held),
        Ok(Err(Unreadable)) | Err(_) => Input::Unavailable,
    }
}

/// A stored claim that this release cannot parse.
struct Unreadable;

/// Parses a stored claim.
fn parse(item: &Item) -> Result<Held, Unreadable> {
    let revision = item.revision;
    match serde_json::from_str(&item.value) {
        Ok(record) => Ok(Held { record, revision }),
        Err(error) => {
            log::error!(key = item.key.as_str(), error = error.to_string().as_str(); "a stored claim cannot be parsed");
            Err(Unreadable)
        }
    }
}

/// Converts the outcome of a call to a backend server into an input; answers longer than `limit`
/// bytes are not kept.
fn input_of_send(outcome: &CallOutcome, limit: usize) -> Input {
    match outcome {
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

/// Returns the result for the caller.
fn conclude(outcome: Outcome, sent: Option<CallOutcome>) -> Result<Reply, Error> {
    match (outcome, sent) {
        (Outcome::RanBefore(answer), _) => replay(answer),
        (_, Some(sent)) => sent.into_result(),
        (Outcome::NotRun(reason), None) => Err(Error::Refused { reason }),
        (Outcome::Unknown(reason), None) => Err(Error::Uncertain { reason }),
        (Outcome::Ran, None) => Err(Error::AnswerLost),
    }
}

/// Returns the stored answer of an earlier call as a reply.
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
