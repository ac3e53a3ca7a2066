//! What callers do: send, hear, send again.

use std::time::Duration;

use millford_core::{ResultCode, RunState};
use millford_proxy::request::caller::CallerHead;
use rand::Rng;

use crate::history::Repeatability;
use crate::history::{CallEnd, CallNumber, CallSent, ContentNumber, FrontNumber, Piece, Record};
use crate::network::ProcessId;
use crate::world::backend::read_marks;
use crate::world::callers::{Arrival, CallKind, OpenCall, request_of};
use crate::world::defect::Defect;
use crate::world::event::Event;
use crate::world::process_input::ProcessInput;
use crate::world::site::Site;

const FIRST_CALL: Duration = Duration::from_millis(500);
const CALLER_DELAY_MICROS: std::ops::Range<u64> = 200..2_000;
const CALLER_PATIENCE: Duration = Duration::from_secs(25);
const RESEND_MICROS: std::ops::Range<u64> = 50_000..1_500_000;
const MAX_SENDS: u32 = 4;
const DOUBLE_SEND_SHARE: f64 = 0.05;
const LEAVING_SHARE: f64 = 0.02;
const OLD_KEY_SHARE: f64 = 0.3;
const MICROS_PER_SECOND: u64 = 1_000_000;
const OK: u16 = 200;
const PERCENT: u32 = 100;

impl Site {
    /// Starts the callers' traffic.
    pub fn start_callers(&mut self) {
        let workload = self.callers.workload;
        for tenant in 0..self.topology.tenants {
            self.record(Record::Quota {
                tenant,
                per_second: workload.quota_per_second,
                burst: workload.quota_burst,
            });
        }
        self.after(FIRST_CALL, Event::CallerSends { lookup: false });
        self.after(FIRST_CALL, Event::CallerSends { lookup: true });
    }

    /// A caller sends a new request, and the next one is planned.
    pub fn caller_sends(&mut self, lookup: bool) {
        let workload = self.callers.workload;
        let rate = match lookup {
            true => workload.lookups_per_second,
            false => workload.calls_per_second,
        };
        let rate = u64::from(rate * self.callers.burst);
        if rate == 0 {
            self.after(FIRST_CALL, Event::CallerSends { lookup });
            return;
        }
        let mean = MICROS_PER_SECOND / rate;
        let gap = self.random.random_range(0..=mean * 2);
        self.after(Duration::from_micros(gap), Event::CallerSends { lookup });
        let kind = match lookup {
            true => CallKind::Lookup,
            false => self.draw_kind(),
        };
        let tenant = self.draw_tenant();
        let content = self.callers.next_content();
        self.send_call(content, tenant, kind, 1);
        if matches!(kind, CallKind::Once { keyed: true, .. })
            && self.random.random_bool(DOUBLE_SEND_SHARE)
        {
            // An impatient caller: the same request at two nodes at once.
            self.send_call(content, tenant, kind, 2);
        }
    }

    fn draw_kind(&mut self) -> CallKind {
        let workload = self.callers.workload;
        let draw = self.random.random_range(0..PERCENT);
        let stream = self.random.random_bool(0.5);
        if draw < workload.keyed_percent {
            return CallKind::Once {
                keyed: true,
                stream,
            };
        }
        if draw < workload.keyed_percent + workload.unkeyed_percent {
            return CallKind::Once {
                keyed: false,
                stream,
            };
        }
        match self.random.random_bool(0.6) {
            true => CallKind::Caption,
            false => CallKind::Question { stream },
        }
    }

    // A few tenants dominate; a hot one sends nearly everything.
    fn draw_tenant(&mut self) -> u16 {
        let tenants = self.topology.tenants.max(1);
        if self.callers.hot > 0 && self.random.random_bool(0.9) {
            return 0;
        }
        match self.random.random_range(0..10) {
            0..4 => 0,
            4..7 => 1 % tenants,
            _ => self.random.random_range(0..tenants),
        }
    }

