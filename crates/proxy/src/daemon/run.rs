//! Starts the proxy's runtimes, serves callers, and drains on a signal.

use std::net::SocketAddr;
use std::sync::Arc;

use miette::{IntoDiagnostic, WrapErr, miette};
use millford_api::local::ProxyHello;
use millford_core::{Duration, ResultCode};
use millford_data_plane::agent_link::{AgentLink, agent_link};
use millford_data_plane::control_thread::spawn_control_thread;
use millford_data_plane::load_reporter;
use millford_data_plane::proxy_state::ProxyState;
use millford_settings::{PartLog, ProcessSignal, ProcessSignals};
use millford_transport::FrameLimits;
use rand::Rng;
use tokio::net::TcpListener;

use crate::daemon::backend_client::BackendClient;
use crate::daemon::connections::serve_connections;
use crate::daemon::environment::DaemonEnvironment;
use crate::daemon::prober;
use crate::daemon::server::{HttpLimits, service};
use crate::daemon::settings::ProxySettings;

const LOG: PartLog = PartLog::new("PROXY");

/// Interval between checks of the conditions that the drain waits for.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for the remaining requests to end after the drain timeout.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the agent to acknowledge the last claim resolutions.
const RESOLUTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves callers until SIGTERM or SIGINT, then drains.
///
/// # Errors
/// Fails when the process cannot start, for example because its address is in use.
pub fn run(settings: &ProxySettings) -> miette::Result<()> {
    let agent_address: SocketAddr = settings.agent_address.parse().into_diagnostic()?;
    let state = Arc::new(ProxyState::new(settings.limits()));
    let backends = BackendClient {
        connect_timeout: Duration::from_millis(settings.connect_timeout_ms),
        max_head_bytes: usize::try_from(settings.max_backend_head_bytes).unwrap_or(usize::MAX),
    };
    let hello = ProxyHello {
        boot_id: rand::rng().random(),
        caller_address: settings.caller_address.clone(),
    };
    let (agent, task) = agent_link(
        Arc::clone(&state),
        agent_address,
        hello,
        FrameLimits::of_memory("millford_agent_link", settings.memory_limit()),
    );
    let (shared, reports) = (Arc::clone(&state), agent.clone());
    spawn_control_thread(async move {
        let probes = prober::run(Arc::clone(&shared), backends);
        tokio::join!(task.run(), probes, load_reporter::run(shared, reports));
    })?;
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .into_diagnostic()?;
    let environment = DaemonEnvironment {
        proxy_state: state,
        agent,
        backends,
    };
    traffic.block_on(serve(settings, environment))
}

async fn serve(settings: &ProxySettings, environment: DaemonEnvironment) -> miette::Result<()> {
    let mut signals = ProcessSignals::install()
        .into_diagnostic()
        .wrap_err("failed to install the signal handlers")?;
    let address: SocketAddr = settings.caller_address.parse().into_diagnostic()?;
    let listener = bind(address).await?;
    let bound = listener.local_addr().into_diagnostic()?;
    let limits = HttpLimits {
        max_body_bytes: settings.max_body_bytes,
        max_header_bytes: settings.max_header_bytes,
    };
    let state = Arc::clone(&environment.proxy_state);
    let agent = environment.agent.clone();
    let filter = service(&Arc::new(environment), limits);
    tokio::spawn(serve_connections(
        listener,
        filter,
        settings.server_bounds(),
    ));
    println!("millford-proxy ready callers={bound}");
    LOG.info(format!("Serving callers at {bound}."));
    while signals.next().await == ProcessSignal::HangUp {
        LOG.info("Ignoring SIGHUP: settings are read at the next start.");
    }
    let drain_timeout = Duration::from_millis(settings.drain_timeout_ms);
    drain(&state, &agent, drain_timeout).await;
    Ok(())
}

async fn bind(address: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        let code = ResultCode::AddressInUse;
        miette!(code = "address_in_use_7002", "{code} {address}: {error}")
    })
}

/// Refuses new requests, waits up to `timeout` for open ones to end, then interrupts the streams
/// that remain.
async fn drain(state: &ProxyState, agent: &AgentLink, timeout: Duration) {
    LOG.info("Draining: refusing new requests.");
    state.set_draining();
    agent.report_draining();
    wait_while(timeout, || state.metrics.open_requests.get() > 0).await;
    state.set_stopping();
    wait_while(STOP_TIMEOUT, || state.metrics.open_requests.get() > 0).await;
    wait_while(RESOLUTION_TIMEOUT, || !agent.claims_are_resolved()).await;
    let open = state.metrics.open_requests.get();
    LOG.info(format!("Stopped with {open} open requests."));
}

async fn wait_while(timeout: Duration, condition: impl Fn() -> bool) {
    let waiting = async {
        while condition() {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    };
    let _ = tokio::time::timeout(timeout, waiting).await;
}
