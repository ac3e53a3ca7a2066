//! Tests of the `millford-proxy` program: command line, ready line and drain on a signal.

mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use millford_api::local::{ProxyDraining, local_frame};
use millford_core::Duration;
use support::fixture::{Fixture, KEY};
use support::raw_backend::{exchange, get};
use support::{raw_backend, stub_agent};

const PROGRAM: &str = env!("CARGO_BIN_EXE_millford-proxy");

struct RunningProxy {
    child: Child,
    address: SocketAddr,
}

impl Drop for RunningProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(agent: SocketAddr) -> RunningProxy {
    let mut child = Command::new(PROGRAM)
        .args([
            "--name",
            "p1",
            "--zone",
            "z1",
            "--caller-address",
            "127.0.0.1:0",
        ])
        .args(["--agent-address", &agent.to_string()])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("start");
    let stdout = child.stdout.take().expect("stdout");
    let mut line = String::new();
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("ready line");
    let address = line.trim().strip_prefix("millford-proxy ready callers=");
    let address = address.expect("the ready line").parse().expect("address");
    RunningProxy { child, address }
}

fn send_signal(child: &Child, signal: &str) {
    let pid = child.id().to_string();
    let kill_status = Command::new("kill")
        .args([signal, &pid])
        .status()
        .expect("kill");
    assert!(kill_status.success());
}

/// Guards against a proxy that SIGHUP ends at once, with all open streams: it had no handler for the signal.
#[tokio::test(flavor = "multi_thread")]
async fn sighup_does_not_end_the_process() {
    let (agent, _) = stub_agent::start(Fixture::default().feed_items("127.0.0.1:1")).await;
    let mut running = start(agent);
    let ready = get("/readyz", "");
    wait_for_status(running.address, &ready, "HTTP/1.1 200").await;
    send_signal(&running.child, "-HUP");
    // The signals of a process are handled one after the other, so that SIGHUP has been handled once the proxy drains.
    send_signal(&running.child, "-TERM");
    let status = running.child.wait().expect("status");
    assert_eq!(status.code(), Some(0), "ended by SIGTERM, not by SIGHUP");
}

async fn wait_for_status(address: SocketAddr, request: &[u8], status: &str) {
    for _ in 0..2_000 {
        if exchange(address, request).await.starts_with(status) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("no response with status {status} in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_signal_lets_open_requests_end_and_the_process_exits_with_status_0() {
    let release = tokio::sync::Notify::new();
    let release = std::sync::Arc::new(release);
    let (backend, requests) = slow_backend(std::sync::Arc::clone(&release)).await;
    let items = Fixture::default().feed_items(&backend.to_string());
    let (agent, received) = stub_agent::start(items).await;
    let mut running = start(agent);
    let address = running.address;
    wait_for_status(address, &get("/readyz", ""), "HTTP/1.1 200").await;
    let authorized = format!("authorization: Bearer {KEY}\r\n");
    let lookup = get("/stations/1", &authorized);
    let open = tokio::spawn(async move { exchange(address, &lookup).await });
    while requests.load(std::sync::atomic::Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    send_signal(&running.child, "-TERM");
    wait_for_status(address, &get("/readyz", ""), "HTTP/1.1 503").await;
    let refused = exchange(address, &get("/stations/1", &authorized)).await;
    assert!(refused.contains("\"code\":2006"), "{refused}");
    release.notify_one();
    let answer = open.await.expect("answer");
    assert!(answer.ends_with("{\"late\":true}"), "{answer}");
    let status = running.child.wait().expect("status");
    assert_eq!(status.code(), Some(0));
    let draining = local_frame::Body::Draining(ProxyDraining {});
    let received = received.lock().expect("received");
    assert!(
        received.contains(&draining),
        "the agent is to serve the proxy until its end"
    );
}

/// Starts a backend that answers a lookup only after `release` is notified. Returns its address and
/// the number of lookups that it received.
async fn slow_backend(
    release: std::sync::Arc<tokio::sync::Notify>,
) -> (SocketAddr, std::sync::Arc<std::sync::atomic::AtomicUsize>) {
    let count = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let counted = std::sync::Arc::clone(&count);
    let handle = tokio::runtime::Handle::current();
    let answer: raw_backend::Answer = std::sync::Arc::new(move |request| {
        if !request.head.starts_with("GET /stations") {
            return b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_vec();
        }
        counted.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        tokio::task::block_in_place(|| handle.block_on(release.notified()));
        let attempt = request.header("x-millford-attempt");
        format!("HTTP/1.1 200 OK\r\nx-millford-attempt: {attempt}\r\ncontent-length: 13\r\n\r\n{{\"late\":true}}")
            .into_bytes()
    });
    let (address, _) = raw_backend::start(answer).await;
    (address, count)
}

#[test]
fn invalid_arguments_and_settings_are_rejected() {
    let run = |arguments: &[&str]| Command::new(PROGRAM).args(arguments).output().expect("run");
    assert!(run(&["--help"]).status.success());
    assert!(run(&["--version"]).status.success());
    let good = [
        "--name",
        "p",
        "--caller-address",
        "127.0.0.1:0",
        "--agent-address",
        "127.0.0.1:1",
    ];
    assert!(run(&[&good[..], &["--check"]].concat()).status.success());
    let bad: [&[&str]; 5] = [
        &[],
        &["--unknown"],
        &[
            "--name",
            "p",
            "--caller-address",
            "here",
            "--agent-address",
            "127.0.0.1:1",
        ],
        &["--max-body-bytes", "many"],
        &["--settings", "no-such-file.toml"],
    ];
    for arguments in bad {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains("7001"), "{text}");
    }
}

#[test]
fn an_address_in_use_is_reported() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = taken.local_addr().expect("address").to_string();
    let output = Command::new(PROGRAM)
        .args([
            "--name",
            "p",
            "--caller-address",
            &address,
            "--agent-address",
            "127.0.0.1:1",
        ])
        .output()
        .expect("run");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("7002"), "{text}");
}
