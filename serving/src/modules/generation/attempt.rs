//! Delivery of one attempt's frames to the caller, with detection of a silent engine and a slow
//! reader.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::journal::{Attempt, Ending, Verdict};
use medlarfall_coordination::resume_token;
use tokio::time;

use super::outbox::ReaderState;
use super::silence::Timer;
use super::{Event, Task};
use crate::backend::{self, Engine, Frame, Frames};
use crate::modules::admission::Refusal;
use crate::modules::stops::handover::{Handover, Prepared};

/// Timeout of a probe of an engine whose first token is late.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of an attempt, or of the wait for one.
pub(super) enum Outcome {
    /// The answer is complete; holds the engine's reason for its end.
    Complete(Arc<str>),
    /// The attempt named by the caller's resume token had already ended on its engine.
    AlreadyEnded,
    /// Admission refused the attempt.
    NotAdmitted(Refusal),
    /// The engine did not run the attempt.
    Refused(String),
    /// The attempt failed while it ran; another attempt may continue the answer.
    Lost(String),
    /// The reader is too slow, or its buffer was discarded.
    Parked,
    /// An attempt on another server has replaced this one, because its server is leaving.
    HandedOver(Box<Prepared>),
    /// The caller has disconnected.
    CallerDisconnected,
    /// The text that was generated again differs from the delivered text.
    Diverged,
}

impl Task {
    /// Delivers an attempt's frames until it ends, fails or times out.
    pub(super) async fn deliver_frames<F: Frames>(
        &mut self,
        silence: &mut Timer,
        response: impl Future<Output = Result<F, backend::Error>>,
    ) -> Outcome {
        let Some(response) = self.within_silence_bound(silence, response).await else {
            return Outcome::Lost("the engine did not answer".to_owned());
        };
        let outcome = match response {
            Ok(mut frames) => self.read(silence, &mut frames).await,
            Err(backend::Error::NotRun { reason }) => Outcome::Refused(reason),
            Err(backend::Error::Lost { reason }) => Outcome::Lost(reason),
        };
        silence.flush(&self.context.detector);
        outcome
    }

    /// Reads frames until the attempt ends.
    async fn read<F: Frames>(&mut self, silence: &mut Timer, frames: &mut F) -> Outcome {
        let Some(mut handover) = self.handover() else {
            return Outcome::AlreadyEnded;
        };
        let outcome = self
            .read_until_handover(silence, frames, &mut handover)
            .await;
        if let Some(last) = handover.last_prepared(&self.journal) {
            self.journal.record_prepared(last);
        }
        outcome
    }

    /// Reads frames until the attempt ends or an attempt on another server replaces it.
    async fn read_until_handover<F: Frames>(
        &mut self,
        silence: &mut Timer,
        frames: &mut F,
        handover: &mut Handover,
    ) -> Outcome {
        loop {
            let next = tokio::select! {
                biased;
                next = self.within_silence_bound(silence, frames.next()) => next,
                prepared = handover.moved(&self.journal) => return Outcome::HandedOver(prepared),
            };
            let frame = match next {
                Some(Ok(Some(frame))) => frame,
                Some(Ok(None)) => return Outcome::Lost("the stream ended early".to_owned()),
                Some(Err(error)) => return Outcome::Lost(error.to_string()),
                None => return Outcome::Lost("the engine fell silent".to_owned()),
            };
            if let Some(outcome) = self.accept_frame(silence, frame).await {
                return outcome;
            }
        }
    }

    /// Waits for an engine until its silence reaches the detector's bound.
    ///
    /// Before the first token the wait is extended while the engine answers probes, up to the first
    /// token timeout, because the request may be queued behind others at the engine.
    async fn within_silence_bound<T>(
        &self,
        silence: &mut Timer,
        response: impl Future<Output = T>,
    ) -> Option<T> {
        let limit = self.context.settings.generation.first_token_timeout;
        let mut response = pin!(response);
        loop {
            if let Ok(response) = time::timeout_at(silence.deadline(), &mut response).await {
                return Some(response);
            }
            if !silence.may_extend(limit) || !self.engine_responds().await {
                silence.record_timeout(&self.context.detector);
                return None;
            }
            silence.extend();
        }
    }

