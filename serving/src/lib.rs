//! Tasks that own sockets and state and drive the state machines of `medlarfall-coordination`.
//!
//! [`entry::start`] runs a whole entry instance; the daemon is a thin wrapper around it.

pub mod backend;
pub mod configs;
pub mod context;
pub mod entry;
pub mod modules;
pub mod platform;
pub mod telemetry;
pub mod utils;

pub use medlarfall_runtime::clock;
