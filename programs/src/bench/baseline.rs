//! Scenario `baseline`: latency and throughput of generations through entries, compared with
//! requests sent directly to the engines.

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
use super::{Report, backend_server, milliseconds};
use crate::caller::{Caller, Completion};
use crate::cluster::{BRIEFS, Cluster, Plan};

/// Generations sent on each path.
const GENERATIONS: usize = 240;

/// Requests in flight: half of what the engines batch.
const CALLERS: usize = 64;

/// Maximum number of tokens of each answer.
const MAX_TOKENS: u64 = 64;

/// Measurements of one path; times are in microseconds.
struct Measurements {
    ttft: Histogram<u64>,
    gaps: Histogram<u64>,
    requests_per_second: f64,
    wrong: u64,
}

/// Runs the scenario. On each path a first wave of requests sets up the connections; the measured
/// requests then reuse them.
pub(super) async fn run(seed: u64) -> Result<Report, Box<dyn Error>> {
    let cluster = Arc::new(Cluster::start(Plan::default()).await?);
    let (wave, prompts) = (prompts(seed, CALLERS), prompts(seed + 1, GENERATIONS));
    let client = Client::new();
    let direct_send = |index: usize, prompt: String| {
        send_direct(client.clone(), Arc::clone(&cluster), index, prompt)
    };
    let direct_wave = measure(&wave, direct_send).await?;
    let direct = measure(&prompts, direct_send).await?;
    let callers: Vec<Caller> = (0..cluster.entries.len())
        .map(|entry| cluster.caller(entry))
        .collect();
    let through_entry = |index: usize, prompt: String| {
        send_through_entry(callers[index % callers.len()].clone(), prompt)
    };
    let routed_wave = measure(&wave, through_entry).await?;
    let routed = measure(&prompts, through_entry).await?;
    let added = p95(&routed.gaps).saturating_sub(p95(&direct.gaps));
    Ok(Report::from([
        (
            "ttft_p50_ms",
            milliseconds(routed.ttft.value_at_quantile(0.5)),
        ),
        ("ttft_p95_ms", milliseconds(p95(&routed.ttft))),
        (
            "direct_ttft_p50_ms",
            milliseconds(direct.ttft.value_at_quantile(0.5)),
        ),
        ("direct_ttft_p95_ms", milliseconds(p95(&direct.ttft))),
        (
            "first_wave_ttft_p95_ms",
            milliseconds(p95(&routed_wave.ttft)),
        ),
        (
            "direct_first_wave_ttft_p95_ms",
            milliseconds(p95(&direct_wave.ttft)),
        ),
        ("added_ms_per_token_p95", milliseconds(added)),
        ("requests_per_s", routed.requests_per_second.into()),
        ("direct_requests_per_s", direct.requests_per_second.into()),
        (
            "answers_wrong",
            (routed.wrong + direct.wrong + routed_wave.wrong + direct_wave.wrong).into(),
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

/// Sends every prompt on one path, [`CALLERS`] at a time.
async fn measure<F, G>(prompts: &[String], send: F) -> Result<Measurements, Box<dyn Error>>
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
    let mut measurements = Measurements {
        ttft: Histogram::new(3)?,
        gaps: Histogram::new(3)?,
        requests_per_second: 0.0,
        wrong: 0,
    };
    for sample in samples.into_iter().map(Option::unwrap_or_default) {
        measurements.ttft.record(sample.ttft_us)?;
        for gap in &sample.gaps_us {
            measurements.gaps.record(*gap)?;
        }
        measurements.wrong += u64::from(sample.wrong || sample.gaps_us.is_empty());
    }
    let count = u32::try_from(prompts.len())?;
    measurements.requests_per_second = f64::from(count) / started.elapsed().as_secs_f64();
    Ok(measurements)
}

/// Sends a prompt through an entry.
async fn send_through_entry(caller: Caller, prompt: String) -> Option<Sample> {
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
        clock.record_token();
        chunk
            .choices
            .iter()
            .for_each(|choice| text.push_str(&choice.text));
    }
    Some(clock.finish(text != expected))
}

/// Sends a prompt directly to an engine.
async fn send_direct(
    client: Client,
    cluster: Arc<Cluster>,
    index: usize,
    prompt: String,
) -> Option<Sample> {
    let server = backend_server(&cluster.engines[index % cluster.engines.len()].instance)?;
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
        clock.record_token();
        text.push_str(frame.token.as_deref().unwrap_or_default());
    }
    Some(clock.finish(text != expected))
}
