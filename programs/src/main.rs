//! The command line `medlarfall` for operators and callers.

use std::process::ExitCode;
use std::time::Duration;

use medlarfall::caller::Completion;
use medlarfall::commands::moves;
use medlarfall::operator::Operator;
use medlarfall::{bench, commands, demo};
use medlarfall_schema::operator::OrderRequest;

/// Command-line arguments; `xflags` generates their types without documentation.
#[allow(missing_docs)]
mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves long generations on engines that fail.
        cmd medlarfall {
            /// Prints JSON instead of text; demo, explain, status and generate ignore it.
            optional --json
            /// Runs entries and stand-ins in this process, lets an engine die and prints the
            /// results.
            cmd demo {
                /// Keeps the cluster running until interrupted.
                optional --stay
            }
            /// Runs a benchmark on an embedded cluster and prints its results.
            cmd bench {
                /// Name of the scenario.
                required scenario: String
                /// Seed of the requests and faults; 1 by default.
                optional --seed seed: u64
            }
            /// Checks a settings file.
            cmd check {
                /// Settings file, in TOML, or in YAML for the users' platform.
                required file: PathBuf
            }
            /// Merges the logs of several entries into the timeline of one request.
            cmd explain {
                /// Identifier of the request.
                required request: String
                /// Log files, one JSON object per line.
                repeated logs: PathBuf
            }
            /// Declares the service in a TOML file.
            cmd apply {
                /// Operators' address of an entry.
                required --entry entry: SocketAddr
                /// Waits until every live entry has confirmed the change.
                optional --wait
                /// Declaration of a service, in TOML.
                required file: PathBuf
            }
            /// Prints the declarations in force at an entry.
            cmd list {
                /// Operators' address of an entry.
                required --entry entry: SocketAddr
            }
            /// Prints an entry's view of the system.
            cmd status {
                /// Operators' address of an entry.
                required --entry entry: SocketAddr
            }
            /// Orders a backend server to load versions, change its role or drain.
            cmd order {
                /// Operators' address of an entry.
                required --entry entry: SocketAddr
                /// Name of the backend server.
                required server: String
                /// Version to load; may be repeated. All other versions are unloaded.
                repeated --version version: String
                /// Role to assign to the server.
                optional --role role: String
                /// Whether the server refuses new work: true or false.
                optional --drain drain: bool
            }
            /// Plans, watches and cancels stops of backend servers, failure domains and entries.
            cmd stop {
                /// Plans a stop, or changes its date.
                cmd stop-plan plan {
                    /// Operators' address of an entry.
                    required --entry entry: SocketAddr
                    /// Target of the stop: server/NAME, failure-domain/NAME or entry/NAME.
                    required target: String
                    /// Seconds until the target stops.
                    required --seconds seconds: u64
                    /// Reason for the stop, shown to other operators.
                    optional --note note: String
                    /// Revision of the stop to change; 0, the default, for a new stop.
                    optional --revision revision: u64
                }
                /// Prints the requests that must still end before a stop, until it has finished or
                /// is cancelled.
                cmd stop-watch watch {
                    /// Operators' address of an entry.
                    required --entry entry: SocketAddr
                    /// Target of the stop.
                    required target: String
                }
                /// Cancels a planned stop.
                cmd stop-cancel cancel {
                    /// Operators' address of an entry.
                    required --entry entry: SocketAddr
                    /// Target of the stop.
                    required target: String
                }
            }
            /// Moves a service to another version.
            cmd move {
                /// Starts a move and prints its identifier.
                cmd start {
                    /// Operators' address of an entry.
                    required --entry entry: SocketAddr
                    /// Service to move.
                    required --service service: String
                    /// Version to move to.
                    required --version version: String
                    /// Time in which the move must end, such as "2h" or "30m".
                    required --within within: String
                }
                /// Prints the states of a move until it is done or taken back.
                cmd watch {
                    /// Operators' address of an entry.
                    required --entry entry: SocketAddr
                    /// The service.
                    required --service service: String
                    /// Identifier of the move; the latest move by default.
                    optional --id id: String
                }
                /// Cancels a move and takes the service back to its previous version.
                cmd cancel {
                    /// Operators' address of an entry.
                    required --entry entry: SocketAddr
                    /// The service.
                    required --service service: String
                    /// Identifier of the move.
                    required --id id: String
                }
            }
            /// Requests a generation and prints it as it arrives.
            cmd generate {
                /// Callers' address of an entry; may be repeated, to resume at the next entry when
                /// one fails.
                repeated --entry entry: SocketAddr
                /// Name of the generation service.
                required --model model: String
                /// The prompt.
                required --prompt prompt: String
                /// Maximum number of tokens of the answer.
                optional --max-tokens max_tokens: u64
            }
        }
    }
}

