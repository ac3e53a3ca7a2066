//! A tenant's admission, given back on whatever path the request ends.

use millford_core::ResultCode;
use millford_data_plane::agent_message::{AdmissionReply, AdmissionRequest, QuotaRelease};

use crate::request::environment::RequestEnvironment;
use crate::request::plan::RequestPlan;
use crate::request::refusal::Refusal;

/// One admitted request of a tenant.
pub struct QuotaGuard<'a, E: RequestEnvironment> {
    environment: &'a E,
    tenant: String,
    stream: bool,
    used: bool,
}

impl<'a, E: RequestEnvironment> QuotaGuard<'a, E> {
    /// Requests the admission from the agent, which waits for the tenant's shard within the
    /// deadline before it refuses.
    ///
    /// # Errors
    /// Refuses when the deadline has passed, and when the agent does.
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
                used: false,
            }),
            AdmissionReply::Refused {
                code,
                retry_after_ms,
            } => Err(quota_refusal(code, retry_after_ms)),
        }
    }

    /// The request was sent: its token is spent.
    pub fn spend(&mut self) {
        self.used = true;
    }
}

impl<E: RequestEnvironment> Drop for QuotaGuard<'_, E> {
    fn drop(&mut self) {
        if self.used && !self.stream {
            return;
        }
        self.environment.release_quota(QuotaRelease {
            tenant: self.tenant.clone(),
            stream: self.stream,
            unused: !self.used,
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
