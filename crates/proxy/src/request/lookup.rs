//! A lookup by path, from the caller's headers to the whole answer.

use bytes::Bytes;
use millford_core::{ResultCode, RunState};
use millford_routing::ModelRequest;

use crate::request::attempt::FirstPart;
use crate::request::authenticate::{authenticate, check_open};
use crate::request::caller::{CallerRequest, CallerSink};
use crate::request::conclude::conclude;
use crate::request::deadline::deadline_of;
use crate::request::environment::RequestEnvironment;
use crate::request::first_answer::{Ended, first_answer};
use crate::request::message::BackendMethod;
use crate::request::plan::{RequestPlan, fresh_id};
use crate::request::quota_hold::QuotaHold;
use crate::request::record::{OpenRequest, RequestRecord};
use crate::request::refusal::Refusal;
use crate::request::reply::Reply;

/// What a lookup counts as in the load table, so that busy backends are told from idle ones.
const LOOKUP_TOKENS: u64 = 1;

/// Serves one lookup and writes its whole answer to the caller.
pub async fn serve_lookup<E, C>(
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
    let served = look_up(environment, &request, &mut reply, &mut record).await;
    conclude(served, &mut reply, &mut record).await;
    drop(open);
    record.count(environment.state());
    record
}

async fn look_up<'a, E, C>(
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
    let route = table.match_path(request.path()).map_err(Refusal::not_run)?;
    record.route.clone_from(&route.name);
    let plan = RequestPlan {
        request_id: record.request_id.clone(),
        tenant: tenant.name.clone(),
        route: route.clone(),
        requirement: route.requirement(&ModelRequest::default()),
        affinity: None,
        prompt_tokens: LOOKUP_TOKENS,
        deadline: deadline_of(route, request)?,
        stream: false,
        method: BackendMethod::Get,
        path: request.path_and_query.clone(),
        body: Bytes::new(),
    };
    let mut quota = QuotaHold::ask(environment, &plan.tenant, false, plan.deadline).await?;
    let opened = first_answer(environment, &plan, &reply.presence()).await;
    let opened = match opened {
        Ok(opened) => opened,
        Err(ended) => {
            let unsent =
                matches!(&ended, Ended::Refused(refusal) if refusal.run == RunState::NotRun);
            if !unsent {
                quota.spend();
            }
            return Err(ended);
        }
    };
    quota.spend();
    let mut attempt = opened.attempt;
    attempt.finish();
    let FirstPart::Plain { body, content_type } = opened.part else {
        return Err(Refusal::may_have_run(ResultCode::BackendError).into());
    };
    let given = reply.whole(body, &content_type).await;
    given.map_err(|_| Ended::CallerGone(RunState::MayHaveRun))
}