/// Environment variable that holds the operators' or the caller's key.
const KEY_VARIABLE: &str = "MEDLARFALL_KEY";

/// Maximum number of tokens of an answer if `--max-tokens` is not given.
const DEFAULT_MAX_TOKENS: u64 = 256;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Medlarfall::from_env_or_exit();
    match run(flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarfall: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the subcommand with its arguments.
async fn run(flags: flags::Medlarfall) -> commands::Result {
    let json = flags.json;
    match flags.subcommand {
        flags::MedlarfallCmd::Demo(flags) => demo::run(flags.stay).await,
        flags::MedlarfallCmd::Bench(flags) => {
            bench::run(&flags.scenario, flags.seed.unwrap_or(1), json).await
        }
        flags::MedlarfallCmd::Check(flags) => commands::check(&flags.file, json),
        flags::MedlarfallCmd::Explain(flags) => commands::explain::run(&flags.request, &flags.logs),
        flags::MedlarfallCmd::Apply(flags) => {
            commands::apply(flags.entry, &key()?, &flags.file, flags.wait, json).await
        }
        flags::MedlarfallCmd::List(flags) => commands::list(flags.entry, &key()?, json).await,
        flags::MedlarfallCmd::Status(flags) => commands::status(flags.entry, &key()?).await,
        flags::MedlarfallCmd::Order(flags) => {
            let order = OrderRequest {
                server: flags.server,
                versions: flags.version,
                role: flags.role,
                drain: flags.drain,
            };
            commands::stops::order(flags.entry, &key()?, order, json).await
        }
        flags::MedlarfallCmd::Stop(flags) => run_stop(flags.subcommand, json).await,
        flags::MedlarfallCmd::Move(flags) => run_move(flags, json).await,
        flags::MedlarfallCmd::Generate(flags) => {
            let completion = Completion {
                model: flags.model,
                prompt: flags.prompt,
                max_tokens: flags.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
                stream: true,
            };
            commands::generate(&flags.entry, &key()?, &completion).await
        }
    }
}

/// Runs a subcommand of `stop`.
async fn run_stop(command: flags::StopCmd, json: bool) -> commands::Result {
    let key = key()?;
    match command {
        flags::StopCmd::StopPlan(flags) => {
            let plan = commands::stops::Plan {
                target: flags.target,
                notice: Duration::from_secs(flags.seconds),
                note: flags.note.unwrap_or_default(),
                revision: flags.revision.unwrap_or(0),
            };
            commands::stops::plan(flags.entry, &key, plan, json).await
        }
        flags::StopCmd::StopWatch(flags) => {
            commands::stops::watch(flags.entry, &key, &flags.target, json).await
        }
        flags::StopCmd::StopCancel(flags) => {
            commands::stops::cancel(flags.entry, &key, &flags.target, json).await
        }
    }
}

/// Runs a subcommand of `move`.
async fn run_move(flags: flags::Move, json: bool) -> commands::Result {
    match flags.subcommand {
        flags::MoveCmd::Start(flags) => {
            let operator = Operator::new(flags.entry, &key()?)?;
            moves::start(
                operator,
                &flags.service,
                &flags.version,
                &flags.within,
                json,
            )
            .await
        }
        flags::MoveCmd::Watch(flags) => {
            let operator = Operator::new(flags.entry, &key()?)?;
            let id = flags.id.unwrap_or_default();
            moves::watch(operator, &flags.service, &id, json).await
        }
        flags::MoveCmd::Cancel(flags) => {
            let operator = Operator::new(flags.entry, &key()?)?;
            moves::cancel(operator, &flags.service, &flags.id, json).await
        }
    }
}

/// Reads the key from the environment.
fn key() -> Result<String, String> {
    std::env::var(KEY_VARIABLE).map_err(|_| {
        format!("the environment variable {KEY_VARIABLE} is not set; set it to your key")
    })
}
