//! Exchanges between proxies and backends.

use millford_proxy::request::message::{BackendRequest, DispatchError};
use rand::Rng;

use crate::history::{BackendNumber, ProxyNodeNumber, Record, RequestNumber};
use crate::network::{HttpPacket, LinkNumber, LinkState, Packet, ProcessId};
use crate::world::backend_driver::attempt_number;
use crate::world::callers::key_text;
use crate::world::defect::Defect;
use crate::world::proxy::answer::AnswerPart;
use crate::world::proxy::port::ExchangeWaiter;
use crate::world::proxy::{BackendLink, lock};
use crate::world::registry::backend_at;
use crate::world::site::Site;

impl Site {
    /// A connection to a backend is open: the request is sent.
    pub fn backend_link_opened(&mut self, number: u16, link: LinkNumber) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let packet = match proxy.backends.get(&link) {
            Some(BackendLink::Dispatch {
                exchange,
                client_request,
                request,
            }) => {
                let (exchange, client_request, request) =
                    (*exchange, *client_request, request.clone());
                self.request_leaves(number, exchange, client_request, &request);
                let request = self.spoil_request(client_request, request);
                HttpPacket::Request(request)
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

    // From here on the request may have run.
    fn request_leaves(
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
        let second = !proxy.sent.insert(client_request);
        self.record(Record::Dispatched {
            client_request,
            attempt: attempt_number(&request.attempt),
            proxy_node: ProxyNodeNumber(number),
            backend: BackendNumber(backend_at(&request.address).unwrap_or(0)),
            second,
        });
        self.send_twice(number, client_request, request);
    }

    // Planted defects: the same request goes to a second backend as well.
    fn send_twice(&mut self, number: u16, client_request: RequestNumber, request: &BackendRequest) {
        let lookup = request.body.is_empty();
        let planted = match self.options.defect {
            Some(Defect::SendsTwice) => !lookup,
            Some(Defect::HedgesAlways) => lookup,
            _ => false,
        };
        if !planted {
            return;
        }
        let wanted = lookup;
        let others = self.backends.iter().filter(|(_, it)| it.lookup == wanted);
        let others: Vec<u16> = others.map(|(other, _)| *other).collect();
        let index = self.random.random_range(0..others.len().max(1));
        let Some(other) = others.get(index).copied() else {
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
            it.state = LinkState::Open;
            it.acceptor_incarnation = acceptor_incarnation;
        }
        self.record(Record::Dispatched {
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

    // A planted defect: the key goes along with the request.
    fn spoil_request(
        &self,
        client_request: RequestNumber,
        mut request: Box<BackendRequest>,
    ) -> Box<BackendRequest> {
        if self.options.defect == Some(Defect::LeaksKeys)
            && let Some(open) = self.callers.open_requests.get(&client_request)
        {
            request.stage = key_text(open.sent.key);
        }
        request
    }

    /// A connection was not opened in time.
    pub fn connect_overdue(&mut self, number: u16, link: LinkNumber) {
        let connecting = self
            .links
            .get(link)
            .is_some_and(|it| it.state == LinkState::Connecting);
        if connecting {
            self.close_link(ProcessId::Proxy(number), link);
            self.backend_link_closed(number, link);
        }
    }

    /// A connection to a backend ended or could not be opened.
    pub fn backend_link_closed(&mut self, number: u16, link: LinkNumber) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        match proxy.backends.get(&link) {
            Some(BackendLink::Probe { .. }) => self.probe_ends(number, link, false),
            Some(
                BackendLink::Dispatch { exchange, .. } | BackendLink::Withdraw { exchange, .. },
            ) => {
                let exchange = *exchange;
                proxy.backends.remove(&link);
                proxy.exchanges.remove(&exchange);
                self.exchange_breaks(number, exchange);
            }
            None => {}
        }
    }

    fn exchange_breaks(&mut self, number: u16, exchange: u64) {
        let Some(running) = self.proxies.get(&number).and_then(|it| it.running.as_ref()) else {
            return;
        };
        let waiter = lock(&running.port).exchanges.remove(&exchange);
        if let Some(ExchangeWaiter::Head { head, sent, .. }) = waiter {
            let error = match sent.is_set() {
                true => DispatchError::Lost,
                false => DispatchError::NotConnected,
            };
            let _ = head.send(Err(error));
        }
    }

    /// Something of an answer arrived from a backend.
    pub fn backend_answers(&mut self, number: u16, link: LinkNumber, packet: HttpPacket) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let exchange = match proxy.backends.get(&link) {
            Some(BackendLink::Probe { .. }) => {
                self.probe_ends(number, link, true);
                return;
            }
            Some(
                BackendLink::Dispatch { exchange, .. } | BackendLink::Withdraw { exchange, .. },
            ) => *exchange,
            None => return,
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

    /// The proxy closes an exchange. What it sent before still arrives, as with TCP.
    pub fn close_exchange(&mut self, number: u16, exchange: u64) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let Some(link) = proxy.exchanges.remove(&exchange) else {
            return;
        };
        proxy.backends.remove(&link);
        self.close_link(ProcessId::Proxy(number), link);
    }
}

// Hands a packet to its waiter. Gives what is waited for afterwards.
fn take_packet(waiter: ExchangeWaiter, packet: HttpPacket) -> Option<ExchangeWaiter> {
    match (waiter, packet) {
        (ExchangeWaiter::Head { head, parts, .. }, HttpPacket::Head(answer)) => {
            let _ = head.send(Ok(*answer));
            Some(ExchangeWaiter::Parts(parts))
        }
        (ExchangeWaiter::Parts(parts), HttpPacket::Chunk(bytes)) => {
            let _ = parts.unbounded_send(AnswerPart::Chunk(bytes));
            Some(ExchangeWaiter::Parts(parts))
        }
        (ExchangeWaiter::Parts(parts), HttpPacket::Finish) => {
            let _ = parts.unbounded_send(AnswerPart::Finish);
            Some(ExchangeWaiter::Parts(parts))
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
