//! Load generator for a service that is moved; checks every answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hyper::Method;
use medlarfall_standin::{oracle, service};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::caller::{Caller, Completion};
use crate::cluster::{BRIEFS, Cluster};

/// Callers at each entry.
const CALLERS: usize = 12;

/// Maximum number of tokens of each answer.
const TOKENS: u64 = 16;

/// Time after the stop in which outstanding answers must arrive.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Counts of the callers' answers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    /// All answers, including failed and wrong ones.
    pub(super) answers: u64,
    /// Requests that ended in an error.
    pub(super) failed: u64,
    /// Answers that differ from those of every version.
    pub(super) wrong: u64,
}

/// Result of one request.
enum Verdict {
    Correct,
    Failed,
    Wrong,
}

/// Counters and stop flag that the callers share.
#[derive(Debug, Default)]
struct Counters {
    answers: AtomicU64,
    failed: AtomicU64,
    wrong: AtomicU64,
    stopped: AtomicBool,
}

/// Callers that send requests until they are stopped.
pub(super) struct Load {
    callers: JoinSet<()>,
    counters: Arc<Counters>,
}

impl Load {
    /// Starts callers at every entry.
    pub(super) fn start(cluster: &Cluster, service: &'static str, seed: u64) -> Self {
        let counters = Arc::<Counters>::default();
        let mut callers = JoinSet::new();
        for index in 0..CALLERS * cluster.entries.len() {
            let caller = cluster.caller(index % cluster.entries.len());
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(index as u64));
            callers.spawn(run_caller(caller, service, random, Arc::clone(&counters)));
        }
        Self { callers, counters }
    }

    /// Stops the callers after their outstanding answers and returns the counts; an answer that
    /// does not arrive in time counts as failed.
    pub(super) async fn stop(mut self) -> Tally {
        self.counters.stopped.store(true, Ordering::Relaxed);
        let waiting = async { while self.callers.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, waiting).await;
        let unanswered = self.callers.len() as u64;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Tally {
            answers: read(&self.counters.answers) + unanswered,
            failed: read(&self.counters.failed) + unanswered,
            wrong: read(&self.counters.wrong),
        }
    }
}

/// Sends one request after another until the load is stopped.
async fn run_caller(
    caller: Caller,
    service: &'static str,
    mut random: ChaCha8Rng,
    counters: Arc<Counters>,
) {
    while !counters.stopped.load(Ordering::Relaxed) {
        let verdict = if service == BRIEFS {
            generate(&caller, &mut random).await
        } else {
            read_record(&caller, &mut random).await
        };
        counters.answers.fetch_add(1, Ordering::Relaxed);
        match verdict {
            Verdict::Correct => {}
            Verdict::Failed => {
                counters.failed.fetch_add(1, Ordering::Relaxed);
            }
            Verdict::Wrong => {
                counters.wrong.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Requests a generation and compares its text with the oracle's.
async fn generate(caller: &Caller, random: &mut ChaCha8Rng) -> Verdict {
    let prompt = format!("manifest {:x}", random.random::<u64>());
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: prompt.clone(),
        max_tokens: TOKENS,
        stream: false,
    };
    let Ok(answer) = caller.generate(&completion).await else {
        return Verdict::Failed;
    };
    let expected = ["v1", "v2"].map(|version| oracle::answer(version, &prompt, TOKENS));
    if expected.contains(&answer) {
        return Verdict::Correct;
    }
    Verdict::Wrong
}

/// Reads a record and checks it; one in four reads uses the route `/plots`.
async fn read_record(caller: &Caller, random: &mut ChaCha8Rng) -> Verdict {
    let route = if random.random_range(0..4) == 0 {
        "plots"
    } else {
        "records"
    };
    let path = format!("/{route}/{:x}", random.random::<u32>());
    let reply = caller
        .call(Method::GET, &format!("/s/tracker{path}"), "")
        .await;
    match reply {
        Ok(reply) if reply.status != 200 => Verdict::Failed,
        Ok(reply) if reply.body.contains(&service::record(&path)) => Verdict::Correct,
        Ok(_) => Verdict::Wrong,
        Err(_) => Verdict::Failed,
    }
}
