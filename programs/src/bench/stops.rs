//! Scenario `stops`: planned stops of engines under long generations.

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

use super::Figures;
use crate::caller::Completion;
use crate::cluster::{BRIEFS, Cluster, Plan};

/// Planned stops, one after the other.
const STOPS: usize = 5;

/// Callers that ask for one generation after the other.
const CALLERS: usize = 24;

/// Time between a stop's acceptance and its date.
const NOTICE: Duration = Duration::from_secs(9);

/// Time before the date at which the last generations are moved.
const LEAD: Duration = Duration::from_secs(4);

/// Pause between two looks at the requests that a leaving engine took.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// What the callers saw.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    whole: u64,
    cut: u64,
    wrong: u64,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Figures, Box<dyn Error>> {
    let mut cluster = Cluster::start(Plan {
        engines: 4,
        adjust: |_, settings| settings.stops.policy.lead = LEAD,
        ..Plan::default()
    })
    .await?;
    let over = CancellationToken::new();
    let mut callers = JoinSet::new();
    for index in 0..CALLERS {
        let caller = cluster.caller(index % cluster.entries.len());
        let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + index as u64);
        callers.spawn(ask(caller, random, over.clone()));
    }
    let mut finished_by_date: u64 = 0;
    let mut late_work = Duration::ZERO;
    for index in 0..STOPS {
        // Each stop takes the oldest engine; a new one takes its place first.
        cluster.add_engine(engine::Config::default()).await?;
        let (in_time, late) = stop(&cluster, index).await?;
        finished_by_date += u64::from(in_time);
        late_work = late_work.max(late);
    }
    over.cancel();
    let mut sum = Answers::default();
    while let Some(answers) = callers.join_next().await {
        let answers = answers?;
        sum.whole += answers.whole;
        sum.cut += answers.cut;
        sum.wrong += answers.wrong;
    }
    let metrics = cluster.entries.iter().map(|entry| &entry.context.metrics);
    let (moved, lost) = metrics.fold((0, 0), |(moved, lost), metrics| {
        (
            moved + metrics.generations_moved.get(),
            lost + metrics.attempts_lost.get(),
        )
    });
    Ok(Figures::from([
        ("stops", (STOPS as u64).into()),
        ("answers_whole", sum.whole.into()),
        ("answers_wrong", sum.wrong.into()),
        ("requests_cut", sum.cut.into()),
        ("attempts_lost", lost.into()),
        ("moved_generations", moved.into()),
        (
            "late_work_max_ms",
            u64::try_from(late_work.as_millis())?.into(),
        ),
        ("finished_by_date", finished_by_date.into()),
    ]))
}

/// Asks for one generation after the other until the scenario is over.
async fn ask(
    caller: crate::caller::Caller,
    mut random: ChaCha8Rng,
    over: CancellationToken,
) -> Answers {
    let mut answers = Answers::default();
    while !over.is_cancelled() {
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
                answers.whole += 1;
            }
            Some((_, true)) => answers.wrong += 1,
            Some((_, false)) | None => answers.cut += 1,
        }
    }
    answers
}

/// Stops one engine; returns whether it had finished by its date, and how long after the acceptance
/// the engine last took new work. At its date the engine dies.
async fn stop(cluster: &Cluster, index: usize) -> Result<(bool, Duration), Box<dyn Error>> {
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

/// Returns how long after the acceptance an engine last took new work before its date.
async fn watch_late_work(engine: Arc<engine::Engine>, accepted: Instant) -> Duration {
    let mut requests = engine.stats().requests;
    let mut last = Duration::ZERO;
    while accepted.elapsed() < NOTICE {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let now = engine.stats().requests;
        if now > requests {
            last = accepted.elapsed();
            requests = now;
        }
    }
    last
}
