//! Keys of callers, operators, peers and resume tokens, read from files or the environment.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::sync::Arc;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Shortest accepted key, in bytes.
const MIN_KEY_LENGTH: usize = 8;

/// A secret whose `Debug` output hides its value.
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Returns a secret without checking it, for tests and embedded entries.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(Arc::from(secret))
    }

    /// Returns the secret's bytes.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }

    /// Returns whether `candidate` equals the secret. The time taken does not reveal how much of it
    /// matches.
    #[must_use]
    pub fn matches(&self, candidate: &str) -> bool {
        let pairs = self.0.bytes().zip(candidate.bytes());
        let difference = pairs.fold(0, |difference, (left, right)| difference | (left ^ right));
        self.0.len() == candidate.len() && difference == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

/// Section `[keys]`.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Client account of each caller's key.
    pub callers: Arc<BTreeMap<Secret, Arc<str>>>,
    /// Key of the operators.
    pub operators: Secret,
    /// Key shared by the entries.
    pub peers: Secret,
    /// Key that authenticates resume tokens.
    pub resume: Secret,
}

impl Keys {
    /// Returns the client account that a caller's key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<Arc<str>> {
        self.callers.get(&Secret::new(key)).cloned()
    }

    /// Rejects a key that is used for more than one purpose.
    fn check_distinct(self) -> Result<Self, Problem> {
        let remedy = "give callers, operators, peers and resume tokens keys of their own";
        let shared = [&self.operators, &self.peers, &self.resume];
        let keys = ["keys.operators", "keys.peers", "keys.resume"];
        for (index, secret) in shared.iter().enumerate() {
            if self.callers.contains_key(*secret) || shared[..index].contains(secret) {
                return Err(value::invalid(keys[index], "(secret)", remedy));
            }
        }
        Ok(self)
    }
}

impl TryFrom<raw::Keys> for Keys {
    type Error = Problem;

    fn try_from(raw: raw::Keys) -> Result<Self, Problem> {
        let keys = Self {
            callers: Arc::new(callers(raw.callers)?),
            operators: key("keys.operators", raw.operators)?,
            peers: key("keys.peers", raw.peers)?,
            resume: key("keys.resume", raw.resume)?,
        };
        keys.check_distinct()
    }
}

/// Reads the callers' keys from a TOML table that maps client accounts to keys.
fn callers(secret: Option<raw::Secret>) -> Result<BTreeMap<Secret, Arc<str>>, Problem> {
    const KEY: &str = "keys.callers";
    let text = read(KEY, secret)?;
    let remedy = "write one line `account = \"key\"` per client account, each key once and of 8 bytes or more";
    let accounts: BTreeMap<String, String> =
        toml::from_str(&text).map_err(|_| value::invalid(KEY, "(secret)", remedy))?;
    let count = accounts.len();
    let keys: BTreeMap<Secret, Arc<str>> = accounts
        .into_iter()
        .filter(|(_, key)| key.len() >= MIN_KEY_LENGTH)
        .map(|(account, key)| (Secret::new(&key), Arc::from(account)))
        .collect();
    if keys.is_empty() || keys.len() < count {
        return Err(value::invalid(KEY, "(secret)", remedy));
    }
    Ok(keys)
}

/// Reads one key.
fn key(name: &'static str, secret: Option<raw::Secret>) -> Result<Secret, Problem> {
    let text = read(name, secret)?;
    let text = text.trim();
    if text.len() < MIN_KEY_LENGTH {
        return Err(value::invalid(
            name,
            "(secret)",
            "write a key of 8 bytes or more",
        ));
    }
    Ok(Secret::new(text))
}

/// Reads a secret from its file or environment variable.
fn read(key: &'static str, secret: Option<raw::Secret>) -> Result<String, Problem> {
    let remedy = "write `{ file = \"PATH\" }` or `{ env = \"NAME\" }`";
    match secret.unwrap_or_default() {
        raw::Secret {
            file: Some(file),
            env: None,
        } => fs::read_to_string(&file)
            .map_err(|_| value::invalid(key, &file, "name a file that exists and can be read")),
        raw::Secret {
            file: None,
            env: Some(name),
        } => std::env::var(&name)
            .map_err(|_| value::invalid(key, &name, "set this environment variable")),
        raw::Secret {
            file: Some(file),
            env: Some(_),
        } => Err(value::invalid(
            key,
            &file,
            "name a file or an environment variable, not both",
        )),
        raw::Secret {
            file: None,
            env: None,
        } => Err(Problem::Missing { key, remedy }),
    }
}
