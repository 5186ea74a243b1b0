//! Protobuf messages of medlarfall: settings, declarations and the gRPC interface for operators.
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
