//! Validated settings of an entry, with their defaults.
//!
//! [`Settings::load`] parses a TOML file into the types of the schema and validates them. Each section
//! has a module of its own with its defaults.

use std::fs;
use std::path::Path;

use medlarfall_schema::settings as raw;
use snafu::{ResultExt, Snafu};

pub mod admission;
pub mod callers;
pub mod entry;
pub mod generation;
pub mod keys;
pub mod listen;
pub mod log;
pub mod moves;
pub mod orders;
pub mod peers;
pub mod platform;
pub mod services;
pub mod stops;
mod value;

pub use value::Problem;

/// Why settings were rejected.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{file}: cannot be read: {source}; check the path and its permissions"))]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or contains an unknown key.
    #[snafu(display("{file}: {source}see docs/SETTINGS.md for the keys of each section"))]
    Syntax {
        /// Path of the file.
        file: String,
        /// What the parser found, with line and column.
        source: Box<toml::de::Error>,
    },
    /// A value is missing, malformed or contradicts another.
    #[snafu(display("{file}: {source}"))]
    Value {
        /// Path of the file.
        file: String,
        /// What is wrong with the value.
        source: Problem,
    },
}

/// Validated settings of one entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name and location of this entry.
    pub entry: entry::Entry,
    /// Addresses that this entry listens on.
    pub listen: listen::Listen,
    /// The platform's key-value service and instance list.
    pub platform: platform::Platform,
    /// Keys of callers, operators, peers and resume tokens.
    pub keys: keys::Keys,
    /// Limits on callers' requests.
    pub callers: callers::Callers,
    /// How generations are monitored, buffered and resumed.
    pub generation: generation::Generation,
    /// How requests are admitted to backend servers.
    pub admission: admission::Admission,
    /// How plain services are called.
    pub services: services::Services,
    /// How orders are given to backend servers.
    pub orders: orders::Orders,
    /// How planned stops are carried out.
    pub stops: stops::Stops,
    /// How services are moved to another version.
    pub moves: moves::Moves,
    /// The other entries.
    pub peers: peers::Peers,
    /// Logs.
    pub log: log::Log,
}

impl Settings {
    /// Reads and validates the settings in a file.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with the file, the key, the value and the remedy.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).context(ReadSnafu {
            file: file.as_str(),
        })?;
        Self::parse(&text, &file)
    }

    /// Validates settings in TOML; errors name `file` as their source.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with the file, the key, the value and the remedy.
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let raw: raw::Settings = toml::from_str(text)
            .map_err(Box::new)
            .context(SyntaxSnafu { file })?;
        Self::try_from(raw).context(ValueSnafu { file })
    }
}

impl TryFrom<raw::Settings> for Settings {
    type Error = Problem;

    fn try_from(raw: raw::Settings) -> Result<Self, Problem> {
        let settings = Self {
            entry: raw.entry.unwrap_or_default().try_into()?,
            listen: raw.listen.unwrap_or_default().try_into()?,
            platform: raw.platform.unwrap_or_default().try_into()?,
            keys: raw.keys.unwrap_or_default().try_into()?,
            callers: raw.callers.unwrap_or_default().try_into()?,
            generation: raw.generation.unwrap_or_default().try_into()?,
            admission: raw.admission.unwrap_or_default().try_into()?,
            services: raw.services.unwrap_or_default().try_into()?,
            orders: raw.orders.unwrap_or_default().try_into()?,
            stops: raw.stops.unwrap_or_default().try_into()?,
            moves: raw.moves.unwrap_or_default().try_into()?,
            peers: raw.peers.unwrap_or_default().try_into()?,
            log: raw.log.unwrap_or_default().try_into()?,
        };
        settings.check_reachable()
    }
}

impl Settings {
    /// Rejects a peers' port on an unspecified address without an address to advertise to peers.
    fn check_reachable(self) -> Result<Self, Problem> {
        let listen = self.listen.peers;
        if listen.ip().is_unspecified() && self.peers.advertise.is_none() {
            let remedy = "name an IP number of this instance, or set `peers.advertise` to one";
            return Err(value::invalid("listen.peers", &listen, remedy));
        }
        Ok(self)
    }
}
