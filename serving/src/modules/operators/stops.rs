//! Planning, watching and cancelling stops.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::planned_stop::{Completion, Target};
use medlarfall_schema::declaration::Stop;
use medlarfall_schema::operator as rpc;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Status;

use crate::backend::{Engine as _, Role, Server};
use crate::context::Context;
use crate::modules::stops::{PREFIX, Planned, unix_milliseconds};
use crate::platform::Store as _;
use crate::utils::settle::{self, Error};

/// What the operator who watches a stop is told.
pub(super) type Progress = ReceiverStream<Result<rpc::StopProgress, Status>>;

/// Pause between two looks at what holds a stop.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which nothing must have held a stop before it has finished.
const SETTLE: Duration = Duration::from_secs(2);

/// Timeout of reading what a server runs.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Messages kept for an operator who does not read.
const MESSAGES_KEPT: usize = 16;

impl settle::Value for Stop {
    fn change_id(&self) -> &str {
        &self.change_id
    }
}

/// Plans a stop, or changes its date.
pub(super) async fn plan(context: &Context, request: rpc::PlanStopRequest) -> Result<Stop, Status> {
    let wanted = request.stop.unwrap_or_default();
    let target = target(&wanted.target)?;
    check(&request.change_id, wanted.date_ms)?;
    known(context, &target)?;
    let key = format!("{PREFIX}{target}");
    let next = |current: Option<Stop>| {
        let newer = current.map_or(0, |stop| stop.revision);
        if newer != wanted.revision {
            return Err(Error::Conflict {
                key: key.clone(),
                seen: wanted.revision,
                newer,
            });
        }
        Ok(Stop {
            cancelled: false,
            revision: newer + 1,
            change_id: request.change_id.clone(),
            accepted_ms: unix_milliseconds(),
            ..wanted.clone()
        })
    };
    store(context, &key, &request.change_id, next).await
}

/// Takes a planned stop back.
pub(super) async fn cancel(
    context: &Context,
    request: rpc::CancelStopRequest,
) -> Result<Stop, Status> {
    let target = target(&request.target)?;
    check(&request.change_id, 1)?;
    let key = format!("{PREFIX}{target}");
    let next = |current: Option<Stop>| match current {
        None => Err(Error::Absent { key: key.clone() }),
        Some(current) => Ok(Stop {
            cancelled: true,
            revision: current.revision + 1,
            change_id: request.change_id.clone(),
            accepted_ms: unix_milliseconds(),
            ..current
        }),
    };
    store(context, &key, &request.change_id, next).await
}

/// Stores a change and puts it in force at this entry.
async fn store(
    context: &Context,
    key: &str,
    change_id: &str,
    next: impl Fn(Option<Stop>) -> Result<Stop, Error> + Send,
) -> Result<Stop, Status> {
    let stored = settle::update(&context.platform, key, change_id, next).await?;
    context.stops.accept(stored.clone(), context.clock);
    Ok(stored)
}

/// Reads a target.
fn target(value: &str) -> Result<Target, Status> {
    let target = value.parse::<Target>();
    target.map_err(|error| Status::invalid_argument(error.to_string()))
}

/// Checks the change identifier and the date of a request.
fn check(change_id: &str, date_ms: u64) -> Result<(), Status> {
    if change_id.is_empty() {
        return Err(Status::invalid_argument(
            "`change_id` is empty: send an identifier of your own for each change",
        ));
    }
    if date_ms == 0 {
        return Err(Status::invalid_argument(
            "`date_ms = 0` cannot be used: write the date in milliseconds since the Unix epoch",
        ));
    }
    Ok(())
}

/// Refuses a server that is not on the instance list.
fn known(context: &Context, target: &Target) -> Result<(), Status> {
    let Target::Server(name) = target else {
        return Ok(());
    };
    match context.directory.borrow().find(name) {
        Some(_) => Ok(()),
        None => Err(Status::not_found(format!(
            "no backend server `{name}` is on the instance list: check the name, or wait until it is listed"
        ))),
    }
}

