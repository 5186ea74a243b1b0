//! Operators' calls that start, watch and cancel moves.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures::{Stream, StreamExt};
use medlarfall_coordination::rollout::{Phase, Record};
use medlarfall_schema::operator as rpc;
use tokio_stream::wrappers::WatchStream;
use tonic::Status;

use crate::context::Context;
use crate::modules::moves::{Message, store, unix_ms};

/// The stream of a move's states that an operator watches.
pub(super) type States = Pin<Box<dyn Stream<Item = Result<rpc::MoveState, Status>> + Send>>;

impl From<store::Error> for Status {
    fn from(error: store::Error) -> Self {
        let message = error.to_string();
        match error {
            store::Error::Running { .. } => Self::failed_precondition(message),
            store::Error::Absent { .. } => Self::not_found(message),
            store::Error::Unsettled { .. } => Self::unavailable(message),
        }
    }
}

/// Starts a move and returns its state as stored.
pub(super) async fn start(
    context: &Context,
    request: rpc::StartMoveRequest,
) -> Result<rpc::MoveState, Status> {
    let record = check(context, &request)?;
    let stored = store::start(&context.platform, &record).await?;
    context.moves.send(Message::Stored(stored.clone())).await;
    Ok(state(&stored))
}

/// Validates a request and returns the record of the move that it starts.
fn check(context: &Context, request: &rpc::StartMoveRequest) -> Result<Record, Status> {
    let declarations = Arc::clone(&context.declarations.borrow());
    let service = declarations.service(&request.service).ok_or_else(|| {
        let name = &request.service;
        Status::not_found(format!("no service `{name}` is declared: declare it first"))
    })?;
    if request.version.is_empty() || request.version == service.version {
        let message = format!(
            "`version = {}` cannot be used: name a version other than `{}`, which is in force",
            request.version, service.version
        );
        return Err(Status::invalid_argument(message));
    }
    if request.move_id.is_empty() {
        let message = "`move_id` is not set: send an identifier of your own for each move";
        return Err(Status::invalid_argument(message));
    }
    let plan = context.settings.moves.plan.clone();
    let remaining = Duration::from_millis(request.deadline_ms.saturating_sub(unix_ms()));
    if remaining < plan.shortest() {
        let message = format!(
            "the deadline is {} away, too near for {} stages: give at least {}",
            humantime::format_duration(remaining),
            plan.shares.len(),
            humantime::format_duration(plan.shortest()),
        );
        return Err(Status::invalid_argument(message));
    }
    Ok(Record::new(
        &request.move_id,
        &request.service,
        &service.version,
        &request.version,
        plan,
        request.deadline_ms,
    ))
}

/// Cancels a move.
///
/// If the store does not answer, this entry and its peers still stop sending requests to the new
/// version, and the returned state shows that the end is not stored yet.
pub(super) async fn cancel(
    context: &Context,
    request: rpc::CancelMoveRequest,
) -> Result<rpc::MoveState, Status> {
    let cancelled = store::cancel(&context.platform, &request.service, &request.move_id).await;
    let record = match (cancelled, context.moves.last(&request.service)) {
        (Ok(record), _) => record,
        (Err(store::Error::Unsettled { .. }), Some(known)) if *known.id == *request.move_id => {
            known.as_ref().clone().brake(store::CANCELLED)
        }
        (Err(error), _) => return Err(error.into()),
    };
    context.moves.send(Message::Received(record.clone())).await;
    Ok(state(&record))
}

/// Returns the move with an identifier, or the service's latest one if the identifier is empty.
async fn find(context: &Context, service: &str, id: &str) -> Result<Record, Status> {
    let matches = |record: &Record| id.is_empty() || *record.id == *id;
    let known = context.moves.last(service);
    if let Some(known) = known.filter(|known| matches(known)) {
        return Ok(known.as_ref().clone());
    }
    let stored = store::read(&context.platform, service).await?;
    let stored = stored.filter(matches).ok_or_else(|| {
        let message = format!("service `{service}` has no such last move {id}: start one first");
        Status::not_found(message)
    })?;
    context.moves.send(Message::Stored(stored.clone())).await;
    Ok(stored)
}

/// Streams the states of a service's move until it has ended.
pub(super) async fn watch(
    context: &Context,
    request: rpc::WatchMoveRequest,
) -> Result<States, Status> {
    let number = find(context, &request.service, &request.move_id)
        .await?
        .number;
    let service: Arc<str> = Arc::from(request.service);
    let records = WatchStream::new(context.moves.view.clone()).filter_map(move |view| {
        let record = view.get(&service).filter(|record| record.number == number);
        futures::future::ready(record.cloned())
    });
    let states = records.scan(None::<Arc<Record>>, |last, record| {
        let changed = last.as_ref() != Some(&record);
        *last = Some(Arc::clone(&record));
        futures::future::ready(Some(changed.then(|| Ok(state(&record)))))
    });
    let states = states.filter_map(futures::future::ready);
    Ok(Box::pin(until_end(states)))
}

/// Ends a stream of states after the first final state.
fn until_end(
    states: impl Stream<Item = Result<rpc::MoveState, Status>> + Send + 'static,
) -> impl Stream<Item = Result<rpc::MoveState, Status>> + Send + 'static {
    let states = Box::pin(states);
    futures::stream::unfold(Some(states), |states| async move {
        let mut states = states?;
        let next = states.next().await?;
        let ended = next.as_ref().is_ok_and(|state| {
            matches!(
                state.phase(),
                rpc::MovePhase::Done | rpc::MovePhase::TakenBack
            )
        });
        Some((next, (!ended).then_some(states)))
    })
}

/// Converts a record into the state that is sent to operators.
fn state(record: &Record) -> rpc::MoveState {
    let (phase, reason) = match &record.phase {
        Phase::Stage(_) => (rpc::MovePhase::Stage, ""),
        Phase::Braked { reason } => (rpc::MovePhase::Braked, reason.as_ref()),
        Phase::Done => (rpc::MovePhase::Done, ""),
        Phase::TakenBack { reason } => (rpc::MovePhase::TakenBack, reason.as_ref()),
    };
    rpc::MoveState {
        service: record.service.to_string(),
        move_id: record.id.to_string(),
        number: record.number,
        from: record.from.to_string(),
        to: record.to.to_string(),
        phase: phase.into(),
        share: record.share(),
        reason: reason.to_owned(),
        deadline_ms: record.deadline_ms,
    }
}
