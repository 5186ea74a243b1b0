//! Generates the Rust code of `medlarfall-schema` from its `.proto` files.
//!
//! `cargo run -p medlarfall-schema-gen` writes the code;
//! `cargo run -p medlarfall-schema-gen -- --check` fails if the committed code is not current.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// `.proto` files of the schema, relative to its folder.
const PROTOS: [&str; 3] = ["declaration.proto", "operator.proto", "settings.proto"];

/// Attributes of the settings, which are read from TOML that a person wrote.
const STRICT: &str =
    "#[derive(serde::Deserialize, serde::Serialize)] #[serde(default, deny_unknown_fields)]";

/// Attributes of the declarations, which entries of different releases read from the store.
const LENIENT: &str = "#[derive(serde::Deserialize, serde::Serialize)] #[serde(default)]";

/// Attribute of the field that is written as a word.
const KIND: &str = "#[serde(with = \"crate::kind\")]";

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

/// Generates the code, or compares it with the committed code.
fn run(check: bool) -> Result<(), Box<dyn Error>> {
    let schema = Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema");
    let committed = schema.join("src/generated");
    if !check {
        return generate(&schema, &committed);
    }
    let fresh = std::env::temp_dir().join(format!("medlarfall-schema-{}", std::process::id()));
    fs::create_dir_all(&fresh)?;
    let result = generate(&schema, &fresh).and_then(|()| compare(&fresh, &committed));
    fs::remove_dir_all(&fresh)?;
    result
}

/// Writes the generated code into `out`.
fn generate(schema: &Path, out: &Path) -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(PROTOS, [schema.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .emit_rerun_if_changed(false)
        .message_attribute(".medlarfall.settings", STRICT)
        .message_attribute(".medlarfall.declaration", LENIENT)
        .field_attribute(".medlarfall.declaration.Service.kind", KIND)
        .compile_fds(descriptors)?;
    Ok(())
}

/// Fails if a file in `fresh` differs from the file of that name in `committed`.
fn compare(fresh: &Path, committed: &Path) -> Result<(), Box<dyn Error>> {
    for entry in fs::read_dir(fresh)? {
        let path = entry?.path();
        let twin: PathBuf = committed.join(path.file_name().unwrap_or_default());
        if fs::read(&path)? != fs::read(&twin).unwrap_or_default() {
            return Err(format!(
                "{} is not current: run `cargo run -p medlarfall-schema-gen` and commit the result",
                twin.display()
            )
            .into());
        }
    }
    Ok(())
}
