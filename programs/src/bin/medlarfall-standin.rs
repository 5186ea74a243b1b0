//! Runs a stand-in for the platform, an engine or a plain service as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use medlarfall_standin::faults::CrashScope;
use medlarfall_standin::http::Server;
use medlarfall_standin::platform::Instance;
use medlarfall_standin::{engine, oracle, platform, service};

/// Command-line arguments; `xflags` generates their types without documentation.
#[allow(missing_docs)]
mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Runs stand-ins for the systems that medlarfall depends on.
        cmd medlarfall-standin {
            /// Runs the platform: key-value service, instance list and weight store.
            cmd platform {
                /// Address to listen on; port 0 by default.
                optional --listen listen: SocketAddr
                /// Delay before changes appear on the instance list, in milliseconds.
                optional --instances-lag-ms instances_lag_ms: u64
            }
            /// Runs a model engine and registers it on the platform's instance list.
            cmd engine {
                /// Address of the platform.
                required --platform platform: SocketAddr
                /// Unique name of the instance.
                required --name name: String
                /// Service that the engine belongs to.
                required --service service: String
                /// Failure domain that the engine runs in.
                required --failure-domain failure_domain: String
                /// Region that the engine runs in.
                required --region region: String
                /// Address to listen on; port 0 by default.
                optional --listen listen: SocketAddr
                /// Version that the engine serves.
                optional --version version: String
                /// Time between two tokens, in milliseconds.
                optional --token-interval-ms token_interval_ms: u64
                /// Memory in tokens; the engine dies if it needs more.
                optional --memory-tokens memory_tokens: u64
                /// Accepts orders regardless of their fencing number.
                optional --ignore-fencing
            }
            /// Runs a plain service and registers it on the platform's instance list.
            cmd service {
                /// Address of the platform.
                required --platform platform: SocketAddr
                /// Unique name of the instance.
                required --name name: String
                /// Service that the instance belongs to.
                required --service service: String
                /// Failure domain that the instance runs in.
                required --failure-domain failure_domain: String
                /// Region that the instance runs in.
                required --region region: String
                /// Address to listen on; port 0 by default.
                optional --listen listen: SocketAddr
                /// Version that the service runs.
                optional --version version: String
            }
            /// Prints the answer that an engine must return.
            cmd expect {
                /// Version of the model.
                required --version version: String
                /// The prompt.
                required --prompt prompt: String
                /// Maximum number of tokens of the answer.
                required --max-tokens max_tokens: u64
            }
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::MedlarfallStandin::from_env_or_exit();
    let result = match flags.subcommand {
        flags::MedlarfallStandinCmd::Platform(flags) => run_platform(flags).await,
        flags::MedlarfallStandinCmd::Engine(flags) => run_engine(flags).await,
        flags::MedlarfallStandinCmd::Service(flags) => run_service(flags).await,
        flags::MedlarfallStandinCmd::Expect(flags) => {
            println!(
                "{}",
                oracle::answer(&flags.version, &flags.prompt, flags.max_tokens)
            );
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarfall-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a platform until it is killed.
async fn run_platform(flags: flags::Platform) -> Result<(), String> {
    let mut config = platform::Config {
        crash_scope: CrashScope::Process,
        ..platform::Config::default()
    };
    config.listen = flags.listen.unwrap_or(config.listen);
    config.instances_lag = flags
        .instances_lag_ms
        .map_or(config.instances_lag, Duration::from_millis);
    let (_, server) = platform::start(config)
        .await
        .map_err(|error| error.to_string())?;
    print_address(&server);
    server.killed().await;
    Ok(())
}

/// Runs an engine until it is killed.
async fn run_engine(flags: flags::Engine) -> Result<(), String> {
    let mut config = engine::Config {
        crash_scope: CrashScope::Process,
        fencing: !flags.ignore_fencing,
        ..engine::Config::default()
    };
    config.listen = flags.listen.unwrap_or(config.listen);
    config.version = flags.version.unwrap_or(config.version);
    config.token_interval = flags
        .token_interval_ms
        .map_or(config.token_interval, Duration::from_millis);
    config.memory_tokens = flags.memory_tokens.unwrap_or(config.memory_tokens);
    let (version, memory_tokens) = (config.version.clone(), config.memory_tokens);
    let (_, server) = engine::start(config)
        .await
        .map_err(|error| error.to_string())?;
    let instance = Instance {
        name: flags.name,
        role: "engine".to_owned(),
        service: flags.service,
        version,
        address: server.address.to_string(),
        failure_domain: flags.failure_domain,
        region: flags.region,
        memory_tokens,
        leaving: false,
    };
    register(flags.platform, &instance).await?;
    print_address(&server);
    server.killed().await;
    Ok(())
}

/// Runs a plain service until it is killed.
async fn run_service(flags: flags::Service) -> Result<(), String> {
    let mut config = service::Config {
        crash_scope: CrashScope::Process,
        ..service::Config::default()
    };
    config.listen = flags.listen.unwrap_or(config.listen);
    config.version = flags.version.unwrap_or(config.version);
    let version = config.version.clone();
    let (_, server) = service::start(config)
        .await
        .map_err(|error| error.to_string())?;
    let instance = Instance {
        name: flags.name,
        role: "service".to_owned(),
        service: flags.service,
        version,
        address: server.address.to_string(),
        failure_domain: flags.failure_domain,
        region: flags.region,
        memory_tokens: 0,
        leaving: false,
    };
    register(flags.platform, &instance).await?;
    print_address(&server);
    server.killed().await;
    Ok(())
}

/// Registers an instance on the platform's list.
async fn register(platform: SocketAddr, instance: &Instance) -> Result<(), String> {
    let body = serde_json::to_vec(instance).map_err(|error| error.to_string())?;
    let request = hyper::Request::put(format!("http://{platform}/instances/{}", instance.name))
        .body(Full::new(bytes::Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let client: Client<_, Full<bytes::Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await;
    response.map(drop).map_err(|error| {
        format!("cannot connect to the platform at {platform}: {error}; start it first")
    })
}

/// Prints the address that a stand-in listens on, as a line of JSON.
fn print_address(server: &Server) {
    println!("{}", serde_json::json!({ "listening": server.address }));
}
