//! Scenario `resume`: how soon output goes on after an engine died, paused or an entry was lost,
//! against restarting from the beginning.

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

use super::{Figures, milliseconds};
use crate::caller::{Answer, Completion};
use crate::cluster::{ACCOUNT, BRIEFS, CALLER_KEY, Cluster, Plan};
use faults::{Fault, Injector};

mod faults;
mod naive;

/// Generations on each way.
const GENERATIONS: usize = 960;

/// Callers at a time.
const CALLERS: usize = 96;

/// Most tokens of each answer; it has at least half of them.
const MAX_TOKENS: u64 = 300;

/// Engines, spread over the failure domains.
const ENGINES: usize = 6;

/// Version that answers.
const VERSION: &str = "v1";

/// A token that a caller received.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    index: u64,
    server: Arc<str>,
    attempt: u64,
    /// Entry that it came through.
    entry: Option<SocketAddr>,
}

/// What one generation measured.
#[derive(Default)]
struct Sample {
    arrivals: Vec<Arrival>,
    lost: u64,
    repeated: u64,
    wrong: bool,
}

/// What one way measured.
struct Measured {
    samples: Vec<Sample>,
    faults: Vec<Fault>,
    generated: u64,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Figures, Box<dyn Error>> {
    let through = measure(seed, Way::Entries).await?;
    let naive = measure(seed, Way::Naive).await?;
    let engines = through.latencies(|fault| matches!(fault, Fault::Engine { .. }))?;
    let entries = through.latencies(|fault| matches!(fault, Fault::Entry { .. }))?;
    let restarts = naive.latencies(|_| true)?;
    let sum = |count: fn(&Sample) -> u64| through.samples.iter().map(count).sum::<u64>();
    Ok(Figures::from([
        ("generations", through.samples.len().into()),
        ("tokens_lost", sum(|sample| sample.lost).into()),
        ("tokens_repeated", sum(|sample| sample.repeated).into()),
        ("answers_wrong", sum(|sample| sample.wrong.into()).into()),
        ("faults", through.faults.len().into()),
        ("resumes", engines.len().into()),
        ("resume_p50_ms", at(&engines, 0.5)),
        ("resume_p95_ms", at(&engines, 0.95)),
        ("resume_p99_ms", at(&engines, 0.99)),
        ("resume_max_ms", at(&engines, 1.0)),
        ("entry_resumes", entries.len().into()),
        ("entry_resume_p99_ms", at(&entries, 0.99)),
        ("entry_resume_max_ms", at(&entries, 1.0)),
        ("extra_tokens_ratio", through.extra().into()),
        ("naive_extra_tokens_ratio", naive.extra().into()),
        ("naive_resumes", restarts.len().into()),
        ("naive_resume_p50_ms", at(&restarts, 0.5)),
        ("naive_resume_p95_ms", at(&restarts, 0.95)),
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
fn at(latencies: &Histogram<u64>, quantile: f64) -> serde_json::Value {
    milliseconds(latencies.value_at_quantile(quantile))
}

/// Ways to have generations made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Through entries, which resume.
    Entries,
    /// Straight to the engines, from the beginning after each loss.
    Naive,
}

/// Sends every prompt one way while engines and entries fail.
async fn measure(seed: u64, way: Way) -> Result<Measured, Box<dyn Error>> {
    let plan = Plan {
        entries: 3,
        engines: ENGINES,
        engine: engine_config(),
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await?;
    let key = Key::new(cluster.entries[0].context.settings.keys.resume.bytes());
    let (injector, targets) = Injector::new(cluster, seed, way);
    let stop = CancellationToken::new();
    let injecting = tokio::spawn(injector.run(stop.clone()));
    let places = Arc::new(Semaphore::new(CALLERS));
    let mut callers = JoinSet::new();
    for (index, prompt) in prompts(seed).into_iter().enumerate() {
        let place = Arc::clone(&places).acquire_owned().await?;
        let (targets, key) = (targets.clone(), key.clone());
        callers.spawn(async move {
            let _place = place;
            match way {
                Way::Entries => through(&targets, &key, prompt, index).await,
                Way::Naive => naive::generate(&targets, &prompt, index).await,
            }
        });
    }
    let samples = callers.join_all().await;
    stop.cancel();
    let (cluster, faults) = injecting.await?;
    let generated = cluster
        .engines
        .iter()
        .map(|held| held.engine.stats().tokens);
    Ok(Measured {
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

/// Has a generation made through the entries.
async fn through(
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
        sample.note(Arrival {
            at: Instant::now(),
            index: token.index,
            server: token.server,
            attempt: token.attempt,
            entry: answer.entry(),
        });
    }
    sample.judge(&prompt, &answer.text());
    sample
}

impl Sample {
    /// Notes a token.
    fn note(&mut self, arrival: Arrival) {
        let next = self.arrivals.last().map_or(0, |last| last.index + 1);
        self.lost += arrival.index.saturating_sub(next);
        self.repeated += u64::from(arrival.index < next);
        self.arrivals.push(arrival);
    }

    /// Compares the answer with the oracle's.
    fn judge(&mut self, prompt: &str, text: &str) {
        let length = oracle::length(VERSION, prompt, MAX_TOKENS);
        let received = self.arrivals.last().map_or(0, |last| last.index + 1);
        self.lost += length.saturating_sub(received);
        self.wrong = text != oracle::answer(VERSION, prompt, MAX_TOKENS);
    }

    /// Returns how long after a fault the output of this generation went on, if the fault met it.
    fn latency(&self, fault: &Fault) -> Option<Duration> {
        let at = fault.at();
        let before = self.arrivals.iter().rfind(|arrival| arrival.at <= at)?;
        let met = match fault {
            Fault::Engine { server, .. } => before.server == *server,
            Fault::Entry { address, .. } => before.entry == Some(*address),
        };
        let after = self.arrivals.iter().find(|arrival| match fault {
            Fault::Engine { .. } => arrival.at > at && arrival.attempt > before.attempt,
            Fault::Entry { .. } => arrival.at > at && arrival.entry != before.entry,
        })?;
        met.then(|| after.at - at)
    }
}

impl Measured {
    /// Returns the latencies of all resumes after the faults that `which` names, in microseconds.
    fn latencies(&self, which: fn(&Fault) -> bool) -> Result<Histogram<u64>, Box<dyn Error>> {
        let mut latencies = Histogram::new(3)?;
        for fault in self.faults.iter().filter(|fault| which(fault)) {
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

    /// Returns the tokens generated beyond those delivered, over those delivered.
    fn extra(&self) -> f64 {
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

/// Returns how each engine is started.
fn engine_config() -> engine::Config {
    engine::Config {
        version: VERSION.to_owned(),
        ..engine::Config::default()
    }
}
