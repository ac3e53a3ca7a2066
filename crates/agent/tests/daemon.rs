//! Runs the `millford-agent` program: ready line, health checks, metrics, invalid settings and a
//! clean shutdown.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_millford-agent");

/// A running instance of the program, which is killed when dropped.
struct Process {
    child: Child,
    output: BufReader<ChildStdout>,
    http: String,
}

impl Process {
    fn start() -> Self {
        let mut child = Command::new(PROGRAM)
            .args(["--name", "node-1", "--zone", "z"])
            .args(["--local-address", "127.0.0.1:0"])
            .args(["--http-address", "127.0.0.1:0"])
            .args(["--seeds", "127.0.0.1:9"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("start");
        let mut output = BufReader::new(child.stdout.take().expect("output"));
        let mut line = String::new();
        output.read_line(&mut line).expect("ready line");
        assert!(
            line.starts_with("millford-agent ready local=127.0.0.1:"),
            "{line}"
        );
        let (_, http) = line.trim().rsplit_once("http=").expect("http address");
        let http = http.to_owned();
        Self {
            child,
            output,
            http,
        }
    }

    fn get(&self, path: &str) -> String {
        let mut stream = TcpStream::connect(&self.http).expect("connect");
        let request = format!("GET {path} HTTP/1.1\r\nhost: agent\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("send");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("answer");
        answer
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn health_and_metrics_work_without_a_control_node_and_sigterm_ends_the_process() {
    let mut process = Process::start();
    assert!(process.get("/healthz").starts_with("HTTP/1.1 200"));
    assert!(process.get("/readyz").starts_with("HTTP/1.1 503"));
    let metrics = process.get("/metrics");
    assert!(metrics.contains("millford_agent_in_touch 0"), "{metrics}");
    assert!(process.get("/elsewhere").starts_with("HTTP/1.1 404"));
    let terminate = Command::new("kill")
        .args(["-TERM", &process.child.id().to_string()])
        .status();
    assert!(terminate.expect("kill").success());
    let signalled = Instant::now();
    // Standard output is closed when the process exits.
    let mut rest = String::new();
    process
        .output
        .read_to_string(&mut rest)
        .expect("end of output");
    assert!(process.child.wait().expect("status").success());
    let shutdown_time = signalled.elapsed();
    assert!(shutdown_time < Duration::from_secs(5), "{shutdown_time:?}");
}

/// Runs the program with invalid settings and returns its standard error.
fn settings_error(arguments: &[&str]) -> String {
    let output = Command::new(PROGRAM).args(arguments).output().expect("run");
    assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn invalid_settings_are_reported_and_end_the_process() {
    let required = [
        "--name",
        "n",
        "--zone",
        "z",
        "--local-address",
        "127.0.0.1:0",
        "--http-address",
        "127.0.0.1:0",
    ];
    let with = |more: &[&'static str]| settings_error(&[&required[..], more].concat());
    assert!(with(&[]).contains("seeds"));
    assert!(with(&["--seeds", "nowhere"]).contains("nowhere"));
    assert!(with(&["--seeds", "127.0.0.1:1", "--log-level", "loud"]).contains("loud"));
    assert!(with(&["--seeds", "127.0.0.1:1", "--registry-address", "x"]).contains("registry"));
    assert!(settings_error(&["--colour", "red"]).contains("colour"));
    assert!(settings_error(&["--settings", "/nonexistent.toml"]).contains("nonexistent"));
}
