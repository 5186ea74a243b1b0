//! Operators' calls that plan, watch and cancel stops.

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
use crate::utils::cas::{self, Error};

/// The stream of a stop's progress that an operator watches.
pub(super) type Progress = ReceiverStream<Result<rpc::StopProgress, Status>>;

/// Pause between two polls of the requests that a stop waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time without any request in progress after which a stop counts as finished.
const QUIET_PERIOD: Duration = Duration::from_secs(2);

/// Timeout of reading the load of a server.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Messages buffered for an operator who does not read.
const STREAM_CAPACITY: usize = 16;

impl cas::Value for Stop {
    fn change_id(&self) -> &str {
        &self.change_id
    }
}

/// Plans a stop, or changes the date of a planned one.
pub(super) async fn plan(context: &Context, request: rpc::PlanStopRequest) -> Result<Stop, Status> {
    let requested = request.stop.unwrap_or_default();
    let target = target(&requested.target)?;
    check(&request.change_id, requested.date_ms)?;
    check_registered(context, &target)?;
    let key = format!("{PREFIX}{target}");
    let next = |current: Option<Stop>| {
        let newer = current.map_or(0, |stop| stop.revision);
        if newer != requested.revision {
            return Err(Error::Conflict {
                key: key.clone(),
                seen: requested.revision,
                newer,
            });
        }
        Ok(Stop {
            cancelled: false,
            revision: newer + 1,
            change_id: request.change_id.clone(),
            accepted_ms: unix_milliseconds(),
            ..requested.clone()
        })
    };
    store(context, &key, &request.change_id, next).await
}

/// Cancels a planned stop.
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

/// Stores a change and applies it at this entry.
async fn store(
    context: &Context,
    key: &str,
    change_id: &str,
    next: impl Fn(Option<Stop>) -> Result<Stop, Error> + Send,
) -> Result<Stop, Status> {
    let stored = cas::update(&context.platform, key, change_id, next).await?;
    context.stops.accept(stored.clone(), context.clock);
    Ok(stored)
}

/// Parses a target.
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

/// Returns an error for a server that is not on the instance list.
fn check_registered(context: &Context, target: &Target) -> Result<(), Status> {
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

/// Streams the progress of a stop until it has finished or was cancelled.
pub(super) async fn watch(context: &Arc<Context>, value: &str) -> Result<Progress, Status> {
    let target = target(value)?;
    let own_name = &context.settings.entry.name;
    if matches!(&target, Target::Entry(name) if name != own_name) {
        return Err(Status::failed_precondition(format!(
            "only the entry itself knows what holds it: watch `{target}` at that entry"
        )));
    }
    if context.stops.declared().borrow().find(&target).is_none() {
        record_stored(context, &target).await?;
    }
    let (sender, receiver) = mpsc::channel(STREAM_CAPACITY);
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let stop = context.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = sender.closed() => {}
            () = poll(&context, &target, &sender) => {}
        }
    });
    Ok(ReceiverStream::new(receiver))
}

/// Reads a stop that this entry has not recorded yet from the store, and records it.
async fn record_stored(context: &Context, target: &Target) -> Result<(), Status> {
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

/// Polls the progress of a stop, and sends each change, until the stop has ended.
async fn poll(
    context: &Context,
    target: &Target,
    sender: &mpsc::Sender<Result<rpc::StopProgress, Status>>,
) {
    let mut completion = Completion::new(QUIET_PERIOD);
    let mut last_sent = None;
    loop {
        let Some(planned) = context.stops.declared().borrow().find(target).cloned() else {
            return;
        };
        let mut progress = read_progress(context, target, &planned).await;
        let now = context.clock.now();
        let state = match remaining_requests(&progress, now >= planned.date) {
            _ if planned.stop.cancelled => rpc::StopState::Cancelled,
            remaining if completion.observe(now, remaining) => rpc::StopState::Finished,
            _ => rpc::StopState::Leaving,
        };
        progress.state = state.into();
        let changed = last_sent.as_ref() != Some(&progress);
        if changed && sender.send(Ok(progress.clone())).await.is_err() {
            return;
        }
        if state != rpc::StopState::Leaving {
            return;
        }
        last_sent = Some(progress);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the number of requests that a stop waits for, or nothing if a load could not be read.
///
/// After the date (`date_passed`), a server that does not answer counts as stopped.
fn remaining_requests(progress: &rpc::StopProgress, date_passed: bool) -> Option<u64> {
    let known = progress.unread.is_empty() || date_passed;
    let requests = progress
        .holders
        .iter()
        .map(|holder| holder.own.max(holder.reported));
    known.then(|| requests.sum())
}

/// Returns the current progress of a stop: the requests that it waits for, by server and entry.
async fn read_progress(context: &Context, target: &Target, planned: &Planned) -> rpc::StopProgress {
    let directory = Arc::clone(&context.directory.borrow());
    let servers = directory
        .iter()
        .filter(|server| target.covers_server(&server.name, &server.failure_domain));
    let reads = servers.map(|server| read_load(context, server));
    let mut progress = rpc::StopProgress {
        stop: Some(planned.stop.clone()),
        ..rpc::StopProgress::default()
    };
    for (server, own, reported) in futures::future::join_all(reads).await {
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

/// Returns a server's name, this entry's attempts there, and the load that the server reports, if it
/// could be read.
async fn read_load(context: &Context, server: &Server) -> (String, u64, Option<u64>) {
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
