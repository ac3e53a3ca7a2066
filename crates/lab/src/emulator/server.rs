//! HTTP server of one emulated backend.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::completion::complete;
use super::endless::{begins_with_work, send_endless_head};
use super::faults::{EndlessPart, FaultSwitches};
use super::http::{EmulatorBody, json_response};
use super::lookup::look_up;
use super::options::BackendOptions;
use super::shared_stream::{SharedStream, StraySwitch};
use super::state::BackendState;
use crate::protocol::ATTEMPT_AGE_HEADER;

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Exit status of the process on `POST /admin/crash`.
const CRASH_STATUS: i32 = 101;

/// A running emulated backend. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct BackendServer {
    state: Arc<BackendState>,
    address: SocketAddr,
    tasks: [JoinHandle<()>; 2],
}

impl BackendServer {
    /// Binds the address and starts to accept connections.
    ///
    /// # Errors
    /// The address cannot be bound, or the execution log cannot be opened.
    pub async fn start(options: BackendOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let address = listener.local_addr()?;
        let state = BackendState::new(options)?;
        let tasks = [
            tokio::spawn(accept(listener, Arc::clone(&state))),
            tokio::spawn(Arc::clone(&state.engine).drive()),
        ];
        Ok(Self {
            state,
            address,
            tasks,
        })
    }

    /// Returns the bound address, with the port that was picked if the options said 0.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state shared by all connections.
    #[must_use]
    pub fn state(&self) -> &Arc<BackendState> {
        &self.state
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn accept(listener: TcpListener, state: Arc<BackendState>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        connections.spawn(serve(stream, Arc::clone(&state)));
    }
}

async fn serve(stream: TcpStream, state: Arc<BackendState>) {
    let _ = stream.set_nodelay(true);
    let endless = state.faults.borrow().endless;
    if let Some(part @ (EndlessPart::Head | EndlessPart::Interim)) = endless
        && begins_with_work(&stream).await
    {
        // An error means that the client closed the connection.
        let _ = send_endless_head(stream, part).await;
        return;
    }
    let stray = StraySwitch::default();
    let io = TokioIo::new(SharedStream::new(stream, stray.clone()));
    let service = service_fn(move |request| respond(request, Arc::clone(&state), stray.clone()));
    // Errors are expected: the client disconnected, or a fault switch failed the response.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(io, service)
        .await;
}

async fn respond(
    request: Request<Incoming>,
    state: Arc<BackendState>,
    stray: StraySwitch,
) -> Result<Response<EmulatorBody>, Infallible> {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    if path.starts_with("/admin/") {
        return Ok(handle_admin(&head.method, &path, body, &state).await);
    }
    if (&head.method, path.as_str()) == (&Method::GET, "/v1/executions") {
        return Ok(json_response(StatusCode::OK, &state.executions()));
    }
    wait_while_unresponsive(&state).await;
    Ok(match (&head.method, path.as_str()) {
        (&Method::GET, "/v1/health") => {
            json_response(StatusCode::OK, &json!({"load": state.engine.load()}))
        }
        (&Method::POST, "/v1/chat/completions") => match read_body(body).await {
            Some(bytes) => complete(state, head.headers, bytes, stray).await,
            None => json_response(
                StatusCode::BAD_REQUEST,
                &json!({"error": "body incomplete"}),
            ),
        },
        (&Method::DELETE, path) if path.starts_with("/v1/attempts/") => {
            withdraw(path, &head.headers, &state)
        }
        (&Method::GET, _) => look_up(state, head.headers, head.uri).await,
        _ => json_response(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
    })
}

/// Waits while the backend is switched to be unresponsive.
async fn wait_while_unresponsive(state: &BackendState) {
    let mut faults = state.faults.subscribe();
    let _ = faults.wait_for(|faults| !faults.unresponsive).await;
}

fn withdraw(path: &str, headers: &HeaderMap, state: &BackendState) -> Response<EmulatorBody> {
    let attempt = path.trim_start_matches("/v1/attempts/");
    let age = headers.get(ATTEMPT_AGE_HEADER);
    let age = age.and_then(|value| value.to_str().ok()?.parse().ok());
    let attempt_state = state.withdraw(attempt, age.map(Duration::from_millis));
    json_response(StatusCode::OK, &json!({"state": attempt_state}))
}

async fn handle_admin(
    method: &Method,
    path: &str,
    body: Incoming,
    state: &BackendState,
) -> Response<EmulatorBody> {
    match (method, path) {
        (&Method::PUT, "/admin/faults") => set_faults(body, state).await,
        (&Method::POST, "/admin/crash") => std::process::exit(CRASH_STATUS),
        _ => json_response(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
    }
}

async fn set_faults(body: Incoming, state: &BackendState) -> Response<EmulatorBody> {
    let bytes = read_body(body).await.unwrap_or_default();
    match serde_json::from_slice::<FaultSwitches>(&bytes) {
        Ok(faults) => {
            state.set_faults(faults.clone());
            json_response(StatusCode::OK, &faults)
        }
        Err(error) => json_response(
            StatusCode::BAD_REQUEST,
            &json!({"error": error.to_string()}),
        ),
    }
}

async fn read_body(body: Incoming) -> Option<Bytes> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(collected.to_bytes())
}
