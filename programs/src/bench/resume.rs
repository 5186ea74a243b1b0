//! Scenario `resume`: time until the output of a generation continues after its engine died or
//! paused or its entry died, compared with restarting the generation from the beginning.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use medlarfall_coordination::resume_token::{Binding, Key, digest};
use medlarfall_standin::{engine, oracle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Report, milliseconds};
use crate::caller::{Answer, Completion};
use crate::cluster::{ACCOUNT, BRIEFS, CALLER_KEY, Cluster, Plan};
use faults::{Fault, Injector};

mod faults;
mod naive;

/// Generations of each strategy.
const GENERATIONS: usize = 960;

/// Generations in flight.
const CALLERS: usize = 96;

/// Maximum number of tokens of each answer; an answer has at least half as many.
const MAX_TOKENS: u64 = 300;

/// Engines, spread over the failure domains.
const ENGINES: usize = 6;

/// Version of the service.
const VERSION: &str = "v1";

/// Arrival of a token at a caller.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    index: u64,
    server: Arc<str>,
    attempt: u64,
    /// Entry that sent it; absent if the engine was called directly.
    entry: Option<SocketAddr>,
}

/// Measurements of one generation.
#[derive(Default)]
struct Sample {
    arrivals: Vec<Arrival>,
    lost: u64,
    repeated: u64,
    wrong: bool,
}

/// Measurements of one strategy.
struct Measurements {
    samples: Vec<Sample>,
    faults: Vec<Fault>,
    generated: u64,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Report, Box<dyn Error>> {
    let resumed = measure(seed, Strategy::Entries).await?;
    let naive = measure(seed, Strategy::Naive).await?;
    let engines = resumed.latencies(|fault| matches!(fault, Fault::Engine { .. }))?;
    let entries = resumed.latencies(|fault| matches!(fault, Fault::Entry { .. }))?;
    let restarts = naive.latencies(|_| true)?;
    let sum = |count: fn(&Sample) -> u64| resumed.samples.iter().map(count).sum::<u64>();
    Ok(Report::from([
        ("generations", resumed.samples.len().into()),
        ("tokens_lost", sum(|sample| sample.lost).into()),
        ("tokens_repeated", sum(|sample| sample.repeated).into()),
        ("answers_wrong", sum(|sample| sample.wrong.into()).into()),
        ("faults", resumed.faults.len().into()),
        ("resumes", engines.len().into()),
        ("resume_p50_ms", quantile_ms(&engines, 0.5)),
        ("resume_p95_ms", quantile_ms(&engines, 0.95)),
        ("resume_p99_ms", quantile_ms(&engines, 0.99)),
        ("resume_max_ms", quantile_ms(&engines, 1.0)),
        ("entry_resumes", entries.len().into()),
        ("entry_resume_p99_ms", quantile_ms(&entries, 0.99)),
        ("entry_resume_max_ms", quantile_ms(&entries, 1.0)),
        ("extra_tokens_ratio", resumed.extra_token_ratio().into()),
        ("naive_extra_tokens_ratio", naive.extra_token_ratio().into()),
        ("naive_resumes", restarts.len().into()),
        ("naive_resume_p50_ms", quantile_ms(&restarts, 0.5)),
        ("naive_resume_p95_ms", quantile_ms(&restarts, 0.95)),
        (
            "naive_answers_wrong",
            naive
                .samples
                .iter()
                .filter(|sample| sample.wrong)
                .count()
                .into(),
        ),
    ]))
}

/// Returns a quantile in milliseconds.
fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> serde_json::Value {
    milliseconds(latencies.value_at_quantile(quantile))
}

/// Strategies for generations during faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Strategy {
    /// Through entries, which resume generations.
    Entries,
    /// Directly at the engines, from the beginning after each failure.
    Naive,
}

/// Sends every prompt by one strategy while engines fail, and entries too unless it is the naive
/// one.
async fn measure(seed: u64, strategy: Strategy) -> Result<Measurements, Box<dyn Error>> {
    let plan = Plan {
        entries: 3,
        engines: ENGINES,
        engine: engine_config(),
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await?;
    let key = Key::new(cluster.entries[0].context.settings.keys.resume.bytes());
    let (injector, targets) = Injector::new(cluster, seed, strategy);
    let stop = CancellationToken::new();
    let injection = tokio::spawn(injector.run(stop.clone()));
    let permits = Arc::new(Semaphore::new(CALLERS));
    let mut callers = JoinSet::new();
    for (index, prompt) in prompts(seed).into_iter().enumerate() {
        let permit = Arc::clone(&permits).acquire_owned().await?;
        let (targets, key) = (targets.clone(), key.clone());
        callers.spawn(async move {
            let _permit = permit;
            match strategy {
                Strategy::Entries => generate_through_entries(&targets, &key, prompt, index).await,
                Strategy::Naive => naive::generate(&targets, &prompt, index).await,
            }
        });
    }
    let samples = callers.join_all().await;
    stop.cancel();
    let (cluster, faults) = injection.await?;
    let generated = cluster
        .engines
        .iter()
        .map(|engine| engine.engine.stats().tokens);
    Ok(Measurements {
        samples,
        faults,
        generated: generated.sum(),
    })
}

/// Returns the prompts of a seed.
fn prompts(seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..GENERATIONS)
        .map(|index| format!("history {index} {:x}", random.random::<u64>()))
        .collect()
}