    fn send_call(&mut self, content: ContentNumber, tenant: u16, kind: CallKind, sends: u32) {
        let fronts = self.topology.fronts.max(1);
        let front = self.random.random_range(1..=fronts);
        let known = &self.callers.tenants[usize::from(tenant)];
        let (new_key, old_key) = (known.key, known.old_key);
        let key = match old_key {
            Some(old) if self.random.random_bool(OLD_KEY_SHARE) => old,
            _ => new_key,
        };
        let sent = CallSent {
            call: self.callers.next_call(),
            content,
            tenant,
            key,
            front: FrontNumber(front),
            repeatability: kind.repeatability(),
            resume: kind.resume(),
            stream: kind.stream(),
        };
        self.record(Record::CallSent(sent));
        let open = OpenCall {
            sent,
            kind,
            sends,
            status: 0,
            revision: None,
            body: String::new(),
            read: 0,
            last_arrival: self.now(),
            ended: false,
        };
        self.callers.calls.insert(sent.call, open);
        self.deliver_call(sent, kind);
    }

    fn deliver_call(&mut self, sent: CallSent, kind: CallKind) {
        let process = ProcessId::Proxy(sent.front.0);
        let boot = self.boot_of(process);
        let delay = self.caller_delay();
        let call = sent.call;
        let down = self.faults.is_machine_down(process.machine());
        if boot == 0 && !down {
            // The connection is refused at once: the caller knows that nothing was sent.
            let end = Some((CallEnd::Lost, None));
            let piece = None;
            self.after(delay, Event::CallerHears { call, piece, end });
            return;
        }
        let arrival = Arrival {
            call,
            request: request_of(&sent, kind),
            lookup: kind == CallKind::Lookup,
        };
        let input = ProcessInput::Call(Box::new(arrival));
        self.after(
            delay,
            Event::Input {
                process,
                boot,
                input,
            },
        );
        let patience = match self.random.random_bool(LEAVING_SHARE) {
            true => CALLER_PATIENCE / 25,
            false => CALLER_PATIENCE,
        };
        self.after(patience, Event::CallerTiresOf { call });
    }

    fn caller_delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(CALLER_DELAY_MICROS))
    }

    /// The caller gives up and closes its connection.
    pub fn caller_tires(&mut self, call: CallNumber) {
        let Some(open) = self.callers.calls.get(&call).filter(|open| !open.ended) else {
            return;
        };
        let process = ProcessId::Proxy(open.sent.front.0);
        let boot = self.boot_of(process);
        let delay = self.caller_delay();
        let input = ProcessInput::CallerGone(call);
        self.after(
            delay,
            Event::Input {
                process,
                boot,
                input,
            },
        );
        self.caller_hears(call, None, Some((CallEnd::Lost, None)));
    }

    /// The head of an answer leaves the proxy.
    pub fn caller_head(&mut self, call: CallNumber, head: &CallerHead) {
        if let Some(open) = self.callers.calls.get_mut(&call) {
            open.status = head.status;
            open.revision = Some(head.revision);
        }
    }

    /// Bytes of an answer leave the proxy.
    pub fn caller_bytes(&mut self, call: CallNumber, bytes: &[u8]) {
        let Some(open) = self.callers.calls.get_mut(&call) else {
            return;
        };
        open.body.push_str(&String::from_utf8_lossy(bytes));
        if open.status != OK || !open.sent.stream {
            return;
        }
        let pieces = read_marks(&open.body[open.read..]);
        open.read = open.body.len();
        for piece in pieces {
            if let Some(piece) = planted_piece(self.options.defect, piece) {
                self.caller_will_hear(call, Some(piece), None);
            }
        }
    }

    /// The answer ends, whole or not.
    pub fn caller_end(&mut self, call: CallNumber, whole: bool) {
        let Some(open) = self.callers.calls.get_mut(&call) else {
            return;
        };
        let body = std::mem::take(&mut open.body);
        let revision = open.revision;
        let plain = !open.sent.stream && open.status == OK;
        let end = end_of(open.status, open.sent.stream, &body, whole);
        let end = planted_end(self.options.defect, open.status, end);
        if plain && end == CallEnd::Complete {
            for piece in read_marks(&body) {
                self.caller_will_hear(call, Some(piece), None);
            }
        }
        self.caller_will_hear(call, None, Some((end, revision)));
    }

    /// Sends a piece or the end on its way to the caller, after what was sent before.
    pub fn caller_will_hear(
        &mut self,
        call: CallNumber,
        piece: Option<Piece>,
        end: Option<(CallEnd, Option<u64>)>,
    ) {
        let delay = self.caller_delay();
        let earliest = self.now() + delay;
        let Some(open) = self.callers.calls.get_mut(&call) else {
            return;
        };
        open.last_arrival = open.last_arrival.max(earliest);
        let at = open.last_arrival;
        self.queue.push(at, Event::CallerHears { call, piece, end });
    }

    /// A piece or the end reaches the caller.
    pub fn caller_hears(
        &mut self,
        call: CallNumber,
        piece: Option<Piece>,
        end: Option<(CallEnd, Option<u64>)>,
    ) {
        let Some(open) = self.callers.calls.get_mut(&call).filter(|open| !open.ended) else {
            return;
        };
        if let Some(piece) = piece {
            self.record(Record::CallPiece { call, piece });
            return;
        }
        let Some((end, revision)) = end else {
            return;
        };
        open.ended = true;
        self.record(Record::CallEnded {
            call,
            end,
            revision,
        });
        if self.may_resend(call, end) {
            let delay = Duration::from_micros(self.random.random_range(RESEND_MICROS));
            self.after(delay, Event::CallerResends { call });
        } else {
            self.callers.calls.remove(&call);
        }
    }

    // What may not be repeated and has no key is sent again only after a "not run".
    fn may_resend(&mut self, call: CallNumber, end: CallEnd) -> bool {
        let Some(open) = self.callers.calls.get(&call) else {
            return false;
        };
        let sends = open.sends;
        let repeatability = open.sent.repeatability;
        let allowed = match end {
            CallEnd::Complete => false,
            CallEnd::Refused { code, run } => {
                let known = matches!(
                    code,
                    ResultCode::AlreadyCompleted
                        | ResultCode::AlreadyFailed
                        | ResultCode::KeyUnknown
                );
                !known && (run == RunState::NotRun || repeatability != Repeatability::Unkeyed)
            }
            CallEnd::Lost => repeatability != Repeatability::Unkeyed,
        };
        let share = f64::from(self.callers.workload.resend_percent) / f64::from(PERCENT);
        allowed && sends < MAX_SENDS && self.random.random_bool(share)
    }

    /// A caller sends a request again, to any front machine.
    pub fn caller_resends(&mut self, call: CallNumber) {
        let Some(open) = self.callers.calls.remove(&call) else {
            return;
        };
        let sent = open.sent;
        self.send_call(sent.content, sent.tenant, open.kind, open.sends + 1);
    }
}

