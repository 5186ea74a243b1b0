//! Two entries, a platform and a plain service as processes.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use hyper::Method;
use medlarfall::caller::{Caller, Reply};
use medlarfall::cluster;
use medlarfall::operator::Operator;
use serde_json::{Value, json};
use uuid::Uuid;

const STANDIN: &str = env!("CARGO_BIN_EXE_medlarfall-standin");
const DAEMON: &str = env!("CARGO_BIN_EXE_medlarfalld");
const OPERATOR_KEY: &str = "key-of-operators";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Key of the first client account.
pub const CEDARLINE: &str = "key-of-cedarline";

/// Key of the second client account.
pub const CHALERM: &str = "key-of-chalerm";

/// A process that is killed when the test ends.
pub struct Process {
    pub child: Child,
    listening: Value,
}

impl Process {
    /// Starts a program and waits until it says where it listens.
    fn start(program: &str, arguments: &[&str]) -> Self {
        let callers = format!("cedarline = \"{CEDARLINE}\"\nchalerm = \"{CHALERM}\"");
        let mut child = Command::new(program)
            .args(arguments)
            .env("TEST_CALLERS", callers)
            .env("TEST_OPERATORS", OPERATOR_KEY)
            .env("TEST_PEERS", "key-of-peers")
            .env("TEST_RESUME", "key-of-resume-tokens")
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("its output is read");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("it prints a line");
        let line: Value = serde_json::from_str(&line).expect("the line is JSON");
        Self {
            child,
            listening: line["listening"].clone(),
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process has ended");
    }

    fn address(&self) -> SocketAddr {
        parse(&self.listening)
    }

    fn port(&self, name: &str) -> SocketAddr {
        parse(&self.listening[name])
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn parse(value: &Value) -> SocketAddr {
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .expect("an address")
}

/// The processes.
pub struct Fleet {
    pub entries: Vec<Process>,
    pub platform: Process,
    pub service: Process,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts the processes and waits until both entries serve calls.
    pub async fn start(test: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("medlarfall-{test}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let platform = Process::start(STANDIN, &["platform", "--instances-lag-ms", "0"]);
        let address = platform.address().to_string();
        let service = service(&address, "service-0");
        let entries = (0..2)
            .map(|index| entry(&folder, &address, index))
            .collect();
        let fleet = Self {
            entries,
            platform,
            service,
            folder,
        };
        let declared = fleet.operator(0).apply(cluster::tracker("v1")).await;
        declared.expect("the declaration is accepted");
        for index in 0..2 {
            fleet.ready(index, 1).await;
        }
        fleet
    }

    /// Starts another instance of the service in place of the one that was killed.
    pub async fn replace_service(&mut self) {
        let platform = self.platform.address();
        let gone = Caller::new(platform, "none")
            .call(Method::DELETE, "/instances/service-0", "")
            .await
            .expect("the platform answers");
        assert_eq!(gone.status, 200);
        self.service = service(&platform.to_string(), "service-1");
        for index in 0..2 {
            let mut operator = self.operator(index);
            let mut known = false;
            while !known {
                tokio::time::sleep(POLL_INTERVAL).await;
                let status = operator.status().await.expect("a status");
                let servers = &status.backend_servers;
                known = servers.len() == 1 && servers[0].name == "service-1";
            }
        }
    }

    async fn ready(&self, entry: usize, servers: usize) {
        let mut operator = self.operator(entry);
        let mut ready = false;
        while !ready {
            tokio::time::sleep(POLL_INTERVAL).await;
            let declared = operator.list().await.map_or(0, |services| services.len());
            let status = operator.status().await;
            let known = status.map_or(0, |status| status.backend_servers.len());
            ready = declared == 1 && known == servers;
        }
    }

    fn operator(&self, entry: usize) -> Operator {
        Operator::new(self.entries[entry].port("operators"), OPERATOR_KEY).expect("an operator")
    }

    /// Returns a caller of one entry.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].port("callers"), CEDARLINE)
    }

    /// Returns a caller of one entry with another key.
    pub fn caller_of(&self, entry: usize, key: &str) -> Caller {
        Caller::new(self.entries[entry].port("callers"), key)
    }

    /// Runs an action through an entry, under an identifier if there is one.
    pub async fn act(&self, entry: usize, action: &str, id: Option<&str>) -> Reply {
        act(&self.caller(entry), action, id).await
    }

    /// Sets the faults of the service.
    pub async fn service_faults(&self, faults: Value) {
        control(self.service.address(), Method::POST, "faults", &faults).await;
    }

    /// Sets the faults of the platform.
    pub async fn platform_faults(&self, faults: Value) {
        control(self.platform.address(), Method::POST, "faults", &faults).await;
    }

    /// Returns how often an action ran.
    pub async fn runs(&self, action: &str) -> u64 {
        let runs = control(self.service.address(), Method::GET, "runs", &json!({})).await;
        let runs: BTreeMap<String, u64> = serde_json::from_str(&runs).expect("counts");
        runs.get(action).copied().unwrap_or(0)
    }

    /// Waits until an action has run.
    pub async fn until_run(&self, action: &str) {
        let run = async {
            while self.runs(action).await == 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        bounded(run, "the action has run").await;
    }

    /// Waits until the claims in the store hold a text.
    pub async fn until_claims(&self, text: &str) {
        let store = Caller::new(self.platform.address(), "none");
        let held = async {
            let mut holds = false;
            while !holds {
                tokio::time::sleep(POLL_INTERVAL).await;
                let claims = store.call(Method::GET, "/list?prefix=claims/", "").await;
                holds = claims.expect("the platform answers").body.contains(text);
            }
        };
        bounded(held, "the store holds the claim").await;
    }

    /// Returns how often the store was read and written.
    pub async fn store_calls(&self) -> (u64, u64) {
        let stats = control(self.platform.address(), Method::GET, "stats", &json!({})).await;
        let stats: Value = serde_json::from_str(&stats).expect("counts");
        let count = |name: &str| stats[name].as_u64().expect("a count");
        (count("reads"), count("writes"))
    }
}

/// Runs an action, under an identifier if there is one.
pub async fn act(caller: &Caller, action: &str, id: Option<&str>) -> Reply {
    let headers: Vec<(&str, &str)> = id.map(|id| ("idempotency-key", id)).into_iter().collect();
    caller
        .call_with_headers(Method::POST, "/s/tracker/plots/7", action, &headers)
        .await
        .expect("a reply")
}

/// Waits for a condition for a bounded time.
async fn bounded(condition: impl Future<Output = ()>, name: &str) {
    let waited = tokio::time::timeout(WAIT_LIMIT, condition).await;
    assert!(waited.is_ok(), "waited in vain until {name}");
}

/// Returns a new identifier.
pub fn identifier() -> String {
    Uuid::now_v7().to_string()
}

async fn control(address: SocketAddr, method: Method, path: &str, body: &Value) -> String {
    let caller = Caller::new(address, "none");
    let reply = caller
        .call(method, &format!("/control/{path}"), &body.to_string())
        .await
        .expect("the stand-in answers");
    assert_eq!(reply.status, 200, "{}", reply.body);
    reply.body
}

fn service(platform: &str, name: &str) -> Process {
    let mut arguments = vec!["service", "--platform", platform, "--name", name];
    arguments.extend(["--service", "tracker", "--failure-domain", "domain-0"]);
    arguments.extend(["--region", "region-1"]);
    Process::start(STANDIN, &arguments)
}

fn entry(folder: &Path, platform: &str, index: usize) -> Process {
    let settings = format!(
        r#"
[entry]
name = "entry-{index}"
failure_domain = "domain-{index}"
region = "region-1"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[platform]
address = "{platform}"
[keys]
callers = {{ env = "TEST_CALLERS" }}
operators = {{ env = "TEST_OPERATORS" }}
peers = {{ env = "TEST_PEERS" }}
resume = {{ env = "TEST_RESUME" }}
"#
    );
    let file = folder.join(format!("entry-{index}.toml"));
    fs::write(&file, settings).expect("the settings are written");
    Process::start(DAEMON, &[file.to_str().expect("a path in UTF-8")])
}
