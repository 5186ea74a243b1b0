//! Two entries are partitioned from the store, without a reset: those that read it for the others. A replica
//! leaves just then, without a report of its leaving. Later than `drain_ms` after its removal was
//! acknowledged, the other entries, which reach the store, must not send it requests.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Deployment, HOST, KEY, ZONES};
use crate::record::Record;

/// Time from the acknowledgement from which the replica must get no requests (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time from the acknowledgement until the replica exits: `drain_ms` and a little longer.
const EXIT: Duration = Duration::from_millis(2_250);

/// Time after the acknowledgement until which requests are sent.
const UNTIL: Duration = Duration::from_millis(3_000);

/// Time for which the two entries are cut off from the store.
const CUT: Duration = Duration::from_millis(5_500);

/// Longest time since two watches began at which the cut comes: the entries have just had a change.
const JUST_BEGUN: Duration = Duration::from_millis(100);

fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-plots\",\"host\":\"{HOST}\",\"prefix\":\"/plots/\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"app\",\
         \"attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false}}],\"services\":[{{\"name\":\"app\",\
         \"health_path\":\"/health\",\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Waits until two entries have just begun to watch the store, and returns which.
fn readers(deployment: &Deployment) -> Option<Vec<usize>> {
    let ends = Instant::now() + Duration::from_secs(10);
    while Instant::now() < ends {
        let watching = deployment.proxies.iter().enumerate().filter(|(_, proxy)| {
            let watch = proxy.watch();
            watch.is_some_and(|watch| !watch.answered && watch.began.elapsed() < JUST_BEGUN)
        });
        let watching: Vec<usize> = watching.map(|(number, _)| number).collect();
        if watching.len() == 2 {
            return Some(watching);
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

pub fn play(trouble: bool, record: &Record) -> Outcome {
    let mut deployment = Deployment::new(6, record);
    let replicas = deployment.replicas("app", 0, 4);
    deployment.configure("first", &configuration(7));
    if !deployment.start() {
        return Outcome::NotRun("not all entries became ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    deployment.configure("nothing changes but the version", &configuration(8));
    thread::sleep(Duration::from_millis(20));
    let Some(cut) = readers(&deployment) else {
        return Outcome::NotRun("no two entries read the store".to_owned());
    };
    if trouble {
        for number in &cut {
            deployment.proxies[*number].silent.store(true, Ordering::Relaxed);
            record.line(&format!("{} is cut off from the store", deployment.entries[*number].name));
        }
    }
    let cut_at = Instant::now();
    let calm: Vec<usize> = (0..deployment.entries.len()).filter(|number| !cut.contains(number)).collect();
    // The replica in the zone of an entry that nothing disturbs.
    let leaving = &replicas[calm[0] % ZONES.len()];
    deployment.store.remove(&format!("servers/{}", leaving.id));
    let acknowledged = Instant::now();
    record.line(&format!("removal of {} of {} acknowledged", leaving.id, leaving.zone));
    let send_all = |number: usize| {
        let (mut late, mut lost) = (0, 0);
        while acknowledged.elapsed() < UNTIL {
            let sent = acknowledged.elapsed();
            let (id, answer) = deployment.send(number, "POST", "/plots/2", KEY);
            let there = deployment.runs_of(&id).iter().any(|run| run.replica == leaving.id);
            let name = &deployment.entries[number].name;
            if there && sent > DRAIN {
                late += 1;
                record.line(&format!(
                    "BROKEN: {id}, sent {} ms after the acknowledgement to {name}, reached {}",
                    sent.as_millis(),
                    leaving.id
                ));
            }
            if there && answer.is_none_or(|answer| answer.status() != 200) {
                lost += 1;
                record.line(&format!("LOST: {id} ran at {} when it exited", leaving.id));
            }
        }
        (late, lost)
    };
    let results: Vec<(usize, usize)> = thread::scope(|scope| {
        let senders: Vec<_> = calm.iter().map(|number| scope.spawn(|| send_all(*number))).collect();
        thread::sleep(EXIT.saturating_sub(acknowledged.elapsed()));
        leaving.exit();
        senders.into_iter().filter_map(|sender| sender.join().ok()).collect()
    });
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    for number in &cut {
        deployment.proxies[*number].silent.store(false, Ordering::Relaxed);
    }
    let late: usize = results.iter().map(|(late, _)| late).sum();
    let lost: usize = results.iter().map(|(_, lost)| lost).sum();
    record.line(&format!("later than drain_ms: {late} requests; lost with the replica: {lost}"));
    if late > 0 { Outcome::Broken } else { Outcome::Held }
}
