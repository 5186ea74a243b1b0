//! Small stand-ins for what medlarfall meets outside itself: the platform, engines and services.
//!
//! They speak the published protocols of those systems as this project assumes them (see
//! `docs/INTERFACES.md`), take faults from flags and from a control endpoint, and run either as a
//! process of their own or as tasks of another one.

pub mod engine;
pub mod faults;
pub mod http;
pub mod oracle;
pub mod platform;
pub mod service;
