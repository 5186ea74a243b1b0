//! The load and experiment tool: each scenario runs on an embedded cluster and returns figures.

use std::collections::BTreeMap;
use std::error::Error;

use medlarfall_serving::backend::Server;
use medlarfall_standin::platform::Instance;
use serde_json::Value;

mod at_most_once;
mod baseline;
mod config;
mod decisions;
mod moves;
mod resume;
mod routing;
mod slow_readers;
mod stops;
mod stopwatch;

/// Figures of a run, by name.
pub type Figures = BTreeMap<&'static str, Value>;

/// Names of the scenarios.
pub const SCENARIOS: &[&str] = &[
    "at-most-once",
    "baseline",
    "config",
    "decisions",
    "moves",
    "resume",
    "routing",
    "slow-readers",
    "stops",
];

/// Runs a scenario and prints its figures: as a table, or as one JSON object on the last line.
///
/// # Errors
///
/// Returns what could not be started, or that no such scenario exists.
pub async fn run(scenario: &str, seed: u64, json: bool) -> Result<(), Box<dyn Error>> {
    let figures = figures(scenario, seed).await?;
    if json {
        println!("{}", serde_json::to_string(&figures)?);
        return Ok(());
    }
    println!("scenario {scenario}, seed {seed}");
    for (name, value) in figures {
        println!("{name:<32} {value}");
    }
    Ok(())
}

/// Runs a scenario.
async fn figures(scenario: &str, seed: u64) -> Result<Figures, Box<dyn Error>> {
    match scenario {
        "at-most-once" => at_most_once::run(seed).await,
        "decisions" => decisions::run(seed).await,
        "baseline" => baseline::run(seed).await,
        "config" => config::run(seed).await,
        "stops" => stops::run(seed).await,
        "resume" => resume::run(seed).await,
        "routing" => routing::run(seed).await,
        "slow-readers" => slow_readers::run(seed).await,
        "moves" => moves::run(seed).await,
        _ => Err(format!(
            "no scenario `{scenario}`: write one of {}",
            SCENARIOS.join(", ")
        )
        .into()),
    }
}

/// Returns a figure in milliseconds with three decimals from one in microseconds.
fn milliseconds(microseconds: u64) -> Value {
    let text = format!("{}.{:03}", microseconds / 1_000, microseconds % 1_000);
    text.parse::<f64>().map_or(Value::Null, Value::from)
}

/// Returns a stand-in's place on the instance list as a backend server.
fn server(instance: &Instance) -> Option<Server> {
    let json = serde_json::to_value(instance).ok()?;
    let instance: medlarfall_serving::platform::Instance = serde_json::from_value(json).ok()?;
    Server::try_from(instance).ok()
}

/// Returns `part / whole`, or 0 if there is no whole.
fn ratio(part: u64, whole: u64) -> f64 {
    let as_float = |value: u64| u32::try_from(value).map_or(f64::from(u32::MAX), f64::from);
    if whole == 0 {
        0.0
    } else {
        as_float(part) / as_float(whole)
    }
}
