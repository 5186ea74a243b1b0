//! `medlarfall move`: starts, watches and cancels moves.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarfall_schema::operator::{MovePhase, MoveState};

use super::{Result, status_message};
use crate::operator::Operator;

/// Starts a move that must end `within` a duration, written with its unit such as `2h`.
///
/// # Errors
///
/// Returns an error if the duration is malformed, or the message of the entry's refusal.
pub async fn start(
    mut operator: Operator,
    service: &str,
    version: &str,
    within: &str,
    json: bool,
) -> Result {
    let within = humantime::parse_duration(within).map_err(|error| {
        format!("invalid `--within {within}`: {error}; use a duration such as \"2h\"")
    })?;
    let deadline_ms = deadline_ms(within);
    let state = operator.start_move(service, version, deadline_ms).await;
    print_state(&state.map_err(|status| status_message(&status))?, json);
    Ok(())
}

/// Prints the states of a move until it is done or taken back.
///
/// # Errors
///
/// Returns the message of the entry's refusal, or an error if the entry closed the stream before
/// the move ended.
pub async fn watch(mut operator: Operator, service: &str, id: &str, json: bool) -> Result {
    let states = operator.watch_move(service, id).await;
    let mut states = states.map_err(|status| status_message(&status))?;
    while let Some(state) = states
        .message()
        .await
        .map_err(|status| status_message(&status))?
    {
        print_state(&state, json);
        if ended(&state) {
            return Ok(());
        }
    }
    Err("the entry closed the watch before the move ended; watch it at another entry".into())
}

/// Cancels a move: the service is taken back to its previous version.
///
/// # Errors
///
/// Returns the message of the entry's refusal.
pub async fn cancel(mut operator: Operator, service: &str, id: &str, json: bool) -> Result {
    let state = operator.cancel_move(service, id).await;
    print_state(&state.map_err(|status| status_message(&status))?, json);
    Ok(())
}

/// Returns the time `within` from now, in milliseconds of Unix time.
#[must_use]
pub fn deadline_ms(within: Duration) -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from((now + within).as_millis()).unwrap_or(u64::MAX)
}

/// Returns whether a move has ended: done or taken back.
#[must_use]
pub fn ended(state: &MoveState) -> bool {
    matches!(state.phase(), MovePhase::Done | MovePhase::TakenBack)
}

/// Prints the state of a move.
fn print_state(state: &MoveState, json: bool) {
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
