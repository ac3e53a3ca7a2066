//! Control nodes as processes on loopback.

use std::net::TcpListener;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use super::http::{self, Answer};

/// Key of the operators.
pub(crate) const KEY: &str = "the operator's key";

/// Timeout of every wait; only reached when a test fails.
const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two checks of a condition.
const POLL: Duration = Duration::from_millis(20);

/// One control node as a process; killed when dropped.
pub(crate) struct Daemon {
    /// Address for control nodes and agents.
    pub(crate) internal: String,
    /// Address of the operator interface.
    pub(crate) operator: String,
    folder: tempfile::TempDir,
    process: Option<Child>,
    seeds: Vec<String>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts three control nodes that are each other's seeds.
pub(crate) fn start_three() -> Vec<Daemon> {
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

/// First port for test processes. The ports are below the range from which the system assigns ports
/// to outgoing connections, which could otherwise take a port between its choice here and the start
/// of the daemon.
const FIRST_PORT: u32 = 12_000;
/// Number of ports for one test process.
const PORTS_PER_PROCESS: u32 = 32;
/// Number of process ids after which the same ports are used again. The lab uses the ports above
/// this range.
const PROCESSES: u32 = 90;

/// Number of ports that this process has tried so far.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns loopback addresses without a listener. No address is returned twice.
pub(crate) fn free_addresses(count: usize) -> Vec<String> {
    let first = FIRST_PORT + std::process::id() % PROCESSES * PORTS_PER_PROCESS;
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let number = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        assert!(number < PORTS_PER_PROCESS, "this process needs more ports");
        let address = format!("127.0.0.1:{}", first + number);
        if TcpListener::bind(&address).is_ok() {
            addresses.push(address);
        }
    }
    addresses
}

/// Waits until a condition holds. Panics after [`LIMIT`].
pub(crate) fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "not within {LIMIT:?}: {what}");
        std::thread::sleep(POLL);
    }
}

impl Daemon {
    /// Creates a daemon with an empty data folder, without starting it.
    pub(crate) fn new(internal: &str, operator: &str, seeds: &[String]) -> Self {
        Self {
            internal: internal.to_owned(),
            operator: operator.to_owned(),
            folder: tempfile::tempdir().expect("a folder"),
            process: None,
            seeds: seeds.to_vec(),
        }
    }

    /// Starts the process on its data folder.
    pub(crate) fn start(&mut self) {
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

    /// Kills the process, as a crash does.
    pub(crate) fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Stops the daemon with SIGTERM and returns its exit status.
    pub(crate) fn terminate(&mut self) -> ExitStatus {
        let mut process = self.process.take().expect("a running daemon");
        let signal = Command::new("kill")
            .args(["-TERM", &process.id().to_string()])
            .status();
        assert!(signal.expect("kill runs").success());
        process.wait().expect("the daemon exits")
    }

    /// Whether the daemon reports that it is ready.
    pub(crate) fn is_ready(&self) -> bool {
        let request = format!(
            "GET /readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.operator
        );
        http::raw(&self.operator, request.as_bytes()).is_ok_and(|answer| answer.status == 200)
    }

    /// Sends a request with the operator's key and a JSON body.
    pub(crate) fn request(&self, method: &str, path: &str, body: &str) -> Answer {
        let key = format!("Authorization: Bearer {KEY}");
        let headers = [key.as_str(), "Content-Type: application/json"];
        http::request(&self.operator, method, path, &headers, body)
    }
}
