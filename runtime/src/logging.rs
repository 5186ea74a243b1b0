//! Where log lines go.

use log::LevelFilter;
use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

pub mod bounded;
pub mod fold;

pub use bounded::{Losses, losses};

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
                Output::Stdout => {
                    let stdout = append::Stdout::default().with_layout(JsonLayout::default());
                    dispatch.append(bounded::Appender::new(stdout))
                }
            }
        })
        .try_apply()
        .is_ok()
}

/// Returns the filter for a level; libraries only warn.
fn filter(level: LevelFilter) -> String {
    let level = level.as_str().to_lowercase();
    let own = [
        "medlarfall",
        "medlarfall_platform",
        "medlarfall_relay",
        "medlarfall_runtime",
        "medlarfall_serving",
        "medlarfall_standin",
        "span",
    ];
    let own = own.map(|target| format!("{target}={level}"));
    format!("warn,{}", own.join(","))
}
