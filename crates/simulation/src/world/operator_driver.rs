//! Drives the operators: sends orders and reads to control nodes and handles the replies.

use std::ops::Range;
use std::time::Duration;

use millford_control::operator::OperatorReply;
use millford_core::ResultCode;
use rand::Rng;

use crate::history::{OrderAnswer, OrderNumber, Record};
use crate::network::ProcessId;
use crate::world::event::{Event, OperatorEvent};
use crate::world::injected_defect::InjectedDefect;
use crate::world::operator_document::serial_of;
use crate::world::operators::{Order, PendingReply};
use crate::world::process_input::ProcessInput;
use crate::world::simulation::Simulation;

/// Time to the first order, and interval of further attempts until the first one is accepted.
const FIRST_ORDER_AFTER: Duration = Duration::from_millis(1500);
/// Interval between two reads of the configuration.
const READ_PERIOD: Duration = Duration::from_millis(700);
/// Time after which an operator stops waiting for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time from an undecided or lost reply to the next attempt.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time before the end of the run at which accepted orders are sent again.
const RESEND_BEFORE_END: Duration = Duration::from_secs(4);
/// Largest number of sends of one order.
const MAX_ATTEMPTS: u32 = 60;
/// Share of replies that are lost while such a fault is active.
const LOST_REPLY_SHARE: f64 = 0.7;
/// Share of orders that revoke a tenant's keys.
const REVOKING_SHARE: f64 = 0.15;
/// Range of the network delay between an operator and a control node, in microseconds.
const OPERATOR_DELAY_MICROS: Range<u64> = 200..2_000;

/// Change of tenant keys by an order.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyChange {
    /// No key changes.
    Keep,
    /// The keys of one tenant are replaced by a new one.
    Revoke,
}

impl Simulation {
    /// Schedules the first events of the operators.
    pub(super) fn start_operators(&mut self) {
        self.schedule_operator(FIRST_ORDER_AFTER, OperatorEvent::NextOrder);
        self.schedule_operator(READ_PERIOD, OperatorEvent::NextRead);
        let resend = self.scenario.duration.saturating_sub(RESEND_BEFORE_END);
        self.schedule_operator(resend, OperatorEvent::ResendAll);
    }

    fn schedule_operator(&mut self, delay: Duration, event: OperatorEvent) {
        self.schedule_after(delay, Event::Operator(event));
    }

    /// Handles an event of the operators.
    pub(super) fn handle_operator(&mut self, event: OperatorEvent) {
        match event {
            OperatorEvent::NextOrder => self.next_order(),
            OperatorEvent::NextRead => {
                self.schedule_operator(READ_PERIOD, OperatorEvent::NextRead);
                self.send_operator_request(None, 1);
            }
            OperatorEvent::Reply { request } => self.handle_operator_reply(request),
            OperatorEvent::Timeout { request } => self.handle_operator_timeout(request),
            OperatorEvent::ResendAll => self.resend_orders(),
        }
    }

    fn next_order(&mut self) {
        if self.operators.is_resending() {
            return;
        }
        let period = self.scenario.workload.order_every;
        let first = !self.operators.has_revision();
        if first {
            // Before the first order is accepted there is no base revision for further ones.
            self.schedule_operator(FIRST_ORDER_AFTER, OperatorEvent::NextOrder);
        } else if !period.is_zero() {
            self.schedule_operator(period, OperatorEvent::NextOrder);
        }
        if first && self.operators.has_pending_order() {
            return;
        }
        let revokes = !first && self.random.random_bool(REVOKING_SHARE);
        self.send_new_order(if revokes {
            KeyChange::Revoke
        } else {
            KeyChange::Keep
        });
    }

    /// Sends a new order on the latest revision that the operators have received.
    pub(super) fn send_new_order(&mut self, change: KeyChange) {
        let tenant = self.random.random_range(0..self.topology.tenants.max(1));
        let revoked = (change == KeyChange::Revoke).then_some(tenant);
        let order = self.operators.new_order(revoked);
        self.send_operator_request(Some(order), 1);
    }

    /// Sends two orders of different operators on the same base revision, each to a random node.
    pub(super) fn race_operators(&mut self) {
        self.send_new_order(KeyChange::Keep);
        self.send_new_order(KeyChange::Keep);
    }

