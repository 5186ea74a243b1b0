//! The only entry that is left has its waiting watch cut by the store, as the store may do at any time. A
//! replica whose entry is removed within the next two seconds stays in use.

#[path = "../standin.rs"]
mod standin;

use standin::*;
use std::collections::HashMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the replica serves on after its entry is removed ("a little longer" than drain_ms).
const SERVES_ON: Duration = Duration::from_millis(2_200);

fn config() -> String {
    r#"{"version":7,"routes":[{"name":"r-assign","host":"ficu95.example","prefix":"/assign/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"wuno96b","attempts":1,"anonymous":true,"sticky":false,"resumable":false}],"services":[{"name":"wuno96b","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#.to_owned()
}

fn main() -> ExitCode {
    let folder = Path::new("review/5");
    let record = Record::create(folder);
    let temporary = Folder::create("review-5");
    let trouble = trouble();
    let store = Store::start(&record, Lists { page: 50, later_pages_old: Duration::ZERO });
    let runs: Runs = Arc::default();
    let zones = ["kamloops-a", "kamloops-b", "kelowna-a", "kelowna-b"];
    let replicas: Vec<Replica> = (0..4)
        .map(|number| {
            let id = format!("i-{:08x}", (number as u32).wrapping_mul(67_108_859) + 0x0300_17c3);
            Replica::start(&record, &runs, None, (&id, "wuno96b", zones[number]), Behaviour::default())
        })
        .collect();
    store.write("op/config", &config());
    for replica in &replicas {
        store.write(&replica.key(), &replica.entry("ready", 1));
    }
    let entries: u8 = std::env::var("ENTRIES").map_or(1, |entries| entries.parse().unwrap_or(1));
    let port = peer_port(31..35);
    let mut started = Vec::new();
    for number in 0..entries {
        let name = format!("edge-{}-1", zones[usize::from(number)]);
        let zone = zones[usize::from(number)];
        let mut entry = Entry::new(&temporary.0, &name, 31 + number, zone, store.address, port);
        entry.start(&record);
        started.push(entry);
    }
    for entry in &started {
        if !entry.wait_ready(&record, ms(10_000)) {
            return ExitCode::from(2);
        }
    }

    let stop: Arc<AtomicBool> = Arc::default();
    let sent: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    let answers: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let clients: Vec<_> = (0..12)
        .map(|client| {
            let front = started[client % started.len()].front;
            let (record, stop, sent, answers) = (record.clone(), Arc::clone(&stop), Arc::clone(&sent), Arc::clone(&answers));
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = request_id();
                    let request = format!("POST /assign/2f HTTP/1.1\r\nHost: ficu95.example\r\nMedlarfall-Request-Id: {id}\r\nMedlarfall-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 4\r\n\r\nplot");
                    lock(&sent).insert(id.clone(), record.now());
                    let answer = send(front, &request, ms(1_600));
                    let outcome = answer.map_or("closed".to_owned(), |answer| answer.status.to_string());
                    record.line(&format!("client: {id}: {outcome}"));
                    lock(&answers).insert(id, outcome);
                    thread::sleep(ms(35 + client as u64 * 17 % 50));
                }
            })
        })
        .collect();
    thread::sleep(ms(6_000));

    if trouble {
        store.cut_watches();
    }
    thread::sleep(ms(300));
    let leaving = &replicas[0];
    store.remove(&leaving.key());
    let removed_at = record.now();
    thread::sleep(SERVES_ON);
    leaving.exit(&record);
    thread::sleep(ms(3_000));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for entry in &mut started {
        entry.kill(&record);
    }

    let bound = removed_at + DRAIN;
    let runs = lock(&runs).clone();
    let sent = lock(&sent).clone();
    let answers = lock(&answers).clone();
    let late = runs.iter().filter(|run| run.replica == leaving.id && run.at > bound);
    let late: Vec<&Run> = late.filter(|run| sent.get(&run.request_id).is_some_and(|at| *at > bound)).collect();
    let lost = late.iter().filter(|run| answers.get(&run.request_id).is_some_and(|outcome| outcome != "200")).count();
    let last = late.iter().map(|run| run.at).max().unwrap_or_default();
    record.line(&format!(
        "result: replica {} removed at {:.3}; {} of {} requests reached it after {:.3}, the last at {:.3}; {lost} of these lost",
        leaving.id,
        removed_at.as_secs_f64(),
        late.len(),
        runs.len(),
        bound.as_secs_f64(),
        last.as_secs_f64()
    ));
    if runs.len() < 200 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(!late.is_empty()))
}
