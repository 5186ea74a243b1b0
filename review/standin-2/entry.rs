//! The project's own program, started as the deploy file says: one process for each entry.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/medlarfall-relay";

/// An entry.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Entry {
    /// Writes the settings file of an entry in `zone` at `ip`, as DEPLOY.md describes it.
    pub fn new(number: usize, zone: &str, zones: &[&str], ip: &str, store: SocketAddr, folder: &Path) -> Self {
        let name = format!("edge-{zone}-{number}");
        let settings = folder.join(format!("{name}.yaml"));
        let listed: Vec<String> = zones.iter().map(|zone| format!("  {zone}: \"bc-interior\"")).collect();
        let text = format!(
            "node: \"{name}\"\nrole: \"relay\"\nmachine_class: \"edge\"\nserves:\n  - \"edge\"\nip: \"{ip}\"\n\
             zone: \"{zone}\"\nregion: \"bc-interior\"\nzones:\n{}\nbind:\n  front: \"{ip}:8740\"\n  ready: \"{ip}:8749\"\n\
             port_range:\n  - 7200\n  - 7215\nseeds: []\nbootstrap: true\nloss_counts: false\nlimits:\n  cpu_share: 0.25\n  \
             cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n\
             discovery: \"platform\"\ningress: \"virtual_ip\"\nheartbeat_ms: 1200\nbounds:\n  reuse_after_s: 2\n  \
             stable_ms: 3000\n  drain_ms: 2000\n  grace_s: 8\n  apply_ms: 2000\n  budget_ratio: 0.8\n  budget_window_s: 10\n  \
             budget_extra: 150\n  canary_share: 0.1\n  canary_slack: 50\n  rollback_ms: 5000\n  recovery_s: 12\nplatform:\n  \
             address: \"{}\"\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  retention_s: 20\n  \
             value_bytes: 1048576\n  ttl_min_ms: 1000\n",
            listed.join("\n"),
            store
        );
        std::fs::write(&settings, text).expect("a settings file");
        Self {
            log: folder.join(format!("{name}.log")),
            front: format!("{ip}:8740").parse().expect("an address"),
            ready: format!("{ip}:8749").parse().expect("an address"),
            name,
            settings,
            process: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = std::fs::File::options().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let process = Command::new(PROGRAM)
            .env("MEDLARFALL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file");
        self.process = Some(process);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns the answer to the platform's question whether the entry is ready; 0 if there is none.
    pub fn readiness(&self) -> u16 {
        let host = self.ready.to_string();
        let headers = [("Host", host.as_str()), ("Connection", "close")];
        let answer = http::call(self.ready, "GET", "/readiness", &headers, b"", Duration::from_millis(500));
        answer.map_or(0, |answer| answer.status())
    }

    /// Waits until the entry is ready; returns whether it was in time.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            if self.readiness() == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
