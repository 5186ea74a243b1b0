//! Scenario `membership`: how soon deaths are known, and what it costs as the fleet grows.

use std::error::Error;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use medlarfall_serving::entry::Entry;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::time::sleep;

use super::{Figures, milliseconds};
use crate::cluster::{self, Cluster, Plan};

/// Entries of the clusters, all in one failure domain.
const SIZES: [usize; 3] = [4, 12, 36];

/// Entries of each cluster that are killed.
const DEATHS: usize = 3;

/// Time over which bytes and processor time are counted.
const COUNTED: Duration = Duration::from_secs(8);

/// Longest pause before a death, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// Ticks of the processor clock in `/proc` each second.
const TICKS_PER_SECOND: f64 = 100.0;

/// What one cluster showed.
struct Measured {
    bytes: f64,
    cpu: f64,
    false_deaths: usize,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Figures, Box<dyn Error>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut detected = Histogram::<u64>::new(3)?;
    let mut measured = Vec::new();
    for size in SIZES {
        measured.push(measure(size, &mut random, &mut detected).await?);
    }
    let false_deaths: usize = measured.iter().map(|one| one.false_deaths).sum();
    let each = |value: fn(&Measured) -> f64| -> Value {
        measured.iter().map(|one| rounded(value(one))).collect()
    };
    let slope = |value: fn(&Measured) -> f64| {
        let first = measured.first().map_or(0.0, value);
        let last = measured.last().map_or(0.0, value);
        let sizes = SIZES[SIZES.len() - 1] - SIZES[0];
        rounded((last - first) / f64::from(u32::try_from(sizes).unwrap_or(1)))
    };
    Ok(Figures::from([
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
        ("bytes_per_s_per_entry", each(|one| one.bytes)),
        ("bytes_slope_per_entry", slope(|one| one.bytes).into()),
        ("cpu_percent_per_entry", each(|one| one.cpu)),
        ("cpu_slope_per_entry", slope(|one| one.cpu).into()),
    ]))
}

/// Measures one cluster.
async fn measure(
    size: usize,
    random: &mut ChaCha8Rng,
    detected: &mut Histogram<u64>,
) -> Result<Measured, Box<dyn Error>> {
    let plan = Plan {
        failure_domains: 1,
        entries: size,
        engines: 1,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await?;
    let mut live: Vec<&Entry> = cluster.entries.iter().collect();
    cluster::wait_until("the entries know each other", || {
        live.iter().all(|entry| known(entry) == size - 1)
    })
    .await?;
    let (bytes, cpu) = (bytes(&cluster), cpu()?);
    sleep(COUNTED).await;
    let bytes = self::bytes(&cluster) - bytes;
    let cpu = self::cpu()? - cpu;
    live.shuffle(random);
    for _ in 0..DEATHS {
        sleep(Duration::from_millis(random.random_range(0..PAUSE_MS))).await;
        let Some(dead) = live.pop() else { break };
        let took = death(dead, &live).await?;
        detected.record(u64::try_from(took.as_micros())?)?;
    }
    let false_deaths = live
        .iter()
        .map(|entry| live.len() - 1 - known(entry).min(live.len() - 1));
    let false_deaths = false_deaths.sum();
    for entry in live {
        entry.kill();
    }
    let share = COUNTED.as_secs_f64() * f64::from(u32::try_from(size)?);
    Ok(Measured {
        bytes: f64::from(u32::try_from(bytes)?) / share,
        cpu: 100.0 * cpu / share,
        false_deaths,
    })
}

/// Kills an entry and returns how long it took until every other held it to be down.
async fn death(dead: &Entry, live: &[&Entry]) -> Result<Duration, Box<dyn Error>> {
    let name = &dead.context.settings.entry.name;
    let started = Instant::now();
    dead.kill();
    cluster::wait_until("the death is known to all", || {
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

/// Returns how many others an entry holds to be up.
fn known(entry: &Entry) -> usize {
    entry.context.membership.view().borrow().neighbours.len()
}

/// Returns the bytes that the entries have sent to each other.
fn bytes(cluster: &Cluster) -> u64 {
    let entries = cluster.entries.iter();
    entries
        .map(|entry| entry.context.peers.traffic().bytes().1)
        .sum()
}

/// Returns the processor time of this process, in seconds: entries and stand-ins.
fn cpu() -> Result<f64, Box<dyn Error>> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields = fields.split_whitespace().skip(11).take(2);
    let ticks: u32 = fields.map(|field| field.parse::<u32>().unwrap_or(0)).sum();
    Ok(f64::from(ticks) / TICKS_PER_SECOND)
}

/// Returns a value with three decimals.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
