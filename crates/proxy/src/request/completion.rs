//! A completion request, from the caller's headers to the settled claim.

use bytes::Bytes;
use millford_api::command::{Claim, RunOutcome};
use millford_api::config::Tenant;
use millford_api::internal::CostSample;
use millford_core::{Duration, RunState};
use millford_data_plane::proxy_metrics::ProxyMetrics;
use millford_data_plane::proxy_state::ProxyState;
use millford_routing::prefix::{prefix_hash, session_hash};
use sha2::{Digest, Sha256};

use crate::backend_protocol::COMPLETIONS_PATH;
use crate::request::admit::admit;
use crate::request::attempt::FirstPart;
use crate::request::authenticate::{authenticate, check_open};
use crate::request::caller::{CallerRequest, CallerSink};
use crate::request::chat_request::ChatRequest;
use crate::request::claim_hold::ClaimHold;
use crate::request::conclude::conclude;
use crate::request::deadline::deadline_of;
use crate::request::environment::RequestEnvironment;
use crate::request::first_answer::{Ended, first_answer};
use crate::request::message::BackendMethod;
use crate::request::piece::Usage;
use crate::request::plan::{RequestPlan, fresh_id};
use crate::request::quota_hold::QuotaHold;
use crate::request::record::{OpenRequest, RequestRecord};
use crate::request::refusal::Refusal;
use crate::request::relay::relay_stream;
use crate::request::reply::Reply;

/// Serves one completion request and writes its whole answer to the caller.
pub async fn serve_completion<E, C>(
    environment: &E,
    request: CallerRequest,
    caller: &mut C,
) -> RequestRecord
where
    E: RequestEnvironment,
    C: CallerSink,
{
    let request_id = fresh_id([environment.random(), environment.random()]);
    let revision = environment.state().table().revision();
    let mut record = RequestRecord::new(request_id.clone());
    let mut reply = Reply::new(environment, caller, request_id, revision);
    let open = OpenRequest::start(environment.state());
    let served = complete(environment, &request, &mut reply, &mut record).await;
    conclude(served, &mut reply, &mut record).await;
    drop(open);
    record.count(environment.state());
    record
}

async fn complete<'a, E, C>(
    environment: &'a E,
    request: &CallerRequest,
    reply: &mut Reply<'a, E, C>,
    record: &mut RequestRecord,
) -> Result<(), Ended>
where
    E: RequestEnvironment,
    C: CallerSink,
{
    let state = environment.state();
    check_open(state)?;
    let table = state.table();
    let tenant = authenticate(&table, &request.headers)?;
    let chat = ChatRequest::read(request)?;
    let route = table.match_model(&chat.wanted).map_err(Refusal::not_run)?;
    record.route.clone_from(&route.name);
    let plan = RequestPlan {
        request_id: record.request_id.clone(),
        tenant: tenant.name.clone(),
        route: route.clone(),
        requirement: route.requirement(&chat.wanted),
        affinity: affinity_of(&tenant, &chat),
        prompt_tokens: chat.prompt_tokens(),
        deadline: deadline_of(route, request)?,
        stream: chat.stream,
        method: BackendMethod::Post,
        path: COMPLETIONS_PATH.to_owned(),
        body: chat.body.clone(),
    };
    let mut quota = QuotaHold::ask(environment, &plan.tenant, plan.stream, plan.deadline).await?;
    let turn = admit(environment, &plan).await?;
    let claim = claim_if_needed(environment, &plan, &chat, request).await?;

    let opened = first_answer(environment, &plan, &reply.presence()).await;
    let opened = match opened {
        Ok(opened) => opened,
        Err(ended) => {
            if !is_certainly_unsent(&ended) {
                quota.spend();
            }
            settle_ended(environment, claim.as_ref(), &ended);
            return Err(ended);
        }
    };
    quota.spend();
    drop(turn);
    let first_token = environment.now().since(opened.attempt.started);
    note_first_token(environment, &plan, &opened.attempt, request, first_token);

    let sample_key = opened.attempt.replica.key.clone();
    let mut sample = CostSample {
        prompt_tokens: clamp_to_u32(opened.attempt.replica.uncached_tokens),
        first_token_ms: millis(first_token),
        streams_at_start: opened.attempt.streams_at_start,
        ..CostSample::default()
    };
    let by_affinity = opened.attempt.replica.by_affinity;
    let not_given;
    let usage = if let FirstPart::Plain { body, content_type } = &opened.part {
        let (body, content_type) = (body.clone(), content_type.clone());
        let mut attempt = opened.attempt;
        attempt.finish();
        settle(environment, claim.as_ref(), RunOutcome::RunCompleted);
        let usage = plain_usage(&body);
        // The run is complete, whether or not the caller still takes the answer.
        let given = reply.whole(body, &content_type).await;
        not_given = given.err().map(|_| Ended::CallerGone(RunState::MayHaveRun));
        usage
    } else {
        let relayed = relay_stream(environment, &plan, opened, reply).await;
        match &relayed {
            Ok(_) => settle(environment, claim.as_ref(), RunOutcome::RunCompleted),
            Err(ended) => settle_ended(environment, claim.as_ref(), ended),
        }
        let totals = relayed?;
        sample.output_tokens = clamp_to_u32(totals.pieces);
        sample.decode_ms = millis(totals.decode);
        not_given = totals.not_given;
        totals.usage
    };
    learn(state, &plan, sample, usage, by_affinity);
    state.load_table.add_sample(&sample_key, sample);
    not_given.map_or(Ok(()), Err)
}

