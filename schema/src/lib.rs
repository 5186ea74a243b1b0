//! Protobuf messages of medlarfall: settings, declarations, the gRPC interface for operators and the
//! datagrams between entries.
//!
//! `medlarfall-schema-gen` generates the code from the `.proto` files in `schema/proto`. The
//! generated code is committed, so that a build does not run the generator.

mod kind;

/// Settings of an entry instance, read from TOML.
#[allow(clippy::pedantic, missing_docs)]
pub mod settings {
    include!("generated/medlarfall.settings.rs");
}

/// Services and planned stops that operators declare, as stored on the platform.
#[allow(clippy::pedantic, missing_docs)]
pub mod declaration {
    include!("generated/medlarfall.declaration.rs");
}

/// gRPC interface for operators.
#[allow(clippy::pedantic, missing_docs)]
pub mod operator {
    include!("generated/medlarfall.operator.rs");
}

/// Datagrams between the entries of a fleet.
#[allow(clippy::pedantic, missing_docs)]
pub mod peers {
    include!("generated/medlarfall.peers.rs");
}
