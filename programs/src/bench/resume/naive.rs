//! The naive way: straight to an engine, and from the beginning at another after each loss.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_serving::backend::http::Client;
use medlarfall_serving::backend::{Engine as _, Frames as _, Generate, Reference, Server};
use tokio::sync::watch;
use tokio::time::{self, Instant};

use super::faults::Targets;
use super::{Arrival, MAX_TOKENS, Sample, VERSION};

/// Silence after which the engine is taken for lost.
const SILENCE: Duration = Duration::from_secs(2);

/// Most attempts for one generation.
const ATTEMPTS: u64 = 50;

/// Has a generation made; only tokens beyond the furthest so far count as output.
pub(super) async fn generate(
    targets: &watch::Receiver<Targets>,
    prompt: &str,
    index: usize,
) -> Sample {
    let client = Client::new();
    let mut sample = Sample::default();
    let mut text = String::new();
    for attempt in 1..=ATTEMPTS {
        let engines = targets.borrow().engines.clone();
        let spread = index + usize::try_from(attempt).unwrap_or(0);
        let server = &engines[spread % engines.len()];
        let generate = request(prompt, index, attempt);
        text.clear();
        if follow(&client, server, &generate, &mut sample, &mut text).await {
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
    sample.judge(prompt, &text);
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

/// Reads one attempt; returns whether it was whole.
async fn follow(
    client: &Client,
    server: &Server,
    generate: &Generate,
    sample: &mut Sample,
    text: &mut String,
) -> bool {
    let Ok(Ok(mut frames)) = time::timeout(SILENCE, client.generate(server, generate)).await else {
        return false;
    };
    while let Ok(Ok(Some(frame))) = time::timeout(SILENCE, frames.next()).await {
        let Some(token) = frame.token else {
            return true;
        };
        text.push_str(&token);
        let next = sample.arrivals.last().map_or(0, |last| last.index + 1);
        if frame.index == next {
            sample.note(Arrival {
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