/// Tells what holds a stop until it has finished or was cancelled.
pub(super) async fn watch(context: &Arc<Context>, value: &str) -> Result<Progress, Status> {
    let target = target(value)?;
    let here = &context.settings.entry.name;
    if matches!(&target, Target::Entry(name) if name != here) {
        return Err(Status::failed_precondition(format!(
            "only the entry itself knows what holds it: watch `{target}` at that entry"
        )));
    }
    if context.stops.declared().borrow().find(&target).is_none() {
        read(context, &target).await?;
    }
    let (sender, receiver) = mpsc::channel(MESSAGES_KEPT);
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let stop = context.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = sender.closed() => {}
            () = follow(&context, &target, &sender) => {}
        }
    });
    Ok(ReceiverStream::new(receiver))
}

/// Reads a stop that this entry has not heard of yet.
async fn read(context: &Context, target: &Target) -> Result<(), Status> {
    let item = context.platform.get(&format!("{PREFIX}{target}")).await;
    let item = item.map_err(|error| Status::unavailable(error.to_string()))?;
    let stop = item.and_then(|item| serde_json::from_str::<Stop>(&item.value).ok());
    match stop {
        Some(stop) => {
            context.stops.record([stop], context.clock);
            Ok(())
        }
        None => Err(Status::not_found(format!(
            "no stop of `{target}` is planned: check the name, or plan it first"
        ))),
    }
}

/// Looks again and again at what holds a stop, and tells of each change.
async fn follow(
    context: &Context,
    target: &Target,
    sender: &mpsc::Sender<Result<rpc::StopProgress, Status>>,
) {
    let mut quiet = Completion::new(SETTLE);
    let mut told = None;
    loop {
        let Some(planned) = context.stops.declared().borrow().find(target).cloned() else {
            return;
        };
        let mut progress = look(context, target, &planned).await;
        let now = context.clock.now();
        let state = match held(&progress, now >= planned.date) {
            _ if planned.stop.cancelled => rpc::StopState::Cancelled,
            held if quiet.observe(now, held) => rpc::StopState::Finished,
            _ => rpc::StopState::Leaving,
        };
        progress.state = state.into();
        let news = told.as_ref() != Some(&progress);
        if news && sender.send(Ok(progress.clone())).await.is_err() {
            return;
        }
        if state != rpc::StopState::Leaving {
            return;
        }
        told = Some(progress);
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Returns how many requests hold a stop, or nothing if this is not known; a server that cannot be
/// read after the date has stopped.
fn held(progress: &rpc::StopProgress, over: bool) -> Option<u64> {
    let known = progress.unread.is_empty() || over;
    let held = progress
        .holders
        .iter()
        .map(|holder| holder.own.max(holder.reported));
    known.then(|| held.sum())
}

/// Returns what holds a stop now.
async fn look(context: &Context, target: &Target, planned: &Planned) -> rpc::StopProgress {
    let directory = Arc::clone(&context.directory.borrow());
    let servers = directory
        .iter()
        .filter(|server| target.covers_server(&server.name, &server.failure_domain));
    let looks = servers.map(|server| at(context, server));
    let mut progress = rpc::StopProgress {
        stop: Some(planned.stop.clone()),
        ..rpc::StopProgress::default()
    };
    for (server, own, reported) in futures::future::join_all(looks).await {
        if reported.is_none() {
            progress.unread.push(server.clone());
        }
        progress.holders.push(rpc::StopHolder {
            name: server,
            own,
            reported: reported.unwrap_or(0),
        });
    }
    let entry = &context.settings.entry;
    if target.covers_entry(&entry.name, &entry.failure_domain) {
        let own = context.stops.in_flight.requests();
        progress.holders.push(rpc::StopHolder {
            name: entry.name.to_string(),
            own,
            reported: own,
        });
    }
    progress
}

/// Returns a server's name, this entry's requests there and what the server says it runs.
async fn at(context: &Context, server: &Server) -> (String, u64, Option<u64>) {
    let own = context.stops.in_flight.attempts_at(&server.name);
    let reported = match server.role {
        Role::Service => Some(own),
        Role::Engine => {
            let load = context.backend.load(server);
            match tokio::time::timeout(LOAD_TIMEOUT, load).await {
                Ok(Ok(load)) => Some(load.running + load.waiting),
                Ok(Err(_)) | Err(_) => None,
            }
        }
    };
    (server.name.to_string(), own, reported)
}
