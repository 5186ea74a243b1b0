//! Handover of a generation from a leaving server to another one while the first still runs it.

use std::time::Duration;

use super::Task;
use super::attempt::Outcome;
use crate::modules::stops::handover::{Handover, Prepared};

/// Longest wait for admission to another server before the handover is retried.
const ADMISSION_WAIT: Duration = Duration::from_millis(500);

impl Task {
    /// Returns the handover of the running attempt, which takes place if its server is to stop.
    pub(super) fn handover(&self) -> Option<Handover> {
        let running = self.running.as_ref()?;
        Some(Handover::new(
            &self.context,
            &running.server,
            self.generate_request(running.attempt, Vec::new()),
            self.requirements(Vec::new(), ADMISSION_WAIT),
            self.journal.next_index(),
        ))
    }

    /// Cancels the running attempt and continues the journal with one that runs on another server.
    pub(super) fn switch_to(&mut self, prepared: &Prepared) {
        self.context.metrics.generations_moved.inc();
        self.cancel_running();
        self.journal.adopt(prepared.attempt);
    }

    /// Delivers the frames of an attempt that was prepared on another server.
    pub(super) async fn continue_prepared(&mut self, prepared: Box<Prepared>) -> Outcome {
        let Prepared {
            permit,
            attempt,
            first,
            frames,
        } = *prepared;
        let server = std::sync::Arc::clone(&permit.server);
        let mut silence = self.begin_attempt(&server, attempt, Some(permit));
        if let Some(outcome) = self.accept_frame(&mut silence, first).await {
            return outcome;
        }
        self.deliver_frames(&mut silence, async { Ok(frames) })
            .await
    }
}
