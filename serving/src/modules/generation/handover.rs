//! Moving a generation off a server that leaves, while the server still runs it.

use std::time::Duration;

use super::Task;
use super::attempt::Outcome;
use crate::modules::stops::handover::{Handover, Prepared};

/// Longest wait for room on another server before the move is tried anew.
const ROOM_WAIT: Duration = Duration::from_millis(500);

impl Task {
    /// Returns what moves the running attempt off its server, should the server leave.
    pub(super) fn handover(&self) -> Option<Handover> {
        let running = self.running.as_ref()?;
        Some(Handover::new(
            &self.context,
            &running.server,
            self.request(running.attempt, Vec::new()),
            self.need(Vec::new(), ROOM_WAIT),
            self.journal.next_index(),
        ))
    }

    /// Ends the present attempt, since the generation runs on another server already.
    pub(super) fn move_to(&mut self, prepared: &Prepared) {
        self.context.metrics.generations_moved.inc();
        self.cancel_running();
        self.journal.adopt(prepared.attempt);
    }

    /// Goes on with an attempt that was prepared on another server.
    pub(super) async fn go_on(&mut self, prepared: Box<Prepared>) -> Outcome {
        let Prepared {
            permit,
            attempt,
            first,
            frames,
        } = *prepared;
        let server = std::sync::Arc::clone(&permit.server);
        let mut watch = self.begin(&server, attempt, Some(permit));
        if let Some(outcome) = self.take(&mut watch, first).await {
            return outcome;
        }
        self.follow(&mut watch, async { Ok(frames) }).await
    }
}
