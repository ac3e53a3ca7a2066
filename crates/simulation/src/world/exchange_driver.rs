//! Drives the exchanges of requests and answers between proxies and backends.

use millford_core::MonotonicTime;
use millford_proxy::request::message::{BackendRequest, DispatchError};
use rand::Rng;

use crate::history::{BackendNumber, ProxyNodeNumber, Record, RequestNumber};
use crate::network::{HttpPacket, LinkNumber, LinkState, Packet, ProcessId};
use crate::world::addresses::backend_at;
use crate::world::backend::request_text::kind_of;
use crate::world::backend::{BackendKind, attempt_number};
use crate::world::client_request::key_text;
use crate::world::injected_defect::InjectedDefect;
use crate::world::probe_driver::ProbeOutcome;
use crate::world::proxy::answer::BodyPart;
use crate::world::proxy::port::ExchangeWaiter;
use crate::world::proxy::{BackendLink, lock};
use crate::world::simulation::Simulation;

impl Simulation {
    /// Handles an open connection to a backend: sends the request that it was opened for.
    pub(super) fn backend_link_opened(&mut self, number: u16, link: LinkNumber) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let packet = match proxy.backends.get(link) {
            Some(BackendLink::Dispatch {
                exchange,
                client_request,
                request,
            }) => {
                let (exchange, client_request) = (*exchange, *client_request);
                let request = request.clone();
                self.record_dispatch(number, exchange, client_request, &request);
                HttpPacket::Request(self.inject_key_leak(client_request, request))
            }
            Some(BackendLink::Withdraw { attempt, age, .. }) => HttpPacket::Withdraw {
                attempt: attempt.clone(),
                age: *age,
            },
            Some(BackendLink::Probe { .. }) => HttpPacket::Probe,
            None => return,
        };
        let now = self.now();
        self.send_packet(ProcessId::Proxy(number), link, Packet::Http(packet), now);
    }

    /// Records the send of a request; from here on it may have run.
    fn record_dispatch(
        &mut self,
        number: u16,
        exchange: u64,
        client_request: RequestNumber,
        request: &BackendRequest,
    ) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        if let Some(running) = proxy.running.as_ref()
            && let Some(ExchangeWaiter::Head { sent, .. }) =
                lock(&running.port).exchanges.get(&exchange)
        {
            sent.set();
        }
        let second = proxy.is_second_dispatch(client_request);
        self.record(&Record::Dispatched {
            client_request,
            attempt: attempt_number(&request.attempt),
            proxy_node: ProxyNodeNumber(number),
            backend: BackendNumber(backend_at(&request.address).unwrap_or(0)),
            second,
        });
        self.inject_duplicate_request(number, client_request, request);
    }

    /// Injected defects: sends the same request to a second backend as well.
    fn inject_duplicate_request(
        &mut self,
        number: u16,
        client_request: RequestNumber,
        request: &BackendRequest,
    ) {
        let kind = kind_of(request);
        let injected = match self.options.defect {
            Some(InjectedDefect::DuplicateModelRequests) => kind == BackendKind::Model,
            Some(InjectedDefect::DuplicateLookups) => kind == BackendKind::Lookup,
            _ => false,
        };
        if !injected {
            return;
        }
        let Some(other) = self.draw_backend(kind) else {
            return;
        };
        let mut again = request.clone();
        again.attempt = format!("{}-again", request.attempt);
        let process = ProcessId::Proxy(number);
        let incarnation = self.incarnation_of(process);
        let backend = ProcessId::Backend(other);
        let link = self.links.connect(process, incarnation, backend);
        let acceptor_incarnation = self.incarnation_of(backend);
        if let Some(it) = self.links.get_mut(link) {
            it.accept(
                acceptor_incarnation,
                MonotonicTime::ZERO,
                MonotonicTime::ZERO,
            );
        }
        self.record(&Record::Dispatched {
            client_request,
            attempt: attempt_number(&again.attempt),
            proxy_node: ProxyNodeNumber(number),
            backend: BackendNumber(other),
            second: true,
        });
        let now = self.now();
        let packet = Packet::Http(HttpPacket::Request(Box::new(again)));
        self.send_packet(process, link, packet, now);
    }

    fn draw_backend(&mut self, kind: BackendKind) -> Option<u16> {
        let backends = self.backends.iter().filter(|(_, it)| it.kind == kind);
        let numbers: Vec<u16> = backends.map(|(number, _)| *number).collect();
        let index = self.random.random_range(0..numbers.len().max(1));
        numbers.get(index).copied()
    }

    /// Injected defect: adds the tenant key to the request.
    fn inject_key_leak(
        &self,
        client_request: RequestNumber,
        mut request: Box<BackendRequest>,
    ) -> Box<BackendRequest> {
        if self.options.defect == Some(InjectedDefect::LeakedKey)
            && let Some(key) = self.callers.key_of(client_request)
        {
            request.stage = key_text(key);
        }
        request
    }

    /// Handles the connect timeout of a connection to a backend.
    pub(super) fn handle_connect_timeout(&mut self, number: u16, link: LinkNumber) {
        let connecting = self
            .links
            .get(link)
            .is_some_and(|it| it.state() == LinkState::Connecting);
        if connecting {
            self.close_link(ProcessId::Proxy(number), link);
            self.backend_link_closed(number, link);
        }
    }

    /// Handles the end of a connection to a backend, or the failure to open it.
    pub(super) fn backend_link_closed(&mut self, number: u16, link: LinkNumber) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let Some(purpose) = proxy.backends.get(link) else {
            return;
        };
        match purpose.exchange() {
            None => self.finish_probe(number, link, ProbeOutcome::Failed),
            Some(exchange) => {
                proxy.backends.remove(link);
                self.fail_exchange(number, exchange);
            }
        }
    }

    fn fail_exchange(&mut self, number: u16, exchange: u64) {
        let Some(running) = self.running_proxy(number) else {
            return;
        };
        let waiter = lock(&running.port).exchanges.remove(&exchange);
        if let Some(ExchangeWaiter::Head { head, sent, .. }) = waiter {
            let error = if sent.is_set() {
                DispatchError::Lost
            } else {
                DispatchError::NotConnected
            };
            let _ = head.send(Err(error));
        }
    }

    /// Handles a message from a backend: the outcome of a probe, or a part of an answer.
    pub(super) fn handle_backend_packet(
        &mut self,
        number: u16,
        link: LinkNumber,
        packet: HttpPacket,
    ) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let Some(purpose) = proxy.backends.get(link) else {
            return;
        };
        let Some(exchange) = purpose.exchange() else {
            self.finish_probe(number, link, ProbeOutcome::Answered);
            return;
        };
        let Some(running) = proxy.running.as_ref() else {
            return;
        };
        let mut port = lock(&running.port);
        let Some(waiter) = port.exchanges.remove(&exchange) else {
            return;
        };
        let rest = take_packet(waiter, packet);
        if let Some(rest) = rest {
            port.exchanges.insert(exchange, rest);
        }
    }

    /// Closes an exchange of a proxy. Data that the proxy sent before still arrives, as with TCP.
    pub(super) fn close_exchange(&mut self, number: u16, exchange: u64) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let Some(link) = proxy.backends.remove_exchange(exchange) else {
            return;
        };
        self.close_link(ProcessId::Proxy(number), link);
    }
}

/// Passes a packet to the task that waits for it. Returns what the task waits for next, or `None`.
fn take_packet(waiter: ExchangeWaiter, packet: HttpPacket) -> Option<ExchangeWaiter> {
    match (waiter, packet) {
        (ExchangeWaiter::Head { head, body, .. }, HttpPacket::Head(answer)) => {
            let _ = head.send(Ok(*answer));
            Some(ExchangeWaiter::Body(body))
        }
        (ExchangeWaiter::Body(body), HttpPacket::Body(bytes)) => {
            let _ = body.unbounded_send(BodyPart::Bytes(bytes));
            Some(ExchangeWaiter::Body(body))
        }
        (ExchangeWaiter::Body(body), HttpPacket::Finish) => {
            let _ = body.unbounded_send(BodyPart::Finish);
            Some(ExchangeWaiter::Body(body))
        }
        (ExchangeWaiter::Withdrawal(requester), HttpPacket::WithdrawAnswer(answer)) => {
            if let Some(requester) = requester {
                let _ = requester.send(answer);
            }
            None
        }
        (waiter, _) => Some(waiter),
    }
}
