//! The agent's logic, free of I/O.
//!
//! [`AgentCore`] dispatches each input event to the component that owns the affected state (control
//! link, session, feeds, quota, claims, registry fallback) and turns the results into output
//! actions.

mod control;
mod proxy;
mod tick;

use millford_api::internal::{Frame, frame};
use millford_api::local::{LocalFrame, local_frame};
use millford_api::state::{StateValue, state_value};
use millford_core::{Duration, MonotonicTime, ShardId};

use crate::claims::{ClaimClient, ClaimResolver};
use crate::counters::AgentCounters;
use crate::feeds::Feeds;
use crate::heartbeat::HeartbeatSchedule;
use crate::input::AgentInput;
use crate::link::{ControlLink, EndpointList};
use crate::options::AgentOptions;
use crate::output::AgentOutput;
use crate::proxy_link::ProxyLink;
use crate::quota::QuotaClient;
use crate::registry::RegistryFallback;
use crate::session::Session;
use crate::shutdown::Shutdown;

/// Key of the current configuration revision in the public state of the configuration shard.
const CONFIG_HEAD_KEY: &str = "config/head";

/// State machine of one agent: takes input events with the current time and returns output actions.
/// Performs no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct AgentCore {
    link: ControlLink,
    session: Session,
    heartbeats: HeartbeatSchedule,
    feeds: Feeds,
    proxy: ProxyLink,
    registry: RegistryFallback,
    quota: QuotaClient,
    claims: ClaimClient,
    resolver: ClaimResolver,
    counters: AgentCounters,
    /// Id of the last request to a shard; ids increase across all shards and kinds of request.
    last_request_id: u64,
    /// Set once the process is shutting down.
    shutdown: Option<Shutdown>,
    /// Longest time after the termination signal for which a draining proxy is served.
    drain_timeout: Duration,
}

impl AgentCore {
    /// Creates an agent that starts to connect at its first input event.
    #[must_use]
    pub fn new(options: &AgentOptions, now: MonotonicTime) -> Self {
        let addresses = options.control_addresses.clone();
        let endpoints = EndpointList::new(addresses, options.random_seed);
        Self {
            link: ControlLink::new(endpoints, now),
            session: Session::new(options, now),
            heartbeats: HeartbeatSchedule::new(now),
            feeds: Feeds::new(now),
            proxy: ProxyLink::default(),
            registry: RegistryFallback::new(&options.name, now),
            quota: QuotaClient::default(),
            claims: ClaimClient::default(),
            resolver: ClaimResolver::default(),
            counters: AgentCounters::default(),
            last_request_id: 0,
            shutdown: None,
            drain_timeout: options.drain_timeout,
        }
    }

    /// Handles one input event and returns the actions to perform, in order.
    pub fn handle(&mut self, now: MonotonicTime, input: AgentInput) -> Vec<AgentOutput> {
        let mut out = Vec::new();
        match input {
            AgentInput::LinkUp { link } => self.link_up(now, link, &mut out),
            AgentInput::LinkDown { link } => self.link_down(now, link),
            AgentInput::LinkProgress { link } => {
                if self.link.is_up(link) {
                    self.link.record_received(now);
                }
            }
            AgentInput::ControlFrame { link, frame } => {
                if self.link.is_up(link) {
                    self.control_frame(now, *frame, &mut out);
                }
            }
            AgentInput::ProxyUp => self.reset_proxy(),
            AgentInput::ProxyDown => {
                self.reset_proxy();
                self.claims.cancel_all();
            }
            AgentInput::ProxyFrame(frame) => self.proxy_frame(now, *frame, &mut out),
            AgentInput::Registry(view) => self.registry_view(now, &view, &mut out),
            AgentInput::RegistryFailed => self.registry.record_failure(now),
            AgentInput::Seeds(seeds) => self.link.update_seeds(now, seeds),
            AgentInput::Tick => {}
            AgentInput::Stop => self.begin_shutdown(now),
        }
        self.advance(now, &mut out);
        out
    }

    /// Returns whether the agent is connected to a control node that has contact with the quorum of
    /// the configuration shard.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.link.has_quorum_contact()
    }

    /// Returns the address of the control node that the agent is linked to, if any.
    #[must_use]
    pub fn control_address(&self) -> Option<&str> {
        self.link.connected_address()
    }

    /// Returns whether every shard's state has been confirmed at least once since the agent
    /// started.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.feeds.complete()
    }

    /// Returns the epoch of the open session, or 0 if none is open.
    #[must_use]
    pub fn session_epoch(&self) -> u64 {
        self.session.epoch()
    }

    /// Returns the newest configuration revision that the agent has received; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        let view = self.feeds.view(ShardId::CONFIGURATION);
        let head = view.and_then(|view| view.items().get(CONFIG_HEAD_KEY));
        head.map_or(0, head_revision)
    }

    /// Returns the views of all known shards, with their confirmation state.
    #[must_use]
    pub fn feeds(&self) -> &Feeds {
        &self.feeds
    }

    /// Returns whether the proxy is connected and has completed its handshake.
    #[must_use]
    pub fn proxy_connected(&self) -> bool {
        self.proxy.handshake_done()
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> AgentCounters {
        let counts = self.quota.counts();
        AgentCounters {
            quota_granted: counts.granted,
            quota_refused: counts.refused,
            quota_unavailable: counts.unavailable,
            ..self.counters
        }
    }

    /// Returns the number of unspent quota tokens leased to this node over all tenants. For tests.
    #[must_use]
    pub fn available_quota_tokens(&self, now: MonotonicTime) -> u32 {
        self.quota.available_tokens(now)
    }

    /// Returns the number of claim outcomes that have not been acknowledged yet.
    #[must_use]
    pub fn pending_resolutions(&self) -> usize {
        self.resolver.len()
    }

    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Resets the state of the proxy's connection, and drops quota requests from a previous one,
    /// whose replies could no longer be delivered.
    fn reset_proxy(&mut self) {
        self.proxy.reset();
        self.quota.cancel_waiting();
    }

    fn fail_over(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        if let Some(action) = self.link.fail_over(now) {
            self.perform(action, out);
        }
    }

    fn send(&self, body: frame::Body, out: &mut Vec<AgentOutput>) {
        if let Some(link) = self.link.connected_link() {
            let frame = Box::new(Frame { body: Some(body) });
            out.push(AgentOutput::SendControl { link, frame });
        }
    }
}

fn send_proxy(body: local_frame::Body, out: &mut Vec<AgentOutput>) {
    let frame = Box::new(LocalFrame { body: Some(body) });
    out.push(AgentOutput::SendProxy(frame));
}

fn head_revision(value: &StateValue) -> u64 {
    match &value.kind {
        Some(state_value::Kind::ConfigHead(head)) => head.revision,
        _ => 0,
    }
}
