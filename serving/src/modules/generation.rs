//! The task that owns a generation: its journal, its attempts and its delivery to the caller.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use medlarfall_coordination::detector::{Bounds, Detector};
use medlarfall_coordination::journal::{Attempt, Journal};
use medlarfall_coordination::placement::prefix_hash;
use medlarfall_coordination::resume_token::{self, Token};
use snafu::Snafu;
use tokio::time;

use crate::backend::{Engine, Generate, Reference, Server, prompt_tokens};
use crate::configs;
use crate::context::Context;
use crate::modules::admission::{Need, Outcome as Report, Permit, Refusal};
use crate::modules::stops;
use crate::modules::stops::handover::Prepared;
use crate::modules::stops::holding;

mod attempt;
mod cancel;
mod exclusion;
mod moving;
pub mod outbox;
mod watch;

use attempt::Outcome;
use exclusion::Exclusion;
use outbox::{Demand, Outbox, Reader};
use watch::Watch;

/// How long a generation waits for a server on which it lost nothing before it takes another.
const CHOOSY_WAIT: Duration = Duration::from_millis(250);

/// Pause between two clearances of what was learnt of servers that have gone.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(30);

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
    /// Whether the caller is given resume tokens, with which it may come back.
    pub resumable: bool,
    /// Where the generation goes on, if it began at another entry or on another connection.
    pub resumption: Option<Resumption>,
}

/// Where a generation goes on.
#[derive(Clone, Debug)]
pub struct Resumption {
    /// What the caller's resume token says.
    pub token: Token,
    /// The tokens that the caller holds, checked against the resume token.
    pub held: Option<Vec<Arc<str>>>,
}

/// Where a token was generated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Version that answers.
    pub version: Arc<str>,
    /// Backend server.
    pub server: Arc<str>,
    /// Number of the attempt.
    pub attempt: u64,
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
        /// Where it was generated.
        origin: Arc<Origin>,
    },
    /// The answer is whole.
    End {
        /// Why the engine ended it.
        reason: Arc<str>,
        /// Number of tokens.
        tokens: u64,
        /// Version that answered.
        version: Arc<str>,
    },
    /// The answer cannot be completed.
    Failed(Error),
}

impl Event {
    /// Returns the bytes that the event holds in memory.
    fn bytes(&self) -> usize {
        let text = match self {
            Self::Token { text, .. } => text.len(),
            Self::End { .. } => 0,
            // It is the last thing that a generation says, and is never given up.
            Self::Failed(_) => return 0,
        };
        size_of::<Self>() + text
    }

    /// Returns the index of the first token that is missing if this event is not delivered.
    fn first_index(&self) -> Option<u64> {
        match self {
            Self::Token { index, .. } => Some(*index),
            Self::End { tokens, .. } => Some(*tokens),
            Self::Failed(_) => None,
        }
    }
}

/// Why a generation could not be completed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// No backend server can go on with it.
    #[snafu(display(
        "no backend server of this version can go on; {delivered} tokens were delivered; come back later with the last event's id"
    ))]
    NoServer {
        /// Tokens delivered so far.
        delivered: u64,
    },
    /// It was not admitted, and nothing of it was run.
    #[snafu(display("{refusal}"))]
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// The caller's deadline has passed.
    #[snafu(display(
        "the answer was not whole in time; {delivered} tokens were delivered; come back with the last event's id"
    ))]
    Timeout {
        /// Tokens delivered so far.
        delivered: u64,
    },
    /// The text generated anew differs from what the caller was given.
    #[snafu(display(
        "the answer could not be taken up after its {delivered} tokens; come back with the last event's id and the tokens you hold as `tokens`"
    ))]
    Diverged {
        /// Tokens delivered so far.
        delivered: u64,
    },
    /// The entry stops.
    #[snafu(display(
        "this entry stops; {delivered} tokens were delivered; go to another entry with the last event's id"
    ))]
    Stopping {
        /// Tokens delivered so far.
        delivered: u64,
    },
}

/// Returns the failure detector of an entry.
#[must_use]
pub fn detector(settings: &configs::generation::Generation) -> Mutex<Detector> {
    Mutex::new(Detector::new(Bounds {
        floor: settings.silence_floor,
        ceiling: settings.silence_ceiling,
    }))
}

