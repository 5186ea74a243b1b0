//! Test support: entries, a platform stand-in and engine stand-ins as separate processes, with
//! fault injection.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use medlarfall::caller::{Answer, Caller, Completion};
use medlarfall::cluster;
use medlarfall::operator::Operator;
use medlarfall_standin::engine::{Faults, Stats};

const STANDIN: &str = env!("CARGO_BIN_EXE_medlarfall-standin");
const DAEMON: &str = env!("CARGO_BIN_EXE_medlarfalld");
const OPERATOR_KEY: &str = "key-of-operators";

/// API key of the client account that sends the requests.
pub const CALLER_KEY: &str = "key-of-cedarline";

/// API key of a second client account.
pub const OTHER_KEY: &str = "key-of-siam-chalerm";

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that is killed when the test ends.
pub struct Process {
    child: Child,
    listening: serde_json::Value,
}

impl Process {
    /// Starts a program and waits until it prints its listening addresses.
    fn start(program: &str, arguments: &[&str]) -> Self {
        let callers = format!("cedarline = \"{CALLER_KEY}\"\nsiam = \"{OTHER_KEY}\"");
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
        let line: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
        Self {
            child,
            listening: line["listening"].clone(),
        }
    }

    /// Returns the address of the named port, or of the only port if `port` is `None`.
    pub fn address(&self, port: Option<&str>) -> SocketAddr {
        let value = port.map_or(&self.listening, |port| &self.listening[port]);
        let address = value.as_str().and_then(|text| text.parse().ok());
        address.expect("an address")
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the exit status of the process");
    }

    /// Sends the signal SIGSTOP or SIGCONT, named `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &self.child.id().to_string()])
            .status();
        assert!(status.expect("`kill` runs").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Two entries, a platform and four engines, in two failure domains, with the settings folder.
pub struct Fleet {
    pub entries: Vec<Process>,
    pub engines: Vec<Process>,
    _platform: Process,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts the processes and waits until both entries know the service and the engines.
    pub async fn start(test: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("medlarfall-{test}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let platform = Process::start(STANDIN, &["platform", "--instances-lag-ms", "0"]);
        let address = platform.address(None).to_string();
        let fleet = Self {
            engines: (0..4).map(|index| start_engine(&address, index)).collect(),
            entries: (0..2)
                .map(|index| start_entry(&folder, &address, index))
                .collect(),
            _platform: platform,
            folder,
        };
        let declared = fleet.operator(0).apply(cluster::briefs("v1")).await;
        declared.expect("the declaration is accepted");
        fleet.wait_until_ready().await;
        fleet
    }

    /// Waits until every entry knows the declared service and the four engines.
    async fn wait_until_ready(&self) {
        for index in 0..self.entries.len() {
            let mut operator = self.operator(index);
            loop {
                let services = operator.list().await.map_or(0, |services| services.len());
                let status = operator.status().await;
                let servers = status.map_or(0, |status| status.backend_servers.len());
                if services == 1 && servers == 4 {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    fn operator(&self, entry: usize) -> Operator {
        let address = self.entries[entry].address(Some("operators"));
        Operator::new(address, OPERATOR_KEY).expect("an operator client")
    }

    /// Returns a client of one entry that authenticates with `key`.
    pub fn caller(&self, entry: usize, key: &str) -> Caller {
        Caller::new(self.entries[entry].address(Some("callers")), key)
    }

    /// Starts a generation that resumes through any entry.
    pub fn start_generation(&self, prompt: &str, max_tokens: u64) -> Answer {
        let entries: Vec<SocketAddr> = self
            .entries
            .iter()
            .map(|entry| entry.address(Some("callers")))
            .collect();
        Answer::new(&entries, CALLER_KEY, completion(prompt, max_tokens))
    }

    /// Waits until an engine other than `excluded` runs a generation, and returns its index.
    pub async fn wait_for_serving_engine(&self, excluded: Option<usize>) -> usize {
        loop {
            for index in 0..self.engines.len() {
                if Some(index) != excluded && self.live_generations(index).await > 0 {
                    return index;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until an engine runs no generation.
    pub async fn wait_until_idle(&self, engine: usize) {
        while self.live_generations(engine).await > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of generations that an engine runs, or 0 if it does not answer in time.
    async fn live_generations(&self, engine: usize) -> u64 {
        let request = self.control(engine, "stats", None);
        let answer = tokio::time::timeout(Duration::from_millis(200), request).await;
        let body = answer.ok().flatten().unwrap_or_default();
        serde_json::from_slice::<Stats>(&body).map_or(0, |stats| stats.live)
    }

    /// Injects faults into an engine; they replace its current faults.
    pub async fn set_faults(&self, engine: usize, faults: &Faults) {
        let body = serde_json::to_string(faults).expect("JSON");
        let response = self.control(engine, "faults", Some(body)).await;
        response.expect("the engine answers");
    }

    /// Sends a request to the control interface of an engine and returns the response body.
    async fn control(&self, engine: usize, path: &str, body: Option<String>) -> Option<Bytes> {
        let address = self.engines[engine].address(None);
        let method = if body.is_some() { "POST" } else { "GET" };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}/control/{path}"))
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .expect("a request");
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let answer = client.request(request).await.ok()?;
        let body = answer.into_body().collect().await.ok()?;
        Some(body.to_bytes())
    }
}

/// Returns a request for a streamed generation.
pub fn completion(prompt: &str, max_tokens: u64) -> Completion {
    Completion {
        model: cluster::BRIEFS.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        stream: true,
    }
}

fn start_engine(platform: &str, index: usize) -> Process {
    let name = format!("engine-{index}");
    let domain = format!("domain-{}", index % 2);
    let mut arguments = vec!["engine", "--platform", platform, "--name", &name];
    arguments.extend(["--service", cluster::BRIEFS, "--region", "region-1"]);
    arguments.extend(["--failure-domain", &domain]);
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
