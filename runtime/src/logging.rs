//! Starts logging as JSON lines, on standard output or standard error.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use log::LevelFilter;
use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

pub mod bounded;
pub mod rate_limit;

pub use bounded::{Losses, losses};

/// Destination of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// Standard error, written by the thread that logs.
    Stderr,
    /// Standard output, written by a separate thread, so that a slow reader blocks no request.
    Stdout,
}

/// Starts logging as JSON lines at `level`. Returns false, and changes nothing, if logging has
/// already been started.
#[must_use]
pub fn start(level: LevelFilter, output: Output) -> bool {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let dispatch = dispatch.filter(RustLogFilterBuilder::from_spec(filter(level)).build());
            match output {
                Output::Stderr => {
                    dispatch.append(append::Stderr::default().with_layout(JsonLayout::default()))
                }
                Output::Stdout => {
                    let stdout = append::Stdout::default().with_layout(JsonLayout::default());
                    dispatch.append(bounded::Appender::new(stdout))
                }
            }
        })
        .try_apply()
        .is_ok()
}

/// Longest time for the last lines: a reader that has stopped must not keep the process from ending.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Writes the lines that are still queued. Without it the last lines of a process may be lost.
pub fn flush() {
    let (sender, done) = mpsc::channel();
    thread::spawn(move || {
        log::logger().flush();
        let _ = sender.send(());
    });
    let _ = done.recv_timeout(FLUSH_TIMEOUT);
}

/// Logs the panics of all tasks as errors. A panic ends its task only: a request, or a task that is
/// started again.
pub fn report_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let place = panic
            .location()
            .map_or_else(String::new, ToString::to_string);
        let reason = panic.payload_as_str().unwrap_or("no message");
        log::error!(place = place.as_str(), reason; "a task panicked");
    }));
}

/// Returns the filter that admits `level` from this project's crates and warnings from libraries.
fn filter(level: LevelFilter) -> String {
    let level = level.as_str().to_lowercase();
    let own_targets = [
        "medlarfall",
        "medlarfall_platform",
        "medlarfall_relay",
        "medlarfall_runtime",
        "medlarfall_serving",
        "medlarfall_standin",
        "span",
    ];
    let own_targets = own_targets.map(|target| format!("{target}={level}"));
    format!("warn,{}", own_targets.join(","))
}
