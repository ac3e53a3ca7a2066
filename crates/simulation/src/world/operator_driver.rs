//! What operators do: order, read, send again.

use std::time::Duration;

use millford_control::operator::{OperatorReply, OperatorRequest};
use millford_core::ResultCode;
use rand::Rng;

use crate::history::{OrderAnswer, OrderNumber, Record};
use crate::network::ProcessId;
use crate::world::defect::Defect;
use crate::world::event::{Event, OperatorEvent};
use crate::world::operators::{Order, PendingReply, mark_of_document};
use crate::world::process_input::ProcessInput;
use crate::world::site::Site;

const FIRST_ORDER: Duration = Duration::from_millis(1500);
const READ_EVERY: Duration = Duration::from_millis(700);
const REPLY_TIMEOUT: Duration = Duration::from_secs(6);
const RETRY_AFTER: Duration = Duration::from_millis(200);
const CLOSING_TIME: Duration = Duration::from_secs(4);
const MAX_ATTEMPTS: u32 = 60;
const LOST_ANSWER_SHARE: f64 = 0.7;
const REVOKING_SHARE: f64 = 0.15;
const OPERATOR_DELAY_MICROS: std::ops::Range<u64> = 200..2_000;

impl Site {
    /// Starts the operators.
    pub fn start_operators(&mut self) {
        self.schedule_after(FIRST_ORDER, Event::Operator(OperatorEvent::NextOrder));
        self.schedule_after(READ_EVERY, Event::Operator(OperatorEvent::NextRead));
        let closing = self.scenario.duration.saturating_sub(CLOSING_TIME);
        self.schedule_after(closing, Event::Operator(OperatorEvent::ResendAll));
    }

    /// An event of the operators.
    pub fn handle_operator(&mut self, event: OperatorEvent) {
        match event {
            OperatorEvent::NextOrder => self.next_order(),
            OperatorEvent::NextRead => {
                self.schedule_after(READ_EVERY, Event::Operator(OperatorEvent::NextRead));
                self.send_operator_request(None, 1);
            }
            OperatorEvent::Answer { request } => self.operator_answer(request),
            OperatorEvent::Timeout { request } => self.operator_timeout(request),
            OperatorEvent::ResendAll => self.resend_all(),
        }
    }

    fn next_order(&mut self) {
        let every = self.callers.workload.order_every;
        if self.operators.resending_accepted {
            return;
        }
        let first = self.operators.newest_known.0 == 0;
        if first {
            // Until the first order is accepted there is nothing to build on.
            self.schedule_after(FIRST_ORDER, Event::Operator(OperatorEvent::NextOrder));
        } else if !every.is_zero() {
            self.schedule_after(every, Event::Operator(OperatorEvent::NextOrder));
        }
        let waiting = self
            .operators
            .pending_replies
            .values()
            .any(|client_request| client_request.order.is_some());
        if first && waiting {
            return;
        }
        let revokes = !first && self.random.random_bool(REVOKING_SHARE);
        self.new_order(revokes);
    }

    /// An operator builds an order on the newest revision that it knows, and sends it.
    pub fn new_order(&mut self, revokes: bool) -> OrderNumber {
        let tenant = self.random.random_range(0..self.topology.tenants.max(1));
        let (base, draft) = self.operators.newest_known.clone();
        let order = self
            .operators
            .new_order(base, &draft, revokes.then_some(tenant));
        self.send_operator_request(Some(order), 1);
        order
    }

    /// Two operators build on the same revision and reach different nodes.
    pub fn race_operators(&mut self) {
        self.new_order(false);
        self.new_order(false);
    }

    fn send_operator_request(&mut self, order: Option<OrderNumber>, attempts: u32) {
        let request = self.operators.next_request();
        let client_request = PendingReply {
            order,
            sent: self.now(),
            attempts,
        };
        self.operators
            .pending_replies
            .insert(request, client_request);
        let body = match order.and_then(|order| self.operators.orders.get(&order)) {
            Some(order) => {
                let (number, base) = (order.number, order.base);
                let body = OperatorRequest::PutConfig(self.operators.put_config(order));
                self.record(Record::OrderSent {
                    order: number,
                    base,
                });
                body
            }
            None => OperatorRequest::GetConfig,
        };
        let process = self.draw_control();
        let delay = self.operator_delay();
        let incarnation = self.incarnation_of(process);
        if incarnation == 0 {
            self.schedule_after(delay, Event::Operator(OperatorEvent::Timeout { request }));
            return;
        }
        let body = Box::new(body);
        let input = ProcessInput::Operator { request, body };
        self.schedule_after(
            delay,
            Event::Input {
                process,
                incarnation,
                input,
            },
        );
        self.schedule_after(
            REPLY_TIMEOUT,
            Event::Operator(OperatorEvent::Timeout { request }),
        );
    }

