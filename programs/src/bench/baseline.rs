//! Scenario `baseline`: what an entry adds over going straight to the engine.

use std::error::Error;
use std::sync::Arc;
use std::time::Instant;

use hdrhistogram::Histogram;
use medlarfall_serving::backend::http::Client;
use medlarfall_serving::backend::{Engine as _, Frames as _, Generate};
use medlarfall_standin::oracle;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::stopwatch::{Sample, Stopwatch};
use super::{Figures, milliseconds, server};
use crate::caller::{Caller, Completion};
use crate::cluster::{BRIEFS, Cluster, Plan};

/// Generations on each way.
const GENERATIONS: usize = 240;

/// Callers at a time: half of what the engines batch.
const CALLERS: usize = 64;

/// Most tokens of each answer.
const MAX_TOKENS: u64 = 64;

/// What one way measured, in microseconds.
struct Measured {
    first: Histogram<u64>,
    between: Histogram<u64>,
    requests_per_second: f64,
    wrong: u64,
}

/// Runs the scenario: each way first with a wave that sets up its connections, then warm.
pub(super) async fn run(seed: u64) -> Result<Figures, Box<dyn Error>> {
    let cluster = Arc::new(Cluster::start(Plan::default()).await?);
    let (wave, prompts) = (prompts(seed, CALLERS), prompts(seed + 1, GENERATIONS));
    let client = Client::new();
    let straight = |index: usize, prompt: String| {
        straight(client.clone(), Arc::clone(&cluster), index, prompt)
    };
    let direct_wave = measure(&wave, straight).await?;
    let direct = measure(&prompts, straight).await?;
    let callers: Vec<Caller> = (0..cluster.entries.len())
        .map(|entry| cluster.caller(entry))
        .collect();
    let entry =
        |index: usize, prompt: String| entry(callers[index % callers.len()].clone(), prompt);
    let through_wave = measure(&wave, entry).await?;
    let through = measure(&prompts, entry).await?;
    let added = p95(&through.between).saturating_sub(p95(&direct.between));
    Ok(Figures::from([
        (
            "ttft_p50_ms",
            milliseconds(through.first.value_at_quantile(0.5)),
        ),
        ("ttft_p95_ms", milliseconds(p95(&through.first))),
        (
            "direct_ttft_p50_ms",
            milliseconds(direct.first.value_at_quantile(0.5)),
        ),
        ("direct_ttft_p95_ms", milliseconds(p95(&direct.first))),
        (
            "first_wave_ttft_p95_ms",
            milliseconds(p95(&through_wave.first)),
        ),
        (
            "direct_first_wave_ttft_p95_ms",
            milliseconds(p95(&direct_wave.first)),
        ),
        ("added_ms_per_token_p95", milliseconds(added)),
        ("requests_per_s", through.requests_per_second.into()),
        ("direct_requests_per_s", direct.requests_per_second.into()),
        (
            "answers_wrong",
            (through.wrong + direct.wrong + through_wave.wrong + direct_wave.wrong).into(),
        ),
    ]))
}

/// Returns the 95th percentile.
fn p95(histogram: &Histogram<u64>) -> u64 {
    histogram.value_at_quantile(0.95)
}

/// Returns the prompts of a seed.
fn prompts(seed: u64, count: usize) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..count)
        .map(|index| format!("manifest {index} {:x}", random.random::<u64>()))
        .collect()
}

/// Sends every prompt one way, a bounded number at a time.
async fn measure<F, G>(prompts: &[String], send: F) -> Result<Measured, Box<dyn Error>>
where
    F: Fn(usize, String) -> G,
    G: Future<Output = Option<Sample>>,
{
    use futures::StreamExt;
    let started = Instant::now();
    let samples: Vec<Option<Sample>> = futures::stream::iter(prompts.iter().cloned().enumerate())
        .map(|(index, prompt)| send(index, prompt))
        .buffer_unordered(CALLERS)
        .collect()
        .await;
    let mut measured = Measured {
        first: Histogram::new(3)?,
        between: Histogram::new(3)?,
        requests_per_second: 0.0,
        wrong: 0,
    };
    for sample in samples.into_iter().map(Option::unwrap_or_default) {
        measured.first.record(sample.first)?;
        for gap in &sample.between {
            measured.between.record(*gap)?;
        }
        measured.wrong += u64::from(sample.wrong || sample.between.is_empty());
    }
    let count = u32::try_from(prompts.len())?;
    measured.requests_per_second = f64::from(count) / started.elapsed().as_secs_f64();
    Ok(measured)
}

/// Sends a prompt through an entry.
async fn entry(caller: Caller, prompt: String) -> Option<Sample> {
    let expected = oracle::answer("v1", &prompt, MAX_TOKENS);
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt,
        max_tokens: MAX_TOKENS,
        stream: true,
    };
    let mut clock = Stopwatch::start();
    let mut stream = caller.stream(&completion).await.ok()?;
    let mut text = String::new();
    while let Some(chunk) = stream.next().await.ok()? {
        clock.token();
        chunk
            .choices
            .iter()
            .for_each(|choice| text.push_str(&choice.text));
    }
    Some(clock.sample(text != expected))
}

/// Sends a prompt straight to an engine.
async fn straight(
    client: Client,
    cluster: Arc<Cluster>,
    index: usize,
    prompt: String,
) -> Option<Sample> {
    let server = server(&cluster.engines[index % cluster.engines.len()].instance)?;
    let expected = oracle::answer("v1", &prompt, MAX_TOKENS);
    let generate = Generate {
        request_id: Arc::from(format!("direct-{index}")),
        attempt: 1,
        version: Arc::from("v1"),
        prompt: Arc::from(prompt),
        resume: Vec::new(),
        max_tokens: MAX_TOKENS,
        priority: 0,
    };
    let mut clock = Stopwatch::start();
    let mut frames = client.generate(&server, &generate).await.ok()?;
    let mut text = String::new();
    while let Some(frame) = frames.next().await.ok()? {
        clock.token();
        text.push_str(frame.token.as_deref().unwrap_or_default());
    }
    Some(clock.sample(text != expected))
}
