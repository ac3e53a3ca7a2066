//! The HTTP interface for callers.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::{Buf, Bytes};
use futures::Stream;
use http::{HeaderMap, StatusCode};
use millford_core::ResultCode;
use millford_settings::{PartLog, metrics};
use warp::path::FullPath;
use warp::{Filter, Rejection};

use crate::backend_protocol::COMPLETIONS_PATH;
use crate::daemon::body_reader::read_body;
use crate::daemon::caller_channel::caller_channel;
use crate::daemon::caller_headers::read_headers;
use crate::daemon::models::{MODELS_PATH, list_models};
use crate::daemon::responses::{
    HttpResponse, channel_response, refusal_response, set_header, set_revision, text_response,
};
use crate::request::caller::CallerRequest;
use crate::request::completion::serve_completion;
use crate::request::environment::RequestEnvironment;
use crate::request::lookup::serve_lookup;
use crate::request::record::RequestRecord;
use crate::request::refusal::Refusal;

const LOG: PartLog = PartLog::new("REQUEST");

const HEALTH_PATH: &str = "/healthz";
const READY_PATH: &str = "/readyz";
const METRICS_PATH: &str = "/metrics";

/// Limits on the size of a request.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Largest total size of the request headers, names and values, in bytes.
    pub max_header_bytes: u64,
}

/// Builds the HTTP service for callers, for any environment.
pub fn service<E>(
    environment: &Arc<E>,
    limits: HttpLimits,
) -> impl Filter<Extract = (HttpResponse,), Error = Infallible> + Clone + use<E>
where
    E: RequestEnvironment + 'static,
{
    operational_routes(environment)
        .or(completion_route(environment, limits))
        .unify()
        .or(models_route(environment, limits))
        .unify()
        .or(lookup_route(environment, limits))
        .unify()
        .or(unserved_route(environment))
        .unify()
}

/// Passes the environment to a handler.
fn with_environment<E: RequestEnvironment + 'static>(
    environment: &Arc<E>,
) -> impl Filter<Extract = (Arc<E>,), Error = Infallible> + Clone + use<E> {
    let environment = Arc::clone(environment);
    warp::any().map(move || Arc::clone(&environment))
}

/// Serves health, readiness and metrics.
fn operational_routes<E: RequestEnvironment + 'static>(
    environment: &Arc<E>,
) -> impl Filter<Extract = (HttpResponse,), Error = Rejection> + Clone + use<E> {
    let health = warp::path("healthz")
        .and(warp::path::end())
        .and(warp::get())
        .map(|| text_response(StatusCode::OK, "ok\n"));
    let ready = warp::path("readyz")
        .and(warp::path::end())
        .and(warp::get())
        .and(with_environment(environment))
        .map(|environment: Arc<E>| ready_response(environment.as_ref()));
    let metrics = warp::path("metrics")
        .and(warp::path::end())
        .and(warp::get())
        .and(with_environment(environment))
        .map(|environment: Arc<E>| metrics_response(environment.as_ref()));
    health.or(ready).unify().or(metrics).unify()
}

fn completion_route<E: RequestEnvironment + 'static>(
    environment: &Arc<E>,
    limits: HttpLimits,
) -> impl Filter<Extract = (HttpResponse,), Error = Rejection> + Clone + use<E> {
    warp::path!("v1" / "chat" / "completions")
        .and(warp::post())
        .and(with_environment(environment))
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |environment, headers, body| completion(environment, limits, headers, body))
}

fn models_route<E: RequestEnvironment + 'static>(
    environment: &Arc<E>,
    limits: HttpLimits,
) -> impl Filter<Extract = (HttpResponse,), Error = Rejection> + Clone + use<E> {
    warp::path!("v1" / "models")
        .and(warp::get())
        .and(with_environment(environment))
        .and(warp::header::headers_cloned())
        .map(move |environment: Arc<E>, headers: HeaderMap| {
            models(environment.as_ref(), limits, &headers)
        })
}

fn lookup_route<E: RequestEnvironment + 'static>(
    environment: &Arc<E>,
    limits: HttpLimits,
) -> impl Filter<Extract = (HttpResponse,), Error = Rejection> + Clone + use<E> {
    let query = warp::query::raw()
        .map(Some)
        .or_else(|_| async { Ok::<_, Infallible>((None,)) });
    warp::get()
        .and(warp::path::full())
        .and(query)
        .and(with_environment(environment))
        .and(warp::header::headers_cloned())
        .then(
            move |path: FullPath, query: Option<String>, environment, headers| {
                let target = path_and_query(path.as_str(), query.as_deref());
                lookup(environment, limits, headers, target)
            },
        )
}

/// Refuses requests that no other route serves.
fn unserved_route<E: RequestEnvironment + 'static>(
    environment: &Arc<E>,
) -> impl Filter<Extract = (HttpResponse,), Error = Infallible> + Clone + use<E> {
    warp::any()
        .and(warp::path::full())
        .and(with_environment(environment))
        .map(|path: FullPath, environment: Arc<E>| unserved(path.as_str(), environment.as_ref()))
}

