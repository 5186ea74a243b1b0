//! The subcommands of the command line.

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

/// What a subcommand returns.
pub type Result = std::result::Result<(), Box<dyn Error>>;

/// Checks a settings file.
///
/// # Errors
///
/// Returns what is wrong with it.
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

/// Returns whether a file is one of the users' platform, whose settings are YAML.
fn is_yaml(path: &Path) -> bool {
    let extension = path.extension().and_then(OsStr::to_str);
    matches!(extension, Some("yaml" | "yml"))
}

/// Declares the service in a TOML file.
///
/// # Errors
///
/// Returns what is wrong with the file, or the entry's refusal.
pub async fn apply(entry: SocketAddr, key: &str, path: &Path, wait: bool, json: bool) -> Result {
    let text = fs::read_to_string(path)
        .map_err(|error| format!("{}: cannot be read: {error}", path.display()))?;
    let service = parse(&text, path)?;
    let request = rpc::ApplyRequest {
        service: Some(service),
        change_id: Uuid::now_v7().to_string(),
        wait,
        ..rpc::ApplyRequest::default()
    };
    let reply = Operator::new(entry, key)?
        .apply_request(request)
        .await
        .map_err(|status| message(&status))?;
    let stored = reply.service.unwrap_or_default();
    if json {
        println!("{}", serde_json::to_string(&stored)?);
    } else {
        println!("{}: stored as revision {}", stored.name, stored.revision);
    }
    if wait && !reply.missing.is_empty() {
        let missing = reply.missing.join(", ");
        return Err(format!(
            "stored, but not confirmed by {missing}; they take it when they are reached"
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
/// Returns the entry's refusal.
pub async fn list(entry: SocketAddr, key: &str, json: bool) -> Result {
    for service in Operator::new(entry, key)?
        .list()
        .await
        .map_err(|status| message(&status))?
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

/// Prints what an entry knows of the system.
///
/// # Errors
///
/// Returns the entry's refusal.
pub async fn status(entry: SocketAddr, key: &str) -> Result {
    let status = Operator::new(entry, key)?
        .status()
        .await
        .map_err(|status| message(&status))?;
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

/// Asks for a generation and prints it as it comes; goes on at another entry when one is lost.
///
/// # Errors
///
/// Returns the last entry's error.
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

/// Reads a declaration; unknown keys are refused.
fn parse(text: &str, path: &Path) -> std::result::Result<Service, Box<dyn Error>> {
    let mut unknown = Vec::new();
    let source =
        toml::Deserializer::parse(text).map_err(|error| format!("{}: {error}", path.display()))?;
    let service = serde_ignored::deserialize(source, |key| unknown.push(key.to_string()))
        .map_err(|error| format!("{}: {error}", path.display()))?;
    match unknown.first() {
        None => Ok(service),
        Some(key) => {
            let message = format!(
                "{}: `{key}` is no key of a declaration; see docs/OPERATORS.md",
                path.display()
            );
            Err(message.into())
        }
    }
}

/// Returns the message of a refusal.
fn message(status: &tonic::Status) -> String {
    status.message().to_owned()
}
