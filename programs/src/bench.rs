//! Benchmarks: each scenario loads an embedded cluster or a part of an entry and reports
//! measurements.

use std::collections::BTreeMap;
use std::error::Error;

use medlarfall_serving::backend::Server;
use medlarfall_standin::platform::Instance;
use serde_json::Value;

mod at_most_once;
mod baseline;
mod config;
mod decisions;
mod membership;
mod moves;
mod resume;
mod routing;
mod slow_readers;
mod stops;
mod stopwatch;

/// Measurements of a run, by name.
pub type Report = BTreeMap<&'static str, Value>;

/// Names of the scenarios.
pub const SCENARIOS: &[&str] = &[
    "at-most-once",
    "baseline",
    "config",
    "decisions",
    "membership",
    "moves",
    "resume",
    "routing",
    "slow-readers",
    "stops",
];

/// Runs a scenario and prints its measurements, as a table or as a JSON object on one line.
///
/// # Errors
///
/// Returns the error that ended the scenario, or that no scenario has this name.
pub async fn run(scenario: &str, seed: u64, json: bool) -> Result<(), Box<dyn Error>> {
    let report = run_scenario(scenario, seed).await?;
    if json {
        println!("{}", serde_json::to_string(&report)?);
        return Ok(());
    }
    println!("scenario {scenario}, seed {seed}");
    for (name, value) in report {
        println!("{name:<32} {value}");
    }
    Ok(())
}

/// Runs a scenario and returns its measurements.
async fn run_scenario(scenario: &str, seed: u64) -> Result<Report, Box<dyn Error>> {
    match scenario {
        "at-most-once" => at_most_once::run(seed).await,
        "decisions" => decisions::run(seed).await,
        "baseline" => baseline::run(seed).await,
        "config" => config::run(seed).await,
        "stops" => stops::run(seed).await,
        "membership" => membership::run(seed).await,
        "resume" => resume::run(seed).await,
        "routing" => routing::run(seed).await,
        "slow-readers" => slow_readers::run(seed).await,
        "moves" => moves::run(seed).await,
        _ => Err(format!(
            "unknown scenario `{scenario}`: expected one of {}",
            SCENARIOS.join(", ")
        )
        .into()),
    }
}

/// Converts microseconds to a JSON number of milliseconds with three decimals.
fn milliseconds(microseconds: u64) -> Value {
    let text = format!("{}.{:03}", microseconds / 1_000, microseconds % 1_000);
    text.parse::<f64>().map_or(Value::Null, Value::from)
}

/// Converts a stand-in's record on the instance list to a backend server.
fn backend_server(instance: &Instance) -> Option<Server> {
    let json = serde_json::to_value(instance).ok()?;
    let instance: medlarfall_serving::platform::Instance = serde_json::from_value(json).ok()?;
    Server::try_from(instance).ok()
}

/// Returns `part / whole`, or 0 if `whole` is 0.
fn ratio(part: u64, whole: u64) -> f64 {
    let as_float = |value: u64| u32::try_from(value).map_or(f64::from(u32::MAX), f64::from);
    if whole == 0 {
        0.0
    } else {
        as_float(part) / as_float(whole)
    }
}
