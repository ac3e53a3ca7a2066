//! Client requests as callers send them.

use bytes::Bytes;
use millford_core::MonotonicTime;
use millford_proxy::request::caller::{CallerHeaders, CallerRequest};

use crate::history::{Repeatability, RequestNumber, RequestSent, ResumeRule};

/// Start of every tenant key; backends must never see it.
pub const KEY_PREFIX: &str = "millford-key-";

/// Kinds of client requests, by the model that they name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A long stream whose run may be continued elsewhere.
    Caption,
    /// A shorter question.
    Question {
        /// Whether the answer is a stream.
        stream: bool,
    },
    /// A request that may not be repeated.
    Once {
        /// Whether it carries an idempotency key.
        keyed: bool,
        /// Whether the answer is a stream.
        stream: bool,
    },
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
    /// Its number in the history.
    pub client_request: RequestNumber,
    /// Its HTTP form; the proxy sets the time of arrival.
    pub request: CallerRequest,
    /// Whether it is a lookup.
    pub lookup: bool,
}

/// The text of a tenant key.
#[must_use]
pub fn key_text(serial: u32) -> String {
    format!("{KEY_PREFIX}{serial}")
}

/// The authorization header of a tenant key.
#[must_use]
pub fn authorization(serial: u32) -> String {
    format!("Bearer {}", key_text(serial))
}

/// The HTTP form of a client request.
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
