//! `POST /v1/completions`: generations, streamed as server-sent events or sent as one JSON
//! response.

use std::convert::Infallible;
use std::sync::Arc;

use futures::StreamExt;
use medlarfall_coordination::resume_token::{Binding, chain_all, digest};
use medlarfall_schema::declaration::Kind as ServiceKind;
use salvo::prelude::*;
use salvo::sse::{self, SseEvent};
use serde::{Deserialize, Serialize};

use super::problem::{Kind, Problem, RUN, RunStatus};
use super::resumption::Sealer;
use super::{Caller, REQUEST_ID, services};
use crate::context::Context;
use crate::modules::admission::Refusal;
use crate::modules::generation::outbox::Reader;
use crate::modules::generation::{self, Event, Resumption};
use crate::modules::moves;

/// Header by which a caller resumes a stream; its value is the `id:` of the last event received.
const LAST_EVENT_ID: &str = "last-event-id";

/// Default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Largest value of `max_tokens`.
const MAX_TOKENS_LIMIT: u64 = 1 << 20;

/// Handler of requests for generations.
pub(super) struct Endpoint {
    /// Shared context of the entry.
    pub(super) context: Arc<Context>,
}

/// JSON body of a request for a generation.
#[derive(Debug, Deserialize)]
struct Completion {
    /// Name of the service.
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
    /// Tokens that a caller has already received when it resumes an answer.
    tokens: Option<Vec<Arc<str>>>,
}

/// JSON of one event of a stream, or of a complete response.
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

/// Usage statistics of an answer.
#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    completion_tokens: u64,
}

#[async_trait]
impl Handler for Endpoint {
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
        let body = services::read_body(request, limit).await;
        match body.and_then(|body| self.parse(&body, &caller, last_event.as_deref())) {
            Ok((generation, sealer, streamed)) => {
                let service = Arc::clone(&generation.service);
                if streamed {
                    self.stream(generation, sealer, response);
                } else {
                    self.respond(generation, response).await;
                }
                self.count_request(&service, response);
            }
            Err(problem) => problem.render(response),
        }
    }
}

impl Endpoint {
    /// Counts a generation by the run status in its response headers; a stream counts as run when
    /// it starts.
    fn count_request(&self, service: &str, response: &Response) {
        let run = response
            .headers()
            .get(RUN)
            .and_then(|run| run.to_str().ok());
        self.context
            .metrics
            .count_request(service, run.unwrap_or_default());
    }

    /// Parses and checks a request; returns the generation to run, the sealer of its resume tokens
    /// and whether to stream it.
    fn parse(
        &self,
        body: &[u8],
        caller: &Caller,
        last_event: Option<&str>,
    ) -> Result<(generation::Request, Sealer, bool), Problem> {
        let completion: Completion = serde_json::from_slice(body).map_err(|error| {
            let message =
                format!("the body is not a completion request: {error}; see docs/CALLERS.md");
            Problem::new(Kind::BadRequest, RunStatus::NotRun, message)
        })?;
        let max_tokens = max_tokens(&completion)?;
        let declarations = Arc::clone(&self.context.declarations.borrow());
        let service = declarations
            .service(&completion.model)
            .filter(|service| service.kind() == ServiceKind::Generation)
            .ok_or_else(|| services::unknown_service(&completion.model))?;
        let binding = binding(&completion, max_tokens, &caller.account);
        let mut sealer = Sealer::new(&self.context.settings.keys, binding);
        let resumption = last_event
            .map(|text| self.check_resumption(text, &sealer, &completion))
            .transpose()?;
        let mut generation = generation::Request {
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
            generation.request_id = Arc::clone(&resumption.token.request_id);
            generation.version = Arc::clone(&resumption.token.version);
            sealer.resume_after(&resumption.token);
            generation.resumption = Some(resumption);
        }
        log::debug!(request = generation.request_id.as_ref(), account = caller.account.as_ref(); "generation");
        Ok((generation, sealer, completion.stream))
    }

    /// Checks the resume token of a caller that resumes an answer, and the tokens that it sent.
    fn check_resumption(
        &self,
        text: &str,
        sealer: &Sealer,
        completion: &Completion,
    ) -> Result<Resumption, Problem> {
        let refused =
            |message: String| Problem::new(Kind::ResumeRefused, RunStatus::NotRun, message);
        if !completion.stream {
            let message = "an answer goes on only as a stream; write `stream: true`";
            return Err(refused(message.to_owned()));
        }
        let lifetime = self.context.settings.generation.resume_token_lifetime;
        let token = sealer
            .open(text, lifetime)
            .map_err(|error| refused(error.to_string()))?;
        let received = completion.tokens.clone();
        let same = received.as_ref().is_none_or(|received| {
            received.len() as u64 == token.index + 1
                && chain_all(received.iter().map(AsRef::as_ref)) == token.delivered
        });
        if !same {
            let message = "`tokens` are not those up to the last event's id: send all tokens received, in order, or leave `tokens` out";
            return Err(refused(message.to_owned()));
        }
        Ok(Resumption { token, received })
    }

