//! A tenant's quota for one request, released when the request ends for any reason.

use millford_core::ResultCode;
use millford_data_plane::agent_message::{AdmissionReply, AdmissionRequest, QuotaRelease};

use crate::request::environment::RequestEnvironment;
use crate::request::plan::RequestPlan;
use crate::request::refusal::Refusal;

/// Quota of one admitted request: a request token and, for a stream, a stream slot.
///
/// Dropping it releases the stream slot, and the token unless it was spent.
pub struct QuotaGuard<'a, E: RequestEnvironment> {
    environment: &'a E,
    tenant: String,
    stream: bool,
    spent: bool,
}

impl<'a, E: RequestEnvironment> QuotaGuard<'a, E> {
    /// Requests quota from the agent. The agent waits for the tenant's shard, at most until the
    /// deadline, before it refuses.
    ///
    /// # Errors
    /// Refuses when the deadline has passed or the agent refuses.
    pub async fn acquire(environment: &'a E, plan: &RequestPlan) -> Result<Self, Refusal> {
        let timeout = plan.deadline.since(environment.now());
        if timeout.is_zero() {
            return Err(Refusal::not_run(ResultCode::DeadlineBeforeSend));
        }
        let request = AdmissionRequest {
            tenant: plan.tenant.clone(),
            stream: plan.stream,
            timeout,
        };
        match environment.request_quota(request).await {
            AdmissionReply::Granted => Ok(Self {
                environment,
                tenant: plan.tenant.clone(),
                stream: plan.stream,
                spent: false,
            }),
            AdmissionReply::Refused {
                code,
                retry_after_ms,
            } => Err(quota_refusal(code, retry_after_ms)),
        }
    }

    /// Marks the request token as spent, so that dropping the guard does not return it.
    pub fn spend(&mut self) {
        self.spent = true;
    }
}

impl<E: RequestEnvironment> Drop for QuotaGuard<'_, E> {
    fn drop(&mut self) {
        if self.spent && !self.stream {
            return;
        }
        self.environment.release_quota(QuotaRelease {
            tenant: self.tenant.clone(),
            stream: self.stream,
            unused: !self.spent,
        });
    }
}

fn quota_refusal(code: ResultCode, retry_after_ms: u32) -> Refusal {
    let refusal = Refusal::not_run(code);
    match retry_after_ms {
        0 => refusal,
        millis => refusal.with_retry_after(millis),
    }
}
