//! A backend of the service behind all routes.

use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::http::{AnswerBody, serve};
use crate::configuration::STREAM_PATH;
use crate::history::{Recorder, Run};

/// Time that the backend works on a request that is no stream.
const WORK: Duration = Duration::from_millis(25);
/// Number of events of a stream.
pub const STREAM_EVENTS: usize = 8;
/// Pause before each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(200);

const REQUEST_ID: &str = "request-id";
const EXPECTED_INSTANCE: &str = "expect-instance";
const HEALTH_PATH: &str = "/health";

/// A running backend. Dropping it breaks its connections.
#[derive(Debug)]
pub struct Backend {
    /// Identifier in the backend list.
    pub id: String,
    /// Address at which it serves.
    pub address: SocketAddr,
    task: JoinHandle<()>,
    ended: Arc<AtomicBool>,
}

impl Backend {
    /// Starts a backend on a free port of this host.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(id: String, host: IpAddr, recorder: Recorder) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::new(host, 0)).await?;
        let address = listener.local_addr()?;
        let context = BackendContext {
            identity: Arc::from(id.as_str()),
            ended: Arc::default(),
            recorder,
        };
        let ended = Arc::clone(&context.ended);
        let task = tokio::spawn(serve(listener, move |request| {
            answer(request, context.clone())
        }));
        Ok(Self {
            id,
            address,
            task,
            ended,
        })
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        self.task.abort();
    }
}

/// What the requests of one backend share.
#[derive(Clone)]
struct BackendContext {
    identity: Arc<str>,
    ended: Arc<AtomicBool>,
    recorder: Recorder,
}

async fn answer(request: Request<Incoming>, backend: BackendContext) -> Response<AnswerBody> {
    let identity = Arc::clone(&backend.identity);
    if request.uri().path() == HEALTH_PATH {
        let mut response = Response::new(full(""));
        insert(response.headers_mut(), "runner-id", &identity);
        return response;
    }
    let id = text(request.headers(), REQUEST_ID);
    let expected = text(request.headers(), EXPECTED_INSTANCE);
    if !expected.is_empty() && *expected != *identity {
        return declined(&id);
    }
    let guard = RunGuard::begin(id.clone(), backend);
    let is_stream = request.uri().path().starts_with(STREAM_PATH);
    let _ = request.into_body().collect().await;
    let body = if is_stream {
        events(guard)
    } else {
        sleep(WORK).await;
        guard.finish();
        full("done")
    };
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    insert(headers, REQUEST_ID, &id);
    insert(headers, "response-stamp", &format!("{identity}.{id}"));
    if is_stream {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    }
    response
}

/// Answer to a request that is meant for another backend, which this one does not run.
fn declined(id: &str) -> Response<AnswerBody> {
    let mut response = Response::new(full(""));
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    insert(response.headers_mut(), REQUEST_ID, id);
    insert(response.headers_mut(), "not-executed", "1");
    response
}

fn events(guard: RunGuard) -> AnswerBody {
    let parts = stream::unfold((0, Some(guard)), async |(number, guard)| {
        if number == STREAM_EVENTS {
            if let Some(guard) = guard {
                guard.finish();
            }
            return None;
        }
        sleep(EVENT_PAUSE).await;
        let event = Bytes::from(format!("id: {number}\ndata: part\n\n"));
        Some((Ok::<_, Infallible>(Frame::data(event)), (number + 1, guard)))
    });
    StreamBody::new(parts).boxed()
}

fn full(text: &'static str) -> AnswerBody {
    Full::new(Bytes::from_static(text.as_bytes())).boxed()
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Records a run, and that the backend broke it off if the backend ends before it.
struct RunGuard {
    backend: BackendContext,
    index: usize,
    finished: bool,
}

impl RunGuard {
    fn begin(request: String, backend: BackendContext) -> Self {
        let run = Run {
            request,
            backend: backend.identity.to_string(),
            at: backend.recorder.now(),
            broke_off: false,
        };
        let index = backend.recorder.add_run(run);
        Self {
            backend,
            index,
            finished: false,
        }
    }

    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        // A run is also dropped when its caller closes the connection; only the backend's own end counts.
        if !self.finished && self.backend.ended.load(Ordering::SeqCst) {
            self.backend.recorder.break_off_run(self.index);
        }
    }
}
