//! `medlarfall move`: starting, watching and cancelling moves.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarfall_schema::operator::{MovePhase, MoveState};

use super::{Result, message};
use crate::operator::Operator;

/// Starts a move that must have ended `within` a duration with its unit.
///
/// # Errors
///
/// Returns that the duration is malformed, or the entry's refusal.
pub async fn start(
    mut operator: Operator,
    service: &str,
    version: &str,
    within: &str,
    json: bool,
) -> Result {
    let within = humantime::parse_duration(within).map_err(|error| {
        format!("`--within {within}` cannot be used: {error}; write a duration such as \"2h\"")
    })?;
    let deadline_ms = deadline_ms(within);
    let state = operator.start_move(service, version, deadline_ms).await;
    print(&state.map_err(|status| message(&status))?, json);
    Ok(())
}

/// Prints the states of a move until it is done or taken back.
///
/// # Errors
///
/// Returns the entry's refusal, or that the entry was lost before the move ended.
pub async fn watch(mut operator: Operator, service: &str, id: &str, json: bool) -> Result {
    let states = operator.watch_move(service, id).await;
    let mut states = states.map_err(|status| message(&status))?;
    while let Some(state) = states.message().await.map_err(|status| message(&status))? {
        print(&state, json);
        if ended(&state) {
            return Ok(());
        }
    }
    Err("the entry has ended the watch before the move ended; watch it at another entry".into())
}

/// Takes a move back.
///
/// # Errors
///
/// Returns the entry's refusal.
pub async fn cancel(mut operator: Operator, service: &str, id: &str, json: bool) -> Result {
    let state = operator.cancel_move(service, id).await;
    print(&state.map_err(|status| message(&status))?, json);
    Ok(())
}

/// Returns the deadline that lies `within` from now, in milliseconds of Unix time.
#[must_use]
pub fn deadline_ms(within: Duration) -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from((now + within).as_millis()).unwrap_or(u64::MAX)
}

/// Returns whether a state is a move's recorded end.
#[must_use]
pub fn ended(state: &MoveState) -> bool {
    matches!(state.phase(), MovePhase::Done | MovePhase::TakenBack)
}

/// Prints a state.
fn print(state: &MoveState, json: bool) {
    let phase = match state.phase() {
        MovePhase::Unspecified => "unknown",
        MovePhase::Stage => "stage",
        MovePhase::Braked => "braked",
        MovePhase::Done => "done",
        MovePhase::TakenBack => "taken back",
    };
    if json {
        let line = serde_json::json!({
            "service": state.service, "move_id": state.move_id, "from": state.from,
            "to": state.to, "phase": phase, "share": state.share, "reason": state.reason,
        });
        println!("{line}");
        return;
    }
    let reason = if state.reason.is_empty() {
        String::new()
    } else {
        format!(": {}", state.reason)
    };
    println!(
        "{} {} to {}, move {}: {phase}, {} thousandths of requests to {}{reason}",
        state.service, state.from, state.to, state.move_id, state.share, state.to
    );
}
