//! Logging and tracing: log lines are JSON on standard error, and spans are log lines of the target
//! `span`.

use std::borrow::Cow;

use fastrace::collector::{Config, Reporter, SpanRecord};
use fastrace::prelude::{Span, SpanContext};
use log::LevelFilter;
use medlarfall_runtime::logging::{self, Output};
use rand::Rng;

/// Returns the root span of an incoming request.
///
/// A W3C trace context sent by the caller is continued with its sampling decision; one in `every` of
/// the other requests is sampled.
pub fn request(traceparent: Option<&str>, every: u64) -> Span {
    let parent = traceparent.and_then(SpanContext::decode_w3c_traceparent);
    let context = parent.unwrap_or_else(|| {
        let sampled = rand::rng().random_range(0..every.max(1)) == 0;
        SpanContext::random().sampled(sampled)
    });
    Span::root("caller", context)
}

/// Returns the span of a call to another process, as a child of the current task's span.
pub fn hop(name: &'static str) -> Span {
    Span::enter_with_local_parent(name)
}

/// Returns the W3C trace context of the current task's span.
#[must_use]
pub fn traceparent() -> Option<String> {
    SpanContext::current_local_parent().map(|context| context.encode_w3c_traceparent())
}

/// Returns the W3C trace context of a span, or nothing if it is not part of a trace.
#[must_use]
pub fn traceparent_of(span: &Span) -> Option<String> {
    SpanContext::from_span(span).map(|context| context.encode_w3c_traceparent())
}

/// Reporter that writes each span as a log line.
struct LogReporter;

impl Reporter for LogReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in &spans {
            write(span);
        }
    }
}

/// Starts logging at `level` on standard error and the reporting of spans; further calls have no
/// effect.
pub fn start(level: LevelFilter) {
    if logging::start(level, Output::Stderr) {
        fastrace::set_reporter(LogReporter, Config::default());
    }
}

/// Writes a span as a log line.
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
