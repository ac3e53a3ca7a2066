//! Serves a completion request, from the caller's headers to the resolution of its claim.

use millford_api::command::RunOutcome;
use millford_api::config::Tenant;
use millford_bounded_io::HeldBytes;
use millford_core::RunState;
use millford_routing::prefix::{prefix_hash, session_hash};

use crate::backend_protocol::COMPLETIONS_PATH;
use crate::request::admit::admit;
use crate::request::attempt::{AnswerStart, Attempt};
use crate::request::authenticate::authenticate;
use crate::request::caller::{CallerRequest, CallerSink};
use crate::request::chat_request::ChatRequest;
use crate::request::claim_guard::ClaimGuard;
use crate::request::deadline::effective_deadline;
use crate::request::environment::RequestEnvironment;
use crate::request::first_answer::first_answer;
use crate::request::message::BackendMethod;
use crate::request::plan::RequestPlan;
use crate::request::quota_guard::QuotaGuard;
use crate::request::record::RequestRecord;
use crate::request::refusal::Refusal;
use crate::request::relay::relay_stream;
use crate::request::reply::Reply;
use crate::request::request_scope::RequestScope;
use crate::request::run_cost::RunCost;
use crate::request::unserved::Unserved;

/// Serves one completion request, writes the response to the caller, and returns the record of the
/// request for the log.
pub async fn serve_completion<E, C>(
    environment: &E,
    request: CallerRequest,
    caller: &mut C,
) -> RequestRecord
where
    E: RequestEnvironment,
    C: CallerSink,
{
    let mut scope = RequestScope::begin(environment, caller);
    let served = complete(environment, &request, &mut scope).await;
    scope.conclude(served).await
}

async fn complete<'a, E, C>(
    environment: &'a E,
    request: &CallerRequest,
    scope: &mut RequestScope<'a, E, C>,
) -> Result<(), Unserved>
where
    E: RequestEnvironment,
    C: CallerSink,
{
    let state = environment.state();
    let caller = authenticate(state, &request.headers)?;
    let chat = ChatRequest::read(request)?;
    let route = caller
        .table
        .match_model(&chat.requested)
        .map_err(Refusal::not_run)?;
    scope.record.route.clone_from(&route.name);
    let plan = RequestPlan {
        request_id: scope.record.request_id.clone(),
        tenant: caller.tenant.name.clone(),
        route: route.clone(),
        requirement: route.requirement(&chat.requested),
        affinity: affinity_hash(&caller.tenant, &chat),
        prompt_tokens: chat.prompt_tokens(),
        deadline: effective_deadline(route, request)?,
        stream: chat.stream,
        method: BackendMethod::Post,
        path: COMPLETIONS_PATH.to_owned(),
        body: chat.body.clone(),
    };
    let mut quota = QuotaGuard::acquire(environment, &plan).await?;
    let admission = admit(environment, &plan).await?;
    let claim = ClaimGuard::acquire_if_needed(environment, &plan, &chat, request).await?;

    let opened = match first_answer(environment, &plan, &scope.reply.presence()).await {
        Ok(opened) => opened,
        Err(unserved) => {
            if unserved.run_state() == RunState::MayHaveRun {
                quota.spend();
            }
            claim.resolve_unserved(environment, &unserved);
            return Err(unserved);
        }
    };
    quota.spend();
    drop(admission);

    let attempt = opened.attempt;
    let mut cost = RunCost::at_first_token(environment, &plan, request, &attempt);
    let reply = &mut scope.reply;
    let undelivered = match opened.answer {
        AnswerStart::Plain { body, content_type } => {
            claim.resolve(environment, RunOutcome::RunCompleted);
            cost.add_plain(body.bytes());
            deliver_plain(attempt, &body, &content_type, reply).await
        }
        AnswerStart::Stream { reader, first } => {
            let relayed = relay_stream(environment, &plan, attempt, reader, first, reply).await;
            match &relayed {
                Ok(_) => claim.resolve(environment, RunOutcome::RunCompleted),
                Err(unserved) => claim.resolve_unserved(environment, unserved),
            }
            let totals = relayed?;
            cost.add_stream(&totals);
            totals.undelivered
        }
    };
    cost.record(state, &plan);
    undelivered.map_or(Ok(()), Err)
}

/// Sends a plain answer to the caller. Returns the failure if the caller has disconnected; the run
/// counts as complete in either case.
async fn deliver_plain<E: RequestEnvironment, C: CallerSink>(
    mut attempt: Attempt<'_, E>,
    body: &HeldBytes,
    content_type: &str,
    reply: &mut Reply<'_, E, C>,
) -> Option<Unserved> {
    attempt.finish();
    let sent = reply
        .send_complete(body.bytes().clone(), content_type)
        .await;
    sent.err()
        .map(|_| Unserved::CallerDisconnected(RunState::MayHaveRun))
}

/// Returns the hash that keeps related requests on one backend: of the session if the caller names
/// one, otherwise of the prompt's prefix.
fn affinity_hash(tenant: &Tenant, chat: &ChatRequest) -> Option<u64> {
    match &chat.session {
        Some(session) => Some(session_hash(&tenant.name, session)),
        None => prefix_hash(&chat.requested.model, &chat.prompt),
    }
}