// Planted defects: ends that are not what the proxy said.
fn planted_end(defect: Option<Defect>, status: u16, end: CallEnd) -> CallEnd {
    match (defect, end) {
        (Some(Defect::DeniesRuns), CallEnd::Refused { code, .. }) => CallEnd::Refused {
            code,
            run: RunState::NotRun,
        },
        (Some(Defect::HidesCuts), _) if status == OK => CallEnd::Complete,
        _ => end,
    }
}

// Planted defects: pieces that are not what the proxy sent.
fn planted_piece(defect: Option<Defect>, mut piece: Piece) -> Option<Piece> {
    match defect {
        Some(Defect::SwapsAnswers) => piece.content.0 += 1,
        Some(Defect::SkipsPieces) if piece.sequence == 2 => return None,
        _ => {}
    }
    Some(piece)
}

fn end_of(status: u16, stream: bool, body: &str, whole: bool) -> CallEnd {
    if status == 0 {
        return CallEnd::Lost;
    }
    if status != OK || body.contains("event: error") {
        return error_of(body);
    }
    let marked = !stream || body.contains("data: [DONE]");
    match whole && marked {
        true => CallEnd::Complete,
        false => CallEnd::Lost,
    }
}

fn error_of(body: &str) -> CallEnd {
    let json = match body.split_once("event: error") {
        Some((_, rest)) => rest.split_once("data: ").map_or("", |(_, data)| data),
        None => body,
    };
    let line = json.lines().next().unwrap_or_default();
    let value: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
    let number = value["error"]["code"].as_u64().unwrap_or_default();
    let code = u32::try_from(number).ok().and_then(ResultCode::from_number);
    let run = match value["error"]["run"].as_str() {
        Some("not_run") => RunState::NotRun,
        _ => RunState::MayHaveRun,
    };
    match code {
        Some(code) => CallEnd::Refused { code, run },
        None => CallEnd::Lost,
    }
}
