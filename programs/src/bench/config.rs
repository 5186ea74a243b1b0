//! Scenario `config`: racing operators and a faulty platform; how soon a change is in force
//! everywhere, and what the platform is asked as the fleet grows.

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

use super::{Figures, milliseconds};
use crate::cluster::{Cluster, Plan, TRACKER, tracker};

/// Failure domains of each cluster.
const FAILURE_DOMAINS: usize = 3;

/// Entries of the cluster whose declarations are changed.
const ENTRIES: usize = 9;

/// Operators that race.
const OPERATORS: u64 = 4;

/// Changes that each operator gets accepted.
const CHANGES: u64 = 25;

/// Time in which a started cluster comes to rest.
const SETTLE: Duration = Duration::from_secs(12);

/// Time over which calls and bytes are counted.
const COUNTED: Duration = Duration::from_secs(20);

/// Time after the last change in which it comes into force.
const FINISH: Duration = Duration::from_secs(5);

/// Longest pause of an operator, in milliseconds.
const PAUSE_MS: u64 = 200;

/// What an entry showed: when each revision came into force, and which change had written it.
#[derive(Default)]
struct Seen {
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
pub(super) async fn run(seed: u64) -> Result<Figures, Box<dyn Error>> {
    let mut figures = race(seed).await?;
    for (entries, name) in [
        (3, "store_calls_per_s_3"),
        (9, "store_calls_per_s_9"),
        (27, "store_calls_per_s_27"),
    ] {
        let (calls, bytes) = rest(entries).await?;
        figures.insert(name, calls.into());
        figures.insert("peer_bytes_per_s_per_entry", bytes.into());
    }
    Ok(figures)
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

/// Counts the platform's calls and the peers' bytes, each second, while nothing changes.
async fn rest(entries: usize) -> Result<(f64, f64), Box<dyn Error>> {
    let cluster = Cluster::start(plan(entries)).await?;
    sleep(SETTLE).await;
    let (calls, bytes) = (calls(&cluster), bytes(&cluster));
    sleep(COUNTED).await;
    let calls = self::calls(&cluster) - calls;
    let bytes = self::bytes(&cluster) - bytes;
    cluster.entries.iter().for_each(Entry::kill);
    let seconds = COUNTED.as_secs_f64();
    let entries = f64::from(u32::try_from(entries)?);
    let calls = f64::from(u32::try_from(calls)?) / seconds;
    let bytes = f64::from(u32::try_from(bytes)?) / seconds / entries;
    Ok((calls, bytes.round()))
}

/// Returns the calls for declarations and instances that the platform has counted.
fn calls(cluster: &Cluster) -> u64 {
    let stats = cluster.platform.stats();
    stats.declaration_reads + stats.instance_reads
}

/// Returns the bytes that the entries have sent to each other.
fn bytes(cluster: &Cluster) -> u64 {
    let entries = cluster.entries.iter();
    entries
        .map(|entry| entry.context.peers.traffic().bytes().1)
        .sum()
}

/// Lets operators race on one service while the platform fails in every way.
async fn race(seed: u64) -> Result<Figures, Box<dyn Error>> {
    let cluster = Arc::new(Cluster::start(plan(ENTRIES)).await?);
    let notes: Vec<Arc<Mutex<Seen>>> = cluster.entries.iter().map(observe).collect();
    let mut operators = JoinSet::new();
    for operator in 0..OPERATORS {
        let random = ChaCha8Rng::seed_from_u64(seed * OPERATORS + operator);
        operators.spawn(operate(Arc::clone(&cluster), operator, random));
    }
    let faults = tokio::spawn(trouble(Arc::clone(&cluster), seed));
    let mut accepted = Vec::new();
    while let Some(done) = operators.join_next().await {
        accepted.extend(done?.map_err(|status| status.message().to_owned())?);
    }
    faults.abort();
    cluster.platform.set_faults(Faults::default());
    sleep(FINISH).await;
    let figures = judge(&accepted, &notes)?;
    cluster.entries.iter().for_each(Entry::kill);
    Ok(figures)
}

/// Changes the platform's faults again and again.
async fn trouble(cluster: Arc<Cluster>, seed: u64) {
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

/// Gets changes accepted, each tried again until its outcome is known.
async fn operate(
    cluster: Arc<Cluster>,
    operator: u64,
    mut random: ChaCha8Rng,
) -> Result<Vec<Accepted>, tonic::Status> {
    let mut accepted = Vec::new();
    while accepted.len() < usize::try_from(CHANGES).unwrap_or_default() {
        sleep(Duration::from_millis(random.random_range(0..PAUSE_MS))).await;
        let entry = random.random_range(0..ENTRIES);
        let change_id = format!("{operator}-{}-{:x}", accepted.len(), random.random::<u32>());
        let declarations = cluster.entries[entry].context.declarations.borrow().clone();
        let revision = declarations.revision(TRACKER).unwrap_or_default();
        let service = Service {
            revision,
            ..tracker("v1")
        };
        let stored = change(&cluster, &mut random, service, &change_id).await?;
        accepted.extend(stored.map(|revision| Accepted {
            revision,
            change_id,
            at: Instant::now(),
        }));
    }
    Ok(accepted)
}

/// Sends a change, to any entry, until its outcome is known; returns its revision if accepted.
async fn change(
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

/// Notes what an entry shows.
fn observe(entry: &Entry) -> Arc<Mutex<Seen>> {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut declarations = entry.context.declarations.clone();
    let notes = Arc::clone(&seen);
    tokio::spawn(async move {
        while declarations.changed().await.is_ok() {
            let service = declarations.borrow_and_update().service(TRACKER).cloned();
            let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(service) = service {
                notes.note(&service);
            }
        }
    });
    seen
}

impl Seen {
    /// Notes a declaration that is in force now, and the changes before it that it remembers.
    fn note(&mut self, service: &Service) {
        let highest = self.revisions.last_key_value().map_or(0, |(key, _)| *key);
        self.reverts += u64::from(service.revision < highest);
        for past in &service.history {
            self.revisions
                .entry(past.revision)
                .or_insert_with(|| (Instant::now(), past.change_id.clone()));
        }
    }
}

/// Returns the figures of a race.
fn judge(accepted: &[Accepted], seen: &[Arc<Mutex<Seen>>]) -> Result<Figures, Box<dyn Error>> {
    let mut in_force = Histogram::<u64>::new(3)?;
    let mut lost = 0_u64;
    let mut reverts = 0;
    for seen in seen {
        reverts += seen.lock().unwrap_or_else(PoisonError::into_inner).reverts;
    }
    for change in accepted {
        let mut latest = Some(change.at);
        for seen in seen {
            let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
            let note = seen.revisions.get(&change.revision);
            let at = note.filter(|(_, id)| *id == change.change_id);
            latest = latest.and_then(|latest| at.map(|(at, _)| latest.max(*at)));
        }
        match latest {
            Some(latest) => in_force.record(micros(latest - change.at))?,
            None => lost += 1,
        }
    }
    let revisions: BTreeSet<u64> = accepted.iter().map(|change| change.revision).collect();
    let twice = accepted.len() - revisions.len();
    Ok(Figures::from([
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
        ("conflicts_wrongly_accepted", twice.into()),
    ]))
}

/// Returns a duration in whole microseconds.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
