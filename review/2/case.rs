//! All entries start again while the store's cached reads lag. A replica whose entry was removed just before is
//! still on the second page of the list that they read.

#[path = "../standin.rs"]
mod standin;

use standin::*;
use std::collections::HashMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Items on a page of the store's lists, as in the site file (`[discovery] page`).
const PAGE: usize = 50;
/// Age of the second page: "may be seconds old".
const LATER_PAGES_OLD: Duration = Duration::from_millis(2_500);
/// Replicas of the model service, which get no requests here, and of the application.
const MODEL_REPLICAS: usize = 60;
const APP_REPLICAS: usize = 4;
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE: Duration = Duration::from_millis(3_000);

fn config() -> String {
    r#"{"version":7,"routes":[{"name":"r-assign","host":"ficu95.example","prefix":"/assign/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"wuno96b","attempts":1,"anonymous":true,"sticky":false,"resumable":false}],"services":[{"name":"huvo11a","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"runtime":{"slots":64,"kv_capacity_tokens":88000,"kv_bytes":18432,"link_mbps":180000.0,"migrations":true,"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":4.0,"models":[{"name":"m"}]}},{"name":"wuno96b","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#.to_owned()
}

fn main() -> ExitCode {
    let folder = Path::new("review/2");
    let record = Record::create(folder);
    let temporary = Folder::create("review-2");
    let trouble = trouble();
    let store = Store::start(&record, Lists { page: PAGE, later_pages_old: LATER_PAGES_OLD });
    let runs: Runs = Arc::default();
    let zones = ["kamloops-a", "kamloops-b", "kelowna-a", "kelowna-b"];
    let replicas: Vec<Replica> = (0..MODEL_REPLICAS + APP_REPLICAS)
        .map(|number| {
            let id = format!("i-{:08x}", (number as u32).wrapping_mul(67_108_859) + 0x0300_17c3);
            let behaviour = Behaviour::default();
            let service = if number < MODEL_REPLICAS { "huvo11a" } else { "wuno96b" };
            Replica::start(&record, &runs, None, (&id, service, zones[number % 4]), behaviour)
        })
        .collect();
    store.write("op/config", &config());
    for replica in &replicas {
        store.write(&replica.key(), &replica.entry("ready", 1));
    }
    thread::sleep(LATER_PAGES_OLD + ms(500));

    let port = peer_port(21..27);
    let places = [("a-1", 0), ("a-2", 0), ("b-1", 1), ("b-2", 1), ("c-1", 2), ("d-1", 3)];
    let count = std::env::var("ENTRIES").map_or(places.len(), |count| count.parse().unwrap_or(places.len()));
    let mut entries = Vec::new();
    for (number, (name, zone)) in places.into_iter().take(count).enumerate() {
        let mut entry = Entry::new(&temporary.0, &format!("edge-{name}"), 21 + number as u8, zones[zone], store.address, port);
        entry.start(&record);
        entries.push(entry);
    }
    if !entries.iter().all(|entry| entry.wait_ready(&record, ms(10_000))) {
        return ExitCode::from(2);
    }

    // Clients of each entry: calls that may run once.
    let stop: Arc<AtomicBool> = Arc::default();
    let sent: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    let answers: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let fronts: Vec<_> = entries.iter().map(|entry| entry.front).collect();
    let clients: Vec<_> = (0..24)
        .map(|client| {
            let front = fronts[client % fronts.len()];
            let (record, stop, sent, answers) = (record.clone(), Arc::clone(&stop), Arc::clone(&sent), Arc::clone(&answers));
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = request_id();
                    let request = format!("POST /assign/2f HTTP/1.1\r\nHost: ficu95.example\r\nMedlarfall-Request-Id: {id}\r\nMedlarfall-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 4\r\n\r\nplot");
                    lock(&sent).insert(id.clone(), record.now());
                    let answer = send(front, &request, ms(1_600));
                    let outcome = answer.map_or("closed".to_owned(), |answer| answer.status.to_string());
                    record.line(&format!("client: {id} through {front}: {outcome}"));
                    lock(&answers).push((id, outcome));
                    thread::sleep(ms(75 + client as u64 * 17 % 50));
                }
            })
        })
        .collect();
    thread::sleep(ms(4_000));

    // A replica on the second page leaves. It doesn't report that it drains: its entry is removed, and it
    // serves on for 8 s.
    let leaving = &replicas[MODEL_REPLICAS];
    let removed = Instant::now();
    store.remove(&leaving.key());
    let removed_at = record.now();
    thread::sleep(ms(700));
    let mut in_touch_from = removed_at;
    if trouble {
        for entry in &mut entries {
            entry.kill(&record);
        }
        thread::sleep(ms(500));
        for entry in &mut entries {
            entry.start(&record);
        }
        in_touch_from = record.now() + STABLE;
        if !entries.iter().all(|entry| entry.wait_ready(&record, ms(5_000))) {
            return ExitCode::from(2);
        }
    }
    thread::sleep((removed + ms(8_000)).saturating_duration_since(Instant::now()));
    leaving.exit(&record);
    let exited_at = record.now();
    thread::sleep(ms(3_000));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for entry in &mut entries {
        entry.kill(&record);
    }

    // DRAIN: a request reaches the replica later than drain_ms after the acknowledgement, from a machine in
    // touch.
    let bound = (removed_at + DRAIN).max(in_touch_from);
    let runs = lock(&runs).clone();
    let sent = lock(&sent).clone();
    let late = runs.iter().filter(|run| run.replica == leaving.id && run.at > bound);
    let late: Vec<&Run> = late.filter(|run| sent.get(&run.request_id).is_some_and(|at| *at > bound)).collect();
    let answers = lock(&answers).clone();
    let lost = late.iter().filter(|run| answers.iter().any(|(id, outcome)| *id == run.request_id && outcome != "200"));
    let lost = lost.count();
    record.line(&format!(
        "result: replica {} removed at {:.3}, exited at {:.3}; {} of {} requests reached it after {:.3}, {lost} of these lost with it",
        leaving.id,
        removed_at.as_secs_f64(),
        exited_at.as_secs_f64(),
        late.len(),
        runs.len(),
        bound.as_secs_f64()
    ));
    if runs.len() < 200 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(!late.is_empty()))
}
