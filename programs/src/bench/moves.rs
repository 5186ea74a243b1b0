//! Scenario `moves`: moves to good versions, which must end in time, and to bad versions, which
//! must be taken back. The naive baseline is a ramp that follows a fixed schedule regardless of
//! faults.

use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use medlarfall_coordination::schedule;
use medlarfall_schema::operator::{MovePhase, MoveState};
use medlarfall_serving::configs::Settings;
use medlarfall_serving::entry::Entry;
use medlarfall_standin::{engine, service};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Report;
use crate::cluster::{self, BRIEFS, Cluster, Plan, TRACKER};
use crate::commands::moves::{deadline_ms, ended};

mod cases;
mod load;

use cases::{Case, Fault};
use load::{Load, Tally};

/// Runs of each good case.
const GOOD_RUNS: usize = 4;

/// Runs of each bad case.
const BAD_RUNS: usize = 3;

/// Moves that run concurrently, each on a cluster of its own.
const CONCURRENT_MOVES: usize = 3;

/// Time from the start of a move to its deadline.
const MOVE_DEADLINE: Duration = Duration::from_secs(20);

/// Time after which the operator stops waiting for the end of a move.
const WATCH_LIMIT: Duration = Duration::from_secs(25);

/// Interval at which the stand-ins' counters are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time between two tokens of a generation.
const TOKEN_INTERVAL: Duration = Duration::from_millis(3);

/// Result of one move.
struct Outcome {
    case: Case,
    /// Final state that the operator received, if any.
    end: Option<MoveState>,
    in_time: bool,
    observation: Observation,
    tally: Tally,
    /// Requests that were subject to the fault.
    faulted: u64,
}

/// Observations of the requests to the new version.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    /// State when the fault was first seen to affect a request: the number of requests to the new
    /// version, the number of requests to both versions, and the time.
    at_fault: Option<(u64, u64, Instant)>,
    /// Time at which every entry had stopped sending requests to the new version.
    stopped: Option<Instant>,
    /// Requests to the new version at the end of the move.
    requests: u64,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Report, Box<dyn Error>> {
    let moves = measure(seed, false).await?;
    let naive = measure(seed, true).await?;
    let mut report = summarize(&moves);
    let bad = |outcomes: &[Outcome]| -> u64 {
        let bad = outcomes.iter().filter(|outcome| outcome.case.bad);
        bad.map(|outcome| outcome.faulted).sum()
    };
    report.insert("bad_requests", bad(&moves).into());
    report.insert("naive_bad_requests", bad(&naive).into());
    Ok(report)
}

/// Runs every case several times, in a random order given by the seed; the naive ramp runs the bad
/// cases only.
async fn measure(seed: u64, naive: bool) -> Result<Vec<Outcome>, Box<dyn Error>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cases: Vec<Case> = cases::all()
        .into_iter()
        .filter(|case| case.bad || !naive)
        .flat_map(|case| std::iter::repeat_n(case, if case.bad { BAD_RUNS } else { GOOD_RUNS }))
        .collect();
    cases.shuffle(&mut random);
    let seeded: Vec<(Case, u64)> = cases
        .into_iter()
        .map(|case| (case, random.random()))
        .collect();
    let outcomes: Vec<Result<Outcome, Box<dyn Error>>> = futures::stream::iter(seeded)
        .map(|(case, seed)| run_one(case, seed, naive))
        .buffer_unordered(CONCURRENT_MOVES)
        .collect()
        .await;
    outcomes.into_iter().collect()
}

/// Shortens the stages of moves.
fn adjust_settings(_: usize, settings: &mut Settings) {
    settings.moves.plan = schedule::Plan {
        shares: vec![50, 250, 500, 1_000],
        dwell_floor_ms: 300,
        dwell_ceiling_ms: 500,
        requests: 15,
    };
}

