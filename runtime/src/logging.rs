//! Where log lines go.

use log::LevelFilter;
use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

/// Lines that may wait for a slow reader of standard output; further ones are dropped.
const LINES_WAITING: usize = 8_192;

/// Where log lines go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// Standard error, at once.
    Stderr,
    /// Standard output, by a thread of its own, so that a slow reader blocks no request.
    Stdout,
}

/// Starts logging as JSON lines at `level`; returns false, and changes nothing, if logging has been
/// started before.
#[must_use]
pub fn start(level: LevelFilter, output: Output) -> bool {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let dispatch = dispatch.filter(RustLogFilterBuilder::from_spec(filter(level)).build());
            match output {
                Output::Stderr => {
                    dispatch.append(append::Stderr::default().with_layout(JsonLayout::default()))
                }
                Output::Stdout => dispatch.append(stdout()),
            }
        })
        .try_apply()
        .is_ok()
}

/// Returns an appender that writes to standard output and never blocks.
fn stdout() -> append::Async {
    append::asynchronous::AsyncBuilder::new("log")
        .buffered_lines_limit(Some(LINES_WAITING))
        .overflow_drop_incoming()
        .append(append::Stdout::default().with_layout(JsonLayout::default()))
        .build()
}

/// Returns the filter for a level; libraries only warn.
fn filter(level: LevelFilter) -> String {
    let level = level.as_str().to_lowercase();
    let own = [
        "medlarfall",
        "medlarfall_platform",
        "medlarfall_relay",
        "medlarfall_serving",
        "medlarfall_standin",
        "span",
    ];
    let own = own.map(|target| format!("{target}={level}"));
    format!("warn,{}", own.join(","))
}
