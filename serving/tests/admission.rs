//! The admission task with servers that are listed before or after it starts, or that are leaving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_schema::settings as raw;
use medlarfall_serving::backend::{Role, Server};
use medlarfall_serving::clock::Clock;
use medlarfall_serving::configs::Settings;
use medlarfall_serving::modules::admission::{self, Admission, Refusal, Requirements};
use medlarfall_serving::modules::directory::Directory;
use medlarfall_serving::modules::metrics::Admissions;
use medlarfall_serving::modules::peers::Identity;
use medlarfall_serving::platform::http::Client;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const UNREACHABLE_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

/// Returns settings whose keys are read from variables that cargo sets for tests.
fn settings() -> Settings {
    let secret = |env: &str| {
        Some(raw::Secret {
            env: Some(env.to_owned()),
            file: None,
        })
    };
    let any_port = Some("127.0.0.1:0".to_owned());
    let name = |name: &str| Some(name.to_owned());
    let raw = raw::Settings {
        entry: Some(raw::Entry {
            name: name("entry-0"),
            failure_domain: name("domain-0"),
            region: name("region-1"),
        }),
        listen: Some(raw::Listen {
            callers: any_port.clone(),
            operators: any_port.clone(),
            peers: any_port.clone(),
            metrics: any_port,
        }),
        platform: Some(raw::Platform {
            address: name("127.0.0.1:1"),
            ..raw::Platform::default()
        }),
        keys: Some(raw::Keys {
            callers: secret("MEDLARFALL_TEST_CALLERS"),
            operators: secret("CARGO_MANIFEST_DIR"),
            peers: secret("CARGO_PKG_DESCRIPTION"),
            resume: secret("CARGO_PKG_NAME"),
        }),
        ..raw::Settings::default()
    };
    Settings::try_from(raw).expect("the settings are complete")
}

fn server(name: &str) -> Server {
    Server {
        name: Arc::from(name),
        role: Role::Service,
        service: Arc::from("tracker"),
        version: Arc::from("v1"),
        address: SocketAddr::from(UNREACHABLE_ADDRESS),
        failure_domain: Arc::from("domain-0"),
        region: Arc::from("region-1"),
        memory_tokens: 0,
        leaving: false,
    }
}

fn directory(names: &[&str]) -> Arc<Directory> {
    Arc::new(names.iter().map(|name| server(name)).collect())
}

fn start(directory: watch::Receiver<Arc<Directory>>) -> Admission {
    let settings = settings();
    admission::start(admission::Dependencies {
        settings: &settings,
        identity: &Identity::default(),
        store: Client::new(
            SocketAddr::from(UNREACHABLE_ADDRESS),
            Arc::from("entry-0"),
            Duration::from_secs(1),
        ),
        admitted: Admissions::default(),
        clock: Clock::start(),
        directory,
        stop: CancellationToken::new(),
    })
}

fn requirements(wait: Duration) -> Requirements {
    Requirements {
        service: Arc::from("tracker"),
        version: Arc::from("v1"),
        account: Arc::from("cedarline"),
        weight: 1,
        priority: 0,
        tokens: 1,
        prefix: 0,
        deadline: wait,
        excluded: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_server_listed_before_the_start_is_used() {
    let (_sender, receiver) = watch::channel(directory(&["service-0"]));
    let permit = start(receiver)
        .acquire(requirements(Duration::from_secs(5)))
        .await
        .expect("a permit");
    assert_eq!(*permit.server.name, *"service-0");
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_a_server_until_its_deadline() {
    let (sender, receiver) = watch::channel(directory(&[]));
    let admission = start(receiver);
    let refused = admission
        .acquire(requirements(Duration::from_secs(5)))
        .await
        .map(|permit| permit.server.name.clone());
    assert_eq!(refused, Err(Refusal::Deadline));
    let waiting = tokio::spawn(async move {
        admission
            .acquire(requirements(Duration::from_mins(1)))
            .await
    });
    tokio::task::yield_now().await;
    sender.send_replace(directory(&["service-0"]));
    assert!(waiting.await.expect("the task ends").is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_leaving_server_gets_no_new_requests() {
    let (sender, receiver) = watch::channel(directory(&["service-0", "service-1"]));
    let admission = start(receiver);
    let leaving = Server {
        leaving: true,
        ..server("service-0")
    };
    sender.send_replace(Arc::new(
        [leaving, server("service-1")].into_iter().collect(),
    ));
    tokio::task::yield_now().await;
    for _ in 0..20 {
        let permit = admission
            .acquire(requirements(Duration::from_secs(5)))
            .await
            .expect("a permit");
        assert_eq!(*permit.server.name, *"service-1");
    }
}
