//! Embedded cluster for tests, benchmarks and the demo. Entries and stand-ins run as tasks of one
//! process and listen on loopback addresses.

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

/// Key of the client account [`ACCOUNT`].
pub const CALLER_KEY: &str = "caller-key-of-the-demo";

/// Client account that [`CALLER_KEY`] belongs to.
pub const ACCOUNT: &str = "demo";

/// Key that authenticates operators.
pub const OPERATOR_KEY: &str = "operator-key-of-the-demo";

/// Name of the generation service.
pub const BRIEFS: &str = "briefs";

/// Name of the plain service.
pub const TRACKER: &str = "tracker";

/// Region of every instance.
const REGION: &str = "region-1";

/// Interval at which [`wait_until`] polls its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which [`wait_until`] gives up.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Errors of starting a cluster or waiting for a condition.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A component of the cluster could not start, or a declaration was rejected.
    #[snafu(display("{component} could not start: {reason}"))]
    Start {
        /// The component.
        component: String,
        /// Text of the underlying error.
        reason: String,
    },
    /// A condition did not hold in time.
    #[snafu(display("timed out after {} s waiting until {condition}", WAIT_LIMIT.as_secs()))]
    Wait {
        /// The condition.
        condition: &'static str,
    },
}

/// Size and configuration of a cluster.
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
    /// Configuration of every engine.
    pub engine: engine::Config,
    /// Modifies the settings of an entry before it starts; takes the index of the entry.
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

/// A stand-in engine of the cluster.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Handle of the engine.
    pub engine: engine::Engine,
    /// HTTP server that it listens on.
    pub server: Server,
    /// Its record on the platform's instance list.
    pub instance: Instance,
}

/// An instance of the plain service.
#[derive(Clone, Debug)]
pub struct PlainService {
    /// Handle of the service.
    pub service: service::Service,
    /// HTTP server that it listens on.
    pub server: Server,
    /// Its record on the platform's instance list.
    pub instance: Instance,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Plan that the cluster was started from.
    pub plan: Plan,
    /// Stand-in for the platform.
    pub platform: platform::Platform,
    /// HTTP server of the platform.
    pub platform_server: Server,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The instances of the plain service.
    pub services: Vec<PlainService>,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Cluster {
    /// Starts a cluster, declares its services and waits until every entry knows the services and
    /// all backend servers.
    ///
    /// # Errors
    ///
    /// Returns the component that could not start, or the condition that did not hold in time.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let (platform, platform_server) = platform::start(platform::Config::default())
            .await
            .map_err(|error| start_error("the platform", &error))?;
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
        cluster.declare_services().await?;
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Starts another engine and registers it on the instance list.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if it could not start.
    pub async fn add_engine(&mut self, config: engine::Config) -> Result<(), Error> {
        let index = self.engines.len();
        let mut instance = self.instance("engine", BRIEFS, index);
        instance.version.clone_from(&config.version);
        instance.memory_tokens = config.memory_tokens;
        let (engine, server) = engine::start(config)
            .await
            .map_err(|error| start_error(&instance.name, &error))?;
        instance.address = server.address.to_string();
        self.platform.register(instance.clone());
        self.engines.push(Engine {
            engine,
            server,
            instance,
        });
        Ok(())
    }

    /// Starts another instance of the plain service and registers it on the instance list.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if it could not start.
    pub async fn add_service(&mut self, config: service::Config) -> Result<(), Error> {
        let index = self.services.len();
        let mut instance = self.instance("service", TRACKER, index);
        instance.version.clone_from(&config.version);
        let (service, server) = service::start(config)
            .await
            .map_err(|error| start_error(&instance.name, &error))?;
        instance.address = server.address.to_string();
        self.platform.register(instance.clone());
        self.services.push(PlainService {
            service,
            server,
            instance,
        });
        Ok(())
    }

    /// Starts another entry and registers it on the instance list.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if it could not start.
    pub async fn add_entry(&mut self) -> Result<(), Error> {
        let index = self.entries.len();
        let mut settings = self.settings(index);
        (self.plan.adjust_settings)(index, &mut settings);
        let name = settings.entry.name.to_string();
        let entry = entry::start(settings)
            .await
            .map_err(|error| start_error(&name, &error))?;
        let mut instance = self.instance("entry", "", index);
        instance.address = entry.addresses.peers.to_string();
        self.platform.register(instance);
        self.entries.push(entry);
        Ok(())
    }

    /// Returns a client of the callers' port of an entry.
    #[must_use]
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].addresses.callers, CALLER_KEY)
    }

    /// Returns a client of the operators' port of an entry.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if the client could not be set up.
    pub fn operator(&self, entry: usize) -> Result<Operator, Error> {
        let address = self.entries[entry].addresses.operators;
        Operator::new(address, OPERATOR_KEY).map_err(|error| start_error("the operator", &error))
    }

    /// Declares the services.
    async fn declare_services(&self) -> Result<(), Error> {
        let mut operator = self.operator(0)?;
        for service in [briefs(&self.plan.engine.version), tracker("v1")] {
            operator
                .apply(service)
                .await
                .map_err(|error| start_error("the declaration", &error))?;
        }
        Ok(())
    }

    /// Waits until every entry knows the declarations and backend servers.
    async fn wait_until_ready(&self) -> Result<(), Error> {
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

    /// Returns the record of an instance without its address and version.
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

    /// Returns the failure domain of an instance; indexes are spread evenly over the failure
    /// domains.
    fn failure_domain(&self, index: usize) -> String {
        format!("domain-{}", index % self.plan.failure_domains)
    }

    /// Returns the settings of an entry, with the entries started so far as its seeds.
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

/// Returns default settings of an entry; the operating system chooses its ports.
#[must_use]
pub fn settings(name: &str, failure_domain: &str, platform: SocketAddr) -> Settings {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        entry: configs::entry::Entry {
            name: Arc::from(name),
            failure_domain: Arc::from(failure_domain),
            region: Arc::from(REGION),
        },
        listen: configs::listen::Listen {
            callers: loopback,
            operators: loopback,
            peers: loopback,
            metrics: loopback,
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

/// Returns the keys that all entries of a cluster share.
fn keys() -> configs::keys::Keys {
    let secret = configs::keys::Secret::new;
    configs::keys::Keys {
        callers: Arc::new(BTreeMap::from([(secret(CALLER_KEY), Arc::from(ACCOUNT))])),
        operators: secret(OPERATOR_KEY),
        peers: secret("peer-key-of-the-demo"),
        resume: secret("resume-key-of-the-demo"),
    }
}

/// Returns the declaration of the generation service.
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

/// Polls a condition until it holds.
///
/// # Errors
///
/// Returns [`Error::Wait`] if the condition does not hold in time.
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

/// Returns the error of a component that could not start.
fn start_error(component: &str, error: &impl ToString) -> Error {
    Error::Start {
        component: component.to_owned(),
        reason: error.to_string(),
    }
}