    fn operator_delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(OPERATOR_DELAY_MICROS))
    }

    fn draw_control(&mut self) -> ProcessId {
        let present = self.controls.iter().filter(|(_, control)| !control.lost);
        let numbers: Vec<u16> = present.map(|(number, _)| *number).collect();
        let index = self.random.random_range(0..numbers.len().max(1));
        ProcessId::Control(numbers.get(index).copied().unwrap_or(1))
    }

    fn operator_answer(&mut self, request: u64) {
        let Some(reply) = self.operators.take_answer(request) else {
            return;
        };
        if self.operators.lost_reply_faults > 0 && self.random.random_bool(LOST_ANSWER_SHARE) {
            // The connection broke: the operator tries another node after a moment.
            self.schedule_after(
                RETRY_AFTER,
                Event::Operator(OperatorEvent::Timeout { request }),
            );
            return;
        }
        let Some(client_request) = self.operators.pending_replies.remove(&request) else {
            return;
        };
        match client_request.order {
            Some(order) => self.order_answered(order, client_request.attempts, &reply),
            None => self.read_answered(&client_request, &reply),
        }
    }

    fn operator_timeout(&mut self, request: u64) {
        let Some(client_request) = self.operators.pending_replies.remove(&request) else {
            return;
        };
        let Some(number) = client_request.order else {
            return;
        };
        let Some(order) = self.operators.orders.get(&number) else {
            return;
        };
        let base = order.base;
        self.record(Record::OrderAnswered {
            order: number,
            base,
            answer: OrderAnswer::Undecided,
        });
        self.retry_order(number, client_request.attempts);
    }

    fn retry_order(&mut self, order: OrderNumber, attempts: u32) {
        if attempts < MAX_ATTEMPTS {
            self.send_operator_request(Some(order), attempts + 1);
        }
    }

    fn order_answered(&mut self, number: OrderNumber, attempts: u32, reply: &OperatorReply) {
        let Some(order) = self.operators.orders.get(&number).cloned() else {
            return;
        };
        let answer = self.answer_of(reply, &order);
        self.record(Record::OrderAnswered {
            order: number,
            base: order.base,
            answer,
        });
        match answer {
            OrderAnswer::Accepted { revision, .. } => self.order_accepted(order, revision),
            OrderAnswer::Undecided => {
                // The same order goes to another node.
                let request = self.operators.next_request();
                let client_request = PendingReply {
                    order: Some(number),
                    sent: self.now(),
                    attempts,
                };
                self.operators
                    .pending_replies
                    .insert(request, client_request);
                self.schedule_after(
                    RETRY_AFTER,
                    Event::Operator(OperatorEvent::Timeout { request }),
                );
            }
            OrderAnswer::Conflict { .. } | OrderAnswer::Refused(_) => {}
        }
    }

    fn answer_of(&self, reply: &OperatorReply, order: &Order) -> OrderAnswer {
        match reply {
            OperatorReply::Order(accepted) => OrderAnswer::Accepted {
                revision: accepted.revision,
                repeated: accepted.repeated,
            },
            OperatorReply::Failed(failure) => match failure.code {
                ResultCode::RevisionConflict if self.options.defect == Some(Defect::AcceptsAll) => {
                    OrderAnswer::Accepted {
                        revision: order.base + 1,
                        repeated: false,
                    }
                }
                ResultCode::RevisionConflict => OrderAnswer::Conflict {
                    present: failure.revision.unwrap_or(0),
                },
                ResultCode::OrderUncertain
                | ResultCode::NoLeader
                | ResultCode::NotLeader
                | ResultCode::ControlTimeout
                | ResultCode::NotFormed => OrderAnswer::Undecided,
                code => OrderAnswer::Refused(code.number()),
            },
            _ => OrderAnswer::Undecided,
        }
    }

    fn order_accepted(&mut self, mut order: Order, revision: u64) {
        if order.accepted.is_some() {
            return;
        }
        order.accepted = Some(revision);
        self.record(Record::RevisionWritten {
            revision,
            digest: u64::from(order.draft.mark),
        });
        for (tenant, old, new) in &order.revoked {
            let key = *old;
            self.record(Record::KeyRevoked { key, revision });
            let known = &mut self.callers.tenants[usize::from(*tenant)];
            known.key = *new;
            known.old_key = Some(key);
        }
        if revision > self.operators.newest_known.0 {
            self.operators.newest_known = (revision, order.draft.clone());
        }
        self.operators.orders.insert(order.number, order);
        if self.operators.queued_orders > 0 && !self.operators.resending_accepted {
            self.operators.queued_orders -= 1;
            self.new_order(false);
        }
    }

    fn read_answered(&mut self, client_request: &PendingReply, reply: &OperatorReply) {
        let OperatorReply::Config(config) = reply else {
            return;
        };
        let mark = mark_of_document(&config.document);
        self.record(Record::RevisionRead {
            revision: config.revision,
            digest: u64::from(mark),
            sent: client_request.sent,
        });
        self.learn_revision(config.revision, mark);
    }

    // Operators that lost a race, or an answer, build on what they read.
    fn learn_revision(&mut self, revision: u64, mark: u32) {
        if revision <= self.operators.newest_known.0 {
            return;
        }
        let order = OrderNumber(u64::from(mark));
        if let Some(order) = self.operators.orders.get(&order) {
            self.operators.newest_known = (revision, order.draft.clone());
        }
    }

    /// At the end every accepted order is sent again: each must be acknowledged with its number.
    fn resend_all(&mut self) {
        self.operators.resending_accepted = true;
        let orders = self.operators.orders.values();
        let accepted = orders.filter(|order| order.accepted.is_some());
        let numbers: Vec<OrderNumber> = accepted.map(|order| order.number).collect();
        for number in numbers {
            self.send_operator_request(Some(number), MAX_ATTEMPTS);
        }
    }
}
