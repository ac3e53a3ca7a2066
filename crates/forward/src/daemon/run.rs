//! Starts the daemon and shuts it down gracefully.

use std::net::SocketAddr;
use std::sync::Arc;

use miette::{IntoDiagnostic, WrapErr, miette};
use millford_api::local::ProxyHello;
use millford_core::time::monotonic_now;
use millford_core::{Duration, ResultCode};
use millford_data_plane::agent_link::{AgentLink, agent_link};
use millford_data_plane::control_thread::spawn_control_thread;
use millford_data_plane::load_reporter;
use millford_data_plane::proxy_state::ProxyState;
use millford_settings::{PartLog, ProcessSignal, ProcessSignals};
use millford_transport::FrameLimits;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

use crate::backend::health_watch;
use crate::daemon::callers::{CallerConnections, serve_callers};
use crate::daemon::readiness::serve_readiness;
use crate::exchange;
use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;
use crate::settings::ForwardSettings;

const LOG: PartLog = PartLog::new("FORWARD");

/// Time from the termination signal until idle connections are closed. By then new callers are no longer routed to
/// this node, and callers with an open connection have received `Connection: close`.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2200);
/// Shortest time from the termination signal to the end of the process.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3200);
/// Interval at which the open connections are checked while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the daemon until SIGTERM or SIGINT, then drains.
///
/// # Errors
/// Fails if the daemon cannot start, for example because an address is in use.
pub fn run<P: ForwardProtocol>(settings: &ForwardSettings, protocol: P) -> miette::Result<()> {
    let agent_address: SocketAddr = settings.agent_address.parse().into_diagnostic()?;
    let state = Arc::new(ProxyState::new(settings.request_limits()));
    let node = Arc::new(ForwardNode::new(settings, Arc::clone(&state), protocol));
    let hello = ProxyHello {
        boot_id: rand::random(),
        caller_address: settings.caller_address.clone(),
    };
    let (agent, task) = agent_link(
        Arc::clone(&state),
        agent_address,
        hello,
        FrameLimits::of_memory("millford_agent_link", settings.memory_limit()),
    );
    let reports = agent.clone();
    spawn_control_thread(async move {
        tokio::join!(task.run(), load_reporter::run(state, reports));
    })?;
    let traffic = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    traffic.block_on(serve(settings, node, agent))
}

async fn serve<P: ForwardProtocol>(
    settings: &ForwardSettings,
    node: Arc<ForwardNode<P>>,
    agent: AgentLink,
) -> miette::Result<()> {
    let mut signals = ProcessSignals::install()
        .into_diagnostic()
        .wrap_err("failed to install the signal handlers")?;
    let callers = bind(&settings.caller_address).await?;
    let readiness = bind(&settings.readiness_address).await?;
    let exchange_socket = UdpSocket::bind(&settings.exchange_address)
        .await
        .map_err(|error| cannot_bind(&settings.exchange_address, &error))?;
    let connections = CallerConnections::default();
    // The set aborts its tasks when it is dropped at the end of this function.
    let mut tasks = JoinSet::new();
    tasks.spawn(serve_callers(
        callers,
        Arc::clone(&node),
        connections.clone(),
    ));
    tasks.spawn(serve_readiness(readiness, Arc::clone(&node)));
    tasks.spawn(exchange::run(Arc::clone(&node), exchange_socket));
    tasks.spawn(health_watch::run(Arc::clone(&node)));
    println!("millford-forward ready callers={}", settings.caller_address);
    LOG.info(format!("Serving callers at {}.", settings.caller_address));
    while signals.next().await == ProcessSignal::HangUp {
        LOG.info("Ignoring SIGHUP: settings are read at the next start.");
    }
    let longest = Duration::from_millis(settings.drain_timeout_ms);
    drain(&node, &agent, &connections, longest).await;
    Ok(())
}

async fn bind(address: &str) -> miette::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| cannot_bind(address, &error))
}

fn cannot_bind(address: &str, error: &std::io::Error) -> miette::Report {
    let code = ResultCode::AddressInUse;
    miette!(code = "address_in_use_7002", "{code} {address}: {error}")
}

/// Drains the node: it reports that it is not ready, still serves requests while callers move to other nodes, and
/// waits until all connections are closed or `longest` has passed since the signal.
async fn drain<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    agent: &AgentLink,
    connections: &CallerConnections,
    longest: Duration,
) {
    LOG.info(format!(
        "Draining: the node is no longer ready; configuration revision {} is applied.",
        node.state.table().revision()
    ));
    let begun = monotonic_now();
    node.drain(begun, longest);
    agent.report_draining();
    tokio::time::sleep(IDLE_CLOSE_DELAY.min(longest)).await;
    connections.close_when_idle();
    loop {
        let passed = monotonic_now().since(begun);
        let empty = connections.open() == 0;
        if passed >= longest || (empty && passed >= MIN_DRAIN_TIME.min(longest)) {
            break;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    LOG.info(format!(
        "Draining has ended with {} open connections; configuration revision {} is applied.",
        connections.open(),
        node.state.table().revision()
    ));
}
