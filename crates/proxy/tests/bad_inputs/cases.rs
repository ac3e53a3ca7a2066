//! Invalid requests: headers, bodies and paths.

use millford_core::ResultCode;

use super::support::fixture::KEY;
use super::support::raw_backend::{get, post};

/// An invalid request with the status and code that it must be answered with.
pub(crate) struct Case {
    pub(crate) name: &'static str,
    pub(crate) request: Vec<u8>,
    pub(crate) status: u16,
    pub(crate) code: ResultCode,
}

fn case(name: &'static str, request: Vec<u8>, status: u16, code: ResultCode) -> Case {
    Case {
        name,
        request,
        status,
        code,
    }
}

pub(crate) fn headers(extra: &str) -> String {
    format!("authorization: Bearer {KEY}\r\ncontent-type: application/json\r\n{extra}")
}

/// Builds a case that differs from a valid request only in its body.
fn body_case(name: &'static str, body: &str, status: u16, code: ResultCode) -> Case {
    case(name, post(&headers(""), body), status, code)
}

const VALID_BODY: &str = r#"{"model":"saga","messages":[{"role":"user","content":"One."}]}"#;

pub(crate) fn header_cases() -> Vec<Case> {
    use ResultCode as Code;
    let json = "content-type: application/json\r\n";
    let with = |extra: &str| post(&headers(extra), VALID_BODY);
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(300));
    let long_header = format!("x-other: {}\r\n", "w".repeat(3000));
    let twice = "idempotency-key: a\r\nidempotency-key: b\r\n";
    let auth_twice = format!("authorization: Bearer {KEY}\r\n");
    let mut binary = post(&headers("x-millford-session: B\r\n"), VALID_BODY);
    let position = binary
        .windows(9)
        .position(|window| window == b"session: ")
        .expect("header")
        + 9;
    binary[position] = 0xff;
    vec![
        case("no key", post(json, VALID_BODY), 401, Code::KeyMissing),
        case(
            "another scheme",
            post(&format!("authorization: Basic {KEY}\r\n{json}"), VALID_BODY),
            401,
            Code::KeyMissing,
        ),
        case(
            "an empty key",
            post(&format!("authorization: Bearer \r\n{json}"), VALID_BODY),
            401,
            Code::KeyMissing,
        ),
        case(
            "an unknown key",
            post(
                &format!("authorization: Bearer other\r\n{json}"),
                VALID_BODY,
            ),
            401,
            Code::KeyUnknown,
        ),
        case("two keys", with(&auth_twice), 400, Code::BadHeader),
        case(
            "no content type",
            post(&format!("authorization: Bearer {KEY}\r\n"), VALID_BODY),
            415,
            Code::ContentTypeUnsupported,
        ),
        case(
            "another content type",
            post(
                &format!("authorization: Bearer {KEY}\r\ncontent-type: text/plain\r\n"),
                VALID_BODY,
            ),
            415,
            Code::ContentTypeUnsupported,
        ),
        case(
            "a deadline of 0",
            with("x-millford-deadline-ms: 0\r\n"),
            400,
            Code::BadHeader,
        ),
        case(
            "a negative deadline",
            with("x-millford-deadline-ms: -5\r\n"),
            400,
            Code::BadHeader,
        ),
        case(
            "a deadline that is not a number",
            with("x-millford-deadline-ms: soon\r\n"),
            400,
            Code::BadHeader,
        ),
        case(
            "a deadline beyond an hour",
            with("x-millford-deadline-ms: 99999999999\r\n"),
            400,
            Code::BadHeader,
        ),
        case(
            "a long idempotency key",
            with(&long_key),
            400,
            Code::BadHeader,
        ),
        case(
            "an empty idempotency key",
            with("idempotency-key: \r\n"),
            400,
            Code::BadHeader,
        ),
        case("two idempotency keys", with(twice), 400, Code::BadHeader),
        case("a binary session", binary, 400, Code::BadHeader),
        case(
            "headers over the limit",
            with(&long_header),
            431,
            Code::HeadersTooLarge,
        ),
        case(
            "an unknown adapter",
            with("x-millford-adapter: none\r\n"),
            503,
            Code::NoBackend,
        ),
        case(
            "an unknown stage",
            with("x-millford-stage: none\r\n"),
            503,
            Code::NoBackend,
        ),
    ]
}

