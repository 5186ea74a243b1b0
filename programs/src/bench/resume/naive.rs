//! The naive strategy: sends a generation directly to an engine, and restarts it at another one
//! after each failure.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_serving::backend::http::Client;
use medlarfall_serving::backend::{Engine as _, Frames as _, Generate, Reference, Server};
use tokio::sync::watch;
use tokio::time::{self, Instant};

use super::faults::Targets;
use super::{Arrival, MAX_TOKENS, Sample, VERSION};

/// Time without a token after which an engine is taken for failed.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Maximum number of attempts at a generation.
const MAX_ATTEMPTS: u64 = 50;

/// Requests a generation; a token counts as output only if its index exceeds those of all tokens
/// before it.
pub(super) async fn generate(
    targets: &watch::Receiver<Targets>,
    prompt: &str,
    index: usize,
) -> Sample {
    let client = Client::new();
    let mut sample = Sample::default();
    let mut text = String::new();
    for attempt in 1..=MAX_ATTEMPTS {
        let engines = targets.borrow().engines.clone();
        let position = index + usize::try_from(attempt).unwrap_or(0);
        let server = &engines[position % engines.len()];
        let generate = request(prompt, index, attempt);
        text.clear();
        if read_attempt(&client, server, &generate, &mut sample, &mut text).await {
            break;
        }
        let reference = Reference {
            request_id: Arc::clone(&generate.request_id),
            attempt,
            from: 0,
        };
        let (client, server) = (client.clone(), server.clone());
        tokio::spawn(async move { client.cancel(&server, &reference).await });
    }
    sample.check_answer(prompt, &text);
    sample
}

/// Returns the request of one attempt.
fn request(prompt: &str, index: usize, attempt: u64) -> Generate {
    Generate {
        request_id: Arc::from(format!("naive-{index}")),
        attempt,
        version: Arc::from(VERSION),
        prompt: Arc::from(prompt),
        resume: Vec::new(),
        max_tokens: MAX_TOKENS,
        priority: 0,
    }
}

/// Reads the tokens of one attempt; returns whether it was complete.
async fn read_attempt(
    client: &Client,
    server: &Server,
    generate: &Generate,
    sample: &mut Sample,
    text: &mut String,
) -> bool {
    let Ok(Ok(mut frames)) = time::timeout(SILENCE_LIMIT, client.generate(server, generate)).await
    else {
        return false;
    };
    while let Ok(Ok(Some(frame))) = time::timeout(SILENCE_LIMIT, frames.next()).await {
        let Some(token) = frame.token else {
            return true;
        };
        text.push_str(&token);
        let next = sample.arrivals.last().map_or(0, |last| last.index + 1);
        if frame.index == next {
            sample.record(Arrival {
                at: Instant::now(),
                index: frame.index,
                server: Arc::clone(&server.name),
                attempt: generate.attempt,
                entry: None,
            });
        }
    }
    false
}
