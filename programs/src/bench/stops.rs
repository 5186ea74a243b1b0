//! Scenario `stops`: planned stops of engines while they run long generations. Counts the requests
//! that fail and the stops that finish by their date.

use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use medlarfall_schema::declaration::Stop;
use medlarfall_schema::operator::StopState;
use medlarfall_serving::modules::stops::unix_milliseconds;
use medlarfall_standin::{engine, oracle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::Report;
use crate::caller::Completion;
use crate::cluster::{BRIEFS, Cluster, Plan};

/// Planned stops, one after the other.
const STOPS: usize = 5;

/// Callers that request one generation after another.
const CALLERS: usize = 24;

/// Time between a stop's acceptance and its date.
const NOTICE: Duration = Duration::from_secs(9);

/// Time before the date at which the remaining generations are moved to other engines.
const LEAD: Duration = Duration::from_secs(4);

/// Interval at which the request counter of a leaving engine is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Counts of the callers' answers: complete and correct, failed or incomplete, and wrong.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    complete: u64,
    incomplete: u64,
    wrong: u64,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Report, Box<dyn Error>> {
    let mut cluster = Cluster::start(Plan {
        engines: 4,
        adjust_settings: |_, settings| settings.stops.policy.lead = LEAD,
        ..Plan::default()
    })
    .await?;
    let finished = CancellationToken::new();
    let mut callers = JoinSet::new();
    for index in 0..CALLERS {
        let caller = cluster.caller(index % cluster.entries.len());
        let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + index as u64);
        callers.spawn(run_caller(caller, random, finished.clone()));
    }
    let mut finished_by_date: u64 = 0;
    let mut late_work = Duration::ZERO;
    for index in 0..STOPS {
        // Each stop concerns the oldest engine; its replacement starts first.
        cluster.add_engine(engine::Config::default()).await?;
        let (in_time, late) = run_stop(&cluster, index).await?;
        finished_by_date += u64::from(in_time);
        late_work = late_work.max(late);
    }
    finished.cancel();
    let mut sum = Answers::default();
    while let Some(answers) = callers.join_next().await {
        let answers = answers?;
        sum.complete += answers.complete;
        sum.incomplete += answers.incomplete;
        sum.wrong += answers.wrong;
    }
    let metrics = cluster.entries.iter().map(|entry| &entry.context.metrics);
    let (moved, lost) = metrics.fold((0, 0), |(moved, lost), metrics| {
        (
            moved + metrics.generations_moved.get(),
            lost + metrics.attempts_lost.get(),
        )
    });
    Ok(Report::from([
        ("stops", (STOPS as u64).into()),
        ("answers_whole", sum.complete.into()),
        ("answers_wrong", sum.wrong.into()),
        ("requests_cut", sum.incomplete.into()),
        ("attempts_lost", lost.into()),
        ("moved_generations", moved.into()),
        (
            "late_work_max_ms",
            u64::try_from(late_work.as_millis())?.into(),
        ),
        ("finished_by_date", finished_by_date.into()),
    ]))
}

/// Requests one generation after another until the scenario is over.
async fn run_caller(
    caller: crate::caller::Caller,
    mut random: ChaCha8Rng,
    finished: CancellationToken,
) -> Answers {
    let mut answers = Answers::default();
    while !finished.is_cancelled() {
        let prompt = format!("ledger {:x}", random.random::<u64>());
        let max_tokens = random.random_range(20..1_200);
        let completion = Completion {
            model: BRIEFS.to_owned(),
            prompt: prompt.clone(),
            max_tokens,
            stream: true,
        };
        let answer = match caller.stream(&completion).await {
            Ok(mut stream) => stream.text().await.ok(),
            Err(_) => None,
        };
        match answer {
            Some((text, true)) if text == oracle::answer("v1", &prompt, max_tokens) => {
                answers.complete += 1;
            }
            Some((_, true)) => answers.wrong += 1,
            Some((_, false)) | None => answers.incomplete += 1,
        }
    }
    answers
}

/// Plans a stop of one engine, which dies at the stop's date. Returns whether the stop had finished
/// by then, and how long after the acceptance of the stop the engine last received a request.
async fn run_stop(cluster: &Cluster, index: usize) -> Result<(bool, Duration), Box<dyn Error>> {
    let target = format!("server/engine-{index}");
    let mut operator = cluster.operator(index % cluster.entries.len())?;
    let notice = u64::try_from(NOTICE.as_millis())?;
    let stored = operator
        .plan_stop(Stop {
            target: target.clone(),
            date_ms: unix_milliseconds() + notice,
            ..Stop::default()
        })
        .await;
    stored.map_err(|status| status.message().to_owned())?;
    let accepted = Instant::now();
    let leaving = Arc::new(cluster.engines[index].engine.clone());
    let late = tokio::spawn(watch_late_work(Arc::clone(&leaving), accepted));
    let finished = async {
        let mut watch = operator.watch_stop(&target).await.ok()?;
        while let Some(progress) = watch.message().await.ok()? {
            if progress.state() == StopState::Finished {
                return Some(());
            }
        }
        None
    };
    let in_time = tokio::time::timeout(NOTICE, finished).await;
    let date = tokio::time::Instant::from_std(accepted + NOTICE);
    tokio::time::sleep_until(date).await;
    leaving.lifecycle().crash();
    Ok((matches!(in_time, Ok(Some(()))), late.await?))
}

/// Returns how long after the acceptance of its stop an engine last received a request.
async fn watch_late_work(engine: Arc<engine::Engine>, accepted: Instant) -> Duration {
    let mut requests = engine.stats().requests;
    let mut last = Duration::ZERO;
    while accepted.elapsed() < NOTICE {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = engine.stats().requests;
        if now > requests {
            last = accepted.elapsed();
            requests = now;
        }
    }
    last
}