/// Starts the task that forgets what was learnt of servers that have gone.
pub fn start_upkeep(context: Arc<Context>) {
    let stop = context.stop.clone();
    tokio::spawn(async move {
        let upkeep = async {
            loop {
                time::sleep(UPKEEP_INTERVAL).await;
                let directory = Arc::clone(&context.directory.borrow());
                watch::lock(&context.detector)
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
    tokio::spawn(async move {
        let stop = context.stop.clone();
        let window = Arc::clone(&context);
        let mut task = Task::new(context, order, outbox);
        tokio::select! {
            () = stop.cancelled() => task.leave(),
            () = stops::window_over(&window) => task.leave(),
            () = task.run() => {}
        }
    });
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

    /// Waits for a server that can make an attempt, if possible one on which nothing was lost lately.
    async fn permit(&mut self) -> Result<Permit, Outcome> {
        loop {
            let now = self.context.clock.now();
            let avoided = self.exclusion.avoided(now);
            let refusal = if avoided.is_empty() {
                self.ask(avoided, None).await?
            } else {
                match self.ask(avoided, Some(CHOOSY_WAIT)).await? {
                    Err(Refusal::Deadline) => {
                        let barred = self.exclusion.barred(self.context.clock.now());
                        self.ask(barred, Some(CHOOSY_WAIT)).await?
                    }
                    answer => answer,
                }
            };
            match refusal {
                Ok(permit) => return Ok(permit),
                Err(Refusal::Deadline) => self.take_version_in_force(),
                Err(Refusal::Full) if self.delivered() > 0 => time::sleep(CHOOSY_WAIT).await,
                Err(refusal) => return Err(Outcome::NotAdmitted(refusal)),
            }
        }
    }

    /// Asks for a server outside `excluded` and waits for `wait`, or else until the deadline, unless
    /// the caller goes or another version comes into force before anything was delivered.
    async fn ask(
        &self,
        excluded: Vec<Arc<str>>,
        wait: Option<Duration>,
    ) -> Result<Result<Permit, Refusal>, Outcome> {
        let wait = wait.unwrap_or(self.context.settings.callers.answer_timeout);
        let begun = self.delivered() > 0;
        let need = self.need(excluded, wait);
        tokio::select! {
            answer = self.context.admission.ask(need) => Ok(answer),
            () = self.outbox.gone() => Err(Outcome::CallerGone),
            () = self.other_version(), if !begun => Ok(Err(Refusal::Deadline)),
        }
    }

    /// Returns what an attempt needs of a server outside `excluded` within `wait`.
    fn need(&self, excluded: Vec<Arc<str>>, wait: Duration) -> Need {
        let order = &self.order;
        let begun = self.delivered() > 0;
        Need {
            service: Arc::clone(&order.service),
            version: Arc::clone(&order.version),
            account: Arc::clone(&order.account),
            weight: 1,
            // What a caller has begun to read comes before what has not begun.
            priority: if begun { i32::MAX } else { order.priority },
            tokens: prompt_tokens(&order.prompt) + order.max_tokens,
            prefix: prefix_hash(&order.prompt),
            deadline: self.context.clock.now() + wait,
            excluded,
        }
    }

    /// Waits until another version of the service is declared than the one asked for.
    async fn other_version(&self) {
        let mut declarations = self.context.declarations.clone();
        let waited = declarations.wait_for(|declarations| {
            let service = declarations.service(&self.order.service);
            service.is_some_and(|service| service.version != *self.order.version)
        });
        if waited.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Takes the version that is now declared, if nothing was delivered yet.
    fn take_version_in_force(&mut self) {
        if self.delivered() > 0 {
            return;
        }
        let declarations = Arc::clone(&self.context.declarations.borrow());
        if let Some(service) = declarations.service(&self.order.service) {
            self.order.version = Arc::from(service.version.as_str());
        }
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
        let asked = backend.generate(&server, &generate);
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
        let asked = backend.attach(&server, &reference);
        match self.follow(&mut watch, asked).await {
            Outcome::Refused(_) => Outcome::Ended,
            outcome => outcome,
        }
    }

    /// Notes that an attempt runs on a server and starts to watch its silence.
    fn begin(&mut self, server: &Arc<Server>, attempt: Attempt, permit: Option<Permit>) -> Watch {
        self.running = Some(Running {
            server: Arc::clone(server),
            attempt,
            permit,
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
        false
    }

    /// Tells admission how the running attempt went.
    fn report(&self, report: Report) {
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
        self.report(Report::Answered);
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
