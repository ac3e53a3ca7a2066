//! Drives the proxies: the part that is I/O in the daemon.

use std::sync::Arc;
use std::time::Duration;

use millford_api::local::LocalFrame;
use millford_proxy::daemon::prober::PROBE_PERIOD;
use millford_proxy::request::completion::serve_completion;
use millford_proxy::request::lookup::serve_lookup;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::history::{CallEnd, CallNumber, FrontNumber, Record};
use crate::network::{LinkNumber, Packet, ProcessId};
use crate::world::callers::{Arrival, key_text};
use crate::world::defect::Defect;
use crate::world::event::Event;
use crate::world::process_input::ProcessInput;
use crate::world::proxy::agent_desk::AgentDesk;
use crate::world::proxy::{
    BackendLink, CallerPipe, ProxyAction, ProxyCore, SimulatedEnvironment, lock,
};
use crate::world::registry::backend_at;
use crate::world::site::Site;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

impl Site {
    /// Starts a proxy with an empty state.
    pub fn start_proxy(&mut self, number: u16) {
        let process = ProcessId::Proxy(number);
        let boot = self.boot_of(process);
        let local = self.local_time(process);
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let mut desk = AgentDesk::default();
        desk.defect = self.options.defect;
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        proxy.forget_core();
        proxy.core = Some(ProxyCore::new(local, random, desk));
        let front = FrontNumber(number);
        self.record(Record::FrontResumed { front });
        self.record(Record::FrontStarted { front });
        self.replay_first_frame(number);
        self.connect_to_agent(number);
        self.tick_after(process, boot, PROBE_PERIOD);
    }

    // A planted defect: the proxy starts from the first state that it ever had.
    fn replay_first_frame(&mut self, number: u16) {
        if self.options.defect != Some(Defect::ForgetsRevisions) {
            return;
        }
        let proxy = self.proxies.get(&number);
        let frames = proxy.map_or_else(Vec::new, |proxy| proxy.first_frames.clone());
        if !frames.is_empty() {
            for frame in frames {
                self.local_frame(number, frame);
            }
            if let Some(core) = self.proxies.get(&number).and_then(|it| it.core.as_ref()) {
                core.state.set_ready();
            }
            self.note_shown(number);
        }
    }

