//! The load and experiment tool: each scenario runs on an embedded cluster and returns figures.

use std::collections::BTreeMap;
use std::error::Error;

use serde_json::Value;

mod baseline;
mod resume;

/// Figures of a run, by name.
pub type Figures = BTreeMap<&'static str, Value>;

/// Names of the scenarios.
pub const SCENARIOS: [&str; 2] = ["baseline", "resume"];

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
        "baseline" => baseline::run(seed).await,
        "resume" => resume::run(seed).await,
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
