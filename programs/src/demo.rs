//! The demo: starts an embedded cluster and sends it requests while an engine dies.

use std::error::Error;
use std::time::Instant;

use hyper::Method;
use medlarfall_standin::{engine, oracle};

use crate::caller::Completion;
use crate::cluster::{BRIEFS, CALLER_KEY, Cluster, Plan, TRACKER};

/// Number of tokens after which the engine that serves the demo's generation dies.
const TOKENS_BEFORE_DEATH: u64 = 40;

/// Runs the demo; with `stay` the cluster runs until the process is interrupted.
///
/// # Errors
///
/// Returns the component that could not start, or the answer that was wrong.
pub async fn run(stay: bool) -> Result<(), Box<dyn Error>> {
    let cluster = Cluster::start(Plan {
        engines: 4,
        ..Plan::default()
    })
    .await?;
    println!("up: 2 entries, 4 engines, 1 plain service, 1 platform, on loopback");
    generate(&cluster).await?;
    call(&cluster).await?;
    if stay {
        wait_for_interrupt(&cluster).await?;
    }
    Ok(())
}

/// Requests a generation whose engine dies while it runs, and compares the answer with the
/// oracle's.
async fn generate(cluster: &Cluster) -> Result<(), Box<dyn Error>> {
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: "summarise the manifest of group 12 into a placement brief".to_owned(),
        max_tokens: 200,
        stream: true,
    };
    let expected = oracle::answer("v1", &completion.prompt, completion.max_tokens);
    let dying = engine::Faults {
        die_after_tokens: Some(TOKENS_BEFORE_DEATH),
        ..engine::Faults::default()
    };
    let local = cluster
        .engines
        .iter()
        .filter(|engine| engine.instance.failure_domain == "domain-0");
    local.for_each(|engine| engine.engine.set_faults(dying.clone()));
    let started = Instant::now();
    let mut stream = cluster.caller(0).stream(&completion).await?;
    let mut text = String::new();
    let mut last = Instant::now();
    let mut longest_gap = std::time::Duration::ZERO;
    while let Some(chunk) = stream.next().await? {
        longest_gap = longest_gap.max(last.elapsed());
        last = Instant::now();
        chunk
            .choices
            .iter()
            .for_each(|choice| text.push_str(&choice.text));
    }
    let dead = cluster
        .engines
        .iter()
        .filter(|engine| engine.engine.lifecycle().has_crashed())
        .count();
    println!(
        "generation: {} in {} ms; engines that died meanwhile: {dead}; longest pause between tokens: {} ms",
        if text == expected {
            "whole and correct"
        } else {
            "WRONG"
        },
        started.elapsed().as_millis(),
        longest_gap.as_millis(),
    );
    if text != expected {
        return Err("the text of the generation differs from the oracle's".into());
    }
    Ok(())
}

/// Calls the plain service with an idempotent and a non-idempotent request; checks that the latter
/// ran once.
async fn call(cluster: &Cluster) -> Result<(), Box<dyn Error>> {
    let caller = cluster.caller(1);
    let read = caller
        .call(Method::GET, &format!("/s/{TRACKER}/plots/7"), "")
        .await?;
    println!("idempotent call: {} {}", read.status, read.body);
    let action = "assign-plot-7-to-group-12";
    let assigned = caller
        .call(
            Method::POST,
            &format!("/s/{TRACKER}/plots/7/assign"),
            action,
        )
        .await?;
    let runs = cluster.services[0].service.run_counts();
    println!("non-idempotent call: {} {}", assigned.status, assigned.body);
    if runs.get(action) != Some(&1) {
        return Err("the non-idempotent call did not run exactly once".into());
    }
    Ok(())
}

/// Prints an example request and waits for Ctrl-C.
async fn wait_for_interrupt(cluster: &Cluster) -> Result<(), Box<dyn Error>> {
    let entry = cluster.entries[0].addresses.callers;
    println!(
        "\ntry:\n  curl -N -H 'authorization: Bearer {CALLER_KEY}' -d '{{\"model\":\"{BRIEFS}\",\"prompt\":\"hello\",\"max_tokens\":20,\"stream\":true}}' http://{entry}/v1/completions\nstop with Ctrl-C"
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}
