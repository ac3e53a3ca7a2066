//! What callers do: send, hear, send again.

use std::time::Duration;

use millford_core::{ResultCode, RunState};
use millford_proxy::request::caller::CallerHead;
use rand::Rng;

use crate::history::Repeatability;
use crate::history::{
    Chunk, ContentNumber, ProxyNodeNumber, Record, RequestEnd, RequestNumber, RequestSent,
};
use crate::network::ProcessId;
use crate::world::backend::read_chunks;
use crate::world::callers::{ArrivingRequest, OpenRequest, RequestKind, request_of};
use crate::world::defect::Defect;
use crate::world::event::Event;
use crate::world::process_input::ProcessInput;
use crate::world::site::Site;

const FIRST_REQUEST_AFTER: Duration = Duration::from_millis(500);
const CALLER_DELAY_MICROS: std::ops::Range<u64> = 200..2_000;
const CALLER_TIMEOUT: Duration = Duration::from_secs(25);
const RESEND_MICROS: std::ops::Range<u64> = 50_000..1_500_000;
const MAX_SENDS: u32 = 4;
const DOUBLE_SEND_SHARE: f64 = 0.05;
const EARLY_DISCONNECT_SHARE: f64 = 0.02;
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
        self.schedule_after(FIRST_REQUEST_AFTER, Event::CallerSends { lookup: false });
        self.schedule_after(FIRST_REQUEST_AFTER, Event::CallerSends { lookup: true });
    }

    /// A caller sends a new request, and the next one is planned.
    pub fn caller_sends(&mut self, lookup: bool) {
        let workload = self.callers.workload;
        let rate = match lookup {
            true => workload.lookups_per_second,
            false => workload.requests_per_second,
        };
        let rate = u64::from(rate * self.callers.burst);
        if rate == 0 {
            self.schedule_after(FIRST_REQUEST_AFTER, Event::CallerSends { lookup });
            return;
        }
        let mean = MICROS_PER_SECOND / rate;
        let gap = self.random.random_range(0..=mean * 2);
        self.schedule_after(Duration::from_micros(gap), Event::CallerSends { lookup });
        let kind = match lookup {
            true => RequestKind::Lookup,
            false => self.draw_kind(),
        };
        let tenant = self.draw_tenant();
        let content = self.callers.next_content();
        self.send_request(content, tenant, kind, 1);
        if matches!(kind, RequestKind::Once { keyed: true, .. })
            && self.random.random_bool(DOUBLE_SEND_SHARE)
        {
            // An impatient caller: the same request at two nodes at once.
            self.send_request(content, tenant, kind, 2);
        }
    }

    fn draw_kind(&mut self) -> RequestKind {
        let workload = self.callers.workload;
        let draw = self.random.random_range(0..PERCENT);
        let stream = self.random.random_bool(0.5);
        if draw < workload.keyed_percent {
            return RequestKind::Once {
                keyed: true,
                stream,
            };
        }
        if draw < workload.keyed_percent + workload.unkeyed_percent {
            return RequestKind::Once {
                keyed: false,
                stream,
            };
        }
        match self.random.random_bool(0.6) {
            true => RequestKind::Caption,
            false => RequestKind::Question { stream },
        }
    }

    // A few tenants dominate; a hot one sends nearly everything.
    fn draw_tenant(&mut self) -> u16 {
        let tenants = self.topology.tenants.max(1);
        if self.callers.hot_tenant_faults > 0 && self.random.random_bool(0.9) {
            return 0;
        }
        match self.random.random_range(0..10) {
            0..4 => 0,
            4..7 => 1 % tenants,
            _ => self.random.random_range(0..tenants),
        }
    }

    fn send_request(&mut self, content: ContentNumber, tenant: u16, kind: RequestKind, sends: u32) {
        let proxy_nodes = self.topology.proxy_nodes.max(1);
        let proxy_node = self.random.random_range(1..=proxy_nodes);
        let known = &self.callers.tenants[usize::from(tenant)];
        let (new_key, old_key) = (known.key, known.old_key);
        let key = match old_key {
            Some(old) if self.random.random_bool(OLD_KEY_SHARE) => old,
            _ => new_key,
        };
        let sent = RequestSent {
            client_request: self.callers.next_request(),
            content,
            tenant,
            key,
            proxy_node: ProxyNodeNumber(proxy_node),
            repeatability: kind.repeatability(),
            resume: kind.resume(),
            stream: kind.stream(),
        };
        self.record(Record::RequestSent(sent));
        let open = OpenRequest {
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
        self.callers.open_requests.insert(sent.client_request, open);
        self.deliver_request(sent, kind);
    }

    fn deliver_request(&mut self, sent: RequestSent, kind: RequestKind) {
        let process = ProcessId::Proxy(sent.proxy_node.0);
        let incarnation = self.incarnation_of(process);
        let delay = self.caller_delay();
        let client_request = sent.client_request;
        let down = self.faults.is_machine_down(process.machine());
        if incarnation == 0 && !down {
            // The connection is refused at once: the caller knows that nothing was sent.
            let end = Some((RequestEnd::Lost, None));
            let chunk = None;
            self.schedule_after(
                delay,
                Event::CallerReceives {
                    client_request,
                    chunk,
                    end,
                },
            );
            return;
        }
        let arrival = ArrivingRequest {
            client_request,
            request: request_of(&sent, kind),
            lookup: kind == RequestKind::Lookup,
        };
        let input = ProcessInput::Call(Box::new(arrival));
        self.schedule_after(
            delay,
            Event::Input {
                process,
                incarnation,
                input,
            },
        );
        let timeout = match self.random.random_bool(EARLY_DISCONNECT_SHARE) {
            true => CALLER_TIMEOUT / 25,
            false => CALLER_TIMEOUT,
        };
        self.schedule_after(timeout, Event::CallerTimeout { client_request });
    }

    fn caller_delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(CALLER_DELAY_MICROS))
    }

    /// The caller gives up and closes its connection.
    pub fn caller_times_out(&mut self, client_request: RequestNumber) {
        let Some(open) = self
            .callers
            .open_requests
            .get(&client_request)
            .filter(|open| !open.ended)
        else {
            return;
        };
        let process = ProcessId::Proxy(open.sent.proxy_node.0);
        let incarnation = self.incarnation_of(process);
        let delay = self.caller_delay();
        let input = ProcessInput::CallerGone(client_request);
        self.schedule_after(
            delay,
            Event::Input {
                process,
                incarnation,
                input,
            },
        );
        self.caller_receives(client_request, None, Some((RequestEnd::Lost, None)));
    }

    /// The proxy sends the head of an answer.
    pub fn caller_head(&mut self, client_request: RequestNumber, head: &CallerHead) {
        if let Some(open) = self.callers.open_requests.get_mut(&client_request) {
            open.status = head.status;
            open.revision = Some(head.revision);
        }
    }

    /// The proxy sends bytes of an answer.
    pub fn caller_bytes(&mut self, client_request: RequestNumber, bytes: &[u8]) {
        let Some(open) = self.callers.open_requests.get_mut(&client_request) else {
            return;
        };
        open.body.push_str(&String::from_utf8_lossy(bytes));
        if open.status != OK || !open.sent.stream {
            return;
        }
        let chunks = read_chunks(&open.body[open.read..]);
        open.read = open.body.len();
        for chunk in chunks {
            if let Some(chunk) = planted_chunk(self.options.defect, chunk) {
                self.send_to_caller(client_request, Some(chunk), None);
            }
        }
    }

    /// The answer ends, complete or not.
    pub fn caller_end(&mut self, client_request: RequestNumber, complete: bool) {
        let Some(open) = self.callers.open_requests.get_mut(&client_request) else {
            return;
        };
        let body = std::mem::take(&mut open.body);
        let revision = open.revision;
        let plain = !open.sent.stream && open.status == OK;
        let end = end_of(open.status, open.sent.stream, &body, complete);
        let end = planted_end(self.options.defect, open.status, end);
        if plain && end == RequestEnd::Complete {
            for chunk in read_chunks(&body) {
                self.send_to_caller(client_request, Some(chunk), None);
            }
        }
        self.send_to_caller(client_request, None, Some((end, revision)));
    }

    /// Sends a chunk or the end on its way to the caller, after what was sent before.
    pub fn send_to_caller(
        &mut self,
        client_request: RequestNumber,
        chunk: Option<Chunk>,
        end: Option<(RequestEnd, Option<u64>)>,
    ) {
        let delay = self.caller_delay();
        let earliest = self.now() + delay;
        let Some(open) = self.callers.open_requests.get_mut(&client_request) else {
            return;
        };
        open.last_arrival = open.last_arrival.max(earliest);
        let at = open.last_arrival;
        self.queue.push(
            at,
            Event::CallerReceives {
                client_request,
                chunk,
                end,
            },
        );
    }

    /// A chunk or the end reaches the caller.
    pub fn caller_receives(
        &mut self,
        client_request: RequestNumber,
        chunk: Option<Chunk>,
        end: Option<(RequestEnd, Option<u64>)>,
    ) {
        let Some(open) = self
            .callers
            .open_requests
            .get_mut(&client_request)
            .filter(|open| !open.ended)
        else {
            return;
        };
        if let Some(chunk) = chunk {
            self.record(Record::ChunkReceived {
                client_request,
                chunk,
            });
            return;
        }
        let Some((end, revision)) = end else {
            return;
        };
        open.ended = true;
        self.record(Record::RequestEnded {
            client_request,
            end,
            revision,
        });
        if self.may_resend(client_request, end) {
            let delay = Duration::from_micros(self.random.random_range(RESEND_MICROS));
            self.schedule_after(delay, Event::CallerResends { client_request });
        } else {
            self.callers.open_requests.remove(&client_request);
        }
    }

    // What may not be repeated and has no key is sent again only after a "not run".
    fn may_resend(&mut self, client_request: RequestNumber, end: RequestEnd) -> bool {
        let Some(open) = self.callers.open_requests.get(&client_request) else {
            return false;
        };
        let sends = open.sends;
        let repeatability = open.sent.repeatability;
        let allowed = match end {
            RequestEnd::Complete => false,
            RequestEnd::Refused { code, run } => {
                let known = matches!(
                    code,
                    ResultCode::AlreadyCompleted
                        | ResultCode::AlreadyFailed
                        | ResultCode::KeyUnknown
                );
                !known && (run == RunState::NotRun || repeatability != Repeatability::Unkeyed)
            }
            RequestEnd::Lost => repeatability != Repeatability::Unkeyed,
        };
        let share = f64::from(self.callers.workload.resend_percent) / f64::from(PERCENT);
        allowed && sends < MAX_SENDS && self.random.random_bool(share)
    }

    /// A caller sends a request again, to any proxy node.
    pub fn caller_resends(&mut self, client_request: RequestNumber) {
        let Some(open) = self.callers.open_requests.remove(&client_request) else {
            return;
        };
        let sent = open.sent;
        self.send_request(sent.content, sent.tenant, open.kind, open.sends + 1);
    }
}

