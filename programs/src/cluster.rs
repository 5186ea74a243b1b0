//! An embedded cluster: entries and stand-ins as tasks of one process on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_schema::declaration::{Kind, Route, Service};
use medlarfall_serving::configs::{self, Settings};
use medlarfall_serving::entry::{self, Entry};
use medlarfall_standin::http::Server;
use medlarfall_standin::platform::Instance;
use medlarfall_standin::{engine, platform, service};
use snafu::Snafu;

use crate::caller::Caller;
use crate::operator::Operator;

/// Key of the caller that the cluster knows as [`ACCOUNT`].
pub const CALLER_KEY: &str = "caller-key-of-the-demo";

/// Client account that [`CALLER_KEY`] belongs to.
pub const ACCOUNT: &str = "demo";

/// Key of the operators.
pub const OPERATOR_KEY: &str = "operator-key-of-the-demo";

/// Service that generates.
pub const BRIEFS: &str = "briefs";

/// Plain service.
pub const TRACKER: &str = "tracker";

/// Region of every instance.
const REGION: &str = "region-1";

/// Pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Why a cluster could not be brought up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A part of the cluster could not start.
    #[snafu(display("{part} could not start: {reason}"))]
    Start {
        /// The part.
        part: String,
        /// What happened.
        reason: String,
    },
    /// A condition did not come about.
    #[snafu(display("waited {} s in vain until {condition}", WAIT_LIMIT.as_secs()))]
    Wait {
        /// The condition.
        condition: &'static str,
    },
}

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of failure domains.
    pub failure_domains: usize,
    /// Number of entries, spread over the failure domains.
    pub entries: usize,
    /// Number of engines behind [`BRIEFS`], spread over the failure domains.
    pub engines: usize,
    /// Number of instances behind [`TRACKER`], spread over the failure domains.
    pub services: usize,
    /// How each engine is started.
    pub engine: engine::Config,
    /// Changes the settings of each entry, by its index.
    pub adjust_settings: fn(usize, &mut Settings),
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            failure_domains: 2,
            entries: 2,
            engines: 2,
            services: 1,
            engine: engine::Config::default(),
            adjust_settings: |_, _| {},
        }
    }
}

/// An engine of the cluster.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The engine.
    pub engine: engine::Engine,
    /// Its server.
    pub server: Server,
    /// Its entry on the instance list.
    pub instance: Instance,
}

/// An instance of the plain service.
#[derive(Clone, Debug)]
pub struct PlainService {
    /// The service.
    pub service: service::Service,
    /// Its server.
    pub server: Server,
    /// Its entry on the instance list.
    pub instance: Instance,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// What the cluster was made from.
    pub plan: Plan,
    /// The platform.
    pub platform: platform::Platform,
    /// The platform's server.
    pub platform_server: Server,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The instances of the plain service.
    pub services: Vec<PlainService>,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Cluster {
    /// Brings up a cluster, declares its services and waits until every entry serves them.
    ///
    /// # Errors
    ///
    /// Returns which part could not start, or what was waited for in vain.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let (platform, platform_server) = platform::start(platform::Config::default())
            .await
            .map_err(|error| failed("the platform", &error))?;
        let mut cluster = Self {
            plan: plan.clone(),
            platform,
            platform_server,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
        };
        for _ in 0..plan.engines {
            cluster.add_engine(plan.engine.clone()).await?;
        }
        for _ in 0..plan.services {
            cluster.add_service(service::Config::default()).await?;
        }
        for _ in 0..plan.entries {
            cluster.add_entry().await?;
        }
        cluster.declare().await?;
        cluster.ready().await?;
        Ok(cluster)
    }

    /// Starts one more engine and puts it on the instance list.
    ///
    /// # Errors
    ///
    /// Returns that it could not start.
    pub async fn add_engine(&mut self, config: engine::Config) -> Result<(), Error> {
        let index = self.engines.len();
        let mut instance = self.instance("engine", BRIEFS, index);
        instance.version.clone_from(&config.version);
        instance.memory_tokens = config.memory_tokens;
        let (engine, server) = engine::start(config)
            .await
            .map_err(|error| failed(&instance.name, &error))?;
        instance.address = server.address.to_string();
        self.platform.register(instance.clone());
        self.engines.push(Engine {
            engine,
            server,
            instance,
        });
        Ok(())
    }

    /// Starts one more instance of the plain service and puts it on the instance list.
    ///
    /// # Errors
    ///
    /// Returns that it could not start.
    pub async fn add_service(&mut self, config: service::Config) -> Result<(), Error> {
        let index = self.services.len();
        let mut instance = self.instance("service", TRACKER, index);
        instance.version.clone_from(&config.version);
        let (service, server) = service::start(config)
            .await
            .map_err(|error| failed(&instance.name, &error))?;
        instance.address = server.address.to_string();
        self.platform.register(instance.clone());
        self.services.push(PlainService {
            service,
            server,
            instance,
        });
        Ok(())
    }