    /// The proxy died: its callers' connections break.
    pub fn proxy_died(&mut self, number: u16) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let Some(core) = proxy.core.as_ref() else {
            return;
        };
        let calls: Vec<CallNumber> = lock(&core.port).presences.keys().copied().collect();
        proxy.forget_core();
        for call in calls {
            self.caller_will_hear(call, None, Some((CallEnd::Lost, None)));
        }
    }

    /// Hands an input to a proxy.
    pub fn proxy_input(&mut self, number: u16, input: ProcessInput, waits: bool) {
        if matches!(input, ProcessInput::Tick) {
            let process = ProcessId::Proxy(number);
            let boot = self.boot_of(process);
            self.tick_after(process, boot, PROBE_PERIOD);
            if waits {
                return;
            }
        }
        self.bring_clock(number);
        self.take_proxy_input(number, input);
        self.run_proxy(number);
    }

    fn bring_clock(&mut self, number: u16) {
        let local = self.local_time(ProcessId::Proxy(number));
        if let Some(core) = self.proxies.get(&number).and_then(|it| it.core.as_ref()) {
            lock(&core.port).now = local;
        }
    }

    fn take_proxy_input(&mut self, number: u16, input: ProcessInput) {
        match input {
            ProcessInput::LinkOpened { link, .. } => self.proxy_link_opened(number, link),
            ProcessInput::LinkClosed { link } => self.proxy_link_closed(number, link),
            ProcessInput::Packet { link, packet } => self.proxy_packet(number, link, packet),
            ProcessInput::Call(arrival) => self.proxy_call(number, *arrival),
            ProcessInput::CallerGone(call) => self.proxy_caller_gone(number, call),
            ProcessInput::ConnectOverdue { link } => self.connect_overdue(number, link),
            ProcessInput::ProbeOverdue { link } => self.probe_ends(number, link, false),
            ProcessInput::Reconnect => self.connect_to_agent(number),
            ProcessInput::Tick => self.proxy_tick(number),
            _ => {}
        }
    }

    /// Lets the tasks run until none wants anything.
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
                call,
                request,
            } => {
                let address = request.address.clone();
                let purpose = BackendLink::Dispatch {
                    exchange,
                    call,
                    request,
                };
                self.open_backend_link(number, &address, purpose);
            }
            ProxyAction::Withdraw { exchange, request } => {
                let purpose = BackendLink::Withdraw {
                    exchange,
                    age: request.age(self.now()),
                    attempt: request.attempt,
                };
                self.open_backend_link(number, &request.address, purpose);
            }
            ProxyAction::CloseExchange(exchange) => self.close_exchange(number, exchange),
            ProxyAction::Admitted(call) => self.record(Record::Admitted { call }),
            ProxyAction::AdmissionReturned(call) => {
                self.record(Record::AdmissionReturned { call });
            }
            ProxyAction::CallerHead { call, head } => self.caller_head(call, &head),
            ProxyAction::CallerBytes { call, bytes } => self.caller_bytes(call, &bytes),
            ProxyAction::CallerEnd { call, whole } => self.caller_end(call, whole),
        }
    }

    pub(super) fn proxy_to_agent(&mut self, number: u16, frame: LocalFrame) {
        let Some(proxy) = self.proxies.get(&number).filter(|it| it.agent_open) else {
            return;
        };
        let Some(link) = proxy.agent else { return };
        let now = self.now();
        let packet = Packet::Local(Box::new(frame));
        self.send_packet(ProcessId::Proxy(number), link, packet, now);
    }

    // Clocks drift: the timer looks at the process's clock again when it is due.
    fn proxy_timer(&mut self, number: u16, at: millford_core::MonotonicTime) {
        let process = ProcessId::Proxy(number);
        let boot = self.boot_of(process);
        let left = at.since(self.local_time(process));
        let margin = left / 2000 + Duration::from_micros(1);
        let input = ProcessInput::Timer;
        self.after(
            left + margin,
            Event::Input {
                process,
                boot,
                input,
            },
        );
    }

    fn proxy_link_opened(&mut self, number: u16, link: LinkNumber) {
        let is_agent = self
            .proxies
            .get(&number)
            .is_some_and(|proxy| proxy.agent == Some(link));
        if is_agent {
            self.greet_agent(number);
        } else {
            self.backend_link_opened(number, link);
        }
    }

    fn proxy_link_closed(&mut self, number: u16, link: LinkNumber) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        if proxy.agent == Some(link) {
            self.lose_agent(number);
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
                    .is_some_and(|proxy| proxy.agent == Some(link));
                if is_agent {
                    self.local_frame(number, *frame);
                }
            }
            Packet::Http(packet) => self.backend_answers(number, link, packet),
            _ => {}
        }
    }

    fn proxy_call(&mut self, number: u16, arrival: Arrival) {
        let call = arrival.call;
        self.record(Record::CallArrived { call });
        let mut request = arrival.request;
        self.keep_old_key(call, &mut request.headers.authorization);
        let Some(core) = self
            .proxies
            .get_mut(&number)
            .and_then(|it| it.core.as_mut())
        else {
            return;
        };
        request.arrived = lock(&core.port).now;
        let environment = SimulatedEnvironment {
            port: Arc::clone(&core.port),
            state: Arc::clone(&core.state),
            agent: Arc::clone(&core.desk),
            call,
        };
        let mut pipe = CallerPipe::new(Arc::clone(&core.port), call);
        if arrival.lookup {
            core.executor.spawn(async move {
                serve_lookup(&environment, request, &mut pipe).await;
            });
        } else {
            core.executor.spawn(async move {
                serve_completion(&environment, request, &mut pipe).await;
            });
        }
    }

    // A planted defect: revoked keys are taken for the present ones.
    fn keep_old_key(&self, call: CallNumber, authorization: &mut Option<String>) {
        if self.options.defect != Some(Defect::KeepsKeys) {
            return;
        }
        if let Some(open) = self.callers.calls.get(&call) {
            let key = self.callers.tenants[usize::from(open.sent.tenant)].key;
            *authorization = Some(format!("Bearer {}", key_text(key)));
        }
    }

    fn proxy_caller_gone(&mut self, number: u16, call: CallNumber) {
        if let Some(core) = self.proxies.get(&number).and_then(|it| it.core.as_ref()) {
            lock(&core.port).presences.remove(&call);
        }
    }

    fn open_backend_link(&mut self, number: u16, address: &str, purpose: BackendLink) {
        let process = ProcessId::Proxy(number);
        let boot = self.boot_of(process);
        let target = backend_at(address).unwrap_or(u16::MAX);
        let link = self.open_link(process, ProcessId::Backend(target));
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        match &purpose {
            BackendLink::Dispatch { exchange, .. } | BackendLink::Withdraw { exchange, .. } => {
                proxy.exchanges.insert(*exchange, link);
            }
            BackendLink::Probe { .. } => {}
        }
        proxy.backends.insert(link, purpose);
        let input = ProcessInput::ConnectOverdue { link };
        self.after(
            CONNECT_TIMEOUT,
            Event::Input {
                process,
                boot,
                input,
            },
        );
    }
}