async fn completion<E, S, B>(
    environment: Arc<E>,
    limits: HttpLimits,
    headers: HeaderMap,
    body: S,
) -> HttpResponse
where
    E: RequestEnvironment + 'static,
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let arrived = environment.now();
    let caller_headers = match read_headers(&headers, limits.max_header_bytes) {
        Ok(caller_headers) => caller_headers,
        Err(refusal) => return early_refusal(environment.as_ref(), &refusal),
    };
    let body = std::pin::pin!(body);
    let memory = &environment.state().memory;
    let held = match read_body(memory, &headers, body, limits.max_body_bytes).await {
        Ok(held) => held,
        Err(refusal) => return early_refusal(environment.as_ref(), &refusal),
    };
    let request = CallerRequest {
        path_and_query: COMPLETIONS_PATH.to_owned(),
        headers: caller_headers,
        body: held.bytes().clone(),
        arrived,
    };
    let (mut sink, channel) = caller_channel();
    // The request has its own task, so that its claim is resolved even if the caller disconnects.
    tokio::spawn(async move {
        let record = serve_completion(environment.as_ref(), request, &mut sink).await;
        // The body counts as held until the last attempt has ended.
        drop(held);
        log_record(&record);
    });
    channel_response(channel).await
}

fn models<E: RequestEnvironment>(
    environment: &E,
    limits: HttpLimits,
    headers: &HeaderMap,
) -> HttpResponse {
    list_models(environment, headers, limits.max_header_bytes)
        .unwrap_or_else(|refusal| early_refusal(environment, &refusal))
}

async fn lookup<E>(
    environment: Arc<E>,
    limits: HttpLimits,
    headers: HeaderMap,
    path_and_query: String,
) -> HttpResponse
where
    E: RequestEnvironment + 'static,
{
    if path_and_query == COMPLETIONS_PATH {
        let refusal = Refusal::not_run(ResultCode::MethodNotAllowed);
        return early_refusal(environment.as_ref(), &refusal);
    }
    let arrived = environment.now();
    let headers = match read_headers(&headers, limits.max_header_bytes) {
        Ok(headers) => headers,
        Err(refusal) => return early_refusal(environment.as_ref(), &refusal),
    };
    let request = CallerRequest {
        path_and_query,
        headers,
        body: Bytes::new(),
        arrived,
    };
    let (mut sink, channel) = caller_channel();
    tokio::spawn(async move {
        let record = serve_lookup(environment.as_ref(), request, &mut sink).await;
        log_record(&record);
    });
    channel_response(channel).await
}

/// Counts and builds a refusal of a request that does not reach the request path.
fn early_refusal<E: RequestEnvironment>(environment: &E, refusal: &Refusal) -> HttpResponse {
    let mut record = RequestRecord::new(String::new());
    record.code = refusal.code;
    record.count(environment.state());
    let mut response = refusal_response(refusal);
    // The rest of the request was not read, so the connection cannot be reused.
    set_header(&mut response, "connection", "close");
    set_revision(&mut response, environment.state().table().revision());
    response
}

fn unserved<E: RequestEnvironment>(path: &str, environment: &E) -> HttpResponse {
    let fixed_paths = [
        COMPLETIONS_PATH,
        MODELS_PATH,
        HEALTH_PATH,
        READY_PATH,
        METRICS_PATH,
    ];
    let is_known =
        fixed_paths.contains(&path) || environment.state().table().match_path(path).is_ok();
    let code = if is_known {
        ResultCode::MethodNotAllowed
    } else {
        ResultCode::PathUnknown
    };
    early_refusal(environment, &Refusal::not_run(code))
}

fn ready_response<E: RequestEnvironment>(environment: &E) -> HttpResponse {
    let state = environment.state();
    if state.is_draining() {
        return refusal_response(&Refusal::not_run(ResultCode::ProxyDraining));
    }
    if !state.is_ready() {
        return refusal_response(&Refusal::not_run(ResultCode::NotReady));
    }
    let text = format!("ready revision={}\n", state.table().revision());
    text_response(StatusCode::OK, text)
}

fn metrics_response<E: RequestEnvironment>(environment: &E) -> HttpResponse {
    let text = metrics::render(&environment.state().metrics.registry);
    let mut response = text_response(StatusCode::OK, text);
    set_header(&mut response, "content-type", metrics::CONTENT_TYPE);
    response
}

fn path_and_query(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

fn log_record(record: &RequestRecord) {
    let (id, route) = (&record.request_id, &record.route);
    if record.caller_disconnected {
        LOG.debug(format!(
            "Request {id} on route \"{route}\": the caller disconnected."
        ));
    } else if record.code == ResultCode::Ok {
        LOG.debug(format!("Request {id} on route \"{route}\" was served."));
    } else {
        let code = record.code;
        LOG.info(format!(
            "Request {id} on route \"{route}\" was refused: {code}"
        ));
    }
}
