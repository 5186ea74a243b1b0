//! `stop plan`, `stop watch`, `stop cancel` and `order`.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarfall_schema::declaration::Stop;
use medlarfall_schema::operator::{OrderRequest, StopProgress, StopState};

use super::{Result, message};
use crate::operator::Operator;

/// What `stop plan` was told.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What stops.
    pub target: String,
    /// Time until it stops.
    pub notice: Duration,
    /// Why, for other operators.
    pub note: String,
    /// Revision that the operator has seen; 0 for a new stop.
    pub revision: u64,
}

/// Plans a stop.
///
/// # Errors
///
/// Returns the entry's refusal.
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
    print(&stored.map_err(|status| message(&status))?, json)
}

/// Takes a planned stop back.
///
/// # Errors
///
/// Returns the entry's refusal.
pub async fn cancel(entry: SocketAddr, key: &str, target: &str, json: bool) -> Result {
    let stored = Operator::new(entry, key)?.cancel_stop(target).await;
    print(&stored.map_err(|status| message(&status))?, json)
}

/// Prints what holds a stop until it has finished or was cancelled.
///
/// # Errors
///
/// Returns the entry's refusal, or that the entry was lost before the end.
pub async fn watch(entry: SocketAddr, key: &str, target: &str, json: bool) -> Result {
    let mut operator = Operator::new(entry, key)?;
    let mut stream = operator
        .watch_stop(target)
        .await
        .map_err(|status| message(&status))?;
    let mut state = StopState::Unspecified;
    while let Some(progress) = stream.message().await.map_err(|status| message(&status))? {
        state = progress.state();
        show(&progress, json);
    }
    match state {
        StopState::Finished | StopState::Cancelled => Ok(()),
        StopState::Unspecified | StopState::Leaving => {
            Err("the entry was lost before the stop had finished; watch at another entry".into())
        }
    }
}

/// Orders a backend server into a state.
///
/// # Errors
///
/// Returns the entry's refusal, or that the server did not come to be in that state.
pub async fn order(entry: SocketAddr, key: &str, order: OrderRequest, json: bool) -> Result {
    let server = order.server.clone();
    let reply = Operator::new(entry, key)?.order(order).await;
    let state = reply.map_err(|status| message(&status))?;
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
fn print(stop: &Stop, json: bool) -> Result {
    if json {
        println!("{}", serde_json::to_string(stop)?);
        return Ok(());
    }
    let what = if stop.cancelled {
        "cancelled"
    } else {
        "planned"
    };
    println!("{}: {what} as revision {}", stop.target, stop.revision);
    Ok(())
}

/// Prints what holds a stop.
fn show(progress: &StopProgress, json: bool) {
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
