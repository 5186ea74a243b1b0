//! Settings: the examples are valid, the error for each mistake names the key and the remedy, and
//! the documentation lists every setting.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use medlarfall_serving::configs::Settings;

const VALID: &str = r#"
[entry]
name = "entry-0"
failure_domain = "domain-0"
region = "region-1"
[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:2"
peers = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[platform]
address = "127.0.0.1:5"
[keys]
callers = { env = "MEDLARFALL_TEST_CALLERS" }
operators = { env = "CARGO_MANIFEST_DIR" }
peers = { env = "CARGO_PKG_DESCRIPTION" }
resume = { env = "CARGO_PKG_NAME" }
"#;

/// Text of [`VALID`], its replacement, the key that the error names, and the remedy that it gives.
const MISTAKES: &[(&str, &str, &str, &str)] = &[
    (
        "name = \"entry-0\"",
        "name = \"entry 0\"",
        "entry.name",
        "write a name of letters",
    ),
    ("name = \"entry-0\"\n", "", "entry.name", "is not set"),
    (
        "\"127.0.0.1:1\"",
        "\"localhost:1\"",
        "listen.callers",
        "write an IP number and a port",
    ),
    (
        "\"127.0.0.1:2\"",
        "\"127.0.0.1:1\"",
        "listen.operators",
        "port of its own",
    ),
    (
        "\"127.0.0.1:3\"",
        "\"0.0.0.0:3\"",
        "listen.peers",
        "peers.advertise",
    ),
    (
        "[platform]",
        "[callers]\nbody_limit = \"12\"\n[platform]",
        "callers.body_limit",
        "with its unit",
    ),
    (
        "[platform]",
        "[callers]\nrequest_timeout = \"5 parsecs\"\n[platform]",
        "callers.request_timeout",
        "with its unit",
    ),
    (
        "[platform]",
        "[callers]\nanswer_timeout = \"1s\"\n[platform]",
        "callers.answer_timeout",
        "at least as much",
    ),
    (
        "[platform]",
        "[callers]\nconnections = 0\n[platform]",
        "callers.connections",
        "above zero",
    ),
    (
        "[platform]",
        "[generation]\nsilence_floor = \"9s\"\n[platform]",
        "generation.silence_floor",
        "at most as much",
    ),
    (
        "[platform]",
        "[log]\nlevel = \"loud\"\n[platform]",
        "log.level",
        "write `error`",
    ),
    (
        "[platform]",
        "[admission]\nheadroom_percent = 99\n[platform]",
        "admission.headroom_percent",
        "write 0 to 90",
    ),
    (
        "[platform]",
        "[platform]\ncolour = 1",
        "colour",
        "docs/SETTINGS.md",
    ),
    (
        "env = \"CARGO_PKG_NAME\"",
        "env = \"NO_SUCH_VARIABLE\"",
        "keys.resume",
        "set this environment variable",
    ),
    (
        "env = \"CARGO_PKG_NAME\"",
        "file = \"/no/such/file\"",
        "keys.resume",
        "a file that exists",
    ),
    (
        "env = \"CARGO_PKG_NAME\"",
        "env = \"CARGO_MANIFEST_DIR\"",
        "keys.resume",
        "keys of their own",
    ),
    (
        "env = \"CARGO_PKG_NAME\"",
        "env = \"CARGO_PKG_VERSION_MAJOR\"",
        "keys.resume",
        "8 bytes or more",
    ),
];

/// Returns the root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the example files whose names start with `entry`, or the others.
fn examples(entries: bool) -> Vec<PathBuf> {
    let folders = ["examples/cedarline", "examples/siam-chalerm"].map(|folder| root().join(folder));
    folders
        .iter()
        .flat_map(|folder| fs::read_dir(folder).expect("the folder exists"))
        .map(|file| file.expect("a file").path())
        .filter(|path| {
            path.file_name()
                .is_some_and(|name| name.to_string_lossy().starts_with("entry"))
                == entries
        })
        .collect()
}

/// Runs the command line with the environment variables that the examples refer to.
fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarfall"))
        .args(arguments)
        .env("MEDLARFALL_CALLERS", "camp-desk = \"key-of-camp-desk\"")
        .env("MEDLARFALL_OPERATORS", "key-of-operators")
        .env("MEDLARFALL_PEERS", "key-of-peers")
        .env("MEDLARFALL_RESUME", "key-of-resume-tokens")
        .output()
        .expect("the program runs")
}

