//! The entry daemon `medlarfalld`: runs one entry until it is interrupted or terminated.

use std::process::ExitCode;

use medlarfall_serving::configs::Settings;
use medlarfall_serving::{entry, telemetry};
use tokio::signal::unix::{SignalKind, signal};

/// Command-line arguments; `xflags` generates their types without documentation.
#[allow(missing_docs)]
mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one entry instance of medlarfall.
        cmd medlarfalld {
            /// Settings file, in TOML; see docs/SETTINGS.md.
            required settings: PathBuf
        }
    }
}

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Medlarfalld::from_env_or_exit();
    match Settings::load(&flags.settings) {
        Ok(settings) => run(settings).await,
        Err(error) => {
            eprintln!("medlarfalld: {error}");
            ExitCode::from(INVALID_SETTINGS)
        }
    }
}

/// Runs the entry until the process receives SIGINT, or SIGTERM, on which the entry leaves the
/// cluster before the process exits.
async fn run(settings: Settings) -> ExitCode {
    telemetry::start(settings.log.level);
    let entry = match entry::start(settings).await {
        Ok(entry) => entry,
        Err(error) => {
            eprintln!("medlarfalld: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("{}", serde_json::json!({ "listening": entry.addresses }));
    let interrupted = tokio::signal::ctrl_c();
    let mut terminated = match signal(SignalKind::terminate()) {
        Ok(terminated) => terminated,
        Err(error) => {
            eprintln!("medlarfalld: cannot install the handler of SIGTERM: {error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::select! {
        _ = interrupted => {}
        _ = terminated.recv() => {
            entry.leave().await;
        }
    }
    fastrace::flush();
    ExitCode::SUCCESS
}
