//! Scenario `decisions`: median time of one admission for several numbers of backend servers,
//! client accounts and live requests. Runs the admission task alone, without a cluster.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use medlarfall_serving::backend::{Role, Server};
use medlarfall_serving::clock::Clock;
use medlarfall_serving::modules::admission::{self, Admission, Permit, Requirements};
use medlarfall_serving::modules::directory::Directory;
use medlarfall_serving::modules::metrics::Admissions;
use medlarfall_serving::modules::peers::Identity;
use medlarfall_serving::platform::http::Client;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Report;
use super::stopwatch::microseconds;
use crate::cluster;

/// Admissions measured at each size.
const DECISIONS: usize = 2_000;

/// Service of the backend servers.
const SERVICE: &str = "briefs";

/// Numbers of backend servers, client accounts and live requests of one run.
#[derive(Clone, Copy, Debug)]
struct Size {
    servers: usize,
    accounts: usize,
    live: usize,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Report, Box<dyn Error>> {
    let base = Size {
        servers: 714,
        accounts: 350,
        live: 10_000,
    };
    let with_servers = |servers| Size { servers, ..base };
    Ok(Report::from([
        (
            "decision_us_servers_7",
            median_us(
                Size {
                    live: 100,
                    ..with_servers(7)
                },
                seed,
            )
            .await?
            .into(),
        ),
        (
            "decision_us_servers_71",
            median_us(
                Size {
                    live: 1_000,
                    ..with_servers(71)
                },
                seed,
            )
            .await?
            .into(),
        ),
        (
            "decision_us_servers_357",
            median_us(with_servers(357), seed).await?.into(),
        ),
        (
            "decision_us_servers_714",
            median_us(base, seed).await?.into(),
        ),
        (
            "decision_us_accounts_1",
            median_us(
                Size {
                    accounts: 1,
                    ..base
                },
                seed,
            )
            .await?
            .into(),
        ),
        (
            "decision_us_accounts_35",
            median_us(
                Size {
                    accounts: 35,
                    ..base
                },
                seed,
            )
            .await?
            .into(),
        ),
        (
            "decision_us_live_0",
            median_us(Size { live: 0, ..base }, seed).await?.into(),
        ),
        (
            "decision_us_live_1000",
            median_us(
                Size {
                    live: 1_000,
                    ..base
                },
                seed,
            )
            .await?
            .into(),
        ),
    ]))
}

/// Returns the median time of an admission, in microseconds.
async fn median_us(size: Size, seed: u64) -> Result<u64, Box<dyn Error>> {
    let (admission, _directory, stop) = start(size.servers);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut live: Vec<Permit> = Vec::with_capacity(size.live);
    for _ in 0..size.live {
        live.push(
            admission
                .acquire(random_requirements(&mut random, size))
                .await?,
        );
    }
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..DECISIONS {
        let requirements = random_requirements(&mut random, size);
        let started = Instant::now();
        let permit = admission.acquire(requirements).await?;
        times.record(microseconds(started.elapsed()))?;
        drop(permit);
    }
    stop.cancel();
    Ok(times.value_at_quantile(0.5))
}

/// Starts the admission task with `servers` backend servers, all in one failure domain.
fn start(servers: usize) -> (Admission, watch::Sender<Arc<Directory>>, CancellationToken) {
    let directory: Directory = (0..servers).map(server).collect();
    let (sender, directory) = watch::channel(Arc::new(directory));
    sender.send_modify(|_| {});
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    let stop = CancellationToken::new();
    let settings = cluster::settings("entry-0", "domain-0", unused);
    let admission = admission::start(admission::Dependencies {
        settings: &settings,
        identity: &Identity::default(),
        store: Client::new(unused, Arc::from("entry-0"), Duration::from_secs(1)),
        admitted: Admissions::default(),
        clock: Clock::start(),
        directory,
        stop: stop.clone(),
    });
    (admission, sender, stop)
}

/// Returns the backend server with an index.
fn server(index: usize) -> Server {
    Server {
        name: Arc::from(format!("service-{index}")),
        role: Role::Service,
        service: Arc::from(SERVICE),
        version: Arc::from("v1"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: Arc::from("domain-0"),
        region: Arc::from("region-1"),
        memory_tokens: 0,
        leaving: false,
    }
}

/// Returns the requirements of a request with a random account and prompt prefix.
fn random_requirements(random: &mut ChaCha8Rng, size: Size) -> Requirements {
    Requirements {
        service: Arc::from(SERVICE),
        version: Arc::from("v1"),
        account: Arc::from(format!("account-{}", random.random_range(0..size.accounts))),
        weight: 1,
        priority: 0,
        tokens: 1,
        prefix: random.random(),
        deadline: Duration::from_mins(10),
        excluded: Vec::new(),
    }
}