    /// Probes the engine of the running attempt; returns whether it responds in time.
    async fn engine_responds(&self) -> bool {
        let Some(running) = &self.running else {
            return false;
        };
        let probe = self.context.backend.load(&running.server);
        matches!(time::timeout(PROBE_TIMEOUT, probe).await, Ok(Ok(_)))
    }

    /// Processes one frame; returns an outcome if the attempt ends with it.
    pub(super) async fn accept_frame(
        &mut self,
        silence: &mut Timer,
        frame: Frame,
    ) -> Option<Outcome> {
        let attempt = Attempt(self.origin.attempt);
        let own = frame.request_id == *self.request.request_id && frame.attempt == attempt.0;
        if !own {
            return None;
        }
        match (frame.token, frame.end) {
            (Some(token), None) => {
                let index = frame.index;
                match self.journal.accept(attempt, index, Arc::clone(&token)) {
                    Verdict::Deliver => {
                        let gap = silence.record_token(&self.context.detector);
                        let running = self.running.as_mut();
                        if let Some(meter) = running.and_then(|running| running.meter.as_mut()) {
                            meter.token(gap);
                        }
                        self.deliver(silence, index, token).await
                    }
                    Verdict::Gap => Some(Outcome::Lost("a token is missing".to_owned())),
                    Verdict::Duplicate | Verdict::Stale | Verdict::Ended => None,
                }
            }
            (None, Some(reason)) => match self.journal.end(attempt, frame.index) {
                Ending::Complete if self.checks_prefix() => Some(Outcome::Diverged),
                Ending::Complete => Some(Outcome::Complete(reason)),
                Ending::Incomplete => Some(Outcome::Lost("the last tokens are missing".to_owned())),
                Ending::Stale => None,
            },
            _ => Some(Outcome::Lost("a frame cannot be read".to_owned())),
        }
    }

    /// Delivers a token, and waits up to the parking time while the reader's buffer is full.
    async fn deliver(
        &mut self,
        silence: &mut Timer,
        index: u64,
        text: Arc<str>,
    ) -> Option<Outcome> {
        if self.checks_prefix() {
            return self.check_prefix(&text);
        }
        let origin = Arc::clone(&self.origin);
        let event = Event::Token {
            index,
            text,
            origin,
        };
        match self.outbox.push(event) {
            ReaderState::Ready => None,
            ReaderState::Dropped => Some(Outcome::CallerDisconnected),
            ReaderState::Discarded(_) => Some(Outcome::Parked),
            ReaderState::Full => {
                let park_after = self.context.settings.generation.park_after;
                let waited = time::timeout(park_after, self.outbox.wait_for_room()).await;
                silence.exclude_reader_wait();
                match waited {
                    Ok(ReaderState::Ready) => None,
                    Ok(ReaderState::Dropped) => Some(Outcome::CallerDisconnected),
                    Ok(ReaderState::Discarded(_) | ReaderState::Full) | Err(_) => {
                        Some(Outcome::Parked)
                    }
                }
            }
        }
    }

    /// Returns whether tokens that were delivered before are still being compared.
    fn checks_prefix(&self) -> bool {
        self.delivered_prefix.is_some()
    }

    /// Adds a token that was delivered before to the hash, and compares the hash after the last
    /// one.
    fn check_prefix(&mut self, text: &str) -> Option<Outcome> {
        let prefix = self.delivered_prefix.as_mut()?;
        prefix.actual = resume_token::chain(prefix.actual, text);
        if self.journal.next_index() < prefix.tokens {
            return None;
        }
        let same = prefix.actual == prefix.expected;
        self.delivered_prefix = None;
        (!same).then_some(Outcome::Diverged)
    }
}
