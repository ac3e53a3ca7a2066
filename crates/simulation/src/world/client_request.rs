//! Client requests, as callers send them.

use bytes::Bytes;
use millford_core::MonotonicTime;
use millford_proxy::request::caller::{CallerHeaders, CallerRequest};

use crate::history::{Repeatability, RequestNumber, RequestSent, ResumeRule};

/// Prefix of every tenant key. Requests to backends must not contain it.
pub const KEY_PREFIX: &str = "millford-key-";

/// Kind of client request; each model request kind has its own model and route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A repeatable stream whose run another backend may resume.
    Caption,
    /// A repeatable request whose answer may only start over.
    Question {
        /// Whether the answer is a stream.
        stream: bool,
    },
    /// A request that is not repeatable.
    Once {
        /// Whether the request carries an idempotency key.
        keyed: bool,
        /// Whether the answer is a stream.
        stream: bool,
    },
    /// A lookup; repeatable, without a stream.
    Lookup,
}

impl RequestKind {
    /// Returns whether the request may run more than once.
    #[must_use]
    pub fn repeatability(self) -> Repeatability {
        match self {
            RequestKind::Once { keyed: true, .. } => Repeatability::Keyed,
            RequestKind::Once { keyed: false, .. } => Repeatability::Unkeyed,
            _ => Repeatability::Repeatable,
        }
    }

    /// Returns how its route handles the loss of a stream's backend.
    #[must_use]
    pub fn resume(self) -> ResumeRule {
        match self {
            RequestKind::Caption => ResumeRule::Continue,
            RequestKind::Question { .. } => ResumeRule::FromStart,
            _ => ResumeRule::Never,
        }
    }

    /// Returns whether the answer is a stream.
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
    /// Number of the request in the history.
    pub client_request: RequestNumber,
    /// The HTTP request. The proxy sets the time of arrival.
    pub request: CallerRequest,
    /// Whether the request is a lookup.
    pub lookup: bool,
}

/// Returns the tenant key with this serial number.
#[must_use]
pub fn key_text(serial: u32) -> String {
    format!("{KEY_PREFIX}{serial}")
}

/// Returns the authorization header for the tenant key with this serial number.
#[must_use]
pub fn authorization(serial: u32) -> String {
    format!("Bearer {}", key_text(serial))
}

/// Builds the HTTP request of a client request.
#[must_use]
pub fn http_request(sent: &RequestSent, kind: RequestKind) -> CallerRequest {
    let content = sent.content.0;
    let mut headers = CallerHeaders {
        authorization: Some(authorization(sent.key)),
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
            body: Bytes::new(),
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
        body: Bytes::from(body),
        arrived: MonotonicTime::ZERO,
    }
}
