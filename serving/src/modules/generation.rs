//! The task that owns a generation: its journal, its attempts and its delivery to the caller.

use std::sync::Arc;

use medlarfall_coordination::journal::{Attempt, Ending, Journal, Verdict};
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::backend::{Engine, Frame, Frames, Generate, Reference, Server};
use crate::context::Context;
use crate::modules::routing;
use crate::modules::stops::handover::{Handover, Interruption, Prepared};

/// A generation that a caller asked for.
#[derive(Clone, Debug)]
pub struct Order {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Service that was asked.
    pub service: Arc<str>,
    /// Version that answers.
    pub version: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Priority; higher runs first.
    pub priority: i32,
}

/// What the caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The next token.
    Token {
        /// Index of the token.
        index: u64,
        /// The token.
        text: Arc<str>,
    },
    /// The answer is whole.
    End {
        /// Why the engine ended it.
        reason: Arc<str>,
        /// Number of tokens.
        tokens: u64,
    },
    /// The answer cannot be completed.
    Failed(Error),
}

/// Why a generation could not be completed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// No backend server can go on with it.
    #[snafu(display(
        "no backend server of this version can go on; {delivered} tokens were delivered; resume later"
    ))]
    NoServer {
        /// Tokens delivered so far.
        delivered: u64,
    },
    /// The entry leaves before the answer is whole.
    #[snafu(display(
        "this entry is leaving; {delivered} tokens were delivered; go on at another entry"
    ))]
    EntryLeaves {
        /// Tokens delivered so far.
        delivered: u64,
    },
}

/// How an attempt ended.
enum Outcome {
    /// The answer is whole.
    Whole(Arc<str>),
    /// The attempt was lost; another may go on.
    Lost(String),
    /// The generation runs on another server already, since the present one is leaving.
    Moved(Box<Prepared>),
    /// This entry leaves and its window is over.
    EntryLeaves,
    /// The caller has gone.
    CallerGone,
}

/// Starts the task of a generation and returns what the caller is told.
#[must_use]
pub fn start(context: Arc<Context>, order: Order) -> mpsc::Receiver<Event> {
    let (sender, receiver) = mpsc::channel(context.settings.generation.buffered_tokens);
    tokio::spawn(async move {
        let stop = context.stop.clone();
        let task = Task {
            context,
            order,
            journal: Journal::new(),
            sender,
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = task.run() => {}
        }
    });
    receiver
}

/// A generation in progress.
struct Task {
    context: Arc<Context>,
    order: Order,
    journal: Journal,
    sender: mpsc::Sender<Event>,
}

impl Task {
    /// Makes attempts until the answer is whole.
    async fn run(mut self) {
        let mut tried = Vec::new();
        let mut attempts = self.context.settings.generation.attempts;
        let mut moved: Option<Box<Prepared>> = None;
        loop {
            let server = match &moved {
                Some(prepared) => Some(Arc::clone(&prepared.server)),
                None if attempts == 0 => None,
                None => routing::pick(
                    &self.context,
                    &self.order.service,
                    &self.order.version,
                    &tried,
                ),
            };
            let Some(server) = server else {
                break;
            };
            attempts -= usize::from(moved.is_none());
            tried.push(Arc::clone(&server.name));
            match self.attempt(&server, moved.take()).await {
                Outcome::Moved(prepared) => {
                    self.context.metrics.generations_moved.inc();
                    moved = Some(prepared);
                }
                Outcome::EntryLeaves => return self.leave().await,
                Outcome::Whole(reason) => return self.finish(reason).await,
                Outcome::CallerGone => return,
                Outcome::Lost(reason) => {
                    self.context.metrics.attempts_lost.inc();
                    let server = server.name.as_ref();
                    log::warn!(request = self.order.request_id.as_ref(), server, reason = reason.as_str(); "attempt lost");
                }
            }
        }
        let delivered = self.journal.next_index();
        let _ = self
            .sender
            .send(Event::Failed(Error::NoServer { delivered }))
            .await;
    }

    /// Tells the caller that the answer is whole.
    async fn finish(&self, reason: Arc<str>) {
        let tokens = self.journal.next_index();
        let _ = self.sender.send(Event::End { reason, tokens }).await;
    }

    /// Tells the caller that the entry leaves.
    async fn leave(&self) {
        let delivered = self.journal.next_index();
        let failed = Event::Failed(Error::EntryLeaves { delivered });
        let _ = self.sender.send(failed).await;
    }

