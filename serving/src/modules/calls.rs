//! Calls to plain services: their execution, their retry budgets and their errors.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fastrace::future::FutureExt as _;
use medlarfall_coordination::claim::{Identifier, Reason};
use medlarfall_coordination::retry_budget;
use medlarfall_schema::declaration::Service;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snafu::Snafu;
use xxhash_rust::xxh3::xxh3_64;

use crate::backend::{Call, Reply};
use crate::configs::services::Services;
use crate::context::Context;
use crate::modules::admission::Refusal;
use crate::modules::claims;
use crate::modules::peers::Identity;
use crate::telemetry;
use crate::utils::budget::Budget;

pub mod attempts;

/// Retries allowed to a service before its first success.
const RETRY_RESERVE: f64 = 10.0;

/// Most unused retries to one service that accumulate.
const RETRY_CEILING: f64 = 100.0;

/// State shared by all calls to plain services.
#[derive(Debug)]
pub struct Calls {
    /// Memory budget of request bodies and responses, in bytes.
    pub budget: Budget,
    policy: retry_budget::Policy,
    retries: Mutex<Retries>,
}

/// Retry budgets by service, and the random generator of the backoff jitter.
#[derive(Debug)]
struct Retries {
    budgets: BTreeMap<String, retry_budget::Budget>,
    rng: ChaCha8Rng,
}

/// A caller's request for a call.
#[derive(Clone, Debug)]
pub struct Request {
    /// Client account of the caller.
    pub account: Arc<str>,
    /// The service to call.
    pub service: Arc<Service>,
    /// The call to a backend server.
    pub call: Call,
    /// Whether running the call twice has the effect of running it once.
    pub idempotent: bool,
    /// The caller's idempotency identifier of the call.
    pub identifier: Option<Identifier>,
    /// Time of the entry's clock by which the call must end.
    pub deadline: Duration,
}

/// Reason why a call has no response for the caller.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// No backend server ran the call.
    #[snafu(display("no backend server ran the call: {reason}; try again later"))]
    NotRun {
        /// Reason why it was not run.
        reason: String,
    },
    /// The call may have run: its response was lost.
    #[snafu(display(
        "the call may have run and its answer was lost; read the record before you decide to repeat it"
    ))]
    AnswerLost,
    /// The call may have run: its response did not arrive in time.
    #[snafu(display(
        "the service did not answer within {} ms and the call may have run; read the record before you decide to repeat it",
        timeout.as_millis()
    ))]
    Timeout {
        /// Timeout of the attempt.
        timeout: Duration,
    },
    /// The call ran, but its response exceeds the limit or the remaining memory budget.
    #[snafu(display(
        "the call ran, but its answer is larger than `services.answer_limit` or than the room that is left; read the record instead"
    ))]
    Oversized,
    /// The call ran before, but its response was too large to be stored.
    #[snafu(display(
        "the call ran before with status {status}; its answer was too large to be kept: read the record instead"
    ))]
    AnswerNotKept {
        /// HTTP status of the response.
        status: u16,
    },
    /// The call was not run, since its identifier could not be claimed.
    #[snafu(display("{}", refusal_message(*reason)))]
    Refused {
        /// Reason of the refusal.
        reason: Reason,
    },
    /// An earlier call under the identifier may have run.
    #[snafu(display("{}", uncertainty_message(*reason)))]
    Uncertain {
        /// Reason of the uncertainty.
        reason: Reason,
    },
}

impl Error {
    /// Returns the error of a call that was not admitted.
    fn not_admitted(refusal: &Refusal) -> Self {
        Self::NotRun {
            reason: refusal.to_string(),
        }
    }
}

/// Returns the caller's message for an identifier that could not be claimed, with the remedy.
fn refusal_message(reason: Reason) -> &'static str {
    match reason {
        Reason::Mismatch => {
            "the identifier belongs to another request; send a new one with each new call"
        }
        Reason::Contended | Reason::ClaimLost => {
            "others claimed the identifier at the same time; this call was not run: try again with the same identifier"
        }
        _ => {
            "the platform's store does not answer, so this call was not run (an earlier one under the same identifier may have been); try again later with the same identifier"
        }
    }
}

/// Returns the caller's message for an identifier whose earlier call may have run, with the remedy.
fn uncertainty_message(reason: Reason) -> &'static str {
    match reason {
        Reason::StillRunning => {
            "an earlier call under this identifier is still running; ask again later with the same identifier"
        }
        _ => {
            "an earlier call under this identifier may have run, and the entry that sent it does not answer; read the record before you decide to call with a new identifier"
        }
    }
}

impl Calls {
    /// Returns the state of an entry without calls.
    #[must_use]
    pub fn new(identity: &Identity, settings: &Services) -> Self {
        let percent = u32::try_from(settings.retry_percent).unwrap_or(u32::MAX);
        Self {
            budget: Budget::new(settings.held_limit),
            policy: retry_budget::Policy {
                share: f64::from(percent) / 100.0,
                reserve: RETRY_RESERVE,
                ceiling: RETRY_CEILING,
            },
            retries: Mutex::new(Retries {
                budgets: BTreeMap::new(),
                rng: ChaCha8Rng::seed_from_u64(xxh3_64(identity.incarnation.as_bytes())),
            }),
        }
    }

    /// Records a success in a service's retry budget.
    fn record_success(&self, service: &str) {
        self.lock().budget(service, self.policy).record_success();
    }

    /// Withdraws retry number `retry` of a call from the retry budget and returns the pause before
    /// it, or nothing if the remaining time or the budget does not allow it.
    fn next_retry(&self, service: &str, retry: u32, remaining: Duration) -> Option<Duration> {
        let mut retries = self.lock();
        let pause = attempts::BACKOFF.pause(retry, remaining, &mut retries.rng)?;
        retries
            .budget(service, self.policy)
            .withdraw()
            .then_some(pause)
    }

    fn lock(&self) -> MutexGuard<'_, Retries> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Retries {
    /// Returns the retry budget of a service.
    fn budget(&mut self, service: &str, policy: retry_budget::Policy) -> &mut retry_budget::Budget {
        self.budgets
            .entry(service.to_owned())
            .or_insert_with(|| retry_budget::Budget::new(policy))
    }
}

impl Request {
    /// Returns the time that remains until the deadline.
    #[must_use]
    pub fn remaining(&self, context: &Context) -> Duration {
        self.deadline.saturating_sub(context.clock.now())
    }
}

/// Runs a call in a task of its own, which continues if the caller disconnects.
///
/// # Errors
///
/// Returns the reason why there is no response, and whether the call may have run.
pub async fn run(context: &Arc<Context>, mut request: Request) -> Result<Reply, Error> {
    let context = Arc::clone(context);
    let task = tokio::spawn(
        async move {
            let stop = context.stop.clone();
            tokio::select! {
                () = stop.cancelled() => Err(Error::AnswerLost),
                result = execute(&context, &mut request) => result,
            }
        }
        .in_span(telemetry::hop("call")),
    );
    task.await.unwrap_or(Err(Error::AnswerLost))
}

/// Runs a call; a call that has an identifier and is not idempotent runs under a claim.
async fn execute(context: &Arc<Context>, request: &mut Request) -> Result<Reply, Error> {
    match request.identifier {
        Some(identifier) if !request.idempotent => {
            claims::run::run(context, request, identifier).await
        }
        _ => match attempts::admit(context, request).await {
            Ok(permit) => attempts::run(context, request, permit).await.into_result(),
            Err(refusal) => Err(Error::not_admitted(&refusal)),
        },
    }
}
