//! The operator moves a route to another service in a configuration that is large, but within the size of a
//! value in the store. Later than `apply_ms` after the acknowledgement, no entry may send the route's
//! requests to the old service.

use std::time::Duration;

use crate::Outcome;
use crate::deployment::{Deployment, HOST, KEY};
use crate::record::Record;

/// Largest value of the store (`value_bytes`).
const VALUE_BYTES: usize = 1_048_576;

/// Time after the acknowledgement at which the requests are sent; `apply_ms` is 2,000.
const CHECKS_MS: [u64; 4] = [4_000, 10_000, 20_000, 30_000];

/// Makes letters and digits that don't repeat, the same in each run.
struct Letters(u64);

impl Letters {
    fn next(&mut self, length: usize) -> String {
        let letters = b"abcdefghijklmnopqrstuvwxyz0123456789";
        let next = |_| {
            self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            char::from(letters[(self.0 >> 33) as usize % letters.len()])
        };
        (0..length).map(next).collect()
    }
}

/// What a configuration holds beside the route of the test.
struct Size {
    routes: usize,
    tenants: usize,
    keys: usize,
}

/// Returns a configuration in which `service` serves the route `/plots/`.
fn configuration(version: u64, service: &str, size: &Size) -> String {
    let mut letters = Letters(7);
    let route = |name: &str, host: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"prefix\":\"{prefix}\",\"kind\":\"idempotent\",\
             \"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"{service}\",\"attempts\":2,\
             \"anonymous\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let mut routes = vec![route("r-plots", HOST, "/plots/", service)];
    for _ in 0..size.routes {
        let host = format!("{}.example", letters.next(6));
        let prefix = format!("/{}/", letters.next(7));
        routes.push(route(&format!("r-{}", letters.next(7)), &host, &prefix, "app-old"));
    }
    let mut tenants = vec![format!("{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}")];
    for _ in 0..size.tenants {
        let keys: Vec<String> = (0..size.keys).map(|_| format!("\"{}\"", letters.next(20))).collect();
        let name = letters.next(7);
        tenants.push(format!("{{\"name\":\"{name}\",\"api_keys\":[{}],\"priority\":1}}", keys.join(",")));
    }
    let service = |name: &str| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"protocol\":\"h1\",\"tls\":false}}");
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        service("app-old"),
        service("app-new"),
        tenants.join(",")
    )
}

pub fn play(trouble: bool, record: &Record) -> Outcome {
    let small = Size { routes: 8, tenants: 9, keys: 2 };
    let large = Size { routes: 350, tenants: 9, keys: 2_200 };
    let mut deployment = Deployment::new(6, record);
    let _old = deployment.replicas("app-old", 0, 4);
    let _new = deployment.replicas("app-new", 10, 4);
    deployment.configure("/plots/ at app-old", &configuration(7, "app-old", &small));
    if !deployment.start() {
        return Outcome::NotRun("not all entries became ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    for entry in 0..deployment.entries.len() {
        let (id, answer) = deployment.send(entry, "GET", "/plots/1", KEY);
        let answered = answer.is_some_and(|answer| answer.status() == 200);
        if !answered || deployment.runs_of(&id).iter().any(|run| run.service != "app-old") {
            return Outcome::NotRun("a request before the change was not served".to_owned());
        }
    }
    let newer = configuration(9, "app-new", if trouble { &large } else { &small });
    if newer.len() > VALUE_BYTES {
        return Outcome::NotRun("the configuration does not fit into a value".to_owned());
    }
    deployment.configure("/plots/ at app-new", &newer);
    let (mut broken, mut waited) = (0, 0);
    for check in CHECKS_MS {
        std::thread::sleep(Duration::from_millis(check - waited));
        waited = check;
        for entry in 0..deployment.entries.len() {
            let (id, _) = deployment.send(entry, "GET", "/plots/2", KEY);
            for run in deployment.runs_of(&id).iter().filter(|run| run.service == "app-old") {
                broken += 1;
                let name = &deployment.entries[entry].name;
                record.line(&format!("BROKEN: {id}, sent {check} ms after the acknowledgement to {name}, ran at {}", run.replica));
            }
        }
    }
    record.line(&format!("requests that the old service ran: {broken}"));
    if broken > 0 { Outcome::Broken } else { Outcome::Held }
}
