//! Stand-ins for the external systems that medlarfall depends on: the platform, model engines and
//! plain services.
//!
//! Each implements the HTTP protocol that `docs/INTERFACES.md` assumes for its system, and injects
//! the faults that are set through its control endpoint. A stand-in runs as a process of its own or
//! as tasks of another process.

pub mod engine;
pub mod faults;
pub mod http;
pub mod oracle;
pub mod platform;
pub mod service;
