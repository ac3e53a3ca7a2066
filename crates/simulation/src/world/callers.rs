//! Simulated callers: what they send and what they know.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;
use millford_proxy::request::caller::{CallerHeaders, CallerRequest};

use crate::history::{ContentNumber, Repeatability, RequestNumber, RequestSent, ResumeRule};
use crate::scenario::{Scenario, Topology, Workload};

/// Start of every tenant key; backends must never see it.
pub const KEY_PREFIX: &str = "millford-key-";

/// Kinds of client requests, by the model that they name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A long stream whose run may be continued elsewhere.
    Caption,
    /// A shorter question, answered at once or as a stream.
    Question { stream: bool },
    /// A request that may not be repeated.
    Once { keyed: bool, stream: bool },
    /// A lookup.
    Lookup,
}

impl RequestKind {
    /// Whether it may run more than once.
    #[must_use]
    pub fn repeatability(self) -> Repeatability {
        match self {
            RequestKind::Once { keyed: true, .. } => Repeatability::Keyed,
            RequestKind::Once { keyed: false, .. } => Repeatability::Unkeyed,
            _ => Repeatability::Repeatable,
        }
    }

    /// What its route allows for streams.
    #[must_use]
    pub fn resume(self) -> ResumeRule {
        match self {
            RequestKind::Caption => ResumeRule::Continue,
            RequestKind::Question { .. } => ResumeRule::FromStart,
            _ => ResumeRule::Never,
        }
    }

    /// Whether the answer is a stream.
    #[must_use]
    pub fn stream(self) -> bool {
        match self {
            RequestKind::Caption => true,
            RequestKind::Question { stream } | RequestKind::Once { stream, .. } => stream,
            RequestKind::Lookup => false,
        }
    }

    fn model(self) -> &'static str {
        match self {
            RequestKind::Caption => "scribe",
            RequestKind::Question { .. } => "quiz",
            RequestKind::Once { .. } => "once",
            RequestKind::Lookup => "",
        }
    }
}

/// A client request that arrives at a proxy.
#[derive(Clone, Debug)]
pub struct ArrivingRequest {
    /// The client request.
    pub client_request: RequestNumber,
    /// Its request; the proxy sets the time of arrival.
    pub request: CallerRequest,
    /// Whether it is a lookup.
    pub lookup: bool,
}

/// A client request whose caller waits, or may send it again.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// As the history has it.
    pub sent: RequestSent,
    /// Its kind.
    pub kind: RequestKind,
    /// How often the content was sent, this send included.
    pub sends: u32,
    /// Status of the head that arrived, 0 before.
    pub status: u16,
    /// Revision that the head named.
    pub revision: Option<u64>,
    /// Bytes of the body so far.
    pub body: String,
    /// Bytes whose marks were read.
    pub read: usize,
    /// Arrival of the latest part, so that parts keep their order.
    pub last_arrival: MonotonicTime,
    /// Whether the caller has its end.
    pub ended: bool,
}

/// A tenant as its callers know it.
#[derive(Clone, Debug)]
pub struct CallerTenant {
    /// Serial number of the key that callers use.
    pub key: u32,
    /// An older key that some callers still try.
    pub old_key: Option<u32>,
}

/// All callers.
pub struct Callers {
    /// Rates and shares.
    pub workload: Workload,
    /// Tenants by number.
    pub tenants: Vec<CallerTenant>,
    /// Client requests under way, and those that may be sent again.
    pub open_requests: BTreeMap<RequestNumber, OpenRequest>,
    /// Factor on the rates.
    pub burst: u32,
    /// Number of faults that make one tenant hot.
    pub hot_tenant_faults: u32,
    next_request: u64,
    next_content: u64,
}

impl Callers {
    /// Callers of a scenario.
    #[must_use]
    pub fn new(scenario: &Scenario, topology: Topology) -> Self {
        let tenants = (0..topology.tenants).map(|tenant| CallerTenant {
            key: u32::from(tenant),
            old_key: None,
        });
        Self {
            workload: scenario.workload,
            tenants: tenants.collect(),
            open_requests: BTreeMap::new(),
            burst: 1,
            hot_tenant_faults: 0,
            next_request: 0,
            next_content: 0,
        }
    }

    /// Number of a new client request.
    pub fn next_request(&mut self) -> RequestNumber {
        self.next_request += 1;
        RequestNumber(self.next_request)
    }

    /// Number of a new content.
    pub fn next_content(&mut self) -> ContentNumber {
        self.next_content += 1;
        ContentNumber(self.next_content)
    }
}

/// The text of a tenant key.
#[must_use]
pub fn key_text(serial: u32) -> String {
    format!("{KEY_PREFIX}{serial}")
}

/// The request for a client request.
#[must_use]
pub fn request_of(sent: &RequestSent, kind: RequestKind) -> CallerRequest {
    let content = sent.content.0;
    let mut headers = CallerHeaders {
        authorization: Some(format!("Bearer {}", key_text(sent.key))),
        content_type: Some("application/json".to_owned()),
        ..CallerHeaders::default()
    };
    if sent.repeatability == Repeatability::Keyed {
        headers.idempotency_key = Some(format!("request-{content}"));
    }
    if kind == RequestKind::Lookup {
        return CallerRequest {
            path_and_query: format!("/stations/content-{content}"),
            headers,
            body: bytes::Bytes::new(),
            arrived: MonotonicTime::ZERO,
        };
    }
    let model = kind.model();
    let stream = kind.stream();
    let body = format!(
        "{{\"model\":\"{model}\",\"stream\":{stream},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"guide content-{content} end\"}}]}}"
    );
    CallerRequest {
        path_and_query: "/v1/chat/completions".to_owned(),
        headers,
        body: bytes::Bytes::from(body),
        arrived: MonotonicTime::ZERO,
    }
}
