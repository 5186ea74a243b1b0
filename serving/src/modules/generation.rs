//! The task of a generation: it owns the journal and the attempts, and delivers tokens to the
//! caller.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use fastrace::future::FutureExt as _;
use medlarfall_coordination::detector::{Bounds, Detector};
use medlarfall_coordination::journal::{Attempt, Journal};
use medlarfall_coordination::resume_token;
use tokio::time;

use crate::backend::{Engine, Generate, Reference, Server};
use crate::configs;
use crate::context::Context;
use crate::modules::admission::{Outcome as ServerOutcome, Permit, Refusal};
use crate::modules::moves::{self, Meter};
use crate::modules::stops::handover::Prepared;
use crate::modules::stops::{self, in_flight};
use crate::telemetry;

mod admit;
mod attempt;
mod cancel;
mod exclusion;
mod handover;
pub mod outbox;
mod request;
mod silence;

pub use request::{Error, Event, Origin, Request, Resumption};

use attempt::Outcome;
use exclusion::Exclusion;
use outbox::{Outbox, Reader, ReaderState};

/// Interval between removals of detector records of unlisted servers.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(30);

/// Returns an empty failure detector with the bounds from the settings.
#[must_use]
pub fn detector(settings: &configs::generation::Generation) -> Mutex<Detector> {
    Mutex::new(Detector::new(Bounds {
        floor: settings.silence_floor,
        ceiling: settings.silence_ceiling,
    }))
}

