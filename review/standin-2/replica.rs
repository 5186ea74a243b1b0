//! A stand-in for a replica of a plain service, as PROTOCOL.md describes it. It registers in the store and
//! answers each request that is meant for it.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::store::Store;

/// Requests that a replica processes at the same time.
const SLOTS: usize = 6;

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub replica: String,
    pub service: String,
}

/// The runs of all replicas.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    born: u64,
    work: Duration,
    running: Arc<AtomicU64>,
    /// Set when the replica exits: its port closes, and its connections end.
    pub ended: Arc<AtomicBool>,
    runs: Runs,
    record: Record,
}

/// Returns the time of day in Unix milliseconds.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

impl Replica {
    /// Starts a replica whose requests take `work`.
    pub fn start(id: &str, service: &str, zone: &str, ip: &str, work: Duration, runs: &Runs, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for a replica");
        let replica = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            zone: zone.to_owned(),
            born: now_ms(),
            work,
            running: Arc::default(),
            ended: Arc::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        listener.set_nonblocking(true).expect("a listener that can be closed");
        let serving = replica.clone();
        thread::spawn(move || serving.accept(&listener));
        replica
    }

    /// Accepts connections until the replica exits.
    fn accept(&self, listener: &TcpListener) {
        while !self.ended.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let serving = self.clone();
            thread::spawn(move || serving.serve(Connection::new(stream)));
        }
    }

    /// Ends the process of the replica. What runs there is lost.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.record.line(&format!("replica {} exits", self.id));
    }

    /// Returns the replica's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    /// Registers the replica. Its later writes would change only `sequence`, which changes no entry.
    pub fn register(&self, store: &Store) {
        store.put(&format!("servers/{}", self.id), &self.entry("ready"));
        self.record.line(&format!("replica {} of {} at {} registered", self.id, self.service, self.address));
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.message() {
            let Some(response) = self.reply(&request) else {
                return;
            };
            if connection.send(&response).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a request, or `None` if the replica exits before it is made.
    fn reply(&self, request: &Message) -> Option<Vec<u8>> {
        let load = format!("{},0,{SLOTS}", self.running.load(Ordering::Relaxed));
        let own = [("Medlarfall-Replica-Id", self.id.as_str()), ("Medlarfall-Replica-Load", load.as_str())];
        if request.target().starts_with("/health") {
            return Some(http::response(200, &own, ""));
        }
        if request.target().starts_with("/report") {
            return Some(http::response(200, &own, "{\"queued\":0,\"running\":0,\"models\":[]}"));
        }
        let Some(id) = request.header("Medlarfall-Request-Id") else {
            return Some(http::response(400, &[("Medlarfall-Not-Executed", "1")], ""));
        };
        if request.header("Medlarfall-Target-Replica").is_some_and(|target| target != self.id) {
            return Some(http::response(421, &own, ""));
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        self.runs.lock().expect("the runs").push(Run {
            request_id: id.to_owned(),
            replica: self.id.clone(),
            service: self.service.clone(),
        });
        self.record.line(&format!("run {id} at {} of {}", self.id, self.service));
        let ends = Instant::now() + self.work;
        while Instant::now() < ends && !self.ended.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
        self.running.fetch_sub(1, Ordering::Relaxed);
        if self.ended.load(Ordering::Relaxed) {
            self.record.line(&format!("cut {id} at {}", self.id));
            return None;
        }
        let body = format!("{{\"ran\":\"{id}\",\"by\":\"{}\"}}", self.id);
        let headers = [
            ("Medlarfall-Request-Id", id),
            ("Medlarfall-Response-Signature", "3e1b.07.5a2"),
            ("Medlarfall-Replica-Load", load.as_str()),
        ];
        Some(http::response(200, &headers, &body))
    }
}
