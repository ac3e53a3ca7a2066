//! Runs the deployed programs beside peers that send bytes without an end, and other clients beside them.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::{AUTHORIZATION, HOST};
use http_body_util::{BodyExt, Full};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::checks::{Violation, memory, recovery};
use crate::configuration::{
    FAULTY_SERVICE, HOST as ROUTE_HOST, LONG_EVENT_PATH, LONG_EVENT_SERVICE, MAX_BODY_BYTES,
    PERMANENT_KEY, ROUTE_TIMEOUT_MS, UNSAFE_PATH,
};
use crate::history::History;
use crate::options::SoakOptions;
use crate::run::{Soak, SoakError};
use crate::stand_ins::http::connect;
use crate::stand_ins::{ScriptedAnswer, ScriptedBackend, ask_faulty};

/// Size of the long events that a sound backend sends, in bytes.
const LONG_EVENT_BYTES: usize = 3 * 1024 * 1024;
/// Time between two requests of the other clients.
const OTHERS_INTERVAL: Duration = Duration::from_millis(100);
/// One in so many requests of the other clients has the largest body, and another one a long event as its answer.
const LARGE_INTERVAL: usize = 10;
/// Time that the other clients wait for an answer.
const PATIENCE: Duration = Duration::from_millis(ROUTE_TIMEOUT_MS + 1000);
/// Pause of a client whose connection ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Starts of the metrics that a report shows.
const SCRAPED_METRICS: [&str; 3] = [
    "millford_proxy_buffered_bytes",
    "millford_proxy_revoked_buffers",
    "millford_proxy_over_limit",
];
/// Time that the proxy may take to answer a scrape.
const SCRAPE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which ended processes are looked for.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the frames that peers of a control machine begin, in bytes.
const FRAME_BYTES: u32 = 60 * 1024 * 1024;
/// Size of the blocks in which bytes without an end are written, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// Peers that send without an end, or hold back the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFault {
    /// Backends send this answer.
    Answers {
        /// What they send.
        answer: ScriptedAnswer,
        /// Number of faulty backends.
        backends: usize,
        /// Number of clients that ask them at the same time.
        clients: usize,
    },
    /// Clients send all but the last byte of the largest body and wait.
    UnfinishedBodies {
        /// Number of connections.
        clients: usize,
    },
    /// Peers of a control machine send all but the last byte of a large frame and wait.
    UnfinishedFrames {
        /// Number of connections.
        connections: usize,
    },
    /// Operators send chunked bodies without an end.
    EndlessOrders {
        /// Number of connections.
        connections: usize,
    },
}

/// A request of the other clients that was not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unserved {
    /// Number of the request, which decides what it asks for.
    pub number: usize,
    /// How it ended.
    pub ending: UnservedEnding,
    /// Time from its start to its end.
    pub after: Duration,
}

/// How a request ended that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedEnding {
    /// No connection was opened.
    NotConnected,
    /// The connection ended before the answer was complete.
    Broken,
    /// The answer had another status than success.
    Status(u16),
    /// The answer was shorter than it should be.
    Short,
    /// The client gave up.
    TimedOut,
}

/// What was seen during a run.
#[derive(Clone, Debug)]
pub struct PeerFaultReport {
    /// The fault.
    pub fault: PeerFault,
    /// Requests that the other clients sent.
    pub others: usize,
    /// Why the others were not served.
    pub unserved: Vec<Unserved>,
    /// Time from the start of the fault until a process had ended or was over its memory, if one was.
    pub ended_after: Option<Duration>,
    /// Everything that was recorded.
    pub history: History,
    /// Metrics of the proxy about the bytes that it held, at the end or before a rule broke.
    pub metrics: Vec<String>,
    /// Breaks of the rules MEMORY and OWN END.
    pub violations: Vec<Violation>,
}

impl PeerFaultReport {
    /// Whether every process went on within its memory and all other clients were served.
    #[must_use]
    pub fn held(&self) -> bool {
        self.violations.is_empty() && self.unserved.is_empty() && self.others > 0
    }
}

impl fmt::Display for PeerFaultReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?}: {} of {} other requests served",
            self.fault,
            self.others - self.unserved.len(),
            self.others
        )?;
        if let Some(after) = self.ended_after {
            write!(formatter, "; a rule broke after {after:.2?}")?;
        }
        let peaks = self.history.memory.iter();
        if let Some(peak) = peaks.max_by_key(|peak| peak.bytes) {
            let megabytes = peak.bytes / (1024 * 1024);
            write!(formatter, "; most memory {megabytes} MB ({})", peak.role)?;
        }
        for unserved in &self.unserved {
            write!(formatter, "\n  {unserved:?}")?;
        }
        for metric in &self.metrics {
            write!(formatter, "\n  {metric}")?;
        }
        for violation in &self.violations {
            write!(formatter, "\n  {violation}")?;
        }
        Ok(())
    }
}

