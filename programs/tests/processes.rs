//! The whole request path as separate processes on loopback: entries, a platform, engines and a
//! plain service.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use hyper::Method;
use medlarfall::caller::{Caller, Completion};
use medlarfall::cluster;
use medlarfall::operator::Operator;
use medlarfall_standin::oracle;

const STANDIN: &str = env!("CARGO_BIN_EXE_medlarfall-standin");
const DAEMON: &str = env!("CARGO_BIN_EXE_medlarfalld");
const CALLER_KEY: &str = "key-of-cedarline";
const OPERATOR_KEY: &str = "key-of-operators";

/// A process that is killed when the test ends.
struct Process {
    child: Child,
    listening: serde_json::Value,
}

impl Process {
    /// Starts a program and waits until it prints its listening addresses.
    fn start(program: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .env("TEST_CALLERS", format!("cedarline = \"{CALLER_KEY}\""))
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

fn parse_address(value: &serde_json::Value) -> SocketAddr {
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .expect("an address")
}

/// Two entries, a platform, four engines and a service, in two failure domains, with the settings
/// folder.
struct Deployment {
    entries: Vec<Process>,
    engines: Vec<Process>,
    _platform: Process,
    _service: Process,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    async fn start(test: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("medlarfall-{test}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let platform = Process::start(STANDIN, &["platform", "--instances-lag-ms", "0"]);
        let address = platform.address().to_string();
        let engines = (0..4)
            .map(|index| start_backend("engine", "briefs", &address, index))
            .collect();
        let service = start_backend("service", "tracker", &address, 0);
        let entries = (0..2)
            .map(|index| start_entry(&folder, &address, index))
            .collect();
        let deployment = Self {
            entries,
            engines,
            _platform: platform,
            _service: service,
            folder,
        };
        deployment.declare().await;
        deployment.wait_until_ready().await;
        deployment
    }

    async fn declare(&self) {
        let mut operator = self.operator(0);
        for service in [cluster::briefs("v1"), cluster::tracker("v1")] {
            operator
                .apply(service)
                .await
                .expect("the declaration is accepted");
        }
    }

    /// Waits until every entry knows the two services and the five backend servers.
    async fn wait_until_ready(&self) {
        for index in 0..self.entries.len() {
            let mut operator = self.operator(index);
            loop {
                let declared = operator.list().await.map_or(0, |services| services.len());
                let known = operator
                    .status()
                    .await
                    .map_or(0, |status| status.backend_servers.len());
                if declared == 2 && known == 5 {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    fn operator(&self, entry: usize) -> Operator {
        Operator::new(self.entries[entry].port("operators"), OPERATOR_KEY)
            .expect("an operator client")
    }

    fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].port("callers"), CALLER_KEY)
    }
}

fn start_backend(role: &str, service: &str, platform: &str, index: usize) -> Process {
    let name = format!("{role}-{index}");
    let domain = format!("domain-{}", index % 2);
    let mut arguments = vec![
        role,
        "--platform",
        platform,
        "--name",
        &name,
        "--service",
        service,
    ];
    arguments.extend(["--failure-domain", &domain, "--region", "region-1"]);
    Process::start(STANDIN, &arguments)
}

fn start_entry(folder: &std::path::Path, platform: &str, index: usize) -> Process {
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

fn completion(prompt: &str, max_tokens: u64) -> Completion {
    Completion {
        model: "briefs".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        stream: false,
    }
}

#[tokio::test]
async fn requests_are_served_completely_in_every_failure_domain() {
    let deployment = Deployment::start("served").await;
    for entry in 0..2 {
        let caller = deployment.caller(entry);
        let prompt = format!("manifest of group {entry}");
        let expected = oracle::answer("v1", &prompt, 60);
        let mut stream = caller
            .stream(&completion(&prompt, 60))
            .await
            .expect("a stream");
        let streamed = stream.text().await.expect("the whole stream");
        assert_eq!(streamed, (expected.clone(), true));
        let whole = caller
            .generate(&completion(&prompt, 60))
            .await
            .expect("a whole answer");
        assert_eq!(whole, expected);
        let read = caller
            .call(Method::GET, "/s/tracker/plots/7", "")
            .await
            .expect("a reply");
        assert_eq!((read.status, read.run.as_str()), (200, "ran"));
        let action = format!("assign-{entry}");
        let assigned = caller
            .call(Method::POST, "/s/tracker/plots/7", &action)
            .await
            .expect("a reply");
        assert_eq!((assigned.status, assigned.run.as_str()), (200, "ran"));
        assert!(assigned.body.contains("\"runs\":1"), "{}", assigned.body);
    }
}

#[tokio::test]
async fn a_generation_survives_the_death_of_its_engine() {
    let mut deployment = Deployment::start("killed").await;
    let prompt = "history of batch 99";
    let expected = oracle::answer("v1", prompt, 200);
    let mut stream = deployment
        .caller(0)
        .stream(&completion(prompt, 200))
        .await
        .expect("a stream");
    let mut text = String::new();
    for _ in 0..20 {
        let chunk = stream
            .next()
            .await
            .expect("a chunk")
            .expect("another chunk");
        text.push_str(&chunk.choices[0].text);
    }
    // Engines 0 and 2 are in the entry's own failure domain: one of them serves the generation.
    for index in [0, 2] {
        deployment.engines[index]
            .child
            .kill()
            .expect("the engine is killed");
    }
    let (rest, whole) = stream.text().await.expect("the rest of the stream");
    assert_eq!(text + &rest, expected);
    assert!(whole);
}

#[tokio::test]
async fn an_entry_that_receives_sigterm_finishes_its_streams_first() {
    let mut deployment = Deployment::start("terminated").await;
    let prompt = "history of batch 12";
    let expected = oracle::answer("v1", prompt, 200);
    let mut stream = deployment
        .caller(0)
        .stream(&completion(prompt, 200))
        .await
        .expect("a stream");
    let first = stream
        .next()
        .await
        .expect("a chunk")
        .expect("another chunk");
    let pid = deployment.entries[0].child.id().to_string();
    let status = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(status.expect("`kill` runs").success());
    let refused = loop {
        match deployment
            .caller(0)
            .generate(&completion("too late", 5))
            .await
        {
            Ok(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            Err(error) => break error.to_string(),
        }
    };
    assert!(refused.contains("\"run\":\"not-run\""), "{refused}");
    let (rest, whole) = stream.text().await.expect("the rest of the stream");
    assert_eq!(first.choices[0].text.clone() + &rest, expected);
    assert!(whole);
    let ended = deployment.entries[0]
        .child
        .wait()
        .expect("the exit status of the entry");
    assert!(ended.success(), "{ended}");
}
