//! Merges the log lines of several entries into the timeline of one request.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Value;

use super::Result;

/// A log line, as far as it is used. A collector may have put text before it.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    level: String,
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, Value>,
}

/// A line that touches the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Moment {
    /// When it was written, in RFC 3339.
    pub timestamp: String,
    /// File that it stands in.
    pub source: String,
    /// Level.
    pub level: String,
    /// What happened.
    pub message: String,
    /// The inputs and the outcome.
    pub fields: String,
}

/// Prints the timeline of a request.
///
/// # Errors
///
/// Returns a file that can't be read, or that no line names the request.
pub fn run(request: &str, logs: &[PathBuf]) -> Result {
    let mut moments = Vec::new();
    for path in logs {
        let text = fs::read_to_string(path)
            .map_err(|error| format!("{} can't be read: {error}", path.display()))?;
        let source = path.file_name().unwrap_or_default().to_string_lossy();
        moments.extend(timeline(request, &source, &text));
    }
    if moments.is_empty() {
        return Err(format!(
            "no line names request {request}; give the logs of all entries of that time"
        )
        .into());
    }
    moments.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    for moment in moments {
        let Moment {
            timestamp,
            source,
            level,
            message,
            fields,
        } = moment;
        println!("{timestamp} {source} {level} {message}: {fields}");
    }
    Ok(())
}

/// Returns the lines of a log that name the request.
#[must_use]
pub fn timeline(request: &str, source: &str, log: &str) -> Vec<Moment> {
    let named = |line: &Line| line.kvs.get("request").and_then(Value::as_str) == Some(request);
    log.lines()
        .filter_map(|line| serde_json::from_str::<Line>(line.get(line.find('{')?..)?).ok())
        .filter(named)
        .map(|line| {
            let others = line.kvs.iter().filter(|(name, _)| *name != "request");
            let fields: Vec<String> = others
                .map(|(name, value)| match value {
                    Value::String(text) => format!("{name}={text}"),
                    value => format!("{name}={value}"),
                })
                .collect();
            Moment {
                timestamp: line.timestamp,
                source: source.to_owned(),
                level: line.level,
                message: line.message,
                fields: fields.join(" "),
            }
        })
        .collect()
}
