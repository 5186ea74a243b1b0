//! The task that owns a generation: its journal, its attempts and its delivery to the caller.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use medlarfall_coordination::detector::{Bounds, Detector};
use medlarfall_coordination::journal::{Attempt, Journal};
use medlarfall_coordination::resume_token::{self, Token};
use snafu::Snafu;
use tokio::time;

use crate::backend::{Engine, Generate, Reference, Server};
use crate::configs;
use crate::context::Context;
use crate::modules::routing;
use crate::modules::stops;
use crate::modules::stops::handover::{Handover, Prepared};
use crate::modules::stops::holding;

mod attempt;
mod cancel;
mod exclusion;
pub mod outbox;
mod watch;

use attempt::Outcome;
use exclusion::Exclusion;
use outbox::{Demand, Outbox, Reader};
use watch::Watch;

/// Pause between two looks for a server while there is none.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(50);

/// Pause between two clearances of what was learnt of servers that have gone.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(30);

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
            () = stop.cancelled() => task.fail(|delivered| Error::Stopping { delivered }),
            () = stops::window_over(&window) => {
                task.let_go();
                task.fail(|delivered| Error::Stopping { delivered });
            }
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

/// A generation in progress.
struct Task {
    context: Arc<Context>,
    order: Order,
    journal: Journal,
    outbox: Outbox,
    exclusion: Exclusion,
    /// The attempt that runs on an engine.
    running: Option<(Arc<Server>, Attempt)>,
    /// Where the running attempt's tokens come from.
    origin: Arc<Origin>,
    skip: Option<Skip>,
    /// Counts the attempt that runs.
    holding: Option<holding::Attempt>,
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
            holding: None,
        }
    }

    /// Returns what moves the running attempt off its server, should the server leave.
    fn handover(&self) -> Option<Handover> {
        let (server, attempt) = self.running.as_ref()?;
        Some(Handover::new(
            &self.context,
            &self.order.service,
            server,
            self.request(*attempt, Vec::new()),
            self.journal.next_index(),
        ))
    }

    /// Runs the generation until its answer has been read, or until its time is over.
    async fn run(&mut self) {
        let deadline = self.context.settings.callers.answer_timeout;
        let whole = time::timeout(deadline, self.serve()).await;
        if whole.is_err() {
            self.cancel_running();
            self.fail(|delivered| Error::Timeout { delivered });
        }
    }

    /// Makes attempts until the answer is whole and read.
    async fn serve(&mut self) {
        let mut next = self.taken_up();
        let mut moved = None;
        let mut fruitless = 0;
        loop {
            let before = self.journal.next_index();
            let outcome = match (moved.take(), next.take()) {
                (Some(prepared), _) => self.go_on(prepared).await,
                (None, Some((server, attempt))) => self.attach(server, attempt).await,
                (None, None) => match self.server().await {
                    Some(server) => self.attempt(server).await,
                    None => Outcome::CallerGone,
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
                Outcome::CallerGone => return self.let_go(),
                Outcome::Diverged => {
                    self.cancel_running();
                    return self.fail(|delivered| Error::Diverged { delivered });
                }
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
                return self.fail(|delivered| Error::NoServer { delivered });
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

    /// Waits for a server that can make an attempt, unless the caller goes before there is one.
    async fn server(&mut self) -> Option<Arc<Server>> {
        loop {
            if let Some(server) = self.pick() {
                return Some(server);
            }
            if self.outbox.demand() == Demand::Gone {
                return None;
            }
            self.take_version_in_force();
            time::sleep(NO_SERVER_PAUSE).await;
        }
    }

    /// Picks a server, if possible one on which nothing was lost lately.
    fn pick(&self) -> Option<Arc<Server>> {
        let now = self.context.clock.now();
        [self.exclusion.avoided(now), self.exclusion.barred(now)]
            .iter()
            .find_map(|passed_over| {
                let Order {
                    service, version, ..
                } = &self.order;
                routing::pick(&self.context, service, version, passed_over)
            })
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

    /// Makes one attempt on a server.
    async fn attempt(&mut self, server: Arc<Server>) -> Outcome {
        let attempt = self.journal.begin_attempt();
        let generate = self.request(attempt, self.journal.tokens().to_vec());
        let mut watch = self.begin(&server, attempt);
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
        let mut watch = self.begin(&server, attempt);
        let backend = self.context.backend.clone();
        let asked = backend.attach(&server, &reference);
        match self.follow(&mut watch, asked).await {
            Outcome::Refused(_) => Outcome::Ended,
            outcome => outcome,
        }
    }

    /// Ends the present attempt, since the generation runs on another server already.
    fn move_to(&mut self, prepared: &Prepared) {
        self.context.metrics.generations_moved.inc();
        self.cancel_running();
        self.journal.adopt(prepared.attempt);
    }

    /// Goes on with an attempt that was prepared on another server.
    async fn go_on(&mut self, prepared: Box<Prepared>) -> Outcome {
        let mut watch = self.begin(&prepared.server, prepared.attempt);
        if let Some(outcome) = self.take(&mut watch, prepared.first).await {
            return outcome;
        }
        let frames = prepared.frames;
        self.follow(&mut watch, async { Ok(frames) }).await
    }

    /// Notes that an attempt runs on a server and starts to watch its silence.
    fn begin(&mut self, server: &Arc<Server>, attempt: Attempt) -> Watch {
        self.running = Some((Arc::clone(server), attempt));
        self.holding = Some(self.context.stops.holding.attempt(&server.name));
        self.origin = Arc::new(Origin {
            version: Arc::clone(&self.order.version),
            server: Arc::clone(&server.name),
            attempt: attempt.0,
        });
        Watch::start(&self.context.detector, &self.order, server)
    }

    /// Notes an attempt that was refused or lost, and passes its server over for a while.
    fn pass_over(&mut self, reason: &str, lost: bool) -> bool {
        let running = self.running.clone();
        if let Some((server, _)) = running {
            let request = self.order.request_id.as_ref();
            let name = server.name.as_ref();
            log::warn!(request = request, server = name, reason = reason; "attempt lost");
            self.context.metrics.attempts_lost.inc();
            self.exclusion.lost(&server, self.context.clock.now());
        }
        if lost {
            self.cancel_running();
        }
        self.running = None;
        self.holding = None;
        false
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
        self.running = None;
        self.holding = None;
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
    fn let_go(&mut self) {
        if !self.order.resumable {
            self.cancel_running();
        }
    }

    /// Tells the caller that the answer cannot be completed.
    fn fail(&self, error: fn(u64) -> Error) {
        self.outbox
            .push_last(Event::Failed(error(self.delivered())));
    }

    /// Cancels the attempt that runs, without waiting for the answer.
    fn cancel_running(&mut self) {
        self.holding = None;
        if let Some((server, attempt)) = self.running.take() {
            cancel::start(&self.context, &server, self.reference(attempt));
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
