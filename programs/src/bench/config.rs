//! Scenario `config`: several operators change one declaration concurrently while the platform
//! fails. Measures how soon a change is in force at every entry, and the idle load on the platform
//! for several fleet sizes and between peers for the largest.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use medlarfall_schema::declaration::Service;
use medlarfall_schema::operator::ApplyRequest;
use medlarfall_serving::entry::Entry;
use medlarfall_standin::platform::Faults;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tonic::Code;

use super::{Report, milliseconds};
use crate::cluster::{Cluster, Plan, TRACKER, tracker};

/// Failure domains of each cluster.
const FAILURE_DOMAINS: usize = 3;

/// Entries of the cluster whose declarations are changed.
const ENTRIES: usize = 9;

/// Operators that change the declaration concurrently.
const OPERATORS: u64 = 4;

/// Accepted changes after which an operator stops.
const CHANGES: u64 = 25;

/// Time after the start of a cluster before its idle load is measured.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Period over which calls and bytes are counted.
const COUNTING_PERIOD: Duration = Duration::from_secs(20);

/// Time for the last changes to reach every entry before the evaluation.
const PROPAGATION_TIME: Duration = Duration::from_secs(5);

/// Upper bound of an operator's pause between changes, in milliseconds.
const MAX_PAUSE_MS: u64 = 200;

/// Observations of one entry: when each revision came into force and the change that wrote it, and
/// how often an older revision replaced a newer one.
#[derive(Default)]
struct Observations {
    revisions: BTreeMap<u64, (Instant, String)>,
    reverts: u64,
}

/// A change that was accepted.
struct Accepted {
    revision: u64,
    change_id: String,
    at: Instant,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Report, Box<dyn Error>> {
    let mut report = measure_race(seed).await?;
    for (entries, name) in [
        (3, "store_calls_per_s_3"),
        (9, "store_calls_per_s_9"),
        (27, "store_calls_per_s_27"),
    ] {
        let (calls, bytes) = measure_idle(entries).await?;
        report.insert(name, calls.into());
        report.insert("peer_bytes_per_s_per_entry", bytes.into());
    }
    Ok(report)
}

/// Returns the plan of a cluster.
fn plan(entries: usize) -> Plan {
    Plan {
        failure_domains: FAILURE_DOMAINS,
        entries,
        engines: FAILURE_DOMAINS,
        ..Plan::default()
    }
}

/// Measures an idle cluster: the reads of declarations and instances on the platform per second,
/// and the bytes that each entry sends to peers per second.
async fn measure_idle(entries: usize) -> Result<(f64, f64), Box<dyn Error>> {
    let cluster = Cluster::start(plan(entries)).await?;
    sleep(SETTLE_TIME).await;
    let (calls, bytes) = (platform_calls(&cluster), peer_bytes(&cluster));
    sleep(COUNTING_PERIOD).await;
    let calls = platform_calls(&cluster) - calls;
    let bytes = peer_bytes(&cluster) - bytes;
    cluster.entries.iter().for_each(Entry::kill);
    let seconds = COUNTING_PERIOD.as_secs_f64();
    let entries = f64::from(u32::try_from(entries)?);
    let calls = f64::from(u32::try_from(calls)?) / seconds;
    let bytes = f64::from(u32::try_from(bytes)?) / seconds / entries;
    Ok((calls, bytes.round()))
}

/// Returns the number of reads of declarations and instances that the platform has counted.
fn platform_calls(cluster: &Cluster) -> u64 {
    let stats = cluster.platform.stats();
    stats.declaration_reads + stats.instance_reads
}

/// Returns the bytes that the entries have sent to each other.
fn peer_bytes(cluster: &Cluster) -> u64 {
    let entries = cluster.entries.iter();
    entries
        .map(|entry| entry.context.peers.traffic().bytes().1)
        .sum()
}

/// Runs operators that change one service concurrently while the platform fails.
async fn measure_race(seed: u64) -> Result<Report, Box<dyn Error>> {
    let cluster = Arc::new(Cluster::start(plan(ENTRIES)).await?);
    let observations: Vec<Arc<Mutex<Observations>>> = cluster.entries.iter().map(observe).collect();
    let mut operators = JoinSet::new();
    for operator in 0..OPERATORS {
        let random = ChaCha8Rng::seed_from_u64(seed * OPERATORS + operator);
        operators.spawn(run_operator(Arc::clone(&cluster), operator, random));
    }
    let faults = tokio::spawn(inject_faults(Arc::clone(&cluster), seed));
    let mut accepted = Vec::new();
    while let Some(done) = operators.join_next().await {
        accepted.extend(done?.map_err(|status| status.message().to_owned())?);
    }
    faults.abort();
    cluster.platform.set_faults(Faults::default());
    sleep(PROPAGATION_TIME).await;
    let report = evaluate(&accepted, &observations)?;
    cluster.entries.iter().for_each(Entry::kill);
    Ok(report)
}

/// Changes the platform's faults at random intervals until the task is aborted.
async fn inject_faults(cluster: Arc<Cluster>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let entry = random.random_range(0..ENTRIES);
        let kind = random.random_range(0..6);
        cluster.platform.set_faults(Faults {
            down: kind == 0,
            slow_ms: if kind == 1 { 300 } else { 0 },
            drop_answers: if kind < 4 {
                random.random_range(0..3)
            } else {
                0
            },
            stale_reads: if kind > 3 {
                random.random_range(0..5)
            } else {
                0
            },
            cut_off: vec![format!("entry-{entry}")],
            ..Faults::default()
        });
        sleep(Duration::from_millis(random.random_range(100..1_000))).await;
    }
}