/// Starts the task that removes the detector's records of servers that are no longer listed.
pub fn start_detector_cleanup(context: Arc<Context>) {
    let stop = context.stop.clone();
    tokio::spawn(async move {
        let cleanup = async {
            loop {
                time::sleep(CLEANUP_INTERVAL).await;
                let directory = Arc::clone(&context.directory.borrow());
                silence::lock(&context.detector)
                    .retain(|subject| directory.find(&subject.server).is_some());
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = cleanup => {}
        }
    });
}

/// Starts the task of a generation and returns the reader of its events.
#[must_use]
pub fn start(context: Arc<Context>, request: Request) -> Reader {
    let limit = context.settings.generation.buffered_bytes;
    let (outbox, reader) = outbox::open(&context.buffer_limiter, limit);
    tokio::spawn(
        async move {
            let stop = context.stop.clone();
            let stop_window = Arc::clone(&context);
            let mut task = Task::new(context, request, outbox);
            tokio::select! {
                () = stop.cancelled() => task.report_stopping(),
                () = stops::window_over(&stop_window) => task.report_stopping(),
                () = task.run() => {}
            }
        }
        .in_span(telemetry::hop("generation")),
    );
    reader
}

/// Tokens that were delivered through another entry and whose text this entry does not have.
///
/// They are generated again and compared by their hash, and are not delivered twice.
#[derive(Clone, Copy, Debug)]
struct DeliveredPrefix {
    /// Number of tokens.
    tokens: u64,
    /// Expected hash of these tokens.
    expected: resume_token::Digest,
    /// Hash of the tokens generated again so far.
    actual: resume_token::Digest,
}

/// An attempt that is running on an engine.
struct Running {
    server: Arc<Server>,
    attempt: Attempt,
    /// Reservation of the engine's memory; absent for an attempt that another entry started.
    permit: Option<Permit>,
    /// Reports the attempt's behaviour to a move; absent for an attempt that another entry started.
    meter: Option<Meter>,
    /// Counts the attempt among those in progress on the engine.
    _in_flight: in_flight::Attempt,
}

/// A generation in progress.
struct Task {
    context: Arc<Context>,
    request: Request,
    journal: Journal,
    outbox: Outbox,
    exclusion: Exclusion,
    /// The attempt that is running on an engine.
    running: Option<Running>,
    /// Origin of the running attempt's tokens.
    origin: Arc<Origin>,
    delivered_prefix: Option<DeliveredPrefix>,
}

impl Task {
    /// Returns the task of a generation that has not started at this entry.
    fn new(context: Arc<Context>, request: Request, outbox: Outbox) -> Self {
        let mut journal = Journal::new();
        let mut delivered_prefix = None;
        if let Some(Resumption { token, received }) = &request.resumption {
            context.metrics.generations_resumed.inc();
            journal =
                Journal::restore(received.clone().unwrap_or_default(), Attempt(token.attempt));
            delivered_prefix = received.is_none().then_some(DeliveredPrefix {
                tokens: token.index + 1,
                expected: token.delivered,
                actual: resume_token::Digest::default(),
            });
        }
        let origin = Arc::new(Origin {
            version: Arc::clone(&request.version),
            server: Arc::from(""),
            attempt: 0,
        });
        Self {
            context,
            request,
            journal,
            outbox,
            exclusion: Exclusion::default(),
            running: None,
            origin,
            delivered_prefix,
        }
    }

    /// Runs the generation until its answer has been read or the answer timeout has passed.
    async fn run(&mut self) {
        let deadline = self.context.settings.callers.answer_timeout;
        let result = time::timeout(deadline, self.run_attempts()).await;
        if result.is_err() {
            self.fail(|delivered| Error::Timeout { delivered });
        }
    }

    /// Makes attempts until the answer is complete and read, or cannot be completed.
    async fn run_attempts(&mut self) {
        let mut resumed = self.resumed_attempt();
        let mut handed_over: Option<Box<Prepared>> = None;
        let mut attempts_without_progress = 0;
        loop {
            let before = self.journal.next_index();
            let outcome = match (handed_over.take(), resumed.take()) {
                (Some(prepared), _) => self.continue_prepared(prepared).await,
                (None, Some((server, attempt))) => self.attach(server, attempt).await,
                (None, None) => match self.acquire_permit().await {
                    Ok(permit) => self.attempt(permit).await,
                    Err(outcome) => outcome,
                },
            };
            let progressed = self.journal.next_index() > before;
            let ended = match outcome {
                Outcome::Complete(reason) => self.finish(reason).await,
                Outcome::Parked => self.park().await,
                Outcome::HandedOver(prepared) => {
                    self.switch_to(&prepared);
                    handed_over = Some(prepared);
                    false
                }
                Outcome::CallerDisconnected => self.detach(),
                Outcome::Diverged => self.fail(|delivered| Error::Diverged { delivered }),
                Outcome::NotAdmitted(refusal) => self.refuse(refusal),
                Outcome::AlreadyEnded => false,
                Outcome::Refused(reason) => self.record_lost_attempt(&reason, false),
                Outcome::Lost(reason) => {
                    attempts_without_progress = if progressed {
                        0
                    } else {
                        attempts_without_progress + 1
                    };
                    self.record_lost_attempt(&reason, true)
                }
            };
            if ended {
                return;
            }
            if attempts_without_progress >= self.context.settings.generation.attempts {
                self.fail(|delivered| Error::NoServer { delivered });
                return;
            }
        }
    }

    /// Returns the attempt named by the caller's resume token, and its server if it is still
    /// listed.
    fn resumed_attempt(&self) -> Option<(Arc<Server>, Attempt)> {
        let Resumption { token, .. } = self.request.resumption.as_ref()?;
        let directory = Arc::clone(&self.context.directory.borrow());
        let server = directory.find(&token.server)?;
        Some((Arc::clone(server), Attempt(token.attempt)))
    }

    /// Returns the number of tokens delivered or queued for delivery.
    fn delivered(&self) -> u64 {
        let earlier = self.delivered_prefix.map_or(0, |prefix| prefix.tokens);
        self.journal.next_index().max(earlier)
    }

    /// Makes one attempt on the server of a permit.
    async fn attempt(&mut self, permit: Permit) -> Outcome {
        let attempt = self.journal.begin_attempt();
        let generate = self.generate_request(attempt, self.journal.tokens().to_vec());
        let server = Arc::clone(&permit.server);
        let mut silence = self.begin_attempt(&server, attempt, Some(permit));
        let backend = self.context.backend.clone();
        let response = backend
            .generate(&server, &generate)
            .in_span(telemetry::hop("attempt"));
        self.deliver_frames(&mut silence, response).await
    }

    /// Returns the request to an engine for an attempt that resumes after the tokens of `resume`.
    fn generate_request(&self, attempt: Attempt, resume: Vec<Arc<str>>) -> Generate {
        Generate {
            request_id: Arc::clone(&self.request.request_id),
            attempt: attempt.0,
            version: Arc::clone(&self.request.version),
            prompt: Arc::clone(&self.request.prompt),
            resume,
            max_tokens: self.request.max_tokens,
            priority: self.request.priority,
        }
    }

    /// Attaches to an attempt that another entry or connection started.
    async fn attach(&mut self, server: Arc<Server>, attempt: Attempt) -> Outcome {
        let reference = self.reference(attempt);
        let mut silence = self.begin_attempt(&server, attempt, None);
        let backend = self.context.backend.clone();
        let response = backend
            .attach(&server, &reference)
            .in_span(telemetry::hop("attempt"));
        match self.deliver_frames(&mut silence, response).await {
            Outcome::Refused(_) => Outcome::AlreadyEnded,
            outcome => outcome,
        }
    }

    /// Records the running attempt and starts its silence timer.
    fn begin_attempt(
        &mut self,
        server: &Arc<Server>,
        attempt: Attempt,
        permit: Option<Permit>,
    ) -> silence::Timer {
        let meter = permit.is_some().then(|| {
            let (service, version) = (&self.request.service, &self.request.version);
            moves::meter(&self.context, service, version, &server.name, "")
        });
        self.running = Some(Running {
            server: Arc::clone(server),
            attempt,
            permit,
            meter,
            _in_flight: self.context.stops.in_flight.start_attempt(&server.name),
        });
        self.origin = Arc::new(Origin {
            version: Arc::clone(&self.request.version),
            server: Arc::clone(&server.name),
            attempt: attempt.0,
        });
        silence::Timer::start(&self.context.detector, &self.request, server)
    }

    /// Records an attempt that was refused or lost, and excludes its server for a while.
    ///
    /// Returns false, since the generation continues with another attempt.
    fn record_lost_attempt(&mut self, reason: &str, lost: bool) -> bool {
        if let Some(running) = &self.running {
            let request = self.request.request_id.as_ref();
            let server = running.server.name.as_ref();
            log::warn!(request, server, reason; "attempt lost");
            self.context.metrics.attempts_lost.inc();
            self.exclusion
                .record_loss(&running.server, self.context.clock.now());
        }
        self.report_outcome(ServerOutcome::Failed);
        if lost {
            self.cancel_running();
        }
        self.running = None;
        self.use_version_in_force();
        false
    }

    /// Reports the outcome of the running attempt to admission, and to a move if there is one.
    fn report_outcome(&mut self, outcome: ServerOutcome) {
        let meter = self
            .running
            .as_mut()
            .and_then(|running| running.meter.take());
        if let Some(meter) = meter {
            meter.end(outcome == ServerOutcome::Failed);
        }
        let permit = self
            .running
            .as_ref()
            .and_then(|running| running.permit.as_ref());
        if let Some(permit) = permit {
            permit.report(outcome);
        }
    }

    /// Cancels the attempt and waits until the reader has read everything; returns true if the
    /// reader is gone.
    async fn park(&mut self) -> bool {
        self.context.metrics.generations_parked.inc();
        self.cancel_running();
        loop {
            match self.outbox.wait_drained().await {
                ReaderState::Dropped => return true,
                ReaderState::Discarded(index) => self.truncate(index),
                ReaderState::Ready | ReaderState::Full => return false,
            }
        }
    }

    /// Removes the tokens from `index` on from the journal: they were discarded before the reader
    /// read them, so that they must be generated again.
    fn truncate(&mut self, index: u64) {
        self.journal.truncate(index);
        self.outbox.reopen();
    }

    /// Queues the end of the answer and waits until the caller has read it; returns false if a part
    /// of the answer must be generated again.
    async fn finish(&mut self, reason: Arc<str>) -> bool {
        self.report_outcome(ServerOutcome::Succeeded);
        self.running = None;
        self.outbox.push(Event::End {
            reason,
            tokens: self.journal.next_index(),
            version: Arc::clone(&self.request.version),
        });
        match self.outbox.wait_drained().await {
            ReaderState::Discarded(_) => self.park().await,
            ReaderState::Ready | ReaderState::Full | ReaderState::Dropped => true,
        }
    }

    /// Ends the task of a caller that has disconnected.
    ///
    /// A resumable attempt is left running, so that the caller can attach to it again for as long
    /// as the engine keeps an attempt without a reader; any other is cancelled.
    fn detach(&mut self) -> bool {
        if !self.request.resumable {
            self.cancel_running();
        }
        if let Some(permit) = self.running.take().and_then(|running| running.permit) {
            cancel::release_after_grace(&self.context, permit);
        }
        true
    }

    /// Ends the answer with the reason why the generation was not admitted.
    fn refuse(&mut self, refusal: Refusal) -> bool {
        match refusal {
            Refusal::Stopping => self.fail(|delivered| Error::Stopping { delivered }),
            _ if self.delivered() > 0 => self.fail(|delivered| Error::NoServer { delivered }),
            refusal => {
                let error = Error::Refused { refusal };
                self.outbox.push_final(Event::Failed(error));
                true
            }
        }
    }

    /// Ends the answer because the entry is stopping; the running attempt is left for another entry
    /// to attach to.
    fn report_stopping(&self) {
        let delivered = self.delivered();
        let error = Error::Stopping { delivered };
        self.outbox.push_final(Event::Failed(error));
    }

    /// Cancels the running attempt and ends the answer with an error.
    fn fail(&mut self, error: fn(u64) -> Error) -> bool {
        self.cancel_running();
        let error = error(self.delivered());
        self.outbox.push_final(Event::Failed(error));
        true
    }

    /// Cancels the running attempt in the background.
    fn cancel_running(&mut self) {
        if let Some(running) = self.running.take() {
            let reference = self.reference(running.attempt);
            cancel::start(&self.context, running, reference);
        }
    }

    /// Returns the reference by which an engine identifies an attempt.
    fn reference(&self, attempt: Attempt) -> Reference {
        Reference {
            request_id: Arc::clone(&self.request.request_id),
            attempt: attempt.0,
            from: self.journal.next_index(),
        }
    }
}
