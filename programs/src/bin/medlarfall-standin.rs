//! The stand-ins for the platform, engines and services, each as a process.

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

/// Arguments, parsed by `xflags`, which writes the code without comments.
#[allow(missing_docs)]
mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stands in for what medlarfall meets outside itself.
        cmd medlarfall-standin {
            /// Runs the platform: key-value service, instance list and weight store.
            cmd platform {
                /// Address to listen on; port 0 by default.
                optional --listen listen: SocketAddr
                /// Delay of the instance list, in milliseconds.
                optional --instances-lag-ms instances_lag_ms: u64
            }
            /// Runs a model engine and puts it on the platform's instance list.
            cmd engine {
                /// Address of the platform.
                required --platform platform: SocketAddr
                /// Unique name of the instance.
                required --name name: String
                /// Service that the engine stands behind.
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
                /// Memory in tokens; the engine dies over it.
                optional --memory-tokens memory_tokens: u64
                /// Takes orders whatever their fencing number.
                optional --ignore-fencing
            }
            /// Runs a plain service and puts it on the platform's instance list.
            cmd service {
                /// Address of the platform.
                required --platform platform: SocketAddr
                /// Unique name of the instance.
                required --name name: String
                /// Service that the instance stands behind.
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
            /// Prints the answer that an engine must give.
            cmd expect {
                /// Version of the model.
                required --version version: String
                /// The prompt.
                required --prompt prompt: String
                /// Most tokens of the answer.
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

/// Runs a platform until the process ends.
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
    listening(&server);
    server.killed().await;
    Ok(())
}

/// Runs an engine until the process ends.
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
    listening(&server);
    server.killed().await;
    Ok(())
}

/// Runs a service until the process ends.
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
    listening(&server);
    server.killed().await;
    Ok(())
}

/// Puts an instance on the platform's list.
async fn register(platform: SocketAddr, instance: &Instance) -> Result<(), String> {
    let body = serde_json::to_vec(instance).map_err(|error| error.to_string())?;
    let request = hyper::Request::put(format!("http://{platform}/instances/{}", instance.name))
        .body(Full::new(bytes::Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let client: Client<_, Full<bytes::Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let answer = client.request(request).await;
    answer.map(drop).map_err(|error| {
        format!("the platform at {platform} cannot be reached: {error}; start it first")
    })
}

/// Prints the address that a stand-in listens on.
fn listening(server: &Server) {
    println!("{}", serde_json::json!({ "listening": server.address }));
}