/// Runs one proxy machine beside the faulty peers for this time.
///
/// # Errors
/// The run could not be played.
pub async fn run(
    options: &SoakOptions,
    fault: PeerFault,
    duration: Duration,
) -> Result<PeerFaultReport, SoakError> {
    let folder = tempfile::Builder::new()
        .prefix("millford-peers-")
        .tempdir()?;
    let mut soak = Soak::start(options, folder.path()).await?;
    let _backends = start_backends(&soak, fault).await?;
    // The list shows new backends after its lag.
    sleep(Duration::from_secs(2)).await;
    let begun = Instant::now();
    let mut peers = JoinSet::new();
    start_peers(&soak, fault, &mut peers);
    let others = tokio::spawn(other_clients(
        soak.network.caller(0),
        soak.network.operator(0),
        begun + duration,
    ));
    let mut ended_after = None;
    let mut metrics = Vec::new();
    while begun.elapsed() < duration + PATIENCE && !others.is_finished() {
        record_memory(&soak);
        record_own_ends(&mut soak);
        if !violations(&soak.recorder.lock()).is_empty() {
            ended_after = Some(begun.elapsed());
            // The platform ends a process that is over its limit.
            soak.fronts.clear();
            soak.control.stop();
            break;
        }
        let scraped = scrape(soak.network.readiness(0)).await;
        metrics = scraped.unwrap_or(metrics);
        sleep(WATCH_INTERVAL).await;
    }
    let (others, unserved) = others.await.map_err(std::io::Error::other)?;
    record_memory(&soak);
    drop(peers);
    let history = std::mem::take(&mut *soak.recorder.lock());
    let mut violations = violations(&history);
    violations.dedup_by_key(|violation| violation.rule);
    Ok(PeerFaultReport {
        fault,
        others,
        unserved,
        ended_after,
        history,
        metrics,
        violations,
    })
}

/// Breaks of the rules MEMORY and OWN END.
fn violations(history: &History) -> Vec<Violation> {
    let mut found = memory::check(history);
    found.extend(recovery::own_ends(history));
    found
}

/// Returns the metrics about memory and limits; `None` if the proxy does not answer.
async fn scrape(readiness: SocketAddr) -> Option<Vec<String>> {
    let request = Request::get("/metrics").header(HOST, "platform");
    let request = request.body(Full::default()).ok()?;
    let answer = timeout(SCRAPE_TIMEOUT, whole_answer(readiness, request)).await;
    let text = String::from_utf8(answer.ok()?.ok()?.to_vec()).ok()?;
    let lines = text.lines().filter(|line| {
        let mut prefixes = SCRAPED_METRICS.iter();
        prefixes.any(|prefix| line.starts_with(prefix))
    });
    Some(lines.map(str::to_owned).collect())
}

fn record_memory(soak: &Soak) {
    soak.fronts
        .iter()
        .for_each(crate::deployment::FrontMachine::record_memory);
    soak.control.record_memory();
}

fn record_own_ends(soak: &mut Soak) {
    for front in &mut soak.fronts {
        front.record_own_ends();
    }
    soak.control.record_own_ends();
}

async fn start_backends(soak: &Soak, fault: PeerFault) -> std::io::Result<Vec<ScriptedBackend>> {
    let host = soak.network.backend(0);
    let answer = ScriptedAnswer::Event(LONG_EVENT_BYTES);
    let long = ScriptedBackend::start("long-event".to_owned(), host, answer).await?;
    soak.list.add_to(LONG_EVENT_SERVICE, &long.id, long.address);
    let mut started = vec![long];
    if let PeerFault::Answers {
        answer, backends, ..
    } = fault
    {
        for number in 0..backends {
            let id = format!("faulty-{number}");
            let backend = ScriptedBackend::start(id, host, answer).await?;
            soak.list
                .add_to(FAULTY_SERVICE, &backend.id, backend.address);
            started.push(backend);
        }
    }
    Ok(started)
}

fn start_peers(soak: &Soak, fault: PeerFault, peers: &mut JoinSet<()>) {
    let caller = soak.network.caller(0);
    match fault {
        PeerFault::Answers {
            answer, clients, ..
        } => {
            let path = answer.path();
            for number in 0..clients {
                peers.spawn(ask_faulty(caller, path, number));
            }
        }
        PeerFault::UnfinishedBodies { clients } => {
            for number in 0..clients {
                peers.spawn(hold_back(
                    caller,
                    unfinished_body(number),
                    MAX_BODY_BYTES - 1,
                ));
            }
        }
        PeerFault::UnfinishedFrames { connections } => {
            let port = soak.network.port_range()[0];
            let internal = SocketAddr::new(soak.network.control(0), port);
            let length = FRAME_BYTES.to_be_bytes().to_vec();
            for _ in 0..connections {
                peers.spawn(hold_back(
                    internal,
                    length.clone(),
                    FRAME_BYTES as usize - 1,
                ));
            }
        }
        PeerFault::EndlessOrders { connections } => {
            let operator = soak.network.operator(0);
            for _ in 0..connections {
                peers.spawn(endless_order(operator));
            }
        }
    }
}

