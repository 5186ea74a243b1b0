//! Scenario `moves`: good versions that must be done in time and bad ones that must be taken back,
//! against a ramp that goes by the clock alone.

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

use super::Figures;
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

/// Moves that run at once, each on a cluster of its own.
const AT_ONCE: usize = 3;

/// Time that the operator gives each move.
const WITHIN: Duration = Duration::from_secs(20);

/// Longest time that the operator waits for the end of a move.
const WATCH_LIMIT: Duration = Duration::from_secs(25);

/// Pause between two looks at the stand-ins.
const LOOK: Duration = Duration::from_millis(2);

/// Time between two tokens of a generation.
const TOKEN_INTERVAL: Duration = Duration::from_millis(3);

/// What one move came to.
struct Outcome {
    case: Case,
    /// The end that the operator was told; absent if none came.
    end: Option<MoveState>,
    in_time: bool,
    seen: Seen,
    tally: Tally,
    /// Requests that met the fault.
    faulted: u64,
}

/// What was seen of the new version's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Requests to the new version, and to both, when the fault first showed.
    at_fault: Option<(u64, u64, Instant)>,
    /// When no entry sent requests to the new version any more.
    stopped: Option<Instant>,
    /// Requests to the new version in the end.
    requests: u64,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Figures, Box<dyn Error>> {
    let moves = measure(seed, false).await?;
    let naive = measure(seed, true).await?;
    let mut figures = summarize(&moves);
    let bad = |outcomes: &[Outcome]| -> u64 {
        let bad = outcomes.iter().filter(|outcome| outcome.case.bad);
        bad.map(|outcome| outcome.faulted).sum()
    };
    figures.insert("bad_requests", bad(&moves).into());
    figures.insert("naive_bad_requests", bad(&naive).into());
    Ok(figures)
}

/// Runs every case several times, in an order drawn from the seed.
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
        .buffer_unordered(AT_ONCE)
        .collect()
        .await;
    outcomes.into_iter().collect()
}

/// Returns the settings of moves at each entry.
fn adjust(_: usize, settings: &mut Settings) {
    settings.moves.plan = schedule::Plan {
        shares: vec![50, 250, 500, 1_000],
        dwell_floor_ms: 300,
        dwell_ceiling_ms: 500,
        requests: 15,
    };
}

/// Returns the settings of a ramp that goes by the clock alone.
fn adjust_naive(index: usize, settings: &mut Settings) {
    adjust(index, settings);
    settings.moves.plan.requests = 0;
    settings.moves.tolerance.false_alarm = 0.0;
}

/// Brings up a cluster with two backend servers of each version.
async fn bring_up(case: Case, naive: bool) -> Result<Cluster, Box<dyn Error>> {
    let plan = Plan {
        engines: 2,
        services: 2,
        engine: engine::Config {
            token_interval: TOKEN_INTERVAL,
            ..engine::Config::default()
        },
        adjust: if naive { adjust_naive } else { adjust },
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
    cluster::wait("every entry knows the new version", || {
        let entries = &mut cluster.entries.iter();
        entries.all(|entry| entry.context.directory.borrow().iter().count() == known)
    })
    .await?;
    case.fault.set(&cluster);
    Ok(cluster)
}

/// Runs one move under load.
async fn run_one(case: Case, seed: u64, naive: bool) -> Result<Outcome, Box<dyn Error>> {
    let cluster = Arc::new(bring_up(case, naive).await?);
    let service = case.fault.service();
    let load = Load::start(&cluster, service, seed);
    let deadline = deadline_ms(WITHIN);
    let mut operator = cluster.operator(0)?;
    let started = operator
        .start_move(service, "v2", deadline)
        .await
        .map_err(|status| status.message().to_owned())?;
    if case.dies
        && let Some(plain) = cluster.services.last()
    {
        plain.service.lifecycle().crash();
    }
    let (verdict, sight) = tokio::join!(
        watch(&cluster, service, &started.move_id),
        look(&cluster, service)
    );
    let in_time = deadline_ms(Duration::ZERO) <= deadline;
    let tally = load.stop().await;
    let (_, _, faulted) = counts(&cluster, service);
    cluster.entries.iter().for_each(Entry::kill);
    Ok(Outcome {
        case,
        end: verdict,
        in_time,
        seen: sight,
        tally,
        faulted,
    })
}

/// Watches a move at another entry than the one that started it; returns the end that it told.
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

/// Looks at the stand-ins until no entry moves any more.
async fn look(cluster: &Cluster, service: &str) -> Seen {
    let mut seen = Seen::default();
    let limit = Instant::now() + WATCH_LIMIT;
    loop {
        let (old, new, faulted) = counts(cluster, service);
        if faulted > 0 && seen.at_fault.is_none() {
            seen.at_fault = Some((new, old + new, Instant::now()));
        }
        let records: Vec<_> = cluster
            .entries
            .iter()
            .filter_map(|entry| entry.context.moves.last(service))
            .collect();
        let all = records.len() == cluster.entries.len();
        if all && seen.stopped.is_none() && records.iter().all(|record| record.share() == 0) {
            seen.stopped = Some(Instant::now());
        }
        if all && records.iter().all(|record| record.phase.ended()) || Instant::now() > limit {
            let (_, new, _) = counts(cluster, service);
            seen.requests = new;
            return seen;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Returns the requests to the old and to the new version, and those that met a fault of the new.
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
        for plain in &cluster.services {
            let stats = plain.service.stats();
            add(&plain.instance.version, stats.requests, stats.faulted);
        }
    }
    counts
}

/// Returns the value that 95 % of the values do not exceed.
fn p95(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    let index = (values.len() * 95).div_ceil(100);
    values.get(index.saturating_sub(1)).copied().unwrap_or(0)
}

/// Returns thousandths as a fraction.
fn fraction(thousandths: u64) -> f64 {
    u32::try_from(thousandths).map_or(1.0, f64::from) / 1_000.0
}

/// Returns the figures of all moves.
fn summarize(outcomes: &[Outcome]) -> Figures {
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
        let (new, all, _) = outcome.seen.at_fault?;
        Some(new * 1_000 / all.max(1))
    });
    let after = bad.iter().filter_map(|outcome| {
        let (new, _, _) = outcome.seen.at_fault?;
        Some(outcome.seen.requests.saturating_sub(new))
    });
    let times = bad.iter().filter_map(|outcome| {
        let (_, _, at) = outcome.seen.at_fault?;
        let taken = outcome.seen.stopped?.saturating_duration_since(at);
        u64::try_from(taken.as_millis()).ok()
    });
    for outcome in outcomes {
        let end = outcome.end.as_ref();
        let phase = end.map_or("none", |end| end.phase().as_str_name());
        let reason = end.map_or("", |end| end.reason.as_str());
        let right = outcome.case.bad == (phase == MovePhase::TakenBack.as_str_name());
        if !right {
            eprintln!("{}: {phase} {reason}", outcome.case.name);
        }
    }
    let sum = |count: fn(&Tally) -> u64| -> u64 {
        outcomes.iter().map(|outcome| count(&outcome.tally)).sum()
    };
    Figures::from([
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
