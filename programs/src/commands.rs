//! Subcommands of the command line.

use std::error::Error;
use std::ffi::OsStr;
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

use medlarfall_schema::declaration::Service;
use medlarfall_schema::operator as rpc;
use medlarfall_serving::configs::Settings;

use uuid::Uuid;

use crate::caller::{Answer, Completion};
use crate::operator::Operator;

pub mod explain;
pub mod moves;
pub mod stops;

/// Result of a subcommand.
pub type Result = std::result::Result<(), Box<dyn Error>>;

/// Checks a settings file; prints its path, or with `json` the name of its entry.
///
/// # Errors
///
/// Returns the first error found in the file.
pub fn check(path: &Path, json: bool) -> Result {
    let name = if is_yaml(path) {
        medlarfall_platform::settings::read(path)?.relay.entry
    } else {
        Settings::load(path)?.entry.name
    };
    let name = name.as_ref();
    if json {
        println!("{}", serde_json::json!({ "ok": true, "entry": name }));
    } else {
        println!("{}: ok", path.display());
    }
    Ok(())
}

/// Returns whether a settings file is in YAML, the format of the settings for the users' platform.
fn is_yaml(path: &Path) -> bool {
    let extension = path.extension().and_then(OsStr::to_str);
    matches!(extension, Some("yaml" | "yml"))
}

/// Declares the service in a TOML file; with `wait`, waits until every live entry has confirmed it.
///
/// # Errors
///
/// Returns the error in the file, the entry's refusal, or the entries that have not confirmed.
pub async fn apply(entry: SocketAddr, key: &str, path: &Path, wait: bool, json: bool) -> Result {
    let text = fs::read_to_string(path)
        .map_err(|error| format!("cannot read {}: {error}", path.display()))?;
    let service = parse_declaration(&text, path)?;
    let request = rpc::ApplyRequest {
        service: Some(service),
        change_id: Uuid::now_v7().to_string(),
        wait,
        ..rpc::ApplyRequest::default()
    };
    let reply = Operator::new(entry, key)?
        .apply_request(request)
        .await
        .map_err(|status| status_message(&status))?;
    let stored = reply.service.unwrap_or_default();
    if json {
        println!("{}", serde_json::to_string(&stored)?);
    } else {
        println!("{}: stored as revision {}", stored.name, stored.revision);
    }
    if wait && !reply.missing.is_empty() {
        let missing = reply.missing.join(", ");
        return Err(format!(
            "stored, but not confirmed by {missing}; these entries apply it once they can be reached"
        )
        .into());
    }
    if wait && !json {
        println!("in force at {} entries", reply.confirmed);
    }
    Ok(())
}

/// Prints the declarations in force at an entry.
///
/// # Errors
///
/// Returns the message of the entry's refusal.
pub async fn list(entry: SocketAddr, key: &str, json: bool) -> Result {
    for service in Operator::new(entry, key)?
        .list()
        .await
        .map_err(|status| status_message(&status))?
    {
        if json {
            println!("{}", serde_json::to_string(&service)?);
        } else {
            println!(
                "{} version {} revision {}",
                service.name, service.version, service.revision
            );
        }
    }
    Ok(())
}

/// Prints an entry's view of the system: the state of the store and the backend servers.
///
/// # Errors
///
/// Returns the message of the entry's refusal.
pub async fn status(entry: SocketAddr, key: &str) -> Result {
    let status = Operator::new(entry, key)?
        .status()
        .await
        .map_err(|status| status_message(&status))?;
    println!(
        "entry {}; store reachable: {}",
        status.entry, status.store_reachable
    );
    for server in status.backend_servers {
        let leaving = if server.leaving { ", leaving" } else { "" };
        println!(
            "{} service {} version {} in {}{leaving}",
            server.name, server.service, server.version, server.failure_domain
        );
    }
    Ok(())
}

/// Requests a generation and prints it as it arrives; resumes it at another entry when one fails.
///
/// # Errors
///
/// Returns the error of the last entry that was tried.
pub async fn generate(entries: &[SocketAddr], key: &str, completion: &Completion) -> Result {
    let mut answer = Answer::new(entries, key, completion.clone());
    while let Some(chunk) = answer.next().await? {
        for choice in chunk.choices {
            print!("{}", choice.text);
        }
        std::io::stdout().flush()?;
    }
    println!();
    Ok(())
}

/// Parses a declaration in TOML; rejects unknown keys.
fn parse_declaration(text: &str, path: &Path) -> std::result::Result<Service, Box<dyn Error>> {
    let mut unknown = Vec::new();
    let source =
        toml::Deserializer::parse(text).map_err(|error| format!("{}: {error}", path.display()))?;
    let service = serde_ignored::deserialize(source, |key| unknown.push(key.to_string()))
        .map_err(|error| format!("{}: {error}", path.display()))?;
    match unknown.first() {
        None => Ok(service),
        Some(key) => {
            let message = format!(
                "{}: unknown key `{key}` in a declaration; see docs/OPERATORS.md",
                path.display()
            );
            Err(message.into())
        }
    }
}

/// Returns the message of a status.
fn status_message(status: &tonic::Status) -> String {
    status.message().to_owned()
}
