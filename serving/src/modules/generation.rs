//! The task that owns a generation: its journal, its attempts and its delivery to the caller.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::journal::{Attempt, Ending, Journal, Verdict};
use medlarfall_coordination::placement::prefix_hash;
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::backend::{Engine, Frame, Frames, Generate, Reference, prompt_tokens};
use crate::context::Context;
use crate::modules::admission::{Need, Outcome as Report, Permit, Refusal};

/// Longest time that a generation waits for a backend server.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time that an engine goes on with a generation that nobody reads.
const ORPHAN_GRACE: Duration = Duration::from_secs(5);

/// A generation that a caller asked for.
#[derive(Clone, Debug)]
pub struct Order {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Client account of the caller.
    pub account: Arc<str>,
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
}

/// How an attempt ended.
enum Outcome {
    /// The answer is whole.
    Whole(Arc<str>),
    /// The attempt was lost; another may go on.
    Lost(String),
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
        for _ in 0..self.context.settings.generation.attempts {
            let Ok(permit) = self.admit(&tried).await else {
                break;
            };
            let server = Arc::clone(&permit.server);
            tried.push(Arc::clone(&server.name));
            match self.attempt(permit).await {
                Outcome::Whole(reason) => return self.finish(reason).await,
                Outcome::CallerGone => return,
                Outcome::Lost(reason) => {
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

    /// Waits for a backend server that can go on with the generation.
    async fn admit(&self, tried: &[Arc<str>]) -> Result<Permit, Refusal> {
        let order = &self.order;
        let need = Need {
            service: Arc::clone(&order.service),
            version: Arc::clone(&order.version),
            account: Arc::clone(&order.account),
            weight: 1,
            priority: order.priority,
            tokens: prompt_tokens(&order.prompt) + order.max_tokens,
            prefix: prefix_hash(&order.prompt),
            deadline: self.context.clock.now() + ADMISSION_TIMEOUT,
            excluded: tried.to_vec(),
        };
        self.context.admission.ask(need).await
    }

    /// Tells the caller that the answer is whole.
    async fn finish(&self, reason: Arc<str>) {
        let tokens = self.journal.next_index();
        let _ = self.sender.send(Event::End { reason, tokens }).await;
    }

    /// Makes one attempt.
    async fn attempt(&mut self, permit: Permit) -> Outcome {
        let server = Arc::clone(&permit.server);
        let attempt = self.journal.begin_attempt();
        let generate = Generate {
            request_id: Arc::clone(&self.order.request_id),
            attempt: attempt.0,
            version: Arc::clone(&self.order.version),
            prompt: Arc::clone(&self.order.prompt),
            resume: self.journal.tokens().to_vec(),
            max_tokens: self.order.max_tokens,
            priority: self.order.priority,
        };
        let mut frames = match self.context.backend.generate(&server, &generate).await {
            Ok(frames) => frames,
            Err(error) => {
                permit.report(Report::Failed);
                return Outcome::Lost(error.to_string());
            }
        };
        let outcome = self.follow(attempt, &mut frames).await;
        match outcome {
            Outcome::Whole(_) => permit.report(Report::Answered),
            Outcome::Lost(_) => {
                permit.report(Report::Failed);
                self.cancel(permit, attempt);
            }
            Outcome::CallerGone => self.cancel(permit, attempt),
        }
        outcome
    }

    /// Delivers an attempt's frames until it ends, fails or falls silent.
    async fn follow<F: Frames>(&mut self, attempt: Attempt, frames: &mut F) -> Outcome {
        let silence = self.context.settings.generation.silence_ceiling;
        loop {
            let frame = match tokio::time::timeout(silence, frames.next()).await {
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

    /// Cancels an attempt without waiting for the answer; its memory stays reserved until the engine
    /// has answered or has given the generation up by itself.
    fn cancel(&self, permit: Permit, attempt: Attempt) {
        let backend = self.context.backend.clone();
        let reference = Reference {
            request_id: Arc::clone(&self.order.request_id),
            attempt: attempt.0,
            from: 0,
        };
        tokio::spawn(async move {
            if backend.cancel(&permit.server, &reference).await.is_err() {
                tokio::time::sleep(ORPHAN_GRACE).await;
            }
            drop(permit);
        });
    }
}
