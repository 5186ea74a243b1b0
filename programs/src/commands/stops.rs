//! `medlarfall stop` and `medlarfall order`: plans, watches and cancels stops, and orders backend
//! servers into states.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarfall_schema::declaration::Stop;
use medlarfall_schema::operator::{OrderRequest, StopProgress, StopState};

use super::{Result, status_message};
use crate::operator::Operator;

/// Arguments of `stop plan`.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Target: `server/NAME`, `failure-domain/NAME` or `entry/NAME`.
    pub target: String,
    /// Time from now until the target stops.
    pub notice: Duration,
    /// Reason for the stop, shown to other operators.
    pub note: String,
    /// Revision of the stop that is changed; 0 for a new stop.
    pub revision: u64,
}

/// Plans a stop.
///
/// # Errors
///
/// Returns the message of the entry's refusal.
pub async fn plan(entry: SocketAddr, key: &str, plan: Plan, json: bool) -> Result {
    let date = SystemTime::now() + plan.notice;
    let date = date.duration_since(UNIX_EPOCH)?.as_millis();
    let stop = Stop {
        target: plan.target,
        date_ms: u64::try_from(date)?,
        note: plan.note,
        revision: plan.revision,
        ..Stop::default()
    };
    let stored = Operator::new(entry, key)?.plan_stop(stop).await;
    print_stop(&stored.map_err(|status| status_message(&status))?, json)
}

/// Cancels a planned stop.
///
/// # Errors
///
/// Returns the message of the entry's refusal.
pub async fn cancel(entry: SocketAddr, key: &str, target: &str, json: bool) -> Result {
    let stored = Operator::new(entry, key)?.cancel_stop(target).await;
    print_stop(&stored.map_err(|status| status_message(&status))?, json)
}

/// Prints the progress of a stop until it has finished or is cancelled.
///
/// # Errors
///
/// Returns the message of the entry's refusal, or an error if the entry closed the stream before
/// the end.
pub async fn watch(entry: SocketAddr, key: &str, target: &str, json: bool) -> Result {
    let mut operator = Operator::new(entry, key)?;
    let mut stream = operator
        .watch_stop(target)
        .await
        .map_err(|status| status_message(&status))?;
    let mut state = StopState::Unspecified;
    while let Some(progress) = stream
        .message()
        .await
        .map_err(|status| status_message(&status))?
    {
        state = progress.state();
        print_progress(&progress, json);
    }
    match state {
        StopState::Finished | StopState::Cancelled => Ok(()),
        StopState::Unspecified | StopState::Leaving => Err(
            "the entry closed the watch before the stop had finished; watch it at another entry"
                .into(),
        ),
    }
}

/// Orders a backend server into a state and prints its resulting state.
///
/// # Errors
///
/// Returns the message of the entry's refusal, also if the server did not reach that state.
pub async fn order(entry: SocketAddr, key: &str, order: OrderRequest, json: bool) -> Result {
    let server = order.server.clone();
    let reply = Operator::new(entry, key)?.order(order).await;
    let state = reply.map_err(|status| status_message(&status))?;
    let (versions, role, draining) = (&state.versions, &state.role, state.draining);
    if json {
        let fencing = state.fencing;
        println!(
            "{}",
            serde_json::json!({ "server": server, "fencing": fencing, "versions": versions, "role": role, "draining": draining })
        );
        return Ok(());
    }
    let versions = versions.join(", ");
    println!("{server}: versions [{versions}], role {role}, draining: {draining}");
    Ok(())
}

/// Prints a stored stop.
fn print_stop(stop: &Stop, json: bool) -> Result {
    if json {
        println!("{}", serde_json::to_string(stop)?);
        return Ok(());
    }
    let action = if stop.cancelled {
        "cancelled"
    } else {
        "planned"
    };
    println!("{}: {action} as revision {}", stop.target, stop.revision);
    Ok(())
}

/// Prints the progress of a stop: its state, the requests that each entry still has, and the
/// entries whose counts cannot be read.
fn print_progress(progress: &StopProgress, json: bool) {
    let state = match progress.state() {
        StopState::Finished => "finished",
        StopState::Cancelled => "cancelled",
        StopState::Unspecified | StopState::Leaving => "leaving",
    };
    let holders = progress
        .holders
        .iter()
        .map(|holder| (holder.name.as_str(), holder.own.max(holder.reported)));
    if json {
        let holders: std::collections::BTreeMap<&str, u64> = holders.collect();
        let unread = &progress.unread;
        println!(
            "{}",
            serde_json::json!({ "state": state, "holders": holders, "unread": unread })
        );
        return;
    }
    let holders: Vec<String> = holders
        .filter(|(_, requests)| *requests > 0)
        .map(|(name, requests)| format!("{name}: {requests}"))
        .collect();
    let unread = match progress.unread.as_slice() {
        [] => String::new(),
        names => format!("; cannot be read: {}", names.join(", ")),
    };
    println!("{state}; requests held: [{}]{unread}", holders.join(", "));
}