    /// Makes one attempt, or goes on with one that was prepared.
    async fn attempt(&mut self, server: &Arc<Server>, moved: Option<Box<Prepared>>) -> Outcome {
        let _holding = self.context.stops.holding.attempt(&server.name);
        let attempt = match &moved {
            Some(prepared) => prepared.attempt,
            None => self.journal.reserve_attempt(),
        };
        self.journal.adopt(attempt);
        let generate = Generate {
            request_id: Arc::clone(&self.order.request_id),
            attempt: attempt.0,
            version: Arc::clone(&self.order.version),
            prompt: Arc::clone(&self.order.prompt),
            resume: self.journal.tokens().to_vec(),
            max_tokens: self.order.max_tokens,
            priority: self.order.priority,
        };
        let mut handover =
            Handover::new(&self.context, &self.order.service, server, generate.clone());
        let (first, mut frames) = match moved {
            Some(prepared) => (Some(prepared.first), prepared.frames),
            None => match self.context.backend.generate(server, &generate).await {
                Ok(frames) => (None, frames),
                Err(error) => return Outcome::Lost(error.to_string()),
            },
        };
        let early = match first {
            Some(frame) => self.take(attempt, frame).await,
            None => None,
        };
        let outcome = match early {
            Some(outcome) => outcome,
            None => self.follow(attempt, &mut frames, &mut handover).await,
        };
        if !matches!(outcome, Outcome::Whole(_)) {
            self.cancel(server, attempt);
        }
        outcome
    }

    /// Delivers an attempt's frames until it ends, fails or falls silent.
    async fn follow<F: Frames>(
        &mut self,
        attempt: Attempt,
        frames: &mut F,
        handover: &mut Handover,
    ) -> Outcome {
        let silence = self.context.settings.generation.silence_ceiling;
        loop {
            let next = tokio::select! {
                biased;
                next = tokio::time::timeout(silence, frames.next()) => next,
                interruption = handover.interruption(&mut self.journal) => match interruption {
                    Interruption::Moved(prepared) => return Outcome::Moved(prepared),
                    Interruption::EntryLeaves => return Outcome::EntryLeaves,
                },
            };
            let frame = match next {
                Ok(Ok(Some(frame))) => frame,
                Ok(Ok(None)) => return Outcome::Lost("the stream ended early".to_owned()),
                Ok(Err(error)) => return Outcome::Lost(error.to_string()),
                Err(_) => return Outcome::Lost("the engine fell silent".to_owned()),
            };
            if let Some(outcome) = self.take(attempt, frame).await {
                return outcome;
            }
        }
    }

    /// Takes one frame; returns an outcome if the attempt ends with it.
    async fn take(&mut self, attempt: Attempt, frame: Frame) -> Option<Outcome> {
        let own = frame.request_id == *self.order.request_id && frame.attempt == attempt.0;
        if !own {
            return None;
        }
        match (frame.token, frame.end) {
            (Some(token), None) => {
                match self
                    .journal
                    .accept(attempt, frame.index, Arc::clone(&token))
                {
                    Verdict::Deliver => self.deliver(frame.index, token).await,
                    Verdict::Gap => Some(Outcome::Lost("a token is missing".to_owned())),
                    Verdict::Repeated | Verdict::Stale | Verdict::Ended => None,
                }
            }
            (None, Some(reason)) => match self.journal.end(attempt, frame.index) {
                Ending::Whole => Some(Outcome::Whole(reason)),
                Ending::Short => Some(Outcome::Lost("the last tokens are missing".to_owned())),
                Ending::Stale => None,
            },
            _ => Some(Outcome::Lost("a frame cannot be read".to_owned())),
        }
    }

    /// Hands a token to the caller.
    async fn deliver(&self, index: u64, text: Arc<str>) -> Option<Outcome> {
        let sent = self.sender.send(Event::Token { index, text }).await;
        sent.is_err().then_some(Outcome::CallerGone)
    }

    /// Cancels an attempt without waiting for the answer.
    fn cancel(&self, server: &Server, attempt: Attempt) {
        let backend = self.context.backend.clone();
        let server = server.clone();
        let reference = Reference {
            request_id: Arc::clone(&self.order.request_id),
            attempt: attempt.0,
            from: 0,
        };
        tokio::spawn(async move {
            let _ = backend.cancel(&server, &reference).await;
        });
    }
}
