//! `medlarfall explain`: merges the logs of several entries into the timeline of one request.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Value;

use super::Result;

/// The fields of a log line that the timeline shows. A log collector may have added text before the
/// JSON object.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    level: String,
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, Value>,
}

/// A log line about the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Time of the log line, in RFC 3339.
    pub timestamp: String,
    /// Name of the log file.
    pub source: String,
    /// Log level.
    pub level: String,
    /// Message.
    pub message: String,
    /// The other log fields, as `name=value` separated by spaces.
    pub fields: String,
}

/// Prints the timeline of a request.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line is about the request.
pub fn run(request: &str, logs: &[PathBuf]) -> Result {
    let mut events = Vec::new();
    for path in logs {
        let text = fs::read_to_string(path)
            .map_err(|error| format!("cannot read {}: {error}", path.display()))?;
        let source = path.file_name().unwrap_or_default().to_string_lossy();
        events.extend(timeline(request, &source, &text));
    }
    if events.is_empty() {
        return Err(format!(
            "no log line about request {request}; pass the logs that all entries wrote at that time"
        )
        .into());
    }
    events.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    for event in events {
        let Event {
            timestamp,
            source,
            level,
            message,
            fields,
        } = event;
        println!("{timestamp} {source} {level} {message}: {fields}");
    }
    Ok(())
}

/// Returns the lines of a log whose field `request` is the request's identifier.
#[must_use]
pub fn timeline(request: &str, source: &str, log: &str) -> Vec<Event> {
    let matches = |line: &Line| line.kvs.get("request").and_then(Value::as_str) == Some(request);
    log.lines()
        .filter_map(|line| serde_json::from_str::<Line>(line.get(line.find('{')?..)?).ok())
        .filter(matches)
        .map(|line| {
            let others = line.kvs.iter().filter(|(name, _)| *name != "request");
            let fields: Vec<String> = others
                .map(|(name, value)| match value {
                    Value::String(text) => format!("{name}={text}"),
                    value => format!("{name}={value}"),
                })
                .collect();
            Event {
                timestamp: line.timestamp,
                source: source.to_owned(),
                level: line.level,
                message: line.message,
                fields: fields.join(" "),
            }
        })
        .collect()
}
