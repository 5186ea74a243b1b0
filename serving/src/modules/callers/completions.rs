//! `POST /v1/completions`: generations, streamed as server-sent events or answered as a whole.

use std::convert::Infallible;
use std::sync::Arc;

use futures::StreamExt;
use medlarfall_schema::declaration::Kind as ServiceKind;
use salvo::prelude::*;
use salvo::sse::{self, SseEvent};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::problem::{Kind, Outcome, Problem, RUN};
use super::{Caller, services};
use crate::context::Context;
use crate::modules::generation::{self, Event, Order};

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
        let read = services::read_body(request, limit).await;
        match read.and_then(|body| self.order(&body, &caller)) {
            Ok((order, true)) => self.stream(order, response),
            Ok((order, false)) => self.whole(order, response).await,
            Err(problem) => problem.render(response),
        }
    }
}

impl Handle {
    /// Checks a request; returns the generation to run and whether to stream it.
    fn order(&self, body: &[u8], caller: &Caller) -> Result<(Order, bool), Problem> {
        let completion: Completion = serde_json::from_slice(body).map_err(|error| {
            let message =
                format!("the body is not a completion request: {error}; see docs/CALLERS.md");
            Problem::new(Kind::BadRequest, Outcome::NotRun, message)
        })?;
        let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
            let message = format!(
                "`max_tokens = {max_tokens}` cannot be used: write 1 to {MAX_TOKENS_LIMIT}"
            );
            return Err(Problem::new(Kind::BadRequest, Outcome::NotRun, message));
        }
        let declarations = Arc::clone(&self.context.declarations.borrow());
        let service = declarations
            .service(&completion.model)
            .filter(|service| service.kind() == ServiceKind::Generation)
            .ok_or_else(|| services::unknown(&completion.model))?;
        let order = Order {
            request_id: Arc::clone(&caller.request_id),
            service: Arc::from(service.name.as_str()),
            version: Arc::from(service.version.as_str()),
            prompt: Arc::from(completion.prompt),
            max_tokens,
            priority: completion.priority,
        };
        log::debug!(request = order.request_id.as_ref(), account = caller.account.as_ref(); "generation");
        Ok((order, completion.stream))
    }

    /// Streams a generation as server-sent events.
    fn stream(&self, order: Order, response: &mut Response) {
        let holding = self.context.stops.holding.request();
        let events = generation::start(Arc::clone(&self.context), order.clone());
        let _ = response.add_header(RUN, Outcome::Ran.as_str(), true);
        let events = ReceiverStream::new(events).map(move |event| {
            let _ = &holding;
            Ok::<_, Infallible>(event_text(&order, &event))
        });
        sse::stream(response, events);
    }

    /// Answers a generation as a whole.
    async fn whole(&self, order: Order, response: &mut Response) {
        let _holding = self.context.stops.holding.request();
        let events = generation::start(Arc::clone(&self.context), order.clone());
        match collect(events).await {
            Ok((text, reason, tokens)) => {
                let _ = response.add_header(RUN, Outcome::Ran.as_str(), true);
                response.render(Json(chunk(
                    &order,
                    &text,
                    None,
                    Some(&reason),
                    Some(tokens),
                )));
            }
            Err(problem) => problem.render(response),
        }
    }
}

/// Returns an event as the server-sent event that the caller reads.
fn event_text(order: &Order, event: &Event) -> SseEvent {
    let text = match event {
        Event::Token { index, text } => json(&chunk(order, text, Some(*index), None, None)),
        Event::End { reason, tokens } => json(&chunk(order, "", None, Some(reason), Some(*tokens))),
        Event::Failed(error) => {
            let problem = Problem::new(Kind::Unavailable, Outcome::Unknown, error.to_string());
            return SseEvent::default().name("error").text(problem.json());
        }
    };
    SseEvent::default().text(text)
}

/// Returns a chunk of an answer.
fn chunk<'a>(
    order: &'a Order,
    text: &'a str,
    token_index: Option<u64>,
    finish_reason: Option<&'a str>,
    tokens: Option<u64>,
) -> Chunk<'a> {
    Chunk {
        id: &order.request_id,
        object: "text_completion",
        model: &order.service,
        version: &order.version,
        choices: [Choice {
            index: 0,
            text,
            token_index,
            finish_reason,
        }],
        usage: tokens.map(|completion_tokens| Usage { completion_tokens }),
    }
}

/// Returns a chunk as JSON.
fn json(chunk: &Chunk<'_>) -> String {
    serde_json::to_string(chunk).unwrap_or_default()
}

/// Waits for the whole answer: its text, why it ended and its number of tokens.
async fn collect(mut events: mpsc::Receiver<Event>) -> Result<(String, Arc<str>, u64), Problem> {
    let mut whole = String::new();
    while let Some(event) = events.recv().await {
        match event {
            Event::Token { text, .. } => whole.push_str(&text),
            Event::End { reason, tokens } => return Ok((whole, reason, tokens)),
            Event::Failed(error) => {
                return Err(Problem::new(
                    Kind::Unavailable,
                    Outcome::Unknown,
                    error.to_string(),
                ));
            }
        }
    }
    let message = "the entry is stopping; send the request to another entry";
    Err(Problem::new(Kind::Unavailable, Outcome::Unknown, message))
}
