//! A small deployment: a store, replicas and entries on loopback addresses of their own.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::entry::Entry;
use crate::http::{self, Message};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::replica::{Replica, Run, Runs};
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Key of the tenant that sends the requests.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// Zones of the deployment.
pub const ZONES: [&str; 4] = ["kamloops-a", "kamloops-b", "kelowna-a", "kelowna-b"];

/// The deployment, which ends its processes when it is dropped.
pub struct Deployment {
    pub store: Store,
    pub entries: Vec<Entry>,
    /// Proxies between the entries and the store, in the same order.
    pub proxies: Vec<Proxy>,
    pub runs: Runs,
    pub record: Record,
    folder: PathBuf,
    network: String,
    requests: AtomicU64,
}

impl Deployment {
    /// Starts a store; entries are prepared, one after the other in the zones, and not started.
    pub fn new(entries: usize, record: &Record) -> Self {
        let process = std::process::id();
        // Loopback networks of their own, so that cases that run side by side don't meet.
        let network = format!("127.{}.{}", 64 + process % 128, 1 + (process / 128) % 250);
        let folder = std::env::temp_dir().join(format!("medlarfall-review-{process}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start(&format!("{network}.250"));
        let proxies = (0..entries).map(|number| Proxy::start(&format!("{network}.{}", 10 + number), store.address));
        let proxies: Vec<Proxy> = proxies.collect();
        let entries = proxies.iter().enumerate().map(|(number, proxy)| {
            let ip = format!("{network}.{}", 10 + number);
            Entry::new(number, ZONES[number % ZONES.len()], &ZONES, &ip, proxy.address, &folder)
        });
        Self {
            entries: entries.collect(),
            proxies,
            store,
            runs: Arc::new(Mutex::new(Vec::new())),
            record: record.clone(),
            folder,
            network,
            requests: AtomicU64::new(0),
        }
    }

    /// Starts and registers replicas of a service, one after the other in the zones.
    pub fn replicas(&self, service: &str, first: usize, number: usize) -> Vec<Replica> {
        let replicas = (0..number).map(|index| {
            let ip = format!("{}.{}", self.network, 100 + first + index);
            let id = format!("i-{service}-{index}");
            let zone = ZONES[index % ZONES.len()];
            let work = Duration::from_millis(60);
            let replica = Replica::start(&id, service, zone, &ip, work, &self.runs, &self.record);
            replica.register(&self.store);
            replica
        });
        replicas.collect()
    }

    /// Starts all entries and waits until they are ready; returns whether they were in time.
    pub fn start(&mut self) -> bool {
        for entry in &mut self.entries {
            entry.start();
        }
        let mut entries = self.entries.iter();
        entries.all(|entry| entry.wait_ready(Duration::from_secs(15)))
    }

    /// Writes a configuration as the operator does. Its acceptance is the acknowledgement.
    pub fn configure(&self, what: &str, configuration: &str) {
        self.store.put("op/config", configuration);
        self.record.line(&format!("configuration acknowledged: {what}, {} bytes", configuration.len()));
    }

    /// Sends a request through an entry and returns its identifier and the answer.
    pub fn send(&self, entry: usize, method: &str, path: &str, key: &str) -> (String, Option<Message>) {
        let entry = &self.entries[entry];
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let authorization = format!("Bearer {key}");
        let headers = [
            ("Host", HOST),
            ("Medlarfall-Request-Id", id.as_str()),
            ("Medlarfall-Deadline-Ms", "1500"),
            ("Authorization", authorization.as_str()),
            ("Connection", "close"),
        ];
        self.record.line(&format!("send {id} {method} {path} to {}", entry.name));
        let answer = http::call(entry.front, method, path, &headers, b"", Duration::from_millis(1_700));
        match &answer {
            Ok(answer) => self.record.line(&format!("answer {id} {} {}", answer.status(), answer.text().trim())),
            Err(error) => self.record.line(&format!("no answer {id}: {error}")),
        }
        (id, answer.ok())
    }

    /// Returns the runs of a request.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("the runs");
        runs.iter().filter(|run| run.request_id == id).cloned().collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
