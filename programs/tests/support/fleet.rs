//! Entries, a platform and engines as separate processes, whose faults a test sets.

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

/// Key of the client account that asks.
pub const CALLER_KEY: &str = "key-of-cedarline";

/// Key of another client account.
pub const OTHER_KEY: &str = "key-of-siam-chalerm";

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(10);

/// A process that is killed when the test ends.
pub struct Process {
    child: Child,
    listening: serde_json::Value,
}

impl Process {
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
        let stdout = child.stdout.take().expect("its output is read");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("it prints a line");
        let line: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
        Self {
            child,
            listening: line["listening"].clone(),
        }
    }

    /// Returns the address of the only port, or of a named one.
    pub fn address(&self, port: Option<&str>) -> SocketAddr {
        let value = port.map_or(&self.listening, |port| &self.listening[port]);
        let address = value.as_str().and_then(|text| text.parse().ok());
        address.expect("an address")
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process has ended");
    }

    /// Sends `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill")
            .args([&format!("-{signal}"), &self.child.id().to_string()])
            .status();
        assert!(sent.expect("`kill` runs").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Two entries, a platform and four engines, in two failure domains.
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
            engines: (0..4).map(|index| engine(&address, index)).collect(),
            entries: (0..2)
                .map(|index| entry(&folder, &address, index))
                .collect(),
            _platform: platform,
            folder,
        };
        let declared = fleet.operator(0).apply(cluster::briefs("v1")).await;
        declared.expect("the declaration is accepted");
        fleet.ready().await;
        fleet
    }

    async fn ready(&self) {
        for index in 0..self.entries.len() {
            let mut operator = self.operator(index);
            loop {
                let declared = operator.list().await.map_or(0, |services| services.len());
                let status = operator.status().await;
                let known = status.map_or(0, |status| status.backend_servers.len());
                if declared == 1 && known == 4 {
                    break;
                }
                tokio::time::sleep(POLL).await;
            }
        }
    }

    fn operator(&self, entry: usize) -> Operator {
        let address = self.entries[entry].address(Some("operators"));
        Operator::new(address, OPERATOR_KEY).expect("an operator")
    }

    /// Returns a caller of one entry.
    pub fn caller(&self, entry: usize, key: &str) -> Caller {
        Caller::new(self.entries[entry].address(Some("callers")), key)
    }

    /// Asks for a generation that may go on through every entry.
    pub fn ask(&self, prompt: &str, max_tokens: u64) -> Answer {
        let entries: Vec<SocketAddr> = self
            .entries
            .iter()
            .map(|entry| entry.address(Some("callers")))
            .collect();
        Answer::new(&entries, CALLER_KEY, completion(prompt, max_tokens))
    }

    /// Waits until exactly one engine other than `other` holds a generation, and returns it.
    pub async fn serving(&self, other: Option<usize>) -> usize {
        loop {
            for index in 0..self.engines.len() {
                if Some(index) != other && self.live(index).await > 0 {
                    return index;
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until an engine holds no generation.
    pub async fn free(&self, engine: usize) {
        while self.live(engine).await > 0 {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns the generations that an engine holds; one that does not answer holds none.
    async fn live(&self, engine: usize) -> u64 {
        let get = self.control(engine, "stats", None);
        let answer = tokio::time::timeout(Duration::from_millis(200), get).await;
        let body = answer.ok().flatten().unwrap_or_default();
        serde_json::from_slice::<Stats>(&body).map_or(0, |stats| stats.live)
    }

    /// Sets the faults of an engine.
    pub async fn set_faults(&self, engine: usize, faults: &Faults) {
        let body = serde_json::to_string(faults).expect("JSON");
        let set = self.control(engine, "faults", Some(body)).await;
        set.expect("the engine answers");
    }

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

/// Returns a request for a generation.
pub fn completion(prompt: &str, max_tokens: u64) -> Completion {
    Completion {
        model: cluster::BRIEFS.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        stream: true,
    }
}

fn engine(platform: &str, index: usize) -> Process {
    let name = format!("engine-{index}");
    let domain = format!("domain-{}", index % 2);
    let mut arguments = vec!["engine", "--platform", platform, "--name", &name];
    arguments.extend(["--service", cluster::BRIEFS, "--region", "region-1"]);
    arguments.extend(["--failure-domain", &domain]);
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
