//! Another writer leaves entries of a service that isn't named in the configuration under `servers/`, at the
//! addresses of live replicas. They name no replica to use, and the replicas' own entries hold. After the
//! final fault of a day, in which all entries are killed, the requests must be served again.

use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Deployment, HOST, KEY};
use crate::record::Record;
use crate::replica::now_ms;

/// Time after the return of the entries from which requests count (`recovery_s`).
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which all entries are down.
const DOWN: Duration = Duration::from_millis(650);

/// Requests of each measurement.
const REQUESTS: usize = 60;

const CONFIGURATION: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-plots\",\"host\":\"HOST\",\"prefix\":\"/plots/\",\
\"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"app\",\"attempts\":2,\
\"anonymous\":false,\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\
\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"KEY\"],\
\"priority\":1}]}";

/// Sends requests through all entries in turn, and returns how many were served.
fn served(deployment: &Deployment) -> usize {
    let answered = (0..REQUESTS).filter(|number| {
        let entry = number % deployment.entries.len();
        let (_, answer) = deployment.send(entry, "GET", "/plots/1", KEY);
        answer.is_some_and(|answer| answer.status() == 200)
    });
    answered.count()
}

pub fn play(trouble: bool, record: &Record) -> Outcome {
    let mut deployment = Deployment::new(6, record);
    let replicas = deployment.replicas("app", 0, 4);
    deployment.configure("/plots/ at app", &CONFIGURATION.replace("HOST", HOST).replace("KEY", KEY));
    if !deployment.start() {
        return Outcome::NotRun("not all entries became ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let before = served(&deployment);
    record.line(&format!("before the fault: {before} of {REQUESTS} served"));
    if before * 4 < REQUESTS {
        return Outcome::NotRun("less than a quarter was served before the fault".to_owned());
    }
    for entry in &mut deployment.entries {
        entry.kill();
    }
    record.line("all entries killed");
    if trouble {
        for (number, replica) in replicas.iter().enumerate() {
            let entry = format!(
                "{{\"service\":\"ledger-agent\",\"address\":\"{}\",\"zone\":\"kamloops-a\",\"version\":\"v1\",\"slots\":1,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
                replica.address,
                now_ms()
            );
            let key = format!("servers/agent-{number}");
            deployment.store.put(&key, &entry);
            record.line(&format!("another writer: {key} {entry}"));
        }
    }
    std::thread::sleep(DOWN);
    for entry in &mut deployment.entries {
        entry.start();
    }
    let back = Instant::now();
    record.line("all entries started");
    std::thread::sleep(RECOVERY.saturating_sub(back.elapsed()) + Duration::from_millis(500));
    let after = served(&deployment);
    record.line(&format!("later than recovery_s after the return: {after} of {REQUESTS} served"));
    if after * 4 < REQUESTS { Outcome::Broken } else { Outcome::Held }
}