/// Learns the model's cost from a whole answer.
fn learn(
    state: &ProxyState,
    plan: &RequestPlan,
    sample: CostSample,
    usage: Option<Usage>,
    by_affinity: bool,
) {
    let model = &plan.requirement.model;
    if let Some(usage) = usage.filter(|usage| usage.prompt_tokens > 0) {
        let share = usage.cached_tokens as f64 / usage.prompt_tokens as f64;
        if by_affinity {
            state.costs.add_cached_share(model, share);
        } else {
            state.costs.add_cached_share_elsewhere(model, share);
        }
    }
    if sample.output_tokens > 1 {
        state.costs.add_output_tokens(model, sample.output_tokens);
        let inter_token = f64::from(sample.decode_ms) / f64::from(sample.output_tokens - 1);
        let streams = sample.streams_at_start + 1;
        state.costs.add_inter_token(model, streams, inter_token);
    }
}

/// A session stays with its backend; without one, requests that share a prefix do.
fn affinity_of(tenant: &Tenant, chat: &ChatRequest) -> Option<u64> {
    match &chat.session {
        Some(session) => Some(session_hash(&tenant.name, session)),
        None => prefix_hash(&chat.wanted.model, &chat.prompt),
    }
}

/// A request that may not be repeated claims its key before a byte goes to a backend.
async fn claim_if_needed<E: RequestEnvironment>(
    environment: &E,
    plan: &RequestPlan,
    chat: &ChatRequest,
    request: &CallerRequest,
) -> Result<Option<ClaimHold>, Refusal> {
    let Some(key) = chat
        .idempotency_key
        .as_ref()
        .filter(|_| !plan.is_repeatable())
    else {
        return Ok(None);
    };
    let claim = Claim {
        tenant: plan.tenant.clone(),
        request_id: key.clone(),
        attempt_id: fresh_id([environment.random(), environment.random()]),
        digest: request_digest(chat, request),
    };
    let hold = ClaimHold::take(environment, claim, plan.deadline).await?;
    Ok(Some(hold))
}

/// Digest of everything that decides the answer: the body, the stage and the adapter.
fn request_digest(chat: &ChatRequest, request: &CallerRequest) -> Vec<u8> {
    let mut hasher = Sha256::new();
    for part in [&chat.wanted.stage, &chat.wanted.adapter] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&request.body);
    hasher.finalize().to_vec()
}

fn settle<E: RequestEnvironment>(environment: &E, claim: Option<&ClaimHold>, outcome: RunOutcome) {
    if let Some(claim) = claim {
        claim.settle(environment, outcome);
    }
}

fn settle_ended<E: RequestEnvironment>(environment: &E, claim: Option<&ClaimHold>, ended: &Ended) {
    let Some(claim) = claim else {
        return;
    };
    match ended {
        Ended::Refused(refusal) => claim.settle_refused(environment, refusal),
        Ended::CallerGone(RunState::NotRun) => claim.settle(environment, RunOutcome::RunNotRun),
        Ended::CallerGone(RunState::MayHaveRun) => {}
    }
}

fn is_certainly_unsent(ended: &Ended) -> bool {
    match ended {
        Ended::Refused(refusal) => refusal.run == RunState::NotRun,
        Ended::CallerGone(run) => *run == RunState::NotRun,
    }
}

fn note_first_token<E: RequestEnvironment>(
    environment: &E,
    plan: &RequestPlan,
    attempt: &crate::request::attempt::Attempt<'_, E>,
    request: &CallerRequest,
    first_token: Duration,
) {
    let state = environment.state();
    if !plan.stream {
        return;
    }
    let model = &plan.requirement.model;
    let millis = first_token.as_secs_f64() * 1000.0;
    state
        .costs
        .add_first_token(model, attempt.queued_tokens, millis);
    let since_arrival = environment.now().since(request.arrived);
    ProxyMetrics::observe(&state.metrics.first_token_seconds, since_arrival);
}

fn plain_usage(body: &Bytes) -> Option<Usage> {
    let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body).ok()?;
    Usage::read(&fields)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn clamp_to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