    fn send_operator_request(&mut self, order: Option<OrderNumber>, attempts: u32) {
        let sent = self.now();
        let request = self.operators.expect_reply(PendingReply {
            order,
            sent,
            attempts,
        });
        let order = order.and_then(|order| self.operators.order(order));
        let body = Box::new(self.operators.request_body(order));
        if let Some(order) = order {
            let (order, base) = (order.number, order.base);
            self.record(&Record::OrderSent { order, base });
        }
        let process = self.draw_control_process();
        let delay = self.operator_delay();
        let incarnation = self.incarnation_of(process);
        if incarnation == 0 {
            self.schedule_operator(delay, OperatorEvent::Timeout { request });
            return;
        }
        let input = ProcessInput::Operator { request, body };
        self.schedule_input(delay, process, incarnation, input);
        self.schedule_operator(REPLY_TIMEOUT, OperatorEvent::Timeout { request });
    }

    fn operator_delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(OPERATOR_DELAY_MICROS))
    }

    fn draw_control_process(&mut self) -> ProcessId {
        let present = self.controls.iter().filter(|(_, control)| !control.lost);
        let numbers: Vec<u16> = present.map(|(number, _)| *number).collect();
        let index = self.random.random_range(0..numbers.len().max(1));
        ProcessId::Control(numbers.get(index).copied().unwrap_or(1))
    }

    fn handle_operator_reply(&mut self, request: u64) {
        let Some(reply) = self.operators.take_reply(request) else {
            return;
        };
        if self.operators.loses_replies() && self.random.random_bool(LOST_REPLY_SHARE) {
            // The reply is lost with its connection; the operator sends again, to a random node.
            self.schedule_operator(RETRY_AFTER, OperatorEvent::Timeout { request });
            return;
        }
        let Some(pending) = self.operators.take_pending(request) else {
            return;
        };
        match pending.order {
            Some(order) => self.handle_order_reply(order, pending.attempts, &reply),
            None => self.handle_read_reply(&pending, &reply),
        }
    }

    fn handle_operator_timeout(&mut self, request: u64) {
        let Some(pending) = self.operators.take_pending(request) else {
            return;
        };
        let Some(number) = pending.order else { return };
        let Some(order) = self.operators.order(number) else {
            return;
        };
        let base = order.base;
        self.record(&Record::OrderAnswered {
            order: number,
            base,
            answer: OrderAnswer::Undecided,
        });
        if pending.attempts < MAX_ATTEMPTS {
            self.send_operator_request(Some(number), pending.attempts + 1);
        }
    }

    fn handle_order_reply(&mut self, number: OrderNumber, attempts: u32, reply: &OperatorReply) {
        let Some(order) = self.operators.order(number) else {
            return;
        };
        let base = order.base;
        let answer = answer_of(reply, order, self.options.defect);
        self.record(&Record::OrderAnswered {
            order: number,
            base,
            answer,
        });
        match answer {
            OrderAnswer::Accepted { revision, .. } => self.handle_accepted_order(number, revision),
            OrderAnswer::Undecided => {
                // The same order is sent again, to a random node.
                let sent = self.now();
                let request = self.operators.expect_reply(PendingReply {
                    order: Some(number),
                    sent,
                    attempts,
                });
                self.schedule_operator(RETRY_AFTER, OperatorEvent::Timeout { request });
            }
            OrderAnswer::Conflict { .. } | OrderAnswer::Refused(_) => {}
        }
    }

    fn handle_accepted_order(&mut self, number: OrderNumber, revision: u64) {
        let Some(order) = self.operators.accept(number, revision) else {
            return;
        };
        self.record(&Record::RevisionWritten {
            revision,
            digest: u64::from(order.draft.serial),
        });
        for key in &order.revoked {
            self.record(&Record::KeyRevoked {
                key: key.revoked,
                revision,
            });
            self.callers
                .replace_key(key.tenant, key.revoked, key.replacement);
        }
        if self.operators.take_queued_order() {
            self.send_new_order(KeyChange::Keep);
        }
    }

    fn handle_read_reply(&mut self, pending: &PendingReply, reply: &OperatorReply) {
        let OperatorReply::Config(config) = reply else {
            return;
        };
        let serial = serial_of(&config.document);
        self.record(&Record::RevisionRead {
            revision: config.revision,
            digest: u64::from(serial),
            sent: pending.sent,
        });
        self.operators
            .update_latest_revision(config.revision, serial);
    }

    /// Sends every accepted order again; each must be acknowledged with the same revision.
    fn resend_orders(&mut self) {
        for number in self.operators.start_resending() {
            self.send_operator_request(Some(number), MAX_ATTEMPTS);
        }
    }
}

fn answer_of(reply: &OperatorReply, order: &Order, defect: Option<InjectedDefect>) -> OrderAnswer {
    match reply {
        OperatorReply::Order(accepted) => OrderAnswer::Accepted {
            revision: accepted.revision,
            repeated: accepted.repeated,
        },
        OperatorReply::Failed(failure) => match failure.code {
            ResultCode::RevisionConflict if defect == Some(InjectedDefect::AcceptedConflict) => {
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
