//! Generates the Rust code of `medlarfall-schema` from its `.proto` files.
//!
//! `cargo run -p medlarfall-schema-gen` writes the code.
//! `cargo run -p medlarfall-schema-gen -- --check` compares it with the committed code, and fails
//! if they differ.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// `.proto` files of the schema, relative to `schema/proto`.
const PROTO_FILES: [&str; 4] = [
    "declaration.proto",
    "operator.proto",
    "peers.proto",
    "settings.proto",
];

/// Attributes of the settings. They are read from hand-written TOML, so unknown fields are errors.
const SETTINGS_ATTRIBUTES: &str =
    "#[derive(serde::Deserialize, serde::Serialize)] #[serde(default, deny_unknown_fields)]";

/// Attributes of the declarations. Entries of different releases read them from the store, so
/// unknown fields are ignored.
const DECLARATION_ATTRIBUTES: &str =
    "#[derive(serde::Deserialize, serde::Serialize)] #[serde(default)]";

/// Attribute of `Service.kind`, which is serialized as a name.
const KIND_ATTRIBUTE: &str = "#[serde(with = \"crate::kind\")]";

fn main() -> ExitCode {
    let check = std::env::args().any(|argument| argument == "--check");
    match run(check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("schema-gen: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Generates the code or, with `check`, compares it with the committed code.
fn run(check: bool) -> Result<(), Box<dyn Error>> {
    let schema = Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema");
    let committed_dir = schema.join("src/generated");
    if !check {
        return generate(&schema, &committed_dir);
    }
    let fresh_dir = std::env::temp_dir().join(format!("medlarfall-schema-{}", std::process::id()));
    fs::create_dir_all(&fresh_dir)?;
    let result = generate(&schema, &fresh_dir).and_then(|()| compare(&fresh_dir, &committed_dir));
    fs::remove_dir_all(&fresh_dir)?;
    result
}

/// Generates the code into the folder `out_dir`.
fn generate(schema: &Path, out_dir: &Path) -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(PROTO_FILES, [schema.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .emit_rerun_if_changed(false)
        .message_attribute(".medlarfall.settings", SETTINGS_ATTRIBUTES)
        .message_attribute(".medlarfall.declaration", DECLARATION_ATTRIBUTES)
        .field_attribute(".medlarfall.declaration.Service.kind", KIND_ATTRIBUTE)
        .compile_fds(descriptors)?;
    Ok(())
}

/// Returns an error if a file in `fresh_dir` differs from the file of that name in `committed_dir`.
fn compare(fresh_dir: &Path, committed_dir: &Path) -> Result<(), Box<dyn Error>> {
    for entry in fs::read_dir(fresh_dir)? {
        let path = entry?.path();
        let committed: PathBuf = committed_dir.join(path.file_name().unwrap_or_default());
        if fs::read(&path)? != fs::read(&committed).unwrap_or_default() {
            return Err(format!(
                "{} is outdated: run `cargo run -p medlarfall-schema-gen` and commit the result",
                committed.display()
            )
            .into());
        }
    }
    Ok(())
}