/// Submits changes until [`CHANGES`] of them are accepted.
async fn run_operator(
    cluster: Arc<Cluster>,
    operator: u64,
    mut random: ChaCha8Rng,
) -> Result<Vec<Accepted>, tonic::Status> {
    let mut accepted = Vec::new();
    while accepted.len() < usize::try_from(CHANGES).unwrap_or_default() {
        sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS))).await;
        let entry = random.random_range(0..ENTRIES);
        let change_id = format!("{operator}-{}-{:x}", accepted.len(), random.random::<u32>());
        let declarations = cluster.entries[entry].context.declarations.borrow().clone();
        let revision = declarations.revision(TRACKER).unwrap_or_default();
        let service = Service {
            revision,
            ..tracker("v1")
        };
        let stored = submit_change(&cluster, &mut random, service, &change_id).await?;
        accepted.extend(stored.map(|revision| Accepted {
            revision,
            change_id,
            at: Instant::now(),
        }));
    }
    Ok(accepted)
}

/// Sends a change to random entries until its outcome is known; returns its revision if it was
/// accepted.
async fn submit_change(
    cluster: &Cluster,
    random: &mut ChaCha8Rng,
    service: Service,
    change_id: &str,
) -> Result<Option<u64>, tonic::Status> {
    loop {
        let entry = random.random_range(0..ENTRIES);
        let request = ApplyRequest {
            service: Some(service.clone()),
            change_id: change_id.to_owned(),
            ..ApplyRequest::default()
        };
        let operator = cluster.operator(entry);
        let mut operator = operator.map_err(|error| tonic::Status::internal(error.to_string()))?;
        match operator.apply_request(request).await {
            Ok(reply) => return Ok(reply.service.map(|service| service.revision)),
            Err(status) if status.code() == Code::Aborted => return Ok(None),
            Err(status) if matches!(status.code(), Code::Unknown | Code::Unavailable) => {}
            Err(status) => return Err(status),
        }
    }
}

/// Starts to record the declarations that come into force at an entry.
fn observe(entry: &Entry) -> Arc<Mutex<Observations>> {
    let observations = Arc::new(Mutex::new(Observations::default()));
    let mut declarations = entry.context.declarations.clone();
    let recorded = Arc::clone(&observations);
    tokio::spawn(async move {
        while declarations.changed().await.is_ok() {
            let service = declarations.borrow_and_update().service(TRACKER).cloned();
            let mut recorded = recorded.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(service) = service {
                recorded.record(&service);
            }
        }
    });
    observations
}

impl Observations {
    /// Records a declaration that has come into force, and the earlier changes in its history.
    fn record(&mut self, service: &Service) {
        let highest = self.revisions.last_key_value().map_or(0, |(key, _)| *key);
        self.reverts += u64::from(service.revision < highest);
        for past in &service.history {
            self.revisions
                .entry(past.revision)
                .or_insert_with(|| (Instant::now(), past.change_id.clone()));
        }
    }
}

/// Compares the accepted changes with the observations of every entry.
fn evaluate(
    accepted: &[Accepted],
    observations: &[Arc<Mutex<Observations>>],
) -> Result<Report, Box<dyn Error>> {
    let mut in_force = Histogram::<u64>::new(3)?;
    let mut lost = 0_u64;
    let mut reverts = 0;
    for observed in observations {
        reverts += observed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .reverts;
    }
    for change in accepted {
        let mut latest = Some(change.at);
        for observed in observations {
            let observed = observed.lock().unwrap_or_else(PoisonError::into_inner);
            let observation = observed.revisions.get(&change.revision);
            let at = observation.filter(|(_, id)| *id == change.change_id);
            latest = latest.and_then(|latest| at.map(|(at, _)| latest.max(*at)));
        }
        match latest {
            Some(latest) => in_force.record(micros(latest - change.at))?,
            None => lost += 1,
        }
    }
    let revisions: BTreeSet<u64> = accepted.iter().map(|change| change.revision).collect();
    let duplicates = accepted.len() - revisions.len();
    Ok(Report::from([
        ("changes", accepted.len().into()),
        (
            "in_force_p50_ms",
            milliseconds(in_force.value_at_quantile(0.5)),
        ),
        (
            "in_force_p99_ms",
            milliseconds(in_force.value_at_quantile(0.99)),
        ),
        ("in_force_max_ms", milliseconds(in_force.max())),
        ("reverts", reverts.into()),
        ("lost", lost.into()),
        ("conflicts_wrongly_accepted", duplicates.into()),
    ]))
}

/// Returns a duration in whole microseconds.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
