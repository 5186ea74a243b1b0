//! Test support: two entries, a platform stand-in and a plain service stand-in as separate
//! processes, with fault injection.

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

/// API key of the first client account.
pub const CEDARLINE: &str = "key-of-cedarline";

/// API key of the second client account.
pub const CHALERM: &str = "key-of-chalerm";

/// A process that is killed when the test ends.
pub struct Process {
    pub child: Child,
    listening: Value,
}

impl Process {
    /// Starts a program and waits until it prints its listening addresses.
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
        let stdout = child.stdout.take().expect("standard output is piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the program prints its addresses");
        let line: Value = serde_json::from_str(&line).expect("the line is JSON");
        Self {
            child,
            listening: line["listening"].clone(),
        }
    }

    /// Sends a signal to the process, given as an option of `kill` such as `-STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.expect("`kill` runs").success());
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the exit status of the process");
    }

    fn address(&self) -> SocketAddr {
        parse_address(&self.listening)
    }

    fn port(&self, name: &str) -> SocketAddr {
        parse_address(&self.listening[name])
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn parse_address(value: &Value) -> SocketAddr {
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .expect("an address")
}

/// The processes of one test and the folder of their settings.
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
        let service = start_service(&address, "service-0");
        let entries = (0..2)
            .map(|index| start_entry(&folder, &address, index))
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
            fleet.wait_until_ready(index, 1).await;
        }
        fleet
    }

    /// Starts another instance of the service in place of the killed one, and waits until both
    /// entries know only the new one.
    pub async fn replace_service(&mut self) {
        let platform = self.platform.address();
        let removal = Caller::new(platform, "none")
            .call(Method::DELETE, "/instances/service-0", "")
            .await
            .expect("the platform answers");
        assert_eq!(removal.status, 200);
        self.service = start_service(&platform.to_string(), "service-1");
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

    /// Waits until an entry knows the declared service and `servers` backend servers.
    async fn wait_until_ready(&self, entry: usize, servers: usize) {
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
        Operator::new(self.entries[entry].port("operators"), OPERATOR_KEY)
            .expect("an operator client")
    }

    /// Returns a client of one entry for the first client account.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].port("callers"), CEDARLINE)
    }

    /// Returns a client of one entry that authenticates with `key`.
    pub fn caller_with_key(&self, entry: usize, key: &str) -> Caller {
        Caller::new(self.entries[entry].port("callers"), key)
    }

    /// Runs an action of the service through an entry, with an idempotency key if `id` is given.
    pub async fn run_action(&self, entry: usize, action: &str, id: Option<&str>) -> Reply {
        run_action(&self.caller(entry), action, id).await
    }

    /// Injects faults into the service; they replace its current faults.
    pub async fn set_service_faults(&self, faults: Value) {
        control(self.service.address(), Method::POST, "faults", &faults).await;
    }

    /// Injects faults into the platform; they replace its current faults.
    pub async fn set_platform_faults(&self, faults: Value) {
        control(self.platform.address(), Method::POST, "faults", &faults).await;
    }

    /// Returns how often the service has run an action.
    pub async fn run_count(&self, action: &str) -> u64 {
        let runs = control(self.service.address(), Method::GET, "runs", &json!({})).await;
        let runs: BTreeMap<String, u64> = serde_json::from_str(&runs).expect("counts");
        runs.get(action).copied().unwrap_or(0)
    }

    /// Waits until an action has run.
    pub async fn wait_for_run(&self, action: &str) {
        let run = async {
            while self.run_count(action).await == 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        with_wait_limit(run, "the action has run").await;
    }

    /// Waits until the claims in the store contain a text.
    pub async fn wait_for_claim(&self, text: &str) {
        let store = Caller::new(self.platform.address(), "none");
        let found = async {
            let mut contained = false;
            while !contained {
                tokio::time::sleep(POLL_INTERVAL).await;
                let claims = store.call(Method::GET, "/list?prefix=claims/", "").await;
                contained = claims.expect("the platform answers").body.contains(text);
            }
        };
        with_wait_limit(found, "the store contains the claim").await;
    }

    /// Returns the numbers of reads and writes of the store.
    pub async fn store_calls(&self) -> (u64, u64) {
        let stats = control(self.platform.address(), Method::GET, "stats", &json!({})).await;
        let stats: Value = serde_json::from_str(&stats).expect("counts");
        let count = |name: &str| stats[name].as_u64().expect("a count");
        (count("reads"), count("writes"))
    }
}

/// Runs an action of the service, with an idempotency key if `id` is given.
pub async fn run_action(caller: &Caller, action: &str, id: Option<&str>) -> Reply {
    let headers: Vec<(&str, &str)> = id.map(|id| ("idempotency-key", id)).into_iter().collect();
    caller
        .call_with_headers(Method::POST, "/s/tracker/plots/7", action, &headers)
        .await
        .expect("a reply")
}

/// Waits for a condition and fails after `WAIT_LIMIT`.
async fn with_wait_limit(condition: impl Future<Output = ()>, name: &str) {
    let waited = tokio::time::timeout(WAIT_LIMIT, condition).await;
    assert!(
        waited.is_ok(),
        "timed out after {WAIT_LIMIT:?} waiting until {name}"
    );
}

/// Returns a new idempotency key.
pub fn identifier() -> String {
    Uuid::now_v7().to_string()
}

/// Sends a request to the control interface of a stand-in and returns the response body.
async fn control(address: SocketAddr, method: Method, path: &str, body: &Value) -> String {
    let caller = Caller::new(address, "none");
    let reply = caller
        .call(method, &format!("/control/{path}"), &body.to_string())
        .await
        .expect("the stand-in answers");
    assert_eq!(reply.status, 200, "{}", reply.body);
    reply.body
}

fn start_service(platform: &str, name: &str) -> Process {
    let mut arguments = vec!["service", "--platform", platform, "--name", name];
    arguments.extend(["--service", "tracker", "--failure-domain", "domain-0"]);
    arguments.extend(["--region", "region-1"]);
    Process::start(STANDIN, &arguments)
}

fn start_entry(folder: &Path, platform: &str, index: usize) -> Process {
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
    Process::start(DAEMON, &[file.to_str().expect("a UTF-8 path")])
}