    /// Streams a generation as server-sent events.
    fn stream(&self, generation: generation::Request, mut sealer: Sealer, response: &mut Response) {
        let in_flight = self.context.stops.in_flight.start_request();
        let events = generation::start(Arc::clone(&self.context), generation.clone());
        let _ = response.add_header(RUN, RunStatus::Ran.as_str(), true);
        let _ = response.add_header(REQUEST_ID, generation.request_id.as_ref(), true);
        let events = events.map(move |event| {
            let _ = &in_flight;
            Ok::<_, Infallible>(server_sent_event(&generation, &mut sealer, &event))
        });
        sse::stream(response, events);
    }

    /// Waits for the complete answer and sends it as one response.
    async fn respond(&self, generation: generation::Request, response: &mut Response) {
        let _in_flight = self.context.stops.in_flight.start_request();
        let events = generation::start(Arc::clone(&self.context), generation.clone());
        match collect(events).await {
            Ok((text, reason, tokens, version)) => {
                let _ = response.add_header(RUN, RunStatus::Ran.as_str(), true);
                let mut chunk = chunk(&generation, &version, &text);
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

/// Returns the checked or default `max_tokens` of a request.
fn max_tokens(completion: &Completion) -> Result<u64, Problem> {
    let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if (1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
        return Ok(max_tokens);
    }
    let message =
        format!("`max_tokens = {max_tokens}` cannot be used: write 1 to {MAX_TOKENS_LIMIT}");
    Err(Problem::new(Kind::BadRequest, RunStatus::NotRun, message))
}

/// Returns the account and body digests to which a request's resume tokens are bound.
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

/// Converts an event of a generation into a server-sent event.
fn server_sent_event(
    generation: &generation::Request,
    sealer: &mut Sealer,
    event: &Event,
) -> SseEvent {
    match event {
        Event::Token {
            index,
            text,
            origin,
        } => {
            let mut chunk = chunk(generation, &origin.version, text);
            chunk.choices[0].token_index = Some(*index);
            let id = sealer.seal(generation, *index, text, origin);
            SseEvent::default().id(id).text(json(&chunk))
        }
        Event::End {
            reason,
            tokens,
            version,
        } => {
            let mut chunk = chunk(generation, version, "");
            chunk.choices[0].finish_reason = Some(reason);
            chunk.usage = Some(Usage {
                completion_tokens: *tokens,
            });
            SseEvent::default().text(json(&chunk))
        }
        Event::Failed(error) => {
            let problem = problem(error);
            SseEvent::default().name("error").text(problem.json())
        }
    }
}

/// Converts the error of a generation into the problem that the caller receives.
fn problem(error: &generation::Error) -> Problem {
    let (kind, run_status) = match error {
        generation::Error::Refused {
            refusal: Refusal::TooLarge { .. },
        } => (Kind::TooLarge, RunStatus::NotRun),
        generation::Error::Refused { .. } => (Kind::Unavailable, RunStatus::NotRun),
        generation::Error::Timeout { .. } => (Kind::Timeout, RunStatus::Unknown),
        generation::Error::Diverged { .. } => (Kind::ResumeRefused, RunStatus::Unknown),
        generation::Error::NoServer { .. } | generation::Error::Stopping { .. } => {
            (Kind::Unavailable, RunStatus::Unknown)
        }
    };
    Problem::new(kind, run_status, error.to_string())
}

/// Returns a chunk of an answer.
fn chunk<'a>(generation: &'a generation::Request, version: &'a str, text: &'a str) -> Chunk<'a> {
    Chunk {
        id: &generation.request_id,
        object: "text_completion",
        model: &generation.service,
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

/// Collects the complete answer: its text, the reason for its end, its number of tokens and its
/// version.
async fn collect(mut events: Reader) -> Result<(String, Arc<str>, u64, Arc<str>), Problem> {
    let mut answer = String::new();
    while let Some(event) = events.next().await {
        match event {
            Event::Token { text, .. } => answer.push_str(&text),
            Event::End {
                reason,
                tokens,
                version,
            } => return Ok((answer, reason, tokens, version)),
            Event::Failed(error) => return Err(problem(&error)),
        }
    }
    let message = "the entry is stopping; send the request to another entry";
    Err(Problem::new(Kind::Unavailable, RunStatus::Unknown, message))
}
