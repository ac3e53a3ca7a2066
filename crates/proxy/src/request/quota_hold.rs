//! A tenant's admission, given back on whatever path the request ends.

use millford_core::{MonotonicTime, ResultCode};
use millford_data_plane::agent_message::{AdmissionReply, AdmissionRequest, QuotaRelease};

use crate::request::environment::RequestEnvironment;
use crate::request::refusal::Refusal;

/// One admitted request of a tenant.
pub struct QuotaHold<'a, E: RequestEnvironment> {
    environment: &'a E,
    tenant: String,
    stream: bool,
    used: bool,
}

impl<'a, E: RequestEnvironment> QuotaHold<'a, E> {
    /// Asks the agent, which waits for the tenant's shard within the deadline before it refuses.
    pub async fn ask(
        environment: &'a E,
        tenant: &str,
        stream: bool,
        deadline: MonotonicTime,
    ) -> Result<Self, Refusal> {
        let timeout = deadline.since(environment.now());
        if timeout.is_zero() {
            return Err(Refusal::not_run(ResultCode::DeadlineBeforeSend));
        }
        let ask = AdmissionRequest {
            tenant: tenant.to_owned(),
            stream,
            timeout,
        };
        match environment.request_quota(ask).await {
            AdmissionReply::Granted => Ok(Self {
                environment,
                tenant: tenant.to_owned(),
                stream,
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

impl<E: RequestEnvironment> Drop for QuotaHold<'_, E> {
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
