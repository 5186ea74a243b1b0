//! Moves a generation off a leaving server: the next attempt starts on another server before the
//! current one is ended.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::journal::{Attempt, Journal};
use medlarfall_coordination::planned_stop::{self, Decision, Snapshot};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::Declared;
use crate::backend::http::Lines;
use crate::backend::{Engine, Frame, Frames, Generate, Reference, Server};
use crate::context::Context;
use crate::modules::admission::{Permit, Requirements};

/// Pause between two tries to move a generation.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An attempt that runs on another server and has produced its first frame.
#[derive(Debug)]
pub struct Prepared {
    /// Permit for the server that it runs on, with the reservation of its memory.
    pub permit: Permit,
    /// Number of the attempt, reserved in the journal and still to be adopted.
    pub attempt: Attempt,
    /// First frame received from the attempt.
    pub first: Frame,
    /// The frames that follow.
    pub frames: Lines,
}

/// Watches one attempt of a generation and prepares the next one when the attempt's server is leaving.
#[derive(Debug)]
pub struct Handover {
    context: Arc<Context>,
    server: Arc<Server>,
    request: Generate,
    requirements: Requirements,
    admission_timeout: Duration,
    declared: watch::Receiver<Arc<Declared>>,
    /// Index of the first token that the attempt produces.
    first_index: u64,
    /// When the first token of the attempt was seen, and the next index then.
    first_token: Option<(Duration, u64)>,
    /// Number of attempts prepared so far.
    prepared: u64,
    preparing: Option<oneshot::Receiver<Option<Prepared>>>,
    /// Earliest time of the next try, by the entry's clock.
    retry_at: Duration,
}

impl Handover {
    /// Returns a handover for the attempt that `request` started on `server` and that produces the
    /// tokens from `first_index` on.
    #[must_use]
    pub fn new(
        context: &Arc<Context>,
        server: &Arc<Server>,
        request: Generate,
        requirements: Requirements,
        first_index: u64,
    ) -> Self {
        Self {
            declared: context.stops.declared(),
            context: Arc::clone(context),
            server: Arc::clone(server),
            request,
            admission_timeout: requirements.deadline.saturating_sub(context.clock.now()),
            requirements,
            first_index,
            first_token: None,
            prepared: 0,
            preparing: None,
            retry_at: Duration::ZERO,
        }
    }

    /// Waits until the next attempt runs on another server. Cancel-safe.
    pub async fn moved(&mut self, journal: &Journal) -> Box<Prepared> {
        loop {
            let wake = self.step(journal, self.context.clock.now());
            if let Some(prepared) = self.wait(wake).await {
                return Box::new(prepared);
            }
        }
    }

    /// Returns the number of the last prepared attempt, if there was any.
    #[must_use]
    pub fn last_prepared(&self, journal: &Journal) -> Option<Attempt> {
        let last = self.prepared.checked_sub(1)?;
        Some(journal.prepared_attempt(last))
    }

    /// Starts the next attempt if it is due; returns when to check again.
    fn step(&mut self, journal: &Journal, now: Duration) -> Option<Duration> {
        self.record_first_token(journal, now);
        let snapshot = self.snapshot(journal, now)?;
        if self.preparing.is_some() {
            return None;
        }
        match self.context.settings.stops.policy.decide(&snapshot, now) {
            Decision::Stay => None,
            Decision::MoveAt(moment) => Some(moment),
            Decision::MoveNow if now < self.retry_at => Some(self.retry_at),
            Decision::MoveNow => {
                self.retry_at = now + RETRY_PAUSE;
                self.start_next_attempt(journal);
                Some(self.retry_at)
            }
        }
    }

    /// Records when the first token of this attempt was seen.
    fn record_first_token(&mut self, journal: &Journal, now: Duration) {
        if self.first_token.is_none() && journal.next_index() > self.first_index {
            self.first_token = Some((now, journal.next_index()));
        }
    }

    /// Returns the progress of the generation and the stop of its server, if one is planned.
    fn snapshot(&mut self, journal: &Journal, now: Duration) -> Option<Snapshot> {
        let declared = Arc::clone(&self.declared.borrow_and_update());
        let planned = declared.of_server(&self.server)?;
        let interval = self.first_token.and_then(|(first_token, first_index)| {
            let tokens = u32::try_from(journal.next_index() - first_index).unwrap_or(u32::MAX);
            now.saturating_sub(first_token).checked_div(tokens)
        });
        Some(Snapshot {
            accepted: planned.recorded_at,
            date: planned.date,
            share: planned_stop::share(&self.request.request_id),
            remaining_tokens: self.request.max_tokens.saturating_sub(journal.next_index()),
            token_interval: interval,
        })
    }

    /// Waits for a change of the stops, for the time `wake`, or for the first frame of the next
    /// attempt, which it returns.
    async fn wait(&mut self, wake: Option<Duration>) -> Option<Prepared> {
        let clock = self.context.clock;
        let alarm = async {
            match wake {
                Some(wake) => tokio::time::sleep_until(clock.instant(wake)).await,
                None => std::future::pending().await,
            }
        };
        let preparing = async {
            match &mut self.preparing {
                Some(preparing) => preparing.await.ok().flatten(),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            prepared = preparing => {
                self.preparing = None;
                prepared
            }
            _ = self.declared.changed() => None,
            () = alarm => None,
        }
    }

    /// Starts the next attempt on another server; it resumes after the tokens delivered so far.
    fn start_next_attempt(&mut self, journal: &Journal) {
        let attempt = journal.prepared_attempt(self.prepared);
        self.prepared += 1;
        let requirements = Requirements {
            deadline: self.context.clock.now() + self.admission_timeout,
            excluded: vec![Arc::clone(&self.server.name)],
            ..self.requirements.clone()
        };
        let request = Generate {
            attempt: attempt.0,
            resume: journal.tokens().to_vec(),
            ..self.request.clone()
        };
        let context = Arc::clone(&self.context);
        let (sender, receiver) = oneshot::channel();
        self.preparing = Some(receiver);
        tokio::spawn(async move {
            let prepared = prepare(&context, requirements, attempt, &request).await;
            // The generation has ended meanwhile: nobody will use this attempt.
            if let Err(Some(prepared)) = sender.send(prepared) {
                abandon(&context, prepared.permit, &request).await;
            }
        });
    }
}

/// Starts an attempt and waits for its first frame; returns nothing if this fails or takes too long.
async fn prepare(
    context: &Context,
    requirements: Requirements,
    attempt: Attempt,
    request: &Generate,
) -> Option<Prepared> {
    let permit = context.admission.acquire(requirements).await.ok()?;
    let deadline = Instant::now() + context.settings.generation.first_token_timeout;
    let opened = async {
        let mut frames = context
            .backend
            .generate(&permit.server, request)
            .await
            .ok()?;
        let first = frames.next().await.ok()??;
        Some((first, frames))
    };
    let opened = tokio::time::timeout_at(deadline, opened).await;
    let Ok(Some((first, frames))) = opened else {
        abandon(context, permit, request).await;
        return None;
    };
    Some(Prepared {
        permit,
        attempt,
        first,
        frames,
    })
}

/// Cancels an attempt that is not needed; its memory stays reserved until the cancellation has ended.
async fn abandon(context: &Context, permit: Permit, request: &Generate) {
    let reference = Reference {
        request_id: Arc::clone(&request.request_id),
        attempt: request.attempt,
        from: 0,
    };
    let cancelling = context.backend.cancel(&permit.server, &reference);
    let timeout = context.settings.generation.silence_ceiling;
    let _ = tokio::time::timeout(timeout, cancelling).await;
    drop(permit);
}
