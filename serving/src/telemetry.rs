//! Logs as JSON lines on standard error, and spans as log lines of the target `span`.

use std::borrow::Cow;

use fastrace::collector::{Config, Reporter, SpanRecord};
use log::LevelFilter;
use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

/// Writes each span as a log line.
struct Spans;

impl Reporter for Spans {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in &spans {
            write(span);
        }
    }
}

/// Starts logging at `level` and reporting spans; a second call changes nothing.
pub fn start(level: LevelFilter) {
    let applied = logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_spec(filter(level)).build())
                .append(append::Stderr::default().with_layout(JsonLayout::default()))
        })
        .try_apply();
    if applied.is_ok() {
        fastrace::set_reporter(Spans, Config::default());
    }
}

/// Returns the filter for a level; libraries only warn.
fn filter(level: LevelFilter) -> String {
    let level = level.as_str().to_lowercase();
    format!(
        "warn,medlarfall={level},medlarfall_serving={level},medlarfall_standin={level},span={level}"
    )
}

/// Writes one span.
fn write(span: &SpanRecord) {
    let properties: Vec<(&str, &str)> = span
        .properties
        .iter()
        .map(|(key, value): &(Cow<'static, str>, Cow<'static, str>)| (key.as_ref(), value.as_ref()))
        .collect();
    log::info!(
        target: "span",
        trace = format!("{:032x}", span.trace_id.0).as_str(),
        span = format!("{:016x}", span.span_id.0).as_str(),
        parent = format!("{:016x}", span.parent_id.0).as_str(),
        begin_unix_ns = span.begin_time_unix_ns,
        duration_ns = span.duration_ns,
        properties = format!("{properties:?}").as_str();
        "{}", span.name
    );
}