/// Sets up the naive ramp: stages need no requests and the comparison of versions never rejects.
fn adjust_naive(index: usize, settings: &mut Settings) {
    adjust_settings(index, settings);
    settings.moves.plan.requests = 0;
    settings.moves.tolerance.false_alarm = 0.0;
}

/// Starts a cluster with two backend servers of each version and sets the faults of the case.
async fn start_cluster(case: Case, naive: bool) -> Result<Cluster, Box<dyn Error>> {
    let plan = Plan {
        engines: 2,
        services: 2,
        engine: engine::Config {
            token_interval: TOKEN_INTERVAL,
            ..engine::Config::default()
        },
        adjust_settings: if naive { adjust_naive } else { adjust_settings },
        ..Plan::default()
    };
    let mut cluster = Cluster::start(plan.clone()).await?;
    for _ in 0..2 {
        let version = "v2".to_owned();
        match case.fault {
            Fault::Engine { .. } => {
                let config = engine::Config {
                    version,
                    ..plan.engine.clone()
                };
                cluster.add_engine(config).await?;
            }
            Fault::Service { .. } => {
                let config = service::Config {
                    version,
                    ..service::Config::default()
                };
                cluster.add_service(config).await?;
            }
        }
    }
    let known = cluster.engines.len() + cluster.services.len();
    cluster::wait_until("every entry knows the servers of the new version", || {
        let entries = &mut cluster.entries.iter();
        entries.all(|entry| entry.context.directory.borrow().iter().count() == known)
    })
    .await?;
    case.fault.apply(&cluster);
    Ok(cluster)
}

/// Runs one move under load.
async fn run_one(case: Case, seed: u64, naive: bool) -> Result<Outcome, Box<dyn Error>> {
    let cluster = Arc::new(start_cluster(case, naive).await?);
    let service = case.fault.service();
    let load = Load::start(&cluster, service, seed);
    let deadline = deadline_ms(MOVE_DEADLINE);
    let mut operator = cluster.operator(0)?;
    let started = operator
        .start_move(service, "v2", deadline)
        .await
        .map_err(|status| status.message().to_owned())?;
    if case.dies
        && let Some(instance) = cluster.services.last()
    {
        instance.service.lifecycle().crash();
    }
    let (end, observation) = tokio::join!(
        watch(&cluster, service, &started.move_id),
        observe(&cluster, service)
    );
    let in_time = deadline_ms(Duration::ZERO) <= deadline;
    let tally = load.stop().await;
    let (_, _, faulted) = counts(&cluster, service);
    cluster.entries.iter().for_each(Entry::kill);
    Ok(Outcome {
        case,
        end,
        in_time,
        observation,
        tally,
        faulted,
    })
}

/// Watches a move at another entry than the one that started it; returns its final state.
async fn watch(cluster: &Cluster, service: &str, id: &str) -> Option<MoveState> {
    let watching = async {
        let mut operator = cluster.operator(1).ok()?;
        let mut states = operator.watch_move(service, id).await.ok()?;
        while let Some(state) = states.message().await.ok()? {
            if ended(&state) {
                return Some(state);
            }
        }
        None
    };
    tokio::time::timeout(WATCH_LIMIT, watching).await.ok()?
}

