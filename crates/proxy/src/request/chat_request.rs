//! Parses and checks a completion request in the format of `OpenAI` clients.

use bytes::Bytes;
use millford_core::ResultCode;
use millford_routing::ModelRequest;
use serde_json::{Map, Value};

use crate::request::caller::CallerRequest;
use crate::request::refusal::Refusal;

/// Prompt bytes per token, for the estimate before a backend counts the tokens.
const BYTES_PER_TOKEN: usize = 4;

/// Longest `model` field, in bytes.
const MAX_MODEL_BYTES: usize = 200;

/// Longest idempotency key, session, stage or adapter name, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Most messages in one request.
const MAX_MESSAGES: usize = 4096;

/// A checked completion request.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// Model, version, stage and adapter that the request asks for.
    pub requested: ModelRequest,
    /// Whether the caller asks for a stream; false if the field is absent.
    pub stream: bool,
    /// Roles and texts of all messages, each followed by a line feed.
    pub prompt: Vec<u8>,
    /// Body for the backend: the caller's, with the version removed from the `model` field.
    pub body: Bytes,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// Name of the caller's session, if it sent one.
    pub session: Option<String>,
}

impl ChatRequest {
    /// Parses the body and checks it and the headers.
    ///
    /// # Errors
    /// Refuses a body that is not a valid completion request, another content type than JSON, and
    /// invalid values of headers.
    pub fn read(request: &CallerRequest) -> Result<Self, Refusal> {
        check_content_type(request.headers.content_type.as_deref())?;
        let mut fields = parse_object(&request.body)?;
        let requested = read_requested_model(&fields, request)?;
        let stream = read_stream(&fields)?;
        check_numbers(&fields)?;
        let prompt = read_prompt(&fields)?;
        let body = backend_body(&mut fields, &requested, &request.body);
        Ok(Self {
            requested,
            stream,
            prompt,
            body,
            idempotency_key: checked_key("idempotency-key", &request.headers.idempotency_key)?,
            session: checked_key("x-millford-session", &request.headers.session)?,
        })
    }

    /// Estimates the number of prompt tokens from the prompt's length.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
    }
}

/// Checks the value of the header `name`: 1 to 255 printable ASCII characters. Returns `None` if
/// the header is absent.
///
/// # Errors
/// Refuses a value that is blank, too long or not printable.
pub fn checked_key(name: &str, value: &Option<String>) -> Result<Option<String>, Refusal> {
    let Some(value) = value else {
        return Ok(None);
    };
    let printable = value
        .bytes()
        .all(|byte| byte.is_ascii_graphic() || byte == b' ');
    if value.trim().is_empty() || value.len() > MAX_KEY_BYTES || !printable {
        let detail = format!("{name} must be 1 to {MAX_KEY_BYTES} printable characters.");
        return Err(Refusal::not_run(ResultCode::BadHeader).with_detail(detail));
    }
    Ok(Some(value.clone()))
}

fn check_content_type(content_type: Option<&str>) -> Result<(), Refusal> {
    let media_type = content_type.and_then(|value| value.split(';').next());
    let is_json =
        media_type.is_some_and(|text| text.trim().eq_ignore_ascii_case("application/json"));
    if is_json {
        return Ok(());
    }
    Err(Refusal::not_run(ResultCode::ContentTypeUnsupported))
}

fn parse_object(body: &[u8]) -> Result<Map<String, Value>, Refusal> {
    let value: Value = serde_json::from_slice(body).map_err(|error| {
        let detail = format!("Line {}, column {}.", error.line(), error.column());
        Refusal::not_run(ResultCode::BadJson).with_detail(detail)
    })?;
    match value {
        Value::Object(fields) => Ok(fields),
        _ => Err(bad_field("The body must be an object.")),
    }
}

fn read_requested_model(
    fields: &Map<String, Value>,
    request: &CallerRequest,
) -> Result<ModelRequest, Refusal> {
    let Some(Value::String(model)) = fields.get("model") else {
        return Err(bad_field("model must be a string."));
    };
    let mut requested = ModelRequest::from_model_field(model);
    if requested.model.is_empty() || model.len() > MAX_MODEL_BYTES {
        return Err(bad_field("model must be 1 to 200 characters."));
    }
    requested.stage = checked_key("x-millford-stage", &request.headers.stage)?.unwrap_or_default();
    requested.adapter =
        checked_key("x-millford-adapter", &request.headers.adapter)?.unwrap_or_default();
    Ok(requested)
}

fn read_stream(fields: &Map<String, Value>) -> Result<bool, Refusal> {
    match fields.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(bad_field("stream must be true or false.")),
    }
}

fn check_numbers(fields: &Map<String, Value>) -> Result<(), Refusal> {
    for name in ["max_tokens", "max_completion_tokens", "n"] {
        let value = fields.get(name).filter(|value| !value.is_null());
        if value.is_some_and(|value| value.as_u64().is_none_or(|number| number == 0)) {
            return Err(bad_field(&format!(
                "{name} must be a whole number above 0."
            )));
        }
    }
    let several = fields.get("n").and_then(Value::as_u64).unwrap_or(1) > 1;
    if several {
        return Err(bad_field("n must be 1."));
    }
    for name in ["temperature", "top_p"] {
        let value = fields.get(name).filter(|value| !value.is_null());
        if value.is_some_and(|value| value.as_f64().is_none_or(|number| number < 0.0)) {
            return Err(bad_field(&format!(
                "{name} must be a number of at least 0."
            )));
        }
    }
    Ok(())
}

fn read_prompt(fields: &Map<String, Value>) -> Result<Vec<u8>, Refusal> {
    let Some(Value::Array(messages)) = fields.get("messages") else {
        return Err(bad_field("messages must be an array."));
    };
    if messages.is_empty() || messages.len() > MAX_MESSAGES {
        return Err(bad_field("messages must hold 1 to 4096 messages."));
    }
    let mut prompt = Vec::new();
    for (index, message) in messages.iter().enumerate() {
        append_message(&mut prompt, index, message)?;
    }
    Ok(prompt)
}

fn append_message(prompt: &mut Vec<u8>, index: usize, message: &Value) -> Result<(), Refusal> {
    let Some(role) = message.get("role").and_then(Value::as_str) else {
        return Err(bad_field(&format!(
            "messages[{index}].role must be a string."
        )));
    };
    prompt.extend_from_slice(role.as_bytes());
    prompt.push(b'\n');
    match message.get("content") {
        Some(Value::String(text)) => prompt.extend_from_slice(text.as_bytes()),
        Some(Value::Array(parts)) => {
            let texts = parts.iter().filter_map(|part| part.get("text"));
            for text in texts.filter_map(Value::as_str) {
                prompt.extend_from_slice(text.as_bytes());
            }
        }
        Some(Value::Null) | None if message.get("tool_calls").is_some() => {}
        _ => {
            let detail = format!("messages[{index}].content must be a string or an array.");
            return Err(bad_field(&detail));
        }
    }
    prompt.push(b'\n');
    Ok(())
}

/// Returns the body for the backend. The version is sent in a header, so the `model` field holds
/// the model's name alone.
fn backend_body(fields: &mut Map<String, Value>, requested: &ModelRequest, body: &Bytes) -> Bytes {
    if requested.version.is_empty() {
        return body.clone();
    }
    fields.insert("model".to_owned(), Value::String(requested.model.clone()));
    serde_json::to_vec(fields).map_or_else(|_| body.clone(), Bytes::from)
}

fn bad_field(detail: &str) -> Refusal {
    Refusal::not_run(ResultCode::BadField).with_detail(detail)
}
