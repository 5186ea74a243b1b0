//! `POST /v1/completions`: generations, streamed as server-sent events or answered as a whole.

use std::convert::Infallible;
use std::sync::Arc;

use futures::StreamExt;
use medlarfall_coordination::resume_token::{Binding, chain_all, digest};
use medlarfall_schema::declaration::Kind as ServiceKind;
use salvo::prelude::*;
use salvo::sse::{self, SseEvent};
use serde::{Deserialize, Serialize};

use super::problem::{Kind, Outcome, Problem, RUN};
use super::resumption::Sealer;
use super::{Caller, REQUEST_ID, services};
use crate::context::Context;
use crate::modules::admission::Refusal;
use crate::modules::generation::outbox::Reader;
use crate::modules::generation::{self, Event, Order, Resumption};
use crate::modules::moves;

/// Header with which a caller comes back: the last event's `id:`.
const LAST_EVENT_ID: &str = "last-event-id";

/// Most tokens of an answer where the caller names none.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Most tokens that a caller may ask for.
const MAX_TOKENS_LIMIT: u64 = 1 << 20;

/// Answers generations.
pub(super) struct Handle {
    /// What the entry's modules share.
    pub(super) context: Arc<Context>,
}

/// A request for a generation.
#[derive(Debug, Deserialize)]
struct Completion {
    /// Service that is asked.
    model: String,
    /// The prompt.
    prompt: String,
    /// Most tokens of the whole answer.
    max_tokens: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    stream: bool,
    /// Priority; higher runs first.
    #[serde(default)]
    priority: i32,
    /// The tokens that a caller who comes back holds.
    tokens: Option<Vec<Arc<str>>>,
}

/// A part of an answer, or a whole one.
#[derive(Debug, Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    version: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// The text of a chunk.
#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u64,
    text: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    token_index: Option<u64>,
    finish_reason: Option<&'a str>,
}

/// What an answer used.
#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    completion_tokens: u64,
}

#[async_trait]
impl Handler for Handle {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let Ok(caller) = depot.get_typed::<Caller>().cloned() else {
            return;
        };
        let limit = self.context.settings.callers.body_limit;
        let last_event = request.header::<String>(LAST_EVENT_ID);
        let read = services::read_body(request, limit).await;
        match read.and_then(|body| self.order(&body, &caller, last_event.as_deref())) {
            Ok((order, sealer, streamed)) => {
                let service = Arc::clone(&order.service);
                if streamed {
                    self.stream(order, sealer, response);
                } else {
                    self.whole(order, response).await;
                }
                self.count(&service, response);
            }
            Err(problem) => problem.render(response),
        }
    }
}

impl Handle {
    /// Counts a generation by what its answer says; a stream counts as run when it begins.
    fn count(&self, service: &str, response: &Response) {
        let run = response
            .headers()
            .get(RUN)
            .and_then(|run| run.to_str().ok());
        self.context
            .metrics
            .count_request(service, run.unwrap_or_default());
    }

    /// Checks a request; returns the generation to run, what seals its resume tokens and whether to
    /// stream it.
    fn order(
        &self,
        body: &[u8],
        caller: &Caller,
        last_event: Option<&str>,
    ) -> Result<(Order, Sealer, bool), Problem> {
        let completion: Completion = serde_json::from_slice(body).map_err(|error| {
            let message =
                format!("the body is not a completion request: {error}; see docs/CALLERS.md");
            Problem::new(Kind::BadRequest, Outcome::NotRun, message)
        })?;
        let max_tokens = max_tokens(&completion)?;
        let declarations = Arc::clone(&self.context.declarations.borrow());
        let service = declarations
            .service(&completion.model)
            .filter(|service| service.kind() == ServiceKind::Generation)
            .ok_or_else(|| services::unknown(&completion.model))?;
        let binding = binding(&completion, max_tokens, &caller.account);
        let mut sealer = Sealer::new(&self.context.settings.keys, binding);
        let resumption = last_event
            .map(|text| self.resumption(text, &sealer, &completion))
            .transpose()?;
        let mut order = Order {
            request_id: Arc::clone(&caller.request_id),
            account: Arc::clone(&caller.account),
            service: Arc::from(service.name.as_str()),
            version: moves::version(&self.context, service, &caller.request_id),
            prompt: Arc::from(completion.prompt),
            max_tokens,
            priority: completion.priority,
            resumable: completion.stream,
            resumption: None,
        };
        if let Some(resumption) = resumption {
            order.request_id = Arc::clone(&resumption.token.request_id);
            order.version = Arc::clone(&resumption.token.version);
            sealer.go_on(&resumption.token);
            order.resumption = Some(resumption);
        }
        log::debug!(request = order.request_id.as_ref(), account = caller.account.as_ref(); "generation");
        Ok((order, sealer, completion.stream))
    }

    /// Checks the resume token of a caller that comes back, and the tokens that it holds.
    fn resumption(
        &self,
        text: &str,
        sealer: &Sealer,
        completion: &Completion,
    ) -> Result<Resumption, Problem> {
        let refused = |message: String| Problem::new(Kind::ResumeRefused, Outcome::NotRun, message);
        if !completion.stream {
            let message = "an answer goes on only as a stream; write `stream: true`";
            return Err(refused(message.to_owned()));
        }
        let lifetime = self.context.settings.generation.resume_token_lifetime;
        let token = sealer
            .open(text, lifetime)
            .map_err(|error| refused(error.to_string()))?;
        let held = completion.tokens.clone();
        let same = held.as_ref().is_none_or(|held| {
            held.len() as u64 == token.index + 1
                && chain_all(held.iter().map(AsRef::as_ref)) == token.delivered
        });
        if !same {
            let message = "`tokens` are not those up to the last event's id: send all tokens received, in order, or leave `tokens` out";
            return Err(refused(message.to_owned()));
        }
        Ok(Resumption { token, held })
    }

