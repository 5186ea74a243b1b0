//! Messages and settings of medlarfall.
//!
//! The code is generated from the `.proto` files in `schema/proto` by `medlarfall-schema-gen` and
//! committed, so that a build needs no generator.

mod kind;

/// Settings of an entry instance.
#[allow(clippy::pedantic, missing_docs)]
pub mod settings {
    include!("generated/medlarfall.settings.rs");
}

/// Declarations of operators.
#[allow(clippy::pedantic, missing_docs)]
pub mod declaration {
    include!("generated/medlarfall.declaration.rs");
}

/// Remote procedure calls for operators.
#[allow(clippy::pedantic, missing_docs)]
pub mod operator {
    include!("generated/medlarfall.operator.rs");
}
