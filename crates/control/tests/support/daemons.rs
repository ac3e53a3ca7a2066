//! Control nodes as processes on loopback.

use std::net::TcpListener;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use super::http::{self, Answer};

pub const KEY: &str = "the operator's key";

/// Longest wait for anything; only reached on failure.
const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

pub struct Daemon {
    pub internal: String,
    pub operator: String,
    folder: tempfile::TempDir,
    process: Option<Child>,
    seeds: Vec<String>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Three control nodes that are each other's seeds, started.
pub fn three() -> Vec<Daemon> {
    let addresses = free_addresses(6);
    let seeds = addresses[..3].to_vec();
    let nodes =
        (0..3).map(|number| Daemon::new(&addresses[number], &addresses[3 + number], &seeds));
    let mut nodes: Vec<Daemon> = nodes.collect();
    for node in &mut nodes {
        node.start();
    }
    nodes
}

/// Addresses on loopback that nobody listens on.
pub fn free_addresses(count: usize) -> Vec<String> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let addresses = listeners.iter().map(|listener| listener.local_addr());
    addresses
        .map(|address| address.expect("an address").to_string())
        .collect()
}

/// Waits for a condition, bounded.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "not within {LIMIT:?}: {what}");
        std::thread::sleep(POLL);
    }
}

impl Daemon {
    pub fn new(internal: &str, operator: &str, seeds: &[String]) -> Self {
        Self {
            internal: internal.to_owned(),
            operator: operator.to_owned(),
            folder: tempfile::tempdir().expect("a folder"),
            process: None,
            seeds: seeds.to_vec(),
        }
    }

    pub fn start(&mut self) {
        let folder = self.folder.path().to_string_lossy().into_owned();
        let process = Command::new(env!("CARGO_BIN_EXE_millford-control"))
            .args(["--zone", "zone", "--data-folder", &folder])
            .args(["--internal-address", &self.internal])
            .args(["--operator-address", &self.operator])
            .args(["--seeds", &self.seeds.join(",")])
            .args(["--operator-key-hash", &millford_core::hash_tenant_key(KEY)])
            .args(["--log-level", "error"])
            .stdout(Stdio::null())
            .spawn();
        self.process = Some(process.expect("the daemon starts"));
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Ends the daemon as an operator does.
    pub fn terminate(&mut self) -> ExitStatus {
        let mut process = self.process.take().expect("a running daemon");
        let signal = Command::new("kill")
            .args(["-TERM", &process.id().to_string()])
            .status();
        assert!(signal.expect("kill runs").success());
        process.wait().expect("the daemon ends")
    }

    pub fn is_ready(&self) -> bool {
        let request = format!(
            "GET /readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.operator
        );
        http::raw(&self.operator, request.as_bytes()).is_ok_and(|answer| answer.status == 200)
    }

    /// A request with the operator's key and a JSON body.
    pub fn ask(&self, method: &str, path: &str, body: &str) -> Answer {
        let key = format!("Authorization: Bearer {KEY}");
        let headers = [key.as_str(), "Content-Type: application/json"];
        http::request(&self.operator, method, path, &headers, body)
    }
}
