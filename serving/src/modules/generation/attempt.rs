//! Following one attempt: its frames, its silence and its reader.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::journal::{Attempt, Ending, Verdict};
use medlarfall_coordination::resume_token;
use tokio::time;

use super::outbox::Demand;
use super::silence::Watch;
use super::{Event, Task};
use crate::backend::{self, Engine, Frame, Frames};
use crate::modules::admission::Refusal;
use crate::modules::stops::handover::{Handover, Prepared};

/// Longest wait for a sign of life of an engine whose first token is late.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How an attempt ended.
pub(super) enum Outcome {
    /// The answer is whole.
    Whole(Arc<str>),
    /// The attempt that the caller's resume token names had ended on its engine.
    Ended,
    /// Admission gave no server.
    NotAdmitted(Refusal),
    /// The attempt never ran.
    Refused(String),
    /// The attempt was lost; another may go on.
    Lost(String),
    /// The reader does not read.
    Parked,
    /// The generation runs on another server already, since the present one is leaving.
    Moved(Box<Prepared>),
    /// The caller has gone.
    CallerGone,
    /// The text differs from what the caller was given.
    Diverged,
}

impl Task {
    /// Delivers an attempt's frames until it ends, fails or falls silent.
    pub(super) async fn follow<F: Frames>(
        &mut self,
        watch: &mut Watch,
        asked: impl Future<Output = Result<F, backend::Error>>,
    ) -> Outcome {
        let Some(asked) = self.bear(watch, asked).await else {
            return Outcome::Lost("the engine did not answer".to_owned());
        };
        let outcome = match asked {
            Ok(mut frames) => self.read(watch, &mut frames).await,
            Err(backend::Error::NotRun { reason }) => Outcome::Refused(reason),
            Err(backend::Error::Lost { reason }) => Outcome::Lost(reason),
        };
        watch.hand_over(&self.context.detector);
        outcome
    }

    /// Reads frames until the attempt ends.
    async fn read<F: Frames>(&mut self, watch: &mut Watch, frames: &mut F) -> Outcome {
        let Some(mut handover) = self.handover() else {
            return Outcome::Ended;
        };
        let outcome = self.read_until_moved(watch, frames, &mut handover).await;
        if let Some(last) = handover.last_prepared(&self.journal) {
            self.journal.note_used(last);
        }
        outcome
    }

    /// Reads frames until the attempt ends or the generation runs on another server.
    async fn read_until_moved<F: Frames>(
        &mut self,
        watch: &mut Watch,
        frames: &mut F,
        handover: &mut Handover,
    ) -> Outcome {
        loop {
            let next = tokio::select! {
                biased;
                next = self.bear(watch, frames.next()) => next,
                prepared = handover.moved(&self.journal) => return Outcome::Moved(prepared),
            };
            let frame = match next {
                Some(Ok(Some(frame))) => frame,
                Some(Ok(None)) => return Outcome::Lost("the stream ended early".to_owned()),
                Some(Err(error)) => return Outcome::Lost(error.to_string()),
                None => return Outcome::Lost("the engine fell silent".to_owned()),
            };
            if let Some(outcome) = self.take(watch, frame).await {
                return outcome;
            }
        }
    }

    /// Waits for an engine for as long as its silence can be borne. An engine that answers may keep
    /// its first token back for longer, since it may have others to serve before.
    async fn bear<T>(&self, watch: &mut Watch, answer: impl Future<Output = T>) -> Option<T> {
        let limit = self.context.settings.generation.first_token_timeout;
        let mut answer = pin!(answer);
        loop {
            if let Ok(answer) = time::timeout_at(watch.deadline(), &mut answer).await {
                return Some(answer);
            }
            if !watch.may_extend(limit) || !self.alive().await {
                watch.fell_silent(&self.context.detector);
                return None;
            }
            watch.extend();
        }
    }

    /// Returns whether the engine of the running attempt answers.
    async fn alive(&self) -> bool {
        let Some(running) = &self.running else {
            return false;
        };
        let probe = self.context.backend.load(&running.server);
        matches!(time::timeout(PROBE_TIMEOUT, probe).await, Ok(Ok(_)))
    }

    /// Takes one frame; returns an outcome if the attempt ends with it.
    pub(super) async fn take(&mut self, watch: &mut Watch, frame: Frame) -> Option<Outcome> {
        let attempt = Attempt(self.origin.attempt);
        let own = frame.request_id == *self.order.request_id && frame.attempt == attempt.0;
        if !own {
            return None;
        }
        match (frame.token, frame.end) {
            (Some(token), None) => {
                let index = frame.index;
                match self.journal.accept(attempt, index, Arc::clone(&token)) {
                    Verdict::Deliver => {
                        let gap = watch.token(&self.context.detector);
                        let running = self.running.as_mut();
                        if let Some(probe) = running.and_then(|running| running.probe.as_mut()) {
                            probe.token(gap);
                        }
                        self.deliver(watch, index, token).await
                    }
                    Verdict::Gap => Some(Outcome::Lost("a token is missing".to_owned())),
                    Verdict::Repeated | Verdict::Stale | Verdict::Ended => None,
                }
            }
            (None, Some(reason)) => match self.journal.end(attempt, frame.index) {
                Ending::Whole if self.skipping() => Some(Outcome::Diverged),
                Ending::Whole => Some(Outcome::Whole(reason)),
                Ending::Short => Some(Outcome::Lost("the last tokens are missing".to_owned())),
                Ending::Stale => None,
            },
            _ => Some(Outcome::Lost("a frame cannot be read".to_owned())),
        }
    }

    /// Hands a token to the caller, and waits while its reader is full.
    async fn deliver(&mut self, watch: &mut Watch, index: u64, text: Arc<str>) -> Option<Outcome> {
        if self.skipping() {
            return self.skip(&text);
        }
        let origin = Arc::clone(&self.origin);
        let event = Event::Token {
            index,
            text,
            origin,
        };
        match self.outbox.push(event) {
            Demand::Room => None,
            Demand::Gone => Some(Outcome::CallerGone),
            Demand::GivenUp(_) => Some(Outcome::Parked),
            Demand::Full => {
                let patience = self.context.settings.generation.park_after;
                let waited = time::timeout(patience, self.outbox.room()).await;
                watch.held_up();
                match waited {
                    Ok(Demand::Room) => None,
                    Ok(Demand::Gone) => Some(Outcome::CallerGone),
                    Ok(Demand::GivenUp(_) | Demand::Full) | Err(_) => Some(Outcome::Parked),
                }
            }
        }
    }

    /// Returns whether the next token to deliver has not been reached yet.
    fn skipping(&self) -> bool {
        self.skip.is_some()
    }

    /// Compares a token that the caller was given before, and is not given again.
    fn skip(&mut self, text: &str) -> Option<Outcome> {
        let skip = self.skip.as_mut()?;
        skip.seen = resume_token::chain(skip.seen, text);
        if self.journal.next_index() < skip.tokens {
            return None;
        }
        let same = skip.seen == skip.expected;
        self.skip = None;
        (!same).then_some(Outcome::Diverged)
    }
}
