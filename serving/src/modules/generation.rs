//! The task that owns a generation: its journal, its attempts and its delivery to the caller.

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
use crate::modules::admission::{Outcome as Report, Permit, Refusal};
use crate::modules::moves::{self, Probe};
use crate::modules::stops::handover::Prepared;
use crate::modules::stops::{self, holding};
use crate::telemetry;

mod admit;
mod attempt;
mod cancel;
mod exclusion;
mod handover;
pub mod outbox;
mod request;
mod silence;

pub use request::{Error, Event, Order, Origin, Resumption};

use attempt::Outcome;
use exclusion::Exclusion;
use outbox::{Demand, Outbox, Reader};
use silence::Watch;

/// Pause between two clearances of what was learnt of servers that have gone.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Returns the failure detector of an entry.
#[must_use]
pub fn detector(settings: &configs::generation::Generation) -> Mutex<Detector> {
    Mutex::new(Detector::new(Bounds {
        floor: settings.silence_floor,
        ceiling: settings.silence_ceiling,
    }))
}

/// Starts the task that forgets what was learnt of servers that have gone.
pub fn start_detector_cleanup(context: Arc<Context>) {
    let stop = context.stop.clone();
    tokio::spawn(async move {
        let upkeep = async {
            loop {
                time::sleep(UPKEEP_INTERVAL).await;
                let directory = Arc::clone(&context.directory.borrow());
                silence::lock(&context.detector)
                    .retain(|subject| directory.find(&subject.server).is_some());
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = upkeep => {}
        }
    });
}

/// Starts the task of a generation and returns what the caller is told.
#[must_use]
pub fn start(context: Arc<Context>, order: Order) -> Reader {
    let limit = context.settings.generation.buffered_bytes;
    let (outbox, reader) = outbox::open(&context.held, limit);
    tokio::spawn(
        async move {
            let stop = context.stop.clone();
            let window = Arc::clone(&context);
            let mut task = Task::new(context, order, outbox);
            tokio::select! {
                () = stop.cancelled() => task.leave(),
                () = stops::window_over(&window) => task.leave(),
                () = task.run() => {}
            }
        }
        .in_span(telemetry::hop("generation")),
    );
    reader
}

/// What was delivered through another entry and is not held here.
#[derive(Clone, Copy, Debug)]
struct Skip {
    /// Number of tokens.
    tokens: u64,
    /// Hash that they must have.
    expected: resume_token::Digest,
    /// Hash of those seen so far.
    seen: resume_token::Digest,
}

/// An attempt that runs on an engine.
struct Running {
    server: Arc<Server>,
    attempt: Attempt,
    /// Holds the engine's memory; absent for an attempt that another entry began.
    permit: Option<Permit>,
    /// Tells a move what the attempt shows; absent for an attempt that another entry began.
    probe: Option<Probe>,
    /// Counts the attempt among those that hold the engine.
    _holding: holding::Attempt,
}

/// A generation in progress.
struct Task {
    context: Arc<Context>,
    order: Order,
    journal: Journal,
    outbox: Outbox,
    exclusion: Exclusion,
    /// The attempt that runs on an engine.
    running: Option<Running>,
    /// Where the running attempt's tokens come from.
    origin: Arc<Origin>,
    skip: Option<Skip>,
}

impl Task {
    /// Returns a generation of which this entry has done nothing yet.
    fn new(context: Arc<Context>, order: Order, outbox: Outbox) -> Self {
        let mut journal = Journal::new();
        let mut skip = None;
        if let Some(Resumption { token, held }) = &order.resumption {
            context.metrics.generations_resumed.inc();
            journal = Journal::restore(held.clone().unwrap_or_default(), Attempt(token.attempt));
            skip = held.is_none().then_some(Skip {
                tokens: token.index + 1,
                expected: token.delivered,
                seen: resume_token::Digest::default(),
            });
        }
        let origin = Arc::new(Origin {
            version: Arc::clone(&order.version),
            server: Arc::from(""),
            attempt: 0,
        });
        Self {
            context,
            order,
            journal,
            outbox,
            exclusion: Exclusion::default(),
            running: None,
            origin,
            skip,
        }
    }

    /// Runs the generation until its answer has been read, or until its time is over.
    async fn run(&mut self) {
        let deadline = self.context.settings.callers.answer_timeout;
        let whole = time::timeout(deadline, self.serve()).await;
        if whole.is_err() {
            self.fail(|delivered| Error::Timeout { delivered });
        }
    }

    /// Makes attempts until the answer is whole and read.
    async fn serve(&mut self) {
        let mut next = self.taken_up();
        let mut moved: Option<Box<Prepared>> = None;
        let mut fruitless = 0;
        loop {
            let before = self.journal.next_index();
            let outcome = match (moved.take(), next.take()) {
                (Some(prepared), _) => self.go_on(prepared).await,
                (None, Some((server, attempt))) => self.attach(server, attempt).await,
                (None, None) => match self.permit().await {
                    Ok(permit) => self.attempt(permit).await,
                    Err(outcome) => outcome,
                },
            };
            let progressed = self.journal.next_index() > before;
            let ended = match outcome {
                Outcome::Whole(reason) => self.finish(reason).await,
                Outcome::Parked => self.park().await,
                Outcome::Moved(prepared) => {
                    self.move_to(&prepared);
                    moved = Some(prepared);
                    false
                }
                Outcome::CallerGone => self.let_go(),
                Outcome::Diverged => self.fail(|delivered| Error::Diverged { delivered }),
                Outcome::NotAdmitted(refusal) => self.refuse(refusal),
                Outcome::Ended => false,
                Outcome::Refused(reason) => self.pass_over(&reason, false),
                Outcome::Lost(reason) => {
                    fruitless = if progressed { 0 } else { fruitless + 1 };
                    self.pass_over(&reason, true)
                }
            };
            if ended {
                return;
            }
            if fruitless >= self.context.settings.generation.attempts {
                self.fail(|delivered| Error::NoServer { delivered });
                return;
            }
        }
    }

    /// Returns where the generation runs that the caller's resume token names.
    fn taken_up(&self) -> Option<(Arc<Server>, Attempt)> {
        let Resumption { token, .. } = self.order.resumption.as_ref()?;
        let directory = Arc::clone(&self.context.directory.borrow());
        let server = directory.find(&token.server)?;
        Some((Arc::clone(server), Attempt(token.attempt)))
    }

    /// Returns the number of tokens delivered, or about to be.
    fn delivered(&self) -> u64 {
        let skipped = self.skip.map_or(0, |skip| skip.tokens);
        self.journal.next_index().max(skipped)
    }

    /// Makes one attempt on the server that a permit names.
    async fn attempt(&mut self, permit: Permit) -> Outcome {
        let attempt = self.journal.begin_attempt();
        let generate = self.request(attempt, self.journal.tokens().to_vec());
        let server = Arc::clone(&permit.server);
        let mut watch = self.begin(&server, attempt, Some(permit));
        let backend = self.context.backend.clone();
        let asked = backend
            .generate(&server, &generate)
            .in_span(telemetry::hop("attempt"));
        self.follow(&mut watch, asked).await
    }

    /// Returns the request of an attempt that resumes after some tokens.
    fn request(&self, attempt: Attempt, resume: Vec<Arc<str>>) -> Generate {
        Generate {
            request_id: Arc::clone(&self.order.request_id),
            attempt: attempt.0,
            version: Arc::clone(&self.order.version),
            prompt: Arc::clone(&self.order.prompt),
            resume,
            max_tokens: self.order.max_tokens,
            priority: self.order.priority,
        }
    }

    /// Reads on from an attempt that runs since before this entry had the generation.
    async fn attach(&mut self, server: Arc<Server>, attempt: Attempt) -> Outcome {
        let reference = self.reference(attempt);
        let mut watch = self.begin(&server, attempt, None);
        let backend = self.context.backend.clone();
        let asked = backend
            .attach(&server, &reference)
            .in_span(telemetry::hop("attempt"));
        match self.follow(&mut watch, asked).await {
            Outcome::Refused(_) => Outcome::Ended,
            outcome => outcome,
        }
    }

    /// Notes that an attempt runs on a server and starts to watch its silence.
    fn begin(&mut self, server: &Arc<Server>, attempt: Attempt, permit: Option<Permit>) -> Watch {
        let probe = permit.is_some().then(|| {
            let (service, version) = (&self.order.service, &self.order.version);
            moves::probe(&self.context, service, version, &server.name, "")
        });
        self.running = Some(Running {
            server: Arc::clone(server),
            attempt,
            permit,
            probe,
            _holding: self.context.stops.holding.attempt(&server.name),
        });
        self.origin = Arc::new(Origin {
            version: Arc::clone(&self.order.version),
            server: Arc::clone(&server.name),
            attempt: attempt.0,
        });
        Watch::start(&self.context.detector, &self.order, server)
    }

    /// Notes an attempt that was refused or lost, and passes its server over for a while.
    fn pass_over(&mut self, reason: &str, lost: bool) -> bool {
        if let Some(running) = &self.running {
            let request = self.order.request_id.as_ref();
            let server = running.server.name.as_ref();
            log::warn!(request, server, reason; "attempt lost");
            self.context.metrics.attempts_lost.inc();
            self.exclusion
                .lost(&running.server, self.context.clock.now());
        }
        self.report(Report::Failed);
        if lost {
            self.cancel_running();
        }
        self.running = None;
        self.take_version_in_force();
        false
    }

    /// Tells admission, and a move if there is one, how the running attempt went.
    fn report(&mut self, report: Report) {
        let probe = self
            .running
            .as_mut()
            .and_then(|running| running.probe.take());
        if let Some(probe) = probe {
            probe.end(report == Report::Failed);
        }
        let permit = self
            .running
            .as_ref()
            .and_then(|running| running.permit.as_ref());
        if let Some(permit) = permit {
            permit.report(report);
        }
    }

    /// Frees the engine until the reader has caught up; returns whether the reader has gone.
    async fn park(&mut self) -> bool {
        self.context.metrics.generations_parked.inc();
        self.cancel_running();
        loop {
            match self.outbox.drained().await {
                Demand::Gone => return true,
                Demand::GivenUp(index) => self.strike(index),
                Demand::Room | Demand::Full => return false,
            }
        }
    }

    /// Strikes the tokens from `index` on, which were held for the reader and given up.
    fn strike(&mut self, index: u64) {
        self.journal.truncate(index);
        self.outbox.reopen();
    }

    /// Tells the caller that the answer is whole and waits until it has read that; returns false if
    /// a part of the answer has to be generated again.
    async fn finish(&mut self, reason: Arc<str>) -> bool {
        self.report(Report::Succeeded);
        self.running = None;
        self.outbox.push(Event::End {
            reason,
            tokens: self.journal.next_index(),
            version: Arc::clone(&self.order.version),
        });
        match self.outbox.drained().await {
            Demand::GivenUp(_) => self.park().await,
            Demand::Room | Demand::Full | Demand::Gone => true,
        }
    }

    /// Leaves the attempt of a caller that has gone: one that may come back finds it running for as
    /// long as the engine keeps what nobody reads.
    fn let_go(&mut self) -> bool {
        if !self.order.resumable {
            self.cancel_running();
        }
        if let Some(permit) = self.running.take().and_then(|running| running.permit) {
            cancel::outlast(&self.context, permit);
        }
        true
    }

    /// Tells the caller that the generation was not admitted.
    fn refuse(&mut self, refusal: Refusal) -> bool {
        match refusal {
            Refusal::Stopping => self.fail(|delivered| Error::Stopping { delivered }),
            _ if self.delivered() > 0 => self.fail(|delivered| Error::NoServer { delivered }),
            refusal => {
                let error = Error::Refused { refusal };
                self.outbox.push_last(Event::Failed(error));
                true
            }
        }
    }

    /// Tells the caller that the entry stops; what runs is left for another entry to read on from.
    fn leave(&self) {
        let delivered = self.delivered();
        let error = Error::Stopping { delivered };
        self.outbox.push_last(Event::Failed(error));
    }

    /// Ends what runs and tells the caller that the answer cannot be completed.
    fn fail(&mut self, error: fn(u64) -> Error) -> bool {
        self.cancel_running();
        let error = error(self.delivered());
        self.outbox.push_last(Event::Failed(error));
        true
    }

    /// Cancels the attempt that runs, without waiting for the answer.
    fn cancel_running(&mut self) {
        if let Some(running) = self.running.take() {
            let reference = self.reference(running.attempt);
            cancel::start(&self.context, running, reference);
        }
    }

    /// Returns the reference that an engine knows an attempt by.
    fn reference(&self, attempt: Attempt) -> Reference {
        Reference {
            request_id: Arc::clone(&self.order.request_id),
            attempt: attempt.0,
            from: self.journal.next_index(),
        }
    }
}