pub(crate) fn body_cases() -> Vec<Case> {
    use ResultCode as Code;
    let large = format!(r#"{{"model":"saga","pad":"{}"}}"#, "p".repeat(5000));
    let chunks = {
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
        let part = "a".repeat(0x1000);
        let framing = "transfer-encoding: chunked\r\n\r\n";
        format!(
            "{head}{}{framing}1000\r\n{part}\r\n1000\r\n{part}\r\n0\r\n\r\n",
            headers("")
        )
    };
    let messages = r#""messages":[{"role":"user","content":"One."}]"#;
    let with = |fields: &str| format!(r#"{{"model":"saga",{fields},{messages}}}"#);
    vec![
        body_case("no body", "", 400, Code::BadJson),
        body_case("a truncated body", r#"{"model":"sa"#, 400, Code::BadJson),
        body_case("a body that is not JSON", "model=saga", 400, Code::BadJson),
        body_case(
            "bytes after the JSON",
            &format!("{VALID_BODY}x"),
            400,
            Code::BadJson,
        ),
        body_case("an array", "[]", 400, Code::BadField),
        body_case("no model", &format!("{{{messages}}}"), 400, Code::BadField),
        body_case(
            "a model that is a number",
            r#"{"model":7,"messages":[]}"#,
            400,
            Code::BadField,
        ),
        body_case(
            "an empty model",
            &format!(r#"{{"model":"",{messages}}}"#),
            400,
            Code::BadField,
        ),
        body_case("no messages", r#"{"model":"saga"}"#, 400, Code::BadField),
        body_case(
            "messages that are not an array",
            r#"{"model":"saga","messages":"x"}"#,
            400,
            Code::BadField,
        ),
        body_case(
            "empty messages",
            r#"{"model":"saga","messages":[]}"#,
            400,
            Code::BadField,
        ),
        body_case(
            "a message without a role",
            r#"{"model":"saga","messages":[{"content":"x"}]}"#,
            400,
            Code::BadField,
        ),
        body_case(
            "a message without content",
            r#"{"model":"saga","messages":[{"role":"user"}]}"#,
            400,
            Code::BadField,
        ),
        body_case(
            "a stream field that is not a boolean",
            &with(r#""stream":"yes""#),
            400,
            Code::BadField,
        ),
        body_case(
            "a token limit of 0",
            &with(r#""max_tokens":0"#),
            400,
            Code::BadField,
        ),
        body_case(
            "a negative temperature",
            &with(r#""temperature":-1"#),
            400,
            Code::BadField,
        ),
        body_case(
            "more than one answer",
            &with(r#""n":3"#),
            400,
            Code::BadField,
        ),
        body_case(
            "an unknown model",
            &VALID_BODY.replace("saga", "edda"),
            404,
            Code::ModelUnknown,
        ),
        body_case(
            "an unknown version",
            &VALID_BODY.replace("saga", "saga@9"),
            503,
            Code::NoBackend,
        ),
        body_case("a large body", &large, 413, Code::BodyTooLarge),
        case(
            "a large chunked body",
            chunks.into_bytes(),
            413,
            Code::BodyTooLarge,
        ),
        case(
            "an invalid chunked body",
            invalid_chunks(),
            400,
            Code::BodyIncomplete,
        ),
    ]
}

fn invalid_chunks() -> Vec<u8> {
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
    let framing = "transfer-encoding: chunked\r\n\r\n";
    format!("{head}{}{framing}zz\r\nnot a chunk", headers("")).into_bytes()
}

pub(crate) fn path_cases() -> Vec<Case> {
    use ResultCode as Code;
    let method = |method: &str, path: &str| {
        format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").into_bytes()
    };
    vec![
        case(
            "an unknown path",
            get("/unknown", &headers("")),
            404,
            Code::PathUnknown,
        ),
        case(
            "a path that only begins like a route",
            get("/stationsx", &headers("")),
            404,
            Code::PathUnknown,
        ),
        case(
            "a lookup without a key",
            get("/stations/1", ""),
            401,
            Code::KeyMissing,
        ),
        case(
            "GET of completions",
            get("/v1/chat/completions", &headers("")),
            405,
            Code::MethodNotAllowed,
        ),
        case(
            "PUT of completions",
            method("PUT", "/v1/chat/completions"),
            405,
            Code::MethodNotAllowed,
        ),
        case(
            "DELETE of a lookup",
            method("DELETE", "/stations/1"),
            405,
            Code::MethodNotAllowed,
        ),
        case(
            "POST of health",
            method("POST", "/healthz"),
            405,
            Code::MethodNotAllowed,
        ),
        case(
            "POST to an unknown path",
            method("POST", "/nowhere"),
            404,
            Code::PathUnknown,
        ),
        case(
            "a lookup without a backend",
            get("/stations/1", &headers("")),
            503,
            Code::ConnectFailed,
        ),
    ]
}