#[test]
fn the_examples_are_valid() {
    let entries = examples(true);
    assert_eq!(entries.len(), 4);
    for file in entries {
        let output = run(&["check", file.to_str().expect("UTF-8")]);
        assert!(
            output.status.success(),
            "{}: {}",
            file.display(),
            String::from_utf8_lossy(&output.stderr)
        );
    }
    for file in examples(false) {
        let text = fs::read_to_string(&file).expect("the file is read");
        let service: medlarfall_schema::declaration::Service =
            toml::from_str(&text).expect("a declaration");
        assert!(
            !service.name.is_empty() && !service.version.is_empty(),
            "{}",
            file.display()
        );
    }
}

#[test]
fn each_mistake_is_named_with_its_remedy() {
    Settings::parse(VALID, "good.toml").expect("the settings are valid");
    for (from, to, key, remedy) in MISTAKES {
        let text = VALID.replacen(from, to, 1);
        let error = Settings::parse(&text, "bad.toml")
            .expect_err(to)
            .to_string();
        assert!(error.starts_with("bad.toml: "), "{error}");
        assert!(
            error.contains(key) && error.contains(remedy),
            "{to:?} gave: {error}"
        );
        assert!(
            !error.contains(env!("CARGO_MANIFEST_DIR")),
            "the error prints a secret: {error}"
        );
    }
}

#[test]
fn secrets_are_not_printed() {
    let settings = Settings::parse(VALID, "good.toml").expect("the settings are valid");
    let printed = format!("{settings:?}");
    assert!(!printed.contains("key-of-cedarline") && !printed.contains(env!("CARGO_MANIFEST_DIR")));
}

#[test]
fn exit_codes_distinguish_success_failure_and_wrong_usage() {
    let valid = examples(true).remove(0);
    assert_eq!(
        run(&["check", valid.to_str().expect("UTF-8")])
            .status
            .code(),
        Some(0)
    );
    let failed = run(&["check", "/no/such/file"]);
    assert_eq!(failed.status.code(), Some(1));
    assert!(failed.stdout.is_empty() && !failed.stderr.is_empty());
    assert_eq!(run(&["no-such-command"]).status.code(), Some(2));
}

#[test]
fn the_settings_file_of_the_platform_adapter_is_checked() {
    let folder = std::env::temp_dir();
    let check = |name: &str, text: &str| {
        let file = folder.join(format!("medlarfall-{}-{name}.yaml", std::process::id()));
        fs::write(&file, text).expect("the file is written");
        run(&["check", file.to_str().expect("UTF-8")])
    };
    let valid = "node: edge-1\nzone: cage-a\nbind: {front: \"127.0.0.1:1\", ready: \"127.0.0.1:2\"}\n\
                limits: {memory_mb: 64}\nplatform: {address: \"127.0.0.1:3\"}\nnew_field: 1\n";
    assert_eq!(check("good", valid).status.code(), Some(0));
    let invalid = check("bad", &valid.replace("memory_mb: 64", "memory_mb: 0"));
    assert_eq!(invalid.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&invalid.stderr).into_owned();
    assert!(stderr.contains("limits.memory_mb"), "{stderr}");
}

#[test]
fn the_settings_page_lists_every_setting() {
    let page = fs::read_to_string(root().join("docs/SETTINGS.md")).expect("the page is read");
    let proto =
        fs::read_to_string(root().join("schema/proto/settings.proto")).expect("the schema is read");
    let fields = proto.lines().filter_map(|line| {
        let (declared, number) = line.split_once(" = ")?;
        let name = declared.split_whitespace().last()?;
        number.ends_with(';').then(|| name.to_owned())
    });
    for name in fields.filter(|name| !matches!(name.as_str(), "file" | "env" | "syntax")) {
        let listed = page.contains(&format!("`{name}`")) || page.contains(&format!("`[{name}]`"));
        assert!(listed, "docs/SETTINGS.md does not name `{name}`");
    }
}
