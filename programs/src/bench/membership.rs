//! Scenario `membership`: time until all entries have detected the death of one, and, for several
//! fleet sizes, all traffic between peers and the processor time of the whole process.

use std::error::Error;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use medlarfall_serving::entry::Entry;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::time::sleep;

use super::{Report, milliseconds};
use crate::cluster::{self, Cluster, Plan};

/// Number of entries of each cluster; all are in one failure domain.
const SIZES: [usize; 3] = [4, 12, 36];

/// Number of entries that are killed in each cluster.
const DEATHS: usize = 3;

/// Period over which bytes and processor time are counted.
const COUNTING_PERIOD: Duration = Duration::from_secs(8);

/// Upper bound of the pause before an entry is killed, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_000;

/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measurements of one cluster: bytes sent per second and processor time in percent, both averaged
/// over the entries, and pairs of an entry and a live peer that it wrongly considers dead.
struct Measurements {
    bytes: f64,
    cpu: f64,
    false_deaths: usize,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Report, Box<dyn Error>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut detected = Histogram::<u64>::new(3)?;
    let mut measured = Vec::new();
    for size in SIZES {
        measured.push(measure(size, &mut random, &mut detected).await?);
    }
    let false_deaths: usize = measured.iter().map(|cluster| cluster.false_deaths).sum();
    let per_cluster = |value: fn(&Measurements) -> f64| -> Value {
        measured
            .iter()
            .map(|cluster| rounded(value(cluster)))
            .collect()
    };
    let slope = |value: fn(&Measurements) -> f64| {
        let first = measured.first().map_or(0.0, value);
        let last = measured.last().map_or(0.0, value);
        let sizes = SIZES[SIZES.len() - 1] - SIZES[0];
        rounded((last - first) / f64::from(u32::try_from(sizes).unwrap_or(1)))
    };
    Ok(Report::from([
        ("sizes", SIZES.to_vec().into()),
        (
            "detect_p50_ms",
            milliseconds(detected.value_at_quantile(0.5)),
        ),
        (
            "detect_p95_ms",
            milliseconds(detected.value_at_quantile(0.95)),
        ),
        ("false_deaths", false_deaths.into()),
        (
            "bytes_per_s_per_entry",
            per_cluster(|cluster| cluster.bytes),
        ),
        (
            "bytes_slope_per_entry",
            slope(|cluster| cluster.bytes).into(),
        ),
        ("cpu_percent_per_entry", per_cluster(|cluster| cluster.cpu)),
        ("cpu_slope_per_entry", slope(|cluster| cluster.cpu).into()),
    ]))
}

/// Measures one cluster.
async fn measure(
    size: usize,
    random: &mut ChaCha8Rng,
    detected: &mut Histogram<u64>,
) -> Result<Measurements, Box<dyn Error>> {
    let plan = Plan {
        failure_domains: 1,
        entries: size,
        engines: 1,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await?;
    let mut live: Vec<&Entry> = cluster.entries.iter().collect();
    cluster::wait_until("the entries know each other", || {
        live.iter().all(|entry| live_peers(entry) == size - 1)
    })
    .await?;
    let (bytes, cpu) = (peer_bytes(&cluster), processor_seconds()?);
    sleep(COUNTING_PERIOD).await;
    let bytes = peer_bytes(&cluster) - bytes;
    let cpu = processor_seconds()? - cpu;
    live.shuffle(random);
    for _ in 0..DEATHS {
        sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS))).await;
        let Some(killed) = live.pop() else { break };
        let elapsed = detection_time(killed, &live).await?;
        detected.record(u64::try_from(elapsed.as_micros())?)?;
    }
    let false_deaths = live
        .iter()
        .map(|entry| live.len() - 1 - live_peers(entry).min(live.len() - 1));
    let false_deaths = false_deaths.sum();
    for entry in live {
        entry.kill();
    }
    let entry_seconds = COUNTING_PERIOD.as_secs_f64() * f64::from(u32::try_from(size)?);
    Ok(Measurements {
        bytes: f64::from(u32::try_from(bytes)?) / entry_seconds,
        cpu: 100.0 * cpu / entry_seconds,
        false_deaths,
    })
}

/// Kills an entry; returns the time until every other entry has detected its death.
async fn detection_time(killed: &Entry, live: &[&Entry]) -> Result<Duration, Box<dyn Error>> {
    let name = &killed.context.settings.entry.name;
    let started = Instant::now();
    killed.kill();
    cluster::wait_until("every entry has detected the death", || {
        live.iter().all(|entry| {
            let membership = entry.context.membership.view();
            let membership = membership.borrow();
            membership
                .neighbours
                .iter()
                .all(|member| member.name != *name)
        })
    })
    .await?;
    Ok(started.elapsed())
}

/// Returns the number of peers that an entry considers live.
fn live_peers(entry: &Entry) -> usize {
    entry.context.membership.view().borrow().neighbours.len()
}

/// Returns the bytes that all entries have sent to peers.
fn peer_bytes(cluster: &Cluster) -> u64 {
    let entries = cluster.entries.iter();
    entries
        .map(|entry| entry.context.peers.traffic().bytes().1)
        .sum()
}

/// Returns the processor time of this process in seconds; it includes the stand-ins.
fn processor_seconds() -> Result<f64, Box<dyn Error>> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields = fields.split_whitespace().skip(11).take(2);
    let ticks: u32 = fields.map(|field| field.parse::<u32>().unwrap_or(0)).sum();
    Ok(f64::from(ticks) / TICKS_PER_SECOND)
}

/// Rounds a value to three decimals.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