/// Requests a generation through the entries and records its tokens.
async fn generate_through_entries(
    targets: &watch::Receiver<faults::Targets>,
    key: &Key,
    prompt: String,
    index: usize,
) -> Sample {
    let mut entries = targets.borrow().entries.clone();
    let first = index % entries.len();
    entries.rotate_left(first);
    let binding = Binding {
        account: digest([ACCOUNT.as_bytes()]),
        body: digest([
            BRIEFS.as_bytes(),
            prompt.as_bytes(),
            &MAX_TOKENS.to_le_bytes(),
            &0_i32.to_le_bytes(),
        ]),
    };
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: prompt.clone(),
        max_tokens: MAX_TOKENS,
        stream: true,
    };
    let mut answer = Answer::new(&entries, CALLER_KEY, completion);
    let mut sample = Sample::default();
    while let Ok(Some(chunk)) = answer.next().await {
        let token = chunk.resume_token.as_deref();
        let Some(Ok(token)) = token.map(|text| key.open(text, &binding, 0, u64::MAX)) else {
            continue;
        };
        sample.record(Arrival {
            at: Instant::now(),
            index: token.index,
            server: token.server,
            attempt: token.attempt,
            entry: answer.entry(),
        });
    }
    sample.check_answer(&prompt, &answer.text());
    sample
}

impl Sample {
    /// Records a token, and counts tokens that are missing before it or repeated.
    fn record(&mut self, arrival: Arrival) {
        let next = self.arrivals.last().map_or(0, |last| last.index + 1);
        self.lost += arrival.index.saturating_sub(next);
        self.repeated += u64::from(arrival.index < next);
        self.arrivals.push(arrival);
    }

    /// Compares the answer with the oracle's and counts missing tokens at its end.
    fn check_answer(&mut self, prompt: &str, text: &str) {
        let length = oracle::length(VERSION, prompt, MAX_TOKENS);
        let received = self.arrivals.last().map_or(0, |last| last.index + 1);
        self.lost += length.saturating_sub(received);
        self.wrong = text != oracle::answer(VERSION, prompt, MAX_TOKENS);
    }

    /// Returns the time from a fault to the first token from another attempt or entry, if the fault
    /// affected this generation.
    fn latency(&self, fault: &Fault) -> Option<Duration> {
        let at = fault.at();
        let before = self.arrivals.iter().rfind(|arrival| arrival.at <= at)?;
        let affected = match fault {
            Fault::Engine { server, .. } => before.server == *server,
            Fault::Entry { address, .. } => before.entry == Some(*address),
        };
        let after = self.arrivals.iter().find(|arrival| match fault {
            Fault::Engine { .. } => arrival.at > at && arrival.attempt > before.attempt,
            Fault::Entry { .. } => arrival.at > at && arrival.entry != before.entry,
        })?;
        affected.then(|| after.at - at)
    }
}

impl Measurements {
    /// Returns the latencies of all resumes after the faults that `matches` selects, in
    /// microseconds.
    fn latencies(&self, matches: fn(&Fault) -> bool) -> Result<Histogram<u64>, Box<dyn Error>> {
        let mut latencies = Histogram::new(3)?;
        for fault in self.faults.iter().filter(|fault| matches(fault)) {
            for latency in self
                .samples
                .iter()
                .filter_map(|sample| sample.latency(fault))
            {
                latencies.record(u64::try_from(latency.as_micros())?)?;
            }
        }
        Ok(latencies)
    }

    /// Returns the ratio of tokens generated beyond those delivered to tokens delivered.
    fn extra_token_ratio(&self) -> f64 {
        let delivered: usize = self
            .samples
            .iter()
            .map(|sample| sample.arrivals.len())
            .sum();
        let delivered = u32::try_from(delivered).map_or(f64::MAX, f64::from);
        let generated = u32::try_from(self.generated).map_or(f64::MAX, f64::from);
        ((generated / delivered - 1.0) * 10_000.0).round() / 10_000.0
    }
}

/// Returns the configuration of every engine.
fn engine_config() -> engine::Config {
    engine::Config {
        version: VERSION.to_owned(),
        ..engine::Config::default()
    }
}
