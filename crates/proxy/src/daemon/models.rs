//! Lists the models in the format of `OpenAI` clients.

use http::{HeaderMap, StatusCode};
use millford_core::ResultCode;
use millford_routing::RoutingTable;
use serde::Serialize;

use crate::daemon::caller_headers::read_headers;
use crate::daemon::responses::{
    HttpResponse, REQUEST_ID_HEADER, set_header, set_revision, text_response,
};
use crate::request::authenticate::authenticate;
use crate::request::environment::RequestEnvironment;
use crate::request::plan::random_id;
use crate::request::record::RequestRecord;
use crate::request::refusal::Refusal;

/// Path of the model list.
pub const MODELS_PATH: &str = "/v1/models";

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    /// Always 0: the format requires a creation time, but a route has none.
    created: u64,
    owned_by: &'static str,
}

/// Lists the models of the current routes. The request does not count against the tenant's quota.
///
/// # Errors
/// Refuses invalid headers, callers without a known key, and all requests while the proxy drains or
/// has no confirmed configuration.
pub fn list_models<E: RequestEnvironment>(
    environment: &E,
    headers: &HeaderMap,
    max_header_bytes: u64,
) -> Result<HttpResponse, Refusal> {
    let headers = read_headers(headers, max_header_bytes)?;
    let state = environment.state();
    let table = authenticate(state, &headers)?.table;
    let mut record = RequestRecord::new(random_id([environment.random(), environment.random()]));
    record.code = ResultCode::Ok;
    record.count(state);
    let mut response = text_response(StatusCode::OK, body(&table));
    set_header(&mut response, "content-type", "application/json");
    set_header(&mut response, REQUEST_ID_HEADER, &record.request_id);
    set_revision(&mut response, table.revision());
    Ok(response)
}

fn body(table: &RoutingTable) -> String {
    let models = table.models();
    let list = ModelList {
        object: "list",
        data: models.iter().map(|model| entry(model)).collect(),
    };
    serde_json::to_string(&list).unwrap_or_default()
}

fn entry(model: &str) -> ModelEntry<'_> {
    ModelEntry {
        id: model,
        object: "model",
        created: 0,
        owned_by: "millford",
    }
}
