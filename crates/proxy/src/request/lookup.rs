//! Serves a lookup by path, from the caller's headers to the complete answer.

use bytes::Bytes;
use millford_core::{ResultCode, RunState};
use millford_routing::ModelRequest;

use crate::request::attempt::AnswerStart;
use crate::request::authenticate::authenticate;
use crate::request::caller::{CallerRequest, CallerSink};
use crate::request::deadline::effective_deadline;
use crate::request::environment::RequestEnvironment;
use crate::request::first_answer::first_answer;
use crate::request::message::BackendMethod;
use crate::request::plan::RequestPlan;
use crate::request::quota_guard::QuotaGuard;
use crate::request::record::RequestRecord;
use crate::request::refusal::Refusal;
use crate::request::request_scope::RequestScope;
use crate::request::unserved::Unserved;

/// Prompt tokens that a lookup counts as in the load table, so that lookups show in a backend's
/// load.
const LOOKUP_TOKENS: u64 = 1;

/// Serves one lookup, writes the response to the caller, and returns the record of the request for
/// the log.
pub async fn serve_lookup<E, C>(
    environment: &E,
    request: CallerRequest,
    caller: &mut C,
) -> RequestRecord
where
    E: RequestEnvironment,
    C: CallerSink,
{
    let mut scope = RequestScope::begin(environment, caller);
    let served = look_up(environment, &request, &mut scope).await;
    scope.conclude(served).await
}

async fn look_up<'a, E, C>(
    environment: &'a E,
    request: &CallerRequest,
    scope: &mut RequestScope<'a, E, C>,
) -> Result<(), Unserved>
where
    E: RequestEnvironment,
    C: CallerSink,
{
    let caller = authenticate(environment.state(), &request.headers)?;
    let route = caller
        .table
        .match_path(request.path())
        .map_err(Refusal::not_run)?;
    scope.record.route.clone_from(&route.name);
    let plan = RequestPlan {
        request_id: scope.record.request_id.clone(),
        tenant: caller.tenant.name.clone(),
        route: route.clone(),
        requirement: route.requirement(&ModelRequest::default()),
        affinity: None,
        prompt_tokens: LOOKUP_TOKENS,
        deadline: effective_deadline(route, request)?,
        stream: false,
        method: BackendMethod::Get,
        path: request.path_and_query.clone(),
        body: Bytes::new(),
    };
    let mut quota = QuotaGuard::acquire(environment, &plan).await?;
    let opened = match first_answer(environment, &plan, &scope.reply.presence()).await {
        Ok(opened) => opened,
        Err(unserved) => {
            // Unlike a completion, a lookup whose caller disconnected always spends its request
            // token.
            let was_refused_before_run =
                matches!(&unserved, Unserved::Refused(refusal) if refusal.run == RunState::NotRun);
            if !was_refused_before_run {
                quota.spend();
            }
            return Err(unserved);
        }
    };
    quota.spend();
    let mut attempt = opened.attempt;
    attempt.finish();
    let AnswerStart::Plain { body, content_type } = opened.answer else {
        return Err(Refusal::may_have_run(ResultCode::BackendError).into());
    };
    let sent = scope
        .reply
        .send_complete(body.bytes().clone(), &content_type)
        .await;
    sent.map_err(|_| Unserved::CallerDisconnected(RunState::MayHaveRun))
}
