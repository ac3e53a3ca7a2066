//! A control node with scripted responses, and helpers that run `millfordctl` against it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

/// The node's reaction to one request.
#[derive(Clone, Debug)]
pub(crate) enum ScriptedResponse {
    /// Responds with this status and body.
    Respond(u16, String),
    /// Reads the request and closes the connection without a response.
    CloseWithoutResponse,
}

/// One request that the node received.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedRequest {
    pub request_line: String,
    pub authorization: String,
    pub body: String,
}

/// A control node on loopback that reacts to the n-th request with the n-th step of its script. The last step
/// is repeated.
pub(crate) struct ScriptedNode {
    pub address: String,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl ScriptedNode {
    pub(crate) fn start(script: Vec<ScriptedResponse>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let received = Arc::new(Mutex::new(Vec::new()));
        let shared = Arc::clone(&received);
        std::thread::spawn(move || serve(&listener, &script, &shared));
        Self { address, received }
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().expect("no panic").clone()
    }
}

fn serve(
    listener: &TcpListener,
    script: &[ScriptedResponse],
    received: &Mutex<Vec<ReceivedRequest>>,
) {
    for (number, stream) in listener.incoming().enumerate() {
        let Ok(mut stream) = stream else { return };
        let request = read(&stream);
        received.lock().expect("no panic").push(request);
        let step = script.get(number).or(script.last()).expect("a step");
        if let ScriptedResponse::Respond(status, body) = step {
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} Scripted\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
            );
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(body.as_bytes());
        }
    }
}

fn read(stream: &TcpStream) -> ReceivedRequest {
    let mut reader = BufReader::new(stream);
    let mut received = ReceivedRequest::default();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 || line.trim().is_empty() {
            break;
        }
        let line = line.trim().to_owned();
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().expect("a length");
        } else if let Some(value) = line.strip_prefix("authorization: ") {
            value.clone_into(&mut received.authorization);
        } else if received.request_line.is_empty() {
            received.request_line = line;
        }
    }
    let mut body = vec![0; length];
    let _ = reader.read_exact(&mut body);
    received.body = String::from_utf8_lossy(&body).into_owned();
    received
}

/// Runs `millfordctl` with an operator key in the environment.
pub(crate) fn ctl(arguments: &[&str]) -> Output {
    program(arguments)
        .env("MILLFORD_OPERATOR_KEY", "the-operator-key")
        .output()
        .expect("millfordctl runs")
}

/// Returns a command that runs `millfordctl` without an operator key or addresses in the environment.
pub(crate) fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_millfordctl"));
    command
        .args(arguments)
        .env_remove("MILLFORD_OPERATOR_KEY")
        .env_remove("MILLFORD_CONTROL");
    command
}

pub(crate) fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

pub(crate) fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Returns a loopback address on which no process listens.
pub(crate) fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").to_string()
}

/// Returns the body of an error response; `extra` is appended after the `error` field.
pub(crate) fn error(code: u32, name: &str, extra: &str) -> String {
    format!("{{\"error\":{{\"code\":{code},\"name\":\"{name}\",\"message\":\"scripted\"}}{extra}}}")
}