// Planted defects: ends that are not what the proxy said.
fn planted_end(defect: Option<Defect>, status: u16, end: RequestEnd) -> RequestEnd {
    match (defect, end) {
        (Some(Defect::DeniesRuns), RequestEnd::Refused { code, .. }) => RequestEnd::Refused {
            code,
            run: RunState::NotRun,
        },
        (Some(Defect::HidesTruncation), _) if status == OK => RequestEnd::Complete,
        _ => end,
    }
}

// Planted defects: chunks that are not what the proxy sent.
fn planted_chunk(defect: Option<Defect>, mut chunk: Chunk) -> Option<Chunk> {
    match defect {
        Some(Defect::SwapsAnswers) => chunk.content.0 += 1,
        Some(Defect::SkipsChunks) if chunk.sequence == 2 => return None,
        _ => {}
    }
    Some(chunk)
}

fn end_of(status: u16, stream: bool, body: &str, complete: bool) -> RequestEnd {
    if status == 0 {
        return RequestEnd::Lost;
    }
    if status != OK || body.contains("event: error") {
        return error_of(body);
    }
    let marked = !stream || body.contains("data: [DONE]");
    match complete && marked {
        true => RequestEnd::Complete,
        false => RequestEnd::Lost,
    }
}

fn error_of(body: &str) -> RequestEnd {
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
        Some(code) => RequestEnd::Refused { code, run },
        None => RequestEnd::Lost,
    }
}
