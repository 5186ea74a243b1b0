//! Moving a generation off a leaving server: the next attempt runs before the present one ends.

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

/// Pause after a vain try to move a generation.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An attempt that runs on another server and has produced its first frame.
#[derive(Debug)]
pub struct Prepared {
    /// Names the server that it runs on, and holds its memory.
    pub permit: Permit,
    /// Number of the attempt, reserved in the journal and still to be adopted.
    pub attempt: Attempt,
    /// First frame of the attempt.
    pub first: Frame,
    /// The frames after it.
    pub frames: Lines,
}

/// Watches over one attempt of a generation.
#[derive(Debug)]
pub struct Handover {
    context: Arc<Context>,
    server: Arc<Server>,
    request: Generate,
    need: Requirements,
    patience: Duration,
    declared: watch::Receiver<Arc<Declared>>,
    first_index: u64,
    began: Option<(Duration, u64)>,
    prepared: u64,
    opening: Option<oneshot::Receiver<Option<Prepared>>>,
    retry: Duration,
}

impl Handover {
    /// Returns the watch over the attempt that `request` began on `server` and that produces the
    /// tokens from `first_index` on.
    #[must_use]
    pub fn new(
        context: &Arc<Context>,
        server: &Arc<Server>,
        request: Generate,
        need: Requirements,
        first_index: u64,
    ) -> Self {
        Self {
            declared: context.stops.declared(),
            context: Arc::clone(context),
            server: Arc::clone(server),
            request,
            patience: need.deadline.saturating_sub(context.clock.now()),
            need,
            first_index,
            began: None,
            prepared: 0,
            opening: None,
            retry: Duration::ZERO,
        }
    }

    /// Waits until the generation runs on another server. Dropping the future loses nothing.
    pub async fn moved(&mut self, journal: &Journal) -> Box<Prepared> {
        loop {
            let wake = self.step(journal, self.context.clock.now());
            if let Some(prepared) = self.wait(wake).await {
                return Box::new(prepared);
            }
        }
    }

    /// Returns the highest number given to an attempt that was prepared.
    #[must_use]
    pub fn last_prepared(&self, journal: &Journal) -> Option<Attempt> {
        let others = self.prepared.checked_sub(1)?;
        Some(journal.prepared_attempt(others))
    }

    /// Opens the next attempt if it is time; returns when to look again.
    fn step(&mut self, journal: &Journal, now: Duration) -> Option<Duration> {
        self.measure(journal, now);
        let stand = self.stand(journal, now)?;
        if self.opening.is_some() {
            return None;
        }
        match self.context.settings.stops.policy.decide(&stand, now) {
            Decision::Stay => None,
            Decision::MoveAt(moment) => Some(moment),
            Decision::MoveNow if now < self.retry => Some(self.retry),
            Decision::MoveNow => {
                self.retry = now + RETRY_PAUSE;
                self.open(journal);
                Some(self.retry)
            }
        }
    }

    /// Notes when the first token of this attempt came.
    fn measure(&mut self, journal: &Journal, now: Duration) {
        if self.began.is_none() && journal.next_index() > self.first_index {
            self.began = Some((now, journal.next_index()));
        }
    }

    /// Returns how the generation stands towards the stop of its server, if there is one.
    fn stand(&mut self, journal: &Journal, now: Duration) -> Option<Snapshot> {
        let declared = Arc::clone(&self.declared.borrow_and_update());
        let planned = declared.of_server(&self.server)?;
        let interval = self.began.and_then(|(began, first)| {
            let tokens = u32::try_from(journal.next_index() - first).unwrap_or(u32::MAX);
            now.saturating_sub(began).checked_div(tokens)
        });
        Some(Snapshot {
            accepted: planned.known,
            date: planned.date,
            share: planned_stop::share(&self.request.request_id),
            remaining_tokens: self.request.max_tokens.saturating_sub(journal.next_index()),
            token_interval: interval,
        })
    }

    /// Waits for a change, for `wake`, or until the next attempt has produced its first frame.
    async fn wait(&mut self, wake: Option<Duration>) -> Option<Prepared> {
        let clock = self.context.clock;
        let alarm = async {
            match wake {
                Some(wake) => tokio::time::sleep_until(clock.instant(wake)).await,
                None => std::future::pending().await,
            }
        };
        let opening = async {
            match &mut self.opening {
                Some(opening) => opening.await.ok().flatten(),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            prepared = opening => {
                self.opening = None;
                prepared
            }
            _ = self.declared.changed() => None,
            () = alarm => None,
        }
    }

    /// Starts the next attempt on another server, resumed from what was delivered.
    fn open(&mut self, journal: &Journal) {
        let attempt = journal.prepared_attempt(self.prepared);
        self.prepared += 1;
        let need = Requirements {
            deadline: self.context.clock.now() + self.patience,
            excluded: vec![Arc::clone(&self.server.name)],
            ..self.need.clone()
        };
        let request = Generate {
            attempt: attempt.0,
            resume: journal.tokens().to_vec(),
            ..self.request.clone()
        };
        let context = Arc::clone(&self.context);
        let (sender, receiver) = oneshot::channel();
        self.opening = Some(receiver);
        tokio::spawn(async move {
            let prepared = prepare(&context, need, attempt, &request).await;
            // What nobody waits for any more is given up.
            if let Err(Some(prepared)) = sender.send(prepared) {
                give_up(&context, prepared.permit, &request).await;
            }
        });
    }
}

/// Starts an attempt and waits for its first frame.
async fn prepare(
    context: &Context,
    need: Requirements,
    attempt: Attempt,
    request: &Generate,
) -> Option<Prepared> {
    let permit = context.admission.acquire(need).await.ok()?;
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
        give_up(context, permit, request).await;
        return None;
    };
    Some(Prepared {
        permit,
        attempt,
        first,
        frames,
    })
}

/// Cancels an attempt that is not wanted; its memory stays reserved meanwhile.
async fn give_up(context: &Context, permit: Permit, request: &Generate) {
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
