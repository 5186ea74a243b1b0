//! Propagation of trace context from a caller through an entry to a plain service, as separate
//! processes, and the spans that the entry logs.

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use medlarfall::cluster;
use medlarfall::operator::Operator;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "b7ad6b7169203331";
const OPERATOR_KEY: &str = "key-of-operators";

/// Longest wait for a span.
const SPAN_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a program and returns it with its listening addresses.
fn start(program: &str, arguments: &[&str]) -> (Process, serde_json::Value) {
    let mut child = Command::new(program)
        .args(arguments)
        .env("TEST_CALLERS", "cedarline = \"key-of-cedarline\"")
        .env("TEST_OPERATORS", OPERATOR_KEY)
        .env("TEST_PEERS", "key-of-peers")
        .env("TEST_RESUME", "key-of-resume-tokens")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("standard output is piped");
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("the program prints its addresses");
    let line: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
    (Process(child), line["listening"].clone())
}

/// Returns a channel of the lines that a process logs.
fn log_lines(process: &mut Process) -> mpsc::Receiver<serde_json::Value> {
    let (sender, receiver) = mpsc::channel();
    let stderr = process.0.stderr.take().expect("standard error is piped");
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let value = serde_json::from_str(&line).expect("each log line is JSON");
            if sender.send(value).is_err() {
                return;
            }
        }
    });
    receiver
}

#[tokio::test]
async fn the_spans_of_one_request_form_one_trace_across_two_processes() {
    let folder = std::env::temp_dir().join(format!("medlarfall-traces-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder for settings");
    let standin = env!("CARGO_BIN_EXE_medlarfall-standin");
    let (_platform, platform) = start(standin, &["platform", "--instances-lag-ms", "0"]);
    let platform = platform.as_str().expect("an address");
    let common = ["--failure-domain", "domain-0", "--region", "region-1"];
    let service = [
        "service",
        "--platform",
        platform,
        "--name",
        "service-0",
        "--service",
        "tracker",
    ];
    let (_service, _) = start(standin, &[service.as_slice(), &common].concat());
    let file = folder.join("entry.toml");
    let settings = format!(
        "[entry]\nname = \"entry-0\"\nfailure_domain = \"domain-0\"\nregion = \"region-1\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n\
         [platform]\naddress = \"{platform}\"\n\
         [keys]\ncallers = {{ env = \"TEST_CALLERS\" }}\noperators = {{ env = \"TEST_OPERATORS\" }}\n\
         peers = {{ env = \"TEST_PEERS\" }}\nresume = {{ env = \"TEST_RESUME\" }}\n"
    );
    fs::write(&file, settings).expect("the settings are written");
    let (mut entry, ports) = start(
        env!("CARGO_BIN_EXE_medlarfalld"),
        &[file.to_str().expect("UTF-8")],
    );
    let lines = log_lines(&mut entry);
    let operators = ports["operators"]
        .as_str()
        .and_then(|text| text.parse().ok())
        .expect("an address");
    let mut operator = Operator::new(operators, OPERATOR_KEY).expect("an operator client");
    operator
        .apply(cluster::tracker("v1"))
        .await
        .expect("the declaration is accepted");
    while operator.list().await.map_or(0, |services| services.len()) == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    let client: Client<_, Full<bytes::Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let callers = ports["callers"].as_str().expect("an address");
    let request = hyper::Request::get(format!("http://{callers}/s/tracker/plots/7"))
        .header("authorization", "Bearer key-of-cedarline")
        .header("traceparent", format!("00-{TRACE}-{CALLER_SPAN}-01"))
        .body(Full::default())
        .expect("a request");
    let answer = client.request(request).await.expect("an answer");
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("the whole answer")
        .to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");

    // Ended spans are logged in batches, in any order: collect lines until every span is present.
    let names = ["caller", "call", "queue", "attempt"];
    let mut spans = std::collections::BTreeMap::new();
    while spans.len() < names.len() {
        let line = lines
            .recv_timeout(SPAN_TIMEOUT)
            .expect("the spans are logged");
        let name = line["message"].as_str().unwrap_or_default().to_owned();
        if names.contains(&name.as_str()) && line["kvs"]["trace"] == TRACE {
            let text = |key: &str| line["kvs"][key].as_str().expect("a string").to_owned();
            spans.insert(name, (text("parent"), text("span")));
        }
    }
    let span_id = |name: &str| spans[name].1.clone();
    assert_eq!(spans["caller"].0, CALLER_SPAN);
    assert_eq!(spans["call"].0, span_id("caller"));
    assert_eq!(spans["queue"].0, span_id("call"));
    assert_eq!(spans["attempt"].0, span_id("call"));
    assert_eq!(
        body["traceparent"],
        format!("00-{TRACE}-{}-01", span_id("attempt"))
    );
    let _ = fs::remove_dir_all(&folder);
}