/// Polls the stand-ins' counters until the move has ended at every entry.
async fn observe(cluster: &Cluster, service: &str) -> Observation {
    let mut observation = Observation::default();
    let limit = Instant::now() + WATCH_LIMIT;
    loop {
        let (old, new, faulted) = counts(cluster, service);
        if faulted > 0 && observation.at_fault.is_none() {
            observation.at_fault = Some((new, old + new, Instant::now()));
        }
        let records: Vec<_> = cluster
            .entries
            .iter()
            .filter_map(|entry| entry.context.moves.last(service))
            .collect();
        let all_recorded = records.len() == cluster.entries.len();
        if all_recorded
            && observation.stopped.is_none()
            && records.iter().all(|record| record.share() == 0)
        {
            observation.stopped = Some(Instant::now());
        }
        if all_recorded && records.iter().all(|record| record.phase.ended())
            || Instant::now() > limit
        {
            let (_, new, _) = counts(cluster, service);
            observation.requests = new;
            return observation;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the number of requests to the old version, of those to the new version, and of those
/// subject to a fault of the new version.
fn counts(cluster: &Cluster, service: &str) -> (u64, u64, u64) {
    let mut counts = (0, 0, 0);
    let mut add = |version: &str, requests, faulted| match version {
        "v2" => {
            counts.1 += requests;
            counts.2 += faulted;
        }
        _ => counts.0 += requests,
    };
    if service == BRIEFS {
        for engine in &cluster.engines {
            let stats = engine.engine.stats();
            add(&engine.instance.version, stats.requests, stats.faulted);
        }
    }
    if service == TRACKER {
        for instance in &cluster.services {
            let stats = instance.service.stats();
            add(&instance.instance.version, stats.requests, stats.faulted);
        }
    }
    counts
}

/// Returns the 95th percentile, by the nearest rank.
fn p95(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    let index = (values.len() * 95).div_ceil(100);
    values.get(index.saturating_sub(1)).copied().unwrap_or(0)
}

/// Converts thousandths to a fraction.
fn fraction(thousandths: u64) -> f64 {
    u32::try_from(thousandths).map_or(1.0, f64::from) / 1_000.0
}

/// Returns the measurements over all moves. Prints good moves taken back and bad moves not taken
/// back.
fn summarize(outcomes: &[Outcome]) -> Report {
    let (bad, good): (Vec<&Outcome>, Vec<&Outcome>) =
        outcomes.iter().partition(|outcome| outcome.case.bad);
    let ended = |outcomes: &[&Outcome], phase: MovePhase| -> u64 {
        let ends = outcomes.iter().filter_map(|outcome| outcome.end.as_ref());
        ends.filter(|end| end.phase() == phase).count() as u64
    };
    let in_time = good.iter().filter(|outcome| {
        let done = outcome.end.as_ref();
        outcome.in_time && done.is_some_and(|end| end.phase() == MovePhase::Done)
    });
    let shares = bad.iter().filter_map(|outcome| {
        let (new, all, _) = outcome.observation.at_fault?;
        Some(new * 1_000 / all.max(1))
    });
    let after = bad.iter().filter_map(|outcome| {
        let (new, _, _) = outcome.observation.at_fault?;
        Some(outcome.observation.requests.saturating_sub(new))
    });
    let times = bad.iter().filter_map(|outcome| {
        let (_, _, at) = outcome.observation.at_fault?;
        let elapsed = outcome.observation.stopped?.saturating_duration_since(at);
        u64::try_from(elapsed.as_millis()).ok()
    });
    for outcome in outcomes {
        let end = outcome.end.as_ref();
        let phase = end.map_or("none", |end| end.phase().as_str_name());
        let reason = end.map_or("", |end| end.reason.as_str());
        let as_expected = outcome.case.bad == (phase == MovePhase::TakenBack.as_str_name());
        if !as_expected {
            eprintln!("{}: {phase} {reason}", outcome.case.name);
        }
    }
    let sum = |count: fn(&Tally) -> u64| -> u64 {
        outcomes.iter().map(|outcome| count(&outcome.tally)).sum()
    };
    Report::from([
        ("good_total", good.len().into()),
        ("good_in_time", in_time.count().into()),
        ("good_taken_back", ended(&good, MovePhase::TakenBack).into()),
        ("bad_total", bad.len().into()),
        ("bad_taken_back", ended(&bad, MovePhase::TakenBack).into()),
        ("bad_share_max", fraction(shares.max().unwrap_or(0)).into()),
        ("requests_after_fault_p95", p95(after.collect()).into()),
        ("take_back_p95_ms", p95(times.collect()).into()),
        ("answers", sum(|tally| tally.answers).into()),
        ("answers_failed", sum(|tally| tally.failed).into()),
        ("answers_wrong", sum(|tally| tally.wrong).into()),
    ])
}
