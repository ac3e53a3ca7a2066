//! Drives the proxies; replaces the I/O of the proxy daemon.

use std::sync::Arc;
use std::time::Duration;

use millford_api::local::LocalFrame;
use millford_proxy::daemon::prober::PROBE_PERIOD;
use millford_proxy::request::completion::serve_completion;
use millford_proxy::request::lookup::serve_lookup;
use millford_proxy::request::message::{BackendRequest, WithdrawRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::history::{ProxyNodeNumber, Record, RequestNumber};
use crate::network::{LinkNumber, Packet, ProcessId};
use crate::world::addresses::backend_at;
use crate::world::client_request::{ArrivingRequest, authorization};
use crate::world::event::CallerDelivery;
use crate::world::injected_defect::InjectedDefect;
use crate::world::probe_driver::ProbeOutcome;
use crate::world::process_input::ProcessInput;
use crate::world::proxy::action::ExchangeNumber;
use crate::world::proxy::agent_client::AgentClient;
use crate::world::proxy::{
    AgentLink, BackendLink, CallerPipe, ProxyAction, RunningProxy, SimulatedEnvironment, lock,
};
use crate::world::simulation::Simulation;

/// Time after which the attempt to connect to a backend fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

impl Simulation {
    /// Starts a proxy with an empty state.
    pub(super) fn start_proxy(&mut self, number: u16) {
        let process = ProcessId::Proxy(number);
        let incarnation = self.incarnation_of(process);
        let local = self.local_time(process);
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let agent_client = AgentClient::new(self.options.defect);
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        proxy.forget_incarnation();
        proxy.running = Some(RunningProxy::new(local, random, agent_client));
        let proxy_node = ProxyNodeNumber(number);
        self.record(&Record::ProxyNodeResumed { proxy_node });
        self.record(&Record::ProxyNodeStarted { proxy_node });
        self.replay_first_frames(number);
        self.connect_to_agent(number);
        self.tick_after(process, incarnation, PROBE_PERIOD);
    }

    /// Injected defect: starts the proxy with the first configuration that it ever had.
    fn replay_first_frames(&mut self, number: u16) {
        if self.options.defect != Some(InjectedDefect::RevisionRollback) {
            return;
        }
        let proxy = self.proxies.get(&number);
        let frames = proxy.map_or_else(Vec::new, |proxy| proxy.first_frames.clone());
        if !frames.is_empty() {
            for frame in frames {
                self.handle_agent_frame(number, frame);
            }
            if let Some(running) = self.running_proxy(number) {
                running.state.set_ready();
            }
            self.record_applied_revision(number);
        }
    }

    /// Handles the end of a proxy's process: the connections of its callers are lost.
    pub(super) fn proxy_exited(&mut self, number: u16) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let Some(running) = proxy.running.as_ref() else {
            return;
        };
        let open_requests: Vec<RequestNumber> =
            lock(&running.port).presences.keys().copied().collect();
        proxy.forget_incarnation();
        for client_request in open_requests {
            self.send_to_caller(client_request, CallerDelivery::lost());
        }
    }

    /// Passes an input to a proxy. A `blocked` proxy is frozen or busy, and a tick only schedules the next one.
    pub(super) fn proxy_input(&mut self, number: u16, input: ProcessInput, blocked: bool) {
        if matches!(input, ProcessInput::Tick) {
            let process = ProcessId::Proxy(number);
            let incarnation = self.incarnation_of(process);
            self.tick_after(process, incarnation, PROBE_PERIOD);
            if blocked {
                return;
            }
        }
        self.update_clock(number);
        self.take_proxy_input(number, input);
        self.run_proxy(number);
    }

    /// Returns the running part of a proxy; `None` while its process does not run.
    pub(super) fn running_proxy(&self, number: u16) -> Option<&RunningProxy> {
        self.proxies.get(&number)?.running.as_ref()
    }

    fn update_clock(&mut self, number: u16) {
        let local = self.local_time(ProcessId::Proxy(number));
        if let Some(running) = self.running_proxy(number) {
            lock(&running.port).now = local;
        }
    }

    fn take_proxy_input(&mut self, number: u16, input: ProcessInput) {
        match input {
            ProcessInput::LinkOpened { link, .. } => self.proxy_link_opened(number, link),
            ProcessInput::LinkClosed { link } => self.proxy_link_closed(number, link),
            ProcessInput::Packet { link, packet } => self.proxy_packet(number, link, packet),
            ProcessInput::ClientRequest(request) => self.proxy_request(number, *request),
            ProcessInput::CallerDisconnected(client_request) => {
                self.proxy_caller_disconnected(number, client_request);
            }
            ProcessInput::ConnectTimeout { link } => self.handle_connect_timeout(number, link),
            ProcessInput::ProbeTimeout { link } => {
                self.finish_probe(number, link, ProbeOutcome::Failed);
            }
            ProcessInput::Reconnect => self.connect_to_agent(number),
            ProcessInput::Tick => self.proxy_tick(number),
            _ => {}
        }
    }

    /// Runs the tasks of a proxy and executes their actions until no task requests another.
    fn run_proxy(&mut self, number: u16) {
        loop {
            let local = self.local_time(ProcessId::Proxy(number));
            let Some(proxy) = self.proxies.get_mut(&number) else {
                return;
            };
            let actions = proxy.run_tasks(local);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.proxy_action(number, action);
            }
        }
    }

    fn proxy_action(&mut self, number: u16, action: ProxyAction) {
        match action {
            ProxyAction::ToAgent(frame) => self.proxy_to_agent(number, frame),
            ProxyAction::WakeAt(at) => self.proxy_timer(number, at),
            ProxyAction::Dispatch {
                exchange,
                client_request,
                request,
            } => {
                self.dispatch_request(number, exchange, client_request, request);
            }
            ProxyAction::Withdraw { exchange, request } => {
                self.withdraw(number, exchange, request);
            }
            ProxyAction::CloseExchange(exchange) => self.close_exchange(number, exchange),
            ProxyAction::Admitted(client_request) => {
                self.record(&Record::Admitted { client_request });
            }
            ProxyAction::AdmissionReturned(client_request) => {
                self.record(&Record::AdmissionReturned { client_request });
            }
            ProxyAction::CallerHead {
                client_request,
                head,
            } => self.send_caller_head(client_request, &head),
            ProxyAction::CallerBytes {
                client_request,
                bytes,
            } => self.send_caller_bytes(client_request, &bytes),
            ProxyAction::CallerEnd {
                client_request,
                complete,
            } => self.end_caller_answer(client_request, complete),
        }
    }

    fn dispatch_request(
        &mut self,
        number: u16,
        exchange: ExchangeNumber,
        client_request: RequestNumber,
        request: Box<BackendRequest>,
    ) {
        let address = request.address.clone();
        let purpose = BackendLink::Dispatch {
            exchange,
            client_request,
            request,
        };
        self.open_backend_link(number, &address, purpose);
    }

    fn withdraw(&mut self, number: u16, exchange: ExchangeNumber, request: WithdrawRequest) {
        let purpose = BackendLink::Withdraw {
            exchange,
            age: request.age(self.now()),
            attempt: request.attempt,
        };
        self.open_backend_link(number, &request.address, purpose);
    }

    /// Sends a frame to the agent, or drops it while the connection is not open.
    pub(super) fn proxy_to_agent(&mut self, number: u16, frame: LocalFrame) {
        let agent = self.proxies.get(&number).map(|proxy| proxy.agent);
        let Some(AgentLink::Open(link)) = agent else {
            return;
        };
        let now = self.now();
        let packet = Packet::Local(Box::new(frame));
        self.send_packet(ProcessId::Proxy(number), link, packet, now);
    }

    /// Schedules a timer of a proxy for local time `at`. Since the clock may run slow, the timer is delayed by
    /// a margin for 500 parts per million of drift; the proxy reads its clock again when the timer is due.
    fn proxy_timer(&mut self, number: u16, at: millford_core::MonotonicTime) {
        let process = ProcessId::Proxy(number);
        let incarnation = self.incarnation_of(process);
        let left = at.since(self.local_time(process));
        let margin = left / 2000 + Duration::from_micros(1);
        let input = ProcessInput::Timer;
        self.schedule_input(left + margin, process, incarnation, input);
    }

    fn proxy_link_opened(&mut self, number: u16, link: LinkNumber) {
        let is_agent = self
            .proxies
            .get(&number)
            .is_some_and(|proxy| proxy.agent.number() == Some(link));
        if is_agent {
            self.send_hello(number);
        } else {
            self.backend_link_opened(number, link);
        }
    }

    fn proxy_link_closed(&mut self, number: u16, link: LinkNumber) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        if proxy.agent.number() == Some(link) {
            self.agent_disconnected(number);
            return;
        }
        self.backend_link_closed(number, link);
    }

    fn proxy_packet(&mut self, number: u16, link: LinkNumber, packet: Packet) {
        match packet {
            Packet::Local(frame) => {
                let is_agent = self
                    .proxies
                    .get(&number)
                    .is_some_and(|proxy| proxy.agent.number() == Some(link));
                if is_agent {
                    self.handle_agent_frame(number, *frame);
                }
            }
            Packet::Http(packet) => self.handle_backend_packet(number, link, packet),
            _ => {}
        }
    }

    fn proxy_request(&mut self, number: u16, arrival: ArrivingRequest) {
        let client_request = arrival.client_request;
        self.record(&Record::RequestArrived { client_request });
        let mut request = arrival.request;
        self.inject_current_key(client_request, &mut request.headers.authorization);
        let Some(running) = self
            .proxies
            .get_mut(&number)
            .and_then(|it| it.running.as_mut())
        else {
            return;
        };
        request.arrived = lock(&running.port).now;
        let environment = SimulatedEnvironment {
            port: Arc::clone(&running.port),
            state: Arc::clone(&running.state),
            agent: Arc::clone(&running.agent_client),
            client_request,
        };
        let mut pipe = CallerPipe::new(Arc::clone(&running.port), client_request);
        if arrival.lookup {
            running.executor.spawn(async move {
                serve_lookup(&environment, request, &mut pipe).await;
            });
        } else {
            running.executor.spawn(async move {
                serve_completion(&environment, request, &mut pipe).await;
            });
        }
    }

    /// Injected defect: replaces a revoked key by the tenant's current key.
    fn inject_current_key(&self, client_request: RequestNumber, header: &mut Option<String>) {
        if self.options.defect != Some(InjectedDefect::RevokedKeyAccepted) {
            return;
        }
        if let Some(key) = self.callers.present_key_of(client_request) {
            *header = Some(authorization(key));
        }
    }

    fn proxy_caller_disconnected(&mut self, number: u16, client_request: RequestNumber) {
        if let Some(running) = self.running_proxy(number) {
            lock(&running.port).presences.remove(&client_request);
        }
    }

    fn open_backend_link(&mut self, number: u16, address: &str, purpose: BackendLink) {
        let process = ProcessId::Proxy(number);
        let incarnation = self.incarnation_of(process);
        let target = backend_at(address).unwrap_or(u16::MAX);
        let link = self.open_link(process, ProcessId::Backend(target));
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        proxy.backends.insert(link, purpose);
        let input = ProcessInput::ConnectTimeout { link };
        self.schedule_input(CONNECT_TIMEOUT, process, incarnation, input);
    }
}
