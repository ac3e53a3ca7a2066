//! The agent's decisions.

mod control;
mod proxy;
mod tick;

use millford_api::internal::{Frame, frame};
use millford_api::local::{LocalFrame, local_frame};
use millford_api::state::{StateValue, state_value};
use millford_core::{MonotonicTime, ShardId};

use crate::counters::AgentCounters;
use crate::feeds::Feeds;
use crate::forward::{ClaimDesk, SettleDesk};
use crate::input::AgentInput;
use crate::link::{AddressBook, ControlLink, LinkAction};
use crate::options::AgentOptions;
use crate::output::AgentOutput;
use crate::proxy_link::ProxyLink;
use crate::quota::QuotaClient;
use crate::registry::{Confirmation, RegistryOverlay, RegistryPace};
use crate::session::Session;

/// Key of the configuration's number in the public state of the configuration shard.
const CONFIG_HEAD_KEY: &str = "config/head";

/// One agent: takes inputs with the time, returns what is to be done. Holds no socket and no clock.
#[derive(Clone, Debug)]
pub struct AgentCore {
    link: ControlLink,
    session: Session,
    feeds: Feeds,
    proxy: ProxyLink,
    overlay: RegistryOverlay,
    quota: QuotaClient,
    claims: ClaimDesk,
    settles: SettleDesk,
    counters: AgentCounters,
    next_id: u64,
    heartbeat_at: MonotonicTime,
    heartbeat_sequence: u64,
    /// First heartbeat that named the open session: answers to earlier ones say nothing about it.
    session_sequence: u64,
    registry_pace: RegistryPace,
    confirmation: Confirmation,
    stopping: Option<Stopping>,
}

#[derive(Clone, Copy, Debug)]
struct Stopping {
    request: u64,
    give_up_at: MonotonicTime,
}

impl AgentCore {
    /// An agent that connects at its first tick.
    #[must_use]
    pub fn new(options: &AgentOptions, now: MonotonicTime) -> Self {
        let addresses = options.control_addresses.clone();
        let book = AddressBook::new(addresses, options.random_seed);
        Self {
            link: ControlLink::new(book, now),
            session: Session::new(options, now),
            feeds: Feeds::new(now),
            proxy: ProxyLink::default(),
            overlay: RegistryOverlay::default(),
            quota: QuotaClient::default(),
            claims: ClaimDesk::default(),
            settles: SettleDesk::default(),
            counters: AgentCounters::default(),
            next_id: 0,
            heartbeat_at: now,
            heartbeat_sequence: 0,
            session_sequence: 0,
            registry_pace: RegistryPace::new(&options.name, now),
            confirmation: Confirmation::missing(now),
            stopping: None,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: MonotonicTime, input: AgentInput) -> Vec<AgentOutput> {
        let mut out = Vec::new();
        match input {
            AgentInput::LinkUp { link } => self.link_up(now, link, &mut out),
            AgentInput::LinkDown { link } => self.link_down(now, link),
            AgentInput::LinkAlive { link } => {
                if self.link.is_up(link) {
                    self.link.heard(now);
                }
            }
            AgentInput::ControlFrame { link, frame } => {
                if self.link.is_up(link) {
                    self.control_frame(now, *frame, &mut out);
                }
            }
            AgentInput::ProxyUp => {
                self.proxy.reset();
                self.quota.drop_waiting();
            }
            AgentInput::ProxyDown => {
                self.proxy.reset();
                self.quota.drop_waiting();
                self.claims.drop_all();
            }
            AgentInput::ProxyFrame(frame) => self.proxy_frame(now, *frame, &mut out),
            AgentInput::Registry(view) => self.registry_view(now, &view, &mut out),
            AgentInput::RegistryFailed => self.registry_pace.failed(now),
            AgentInput::Tick => {}
            AgentInput::Stop => self.stop(now, &mut out),
        }
        self.advance(now, &mut out);
        out
    }

    /// Whether the present control node is in touch with the quorum of the configuration shard.
    #[must_use]
    pub fn in_touch(&self) -> bool {
        self.link.in_touch_since().is_some()
    }

    /// Whether every shard's state was confirmed since the agent started.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.feeds.complete()
    }

    /// Epoch of the open session, or 0.
    #[must_use]
    pub fn session_epoch(&self) -> u64 {
        self.session.epoch()
    }

    /// The configuration revision that the agent holds.
    #[must_use]
    pub fn revision(&self) -> u64 {
        let view = self.feeds.view(ShardId::CONFIGURATION);
        let head = view.and_then(|view| view.items().get(CONFIG_HEAD_KEY));
        head.map_or(0, head_revision)
    }

    /// The views of the shards that were confirmed since the start.
    #[must_use]
    pub fn feeds(&self) -> &Feeds {
        &self.feeds
    }

    /// Whether the proxy is linked.
    #[must_use]
    pub fn proxy_linked(&self) -> bool {
        self.proxy.greeted()
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> AgentCounters {
        let tally = self.quota.tally();
        AgentCounters {
            quota_granted: tally.granted,
            quota_refused: tally.refused,
            quota_unavailable: tally.unavailable,
            ..self.counters
        }
    }

    /// Quota tokens lent to this node and not spent, over all tenants.
    #[must_use]
    pub fn quota_tokens_held(&self, now: MonotonicTime) -> u32 {
        self.quota.tokens_held(now)
    }

    /// Settlements that wait to be recorded.
    #[must_use]
    pub fn settles_waiting(&self) -> usize {
        self.settles.len()
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn leave(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        if let Some(LinkAction::Close(link)) = self.link.leave(now) {
            self.counters.fail_overs += 1;
            out.push(AgentOutput::CloseControl { link });
        }
    }

    fn send(&self, body: frame::Body, out: &mut Vec<AgentOutput>) {
        if let Some(link) = self.link.up() {
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