/// Head of a request with the largest body.
fn unfinished_body(number: usize) -> Vec<u8> {
    format!(
        "POST {UNSAFE_PATH}item HTTP/1.1\r\nhost: {ROUTE_HOST}\r\nrequest-id: held-{number}\r\n\
         authorization: Token {PERMANENT_KEY}\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
    )
    .into_bytes()
}

/// Sends `first` and then this many bytes, waits for the end of the connection, and begins again.
async fn hold_back(address: SocketAddr, first: Vec<u8>, bytes: usize) {
    loop {
        let _ = hold_back_once(address, &first, bytes).await;
        sleep(RECONNECT_DELAY).await;
    }
}

async fn hold_back_once(address: SocketAddr, first: &[u8], bytes: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(first).await?;
    let block = vec![0; BLOCK_BYTES];
    let mut left = bytes;
    while left > 0 {
        let length = left.min(BLOCK_BYTES);
        stream.write_all(&block[..length]).await?;
        left -= length;
    }
    tokio::io::copy(&mut stream, &mut tokio::io::sink()).await?;
    Ok(())
}

/// Sends an order whose chunked body has no end, again and again.
async fn endless_order(address: SocketAddr) {
    loop {
        let _ = endless_order_once(address).await;
        sleep(RECONNECT_DELAY).await;
    }
}

async fn endless_order_once(address: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let head = "POST /millford/Config.Put HTTP/1.1\r\nhost: operator\r\nbase-version: 0\r\n\
                content-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    let chunk = format!("{BLOCK_BYTES:x}\r\n{}\r\n", " ".repeat(BLOCK_BYTES));
    loop {
        stream.write_all(chunk.as_bytes()).await?;
    }
}

/// Sends requests at an interval until `until`. Returns how many were sent, and those that were not served.
async fn other_clients(
    proxy: SocketAddr,
    operator: SocketAddr,
    until: Instant,
) -> (usize, Vec<Unserved>) {
    let mut requests = JoinSet::new();
    let mut number = 0;
    while Instant::now() < until {
        requests.spawn(async move {
            let begun = Instant::now();
            let served = other_request(proxy, operator, number).await;
            served.err().map(|ending| Unserved {
                number,
                ending,
                after: begun.elapsed(),
            })
        });
        number += 1;
        sleep(OTHERS_INTERVAL).await;
    }
    let unserved = requests.join_all().await;
    (number, unserved.into_iter().flatten().collect())
}

/// Sends one request on a new connection. Fails unless it is answered whole, with success.
async fn other_request(
    proxy: SocketAddr,
    operator: SocketAddr,
    number: usize,
) -> Result<(), UnservedEnding> {
    let (address, request, least_bytes) = match number % LARGE_INTERVAL {
        0 => (proxy, proxied(UNSAFE_PATH, number, MAX_BODY_BYTES), 1),
        1 => (proxy, proxied(LONG_EVENT_PATH, number, 1), LONG_EVENT_BYTES),
        2 => (operator, read_configuration(), 1),
        _ => (proxy, proxied(UNSAFE_PATH, number, 1), 1),
    };
    let answered = timeout(PATIENCE, whole_answer(address, request)).await;
    let body = answered.unwrap_or(Err(UnservedEnding::TimedOut))?;
    if body.len() < least_bytes {
        return Err(UnservedEnding::Short);
    }
    Ok(())
}

fn proxied(path: &str, number: usize, body_bytes: usize) -> Request<Full<Bytes>> {
    Request::post(format!("{path}item"))
        .header(HOST, ROUTE_HOST)
        .header("request-id", format!("other-{number}"))
        .header("time-budget-ms", ROUTE_TIMEOUT_MS.to_string())
        .header(AUTHORIZATION, format!("Token {PERMANENT_KEY}"))
        .body(Full::new(Bytes::from(vec![b'x'; body_bytes])))
        .unwrap_or_default()
}

fn read_configuration() -> Request<Full<Bytes>> {
    Request::get("/millford/Config.Get")
        .header(HOST, "operator")
        .body(Full::default())
        .unwrap_or_default()
}

/// Returns the whole body of a successful answer.
async fn whole_answer(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Bytes, UnservedEnding> {
    let connected = connect(address).await;
    let mut connection = connected.map_err(|_| UnservedEnding::NotConnected)?;
    let response = connection.send_request(request).await;
    let response = response.map_err(|_| UnservedEnding::Broken)?;
    if !response.status().is_success() {
        return Err(UnservedEnding::Status(response.status().as_u16()));
    }
    let body = response.into_body().collect().await;
    let body = body.map_err(|_| UnservedEnding::Broken)?;
    Ok(body.to_bytes())
}
