//! The entry daemon.

use std::process::ExitCode;

use medlarfall_serving::configs::Settings;
use medlarfall_serving::{entry, telemetry};
use tokio::signal::unix::{SignalKind, signal};

/// Arguments, parsed by `xflags`, which writes the code without comments.
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

/// Exit code for settings that cannot be used.
const USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Medlarfalld::from_env_or_exit();
    match Settings::load(&flags.settings) {
        Ok(settings) => run(settings).await,
        Err(error) => {
            eprintln!("medlarfalld: {error}");
            ExitCode::from(USAGE)
        }
    }
}

/// Runs the entry until the process is interrupted; when it is told to terminate, it leaves first.
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
            eprintln!("medlarfalld: the termination signal cannot be caught: {error}");
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