    /// Starts one more entry and puts it on the instance list.
    ///
    /// # Errors
    ///
    /// Returns that it could not start.
    pub async fn add_entry(&mut self) -> Result<(), Error> {
        let index = self.entries.len();
        let mut settings = self.settings(index);
        (self.plan.adjust_settings)(index, &mut settings);
        let name = settings.entry.name.to_string();
        let entry = entry::start(settings)
            .await
            .map_err(|error| failed(&name, &error))?;
        let mut instance = self.instance("entry", "", index);
        instance.address = entry.addresses.peers.to_string();
        self.platform.register(instance);
        self.entries.push(entry);
        Ok(())
    }

    /// Returns a caller of one entry.
    #[must_use]
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].addresses.callers, CALLER_KEY)
    }

    /// Returns an operator at one entry.
    ///
    /// # Errors
    ///
    /// Returns that the connection could not be set up.
    pub fn operator(&self, entry: usize) -> Result<Operator, Error> {
        let address = self.entries[entry].addresses.operators;
        Operator::new(address, OPERATOR_KEY).map_err(|error| failed("the operator", &error))
    }

    /// Declares the services.
    async fn declare(&self) -> Result<(), Error> {
        let mut operator = self.operator(0)?;
        for service in [briefs(&self.plan.engine.version), tracker("v1")] {
            operator
                .apply(service)
                .await
                .map_err(|error| failed("the declaration", &error))?;
        }
        Ok(())
    }

    /// Waits until every entry has the declarations and backend servers.
    async fn ready(&self) -> Result<(), Error> {
        let servers = self.engines.len() + self.services.len();
        wait_until("every entry knows the services and backend servers", || {
            self.entries.iter().all(|entry| {
                let declared = entry.context.declarations.borrow().services.len();
                let known = entry.context.directory.borrow().iter().count();
                declared == 2 && known >= servers
            })
        })
        .await
    }

    /// Returns an instance for the list, still without address and version.
    fn instance(&self, role: &str, service: &str, index: usize) -> Instance {
        Instance {
            name: format!("{role}-{index}"),
            role: role.to_owned(),
            service: service.to_owned(),
            failure_domain: self.failure_domain(index),
            region: REGION.to_owned(),
            ..Instance::default()
        }
    }

    /// Returns the failure domain of the instance with an index.
    fn failure_domain(&self, index: usize) -> String {
        format!("domain-{}", index % self.plan.failure_domains)
    }

    /// Returns the settings of the entry with an index.
    fn settings(&self, index: usize) -> Settings {
        let name = format!("entry-{index}");
        let platform = self.platform_server.address;
        let entries = self.entries.iter();
        Settings {
            peers: configs::peers::Peers {
                seeds: entries.map(|entry| entry.addresses.peers).collect(),
                advertise: None,
            },
            ..settings(&name, &self.failure_domain(index), platform)
        }
    }
}

/// Returns the settings of an entry, with defaults and ports that the operating system chooses.
#[must_use]
pub fn settings(name: &str, failure_domain: &str, platform: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        entry: configs::entry::Entry {
            name: Arc::from(name),
            failure_domain: Arc::from(failure_domain),
            region: Arc::from(REGION),
        },
        listen: configs::listen::Listen {
            callers: any,
            operators: any,
            peers: any,
            metrics: any,
        },
        platform: configs::platform::Platform::new(platform),
        keys: keys(),
        callers: configs::callers::Callers::default(),
        generation: configs::generation::Generation::default(),
        admission: configs::admission::Admission::default(),
        services: configs::services::Services::default(),
        moves: configs::moves::Moves::default(),
        orders: configs::orders::Orders::default(),
        peers: configs::peers::Peers::default(),
        stops: configs::stops::Stops::default(),
        log: configs::log::Log::default(),
    }
}

/// Returns the keys of every entry.
fn keys() -> configs::keys::Keys {
    let secret = configs::keys::Secret::new;
    configs::keys::Keys {
        callers: Arc::new(BTreeMap::from([(secret(CALLER_KEY), Arc::from(ACCOUNT))])),
        operators: secret(OPERATOR_KEY),
        peers: secret("peer-key-of-the-demo"),
        resume: secret("resume-key-of-the-demo"),
    }
}

/// Returns the declaration of the service that generates.
#[must_use]
pub fn briefs(version: &str) -> Service {
    Service {
        name: BRIEFS.to_owned(),
        kind: Kind::Generation.into(),
        version: version.to_owned(),
        ..Service::default()
    }
}

/// Returns the declaration of the plain service: `PUT /records` is idempotent, `POST` is not.
#[must_use]
pub fn tracker(version: &str) -> Service {
    Service {
        name: TRACKER.to_owned(),
        kind: Kind::Plain.into(),
        version: version.to_owned(),
        routes: vec![Route {
            method: "PUT".to_owned(),
            path_prefix: "/records".to_owned(),
            idempotent: true,
        }],
        ..Service::default()
    }
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Returns the condition that did not come about.
pub async fn wait_until(
    condition: &'static str,
    mut holds: impl FnMut() -> bool,
) -> Result<(), Error> {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_LIMIT, waiting).await;
    waited.map_err(|_| Error::Wait { condition })
}

/// Returns the error of a part that could not start.
fn failed(part: &str, error: &impl ToString) -> Error {
    Error::Start {
        part: part.to_owned(),
        reason: error.to_string(),
    }
}