    /// Streams a generation as server-sent events.
    fn stream(&self, order: Order, mut sealer: Sealer, response: &mut Response) {
        let holding = self.context.stops.holding.request();
        let events = generation::start(Arc::clone(&self.context), order.clone());
        let _ = response.add_header(RUN, Outcome::Ran.as_str(), true);
        let _ = response.add_header(REQUEST_ID, order.request_id.as_ref(), true);
        let events = events.map(move |event| {
            let _ = &holding;
            Ok::<_, Infallible>(event_text(&order, &mut sealer, &event))
        });
        sse::stream(response, events);
    }

    /// Answers a generation as a whole.
    async fn whole(&self, order: Order, response: &mut Response) {
        let _holding = self.context.stops.holding.request();
        let events = generation::start(Arc::clone(&self.context), order.clone());
        match collect(events).await {
            Ok((text, reason, tokens, version)) => {
                let _ = response.add_header(RUN, Outcome::Ran.as_str(), true);
                let mut chunk = chunk(&order, &version, &text);
                chunk.choices[0].finish_reason = Some(&reason);
                chunk.usage = Some(Usage {
                    completion_tokens: tokens,
                });
                response.render(Json(chunk));
            }
            Err(problem) => problem.render(response),
        }
    }
}

/// Returns the most tokens of the answer.
fn max_tokens(completion: &Completion) -> Result<u64, Problem> {
    let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if (1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
        return Ok(max_tokens);
    }
    let message =
        format!("`max_tokens = {max_tokens}` cannot be used: write 1 to {MAX_TOKENS_LIMIT}");
    Err(Problem::new(Kind::BadRequest, Outcome::NotRun, message))
}

/// Returns what a request's resume tokens are bound to.
fn binding(completion: &Completion, max_tokens: u64, account: &str) -> Binding {
    let body = digest([
        completion.model.as_bytes(),
        completion.prompt.as_bytes(),
        &max_tokens.to_le_bytes(),
        &completion.priority.to_le_bytes(),
    ]);
    Binding {
        account: digest([account.as_bytes()]),
        body,
    }
}

/// Returns an event as the server-sent event that the caller reads.
fn event_text(order: &Order, sealer: &mut Sealer, event: &Event) -> SseEvent {
    match event {
        Event::Token {
            index,
            text,
            origin,
        } => {
            let mut chunk = chunk(order, &origin.version, text);
            chunk.choices[0].token_index = Some(*index);
            let id = sealer.seal(order, *index, text, origin);
            SseEvent::default().id(id).text(json(&chunk))
        }
        Event::End {
            reason,
            tokens,
            version,
        } => {
            let mut chunk = chunk(order, version, "");
            chunk.choices[0].finish_reason = Some(reason);
            chunk.usage = Some(Usage {
                completion_tokens: *tokens,
            });
            SseEvent::default().text(json(&chunk))
        }
        Event::Failed(error) => {
            let problem = failed(error);
            SseEvent::default().name("error").text(problem.json())
        }
    }
}

/// Returns the problem of a generation that could not be completed.
fn failed(error: &generation::Error) -> Problem {
    let (kind, run) = match error {
        generation::Error::Refused {
            refusal: Refusal::TooLarge { .. },
        } => (Kind::TooLarge, Outcome::NotRun),
        generation::Error::Refused { .. } => (Kind::Unavailable, Outcome::NotRun),
        generation::Error::Timeout { .. } => (Kind::Timeout, Outcome::Unknown),
        generation::Error::Diverged { .. } => (Kind::ResumeRefused, Outcome::Unknown),
        generation::Error::NoServer { .. } | generation::Error::Stopping { .. } => {
            (Kind::Unavailable, Outcome::Unknown)
        }
    };
    Problem::new(kind, run, error.to_string())
}

/// Returns a chunk of an answer.
fn chunk<'a>(order: &'a Order, version: &'a str, text: &'a str) -> Chunk<'a> {
    Chunk {
        id: &order.request_id,
        object: "text_completion",
        model: &order.service,
        version,
        choices: [Choice {
            index: 0,
            text,
            token_index: None,
            finish_reason: None,
        }],
        usage: None,
    }
}

/// Returns a chunk as JSON.
fn json(chunk: &Chunk<'_>) -> String {
    serde_json::to_string(chunk).unwrap_or_default()
}

/// Waits for the whole answer: its text, why it ended, its number of tokens and its version.
async fn collect(mut events: Reader) -> Result<(String, Arc<str>, u64, Arc<str>), Problem> {
    let mut whole = String::new();
    while let Some(event) = events.next().await {
        match event {
            Event::Token { text, .. } => whole.push_str(&text),
            Event::End {
                reason,
                tokens,
                version,
            } => return Ok((whole, reason, tokens, version)),
            Event::Failed(error) => return Err(failed(&error)),
        }
    }
    let message = "the entry is stopping; send the request to another entry";
    Err(Problem::new(Kind::Unavailable, Outcome::Unknown, message))
}
