//! Load on a service that is moved, with each answer judged.

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

/// Tokens of each answer.
const TOKENS: u64 = 16;

/// Longest wait for the last answers.
const LAST_ANSWERS: Duration = Duration::from_secs(5);

/// What the callers were answered.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    /// Answers, failed and wrong ones included.
    pub(super) answers: u64,
    /// Requests that ended in an error.
    pub(super) failed: u64,
    /// Answers that no version gives.
    pub(super) wrong: u64,
}

/// How one request ended.
enum Judgement {
    Right,
    Failed,
    Wrong,
}

/// Counters that the callers share.
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
            callers.spawn(send(caller, service, random, Arc::clone(&counters)));
        }
        Self { callers, counters }
    }

    /// Stops the callers once their last answers have come, and returns what they were answered; an
    /// answer that does not come in time counts as failed.
    pub(super) async fn stop(mut self) -> Tally {
        self.counters.stopped.store(true, Ordering::Relaxed);
        let waiting = async { while self.callers.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(LAST_ANSWERS, waiting).await;
        let unanswered = self.callers.len() as u64;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Tally {
            answers: read(&self.counters.answers) + unanswered,
            failed: read(&self.counters.failed) + unanswered,
            wrong: read(&self.counters.wrong),
        }
    }
}

/// Sends one request after another.
async fn send(
    caller: Caller,
    service: &'static str,
    mut random: ChaCha8Rng,
    counters: Arc<Counters>,
) {
    while !counters.stopped.load(Ordering::Relaxed) {
        let judgement = if service == BRIEFS {
            generate(&caller, &mut random).await
        } else {
            read(&caller, &mut random).await
        };
        counters.answers.fetch_add(1, Ordering::Relaxed);
        match judgement {
            Judgement::Right => {}
            Judgement::Failed => {
                counters.failed.fetch_add(1, Ordering::Relaxed);
            }
            Judgement::Wrong => {
                counters.wrong.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Asks for a generation.
async fn generate(caller: &Caller, random: &mut ChaCha8Rng) -> Judgement {
    let prompt = format!("manifest {:x}", random.random::<u64>());
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: prompt.clone(),
        max_tokens: TOKENS,
        stream: false,
    };
    let Ok(answer) = caller.generate(&completion).await else {
        return Judgement::Failed;
    };
    let right = ["v1", "v2"].map(|version| oracle::answer(version, &prompt, TOKENS));
    if right.contains(&answer) {
        return Judgement::Right;
    }
    Judgement::Wrong
}

/// Reads a record, one in four on the route `/plots`.
async fn read(caller: &Caller, random: &mut ChaCha8Rng) -> Judgement {
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
        Ok(reply) if reply.status != 200 => Judgement::Failed,
        Ok(reply) if reply.body.contains(&service::record(&path)) => Judgement::Right,
        Ok(_) => Judgement::Wrong,
        Err(_) => Judgement::Failed,
    }
}
