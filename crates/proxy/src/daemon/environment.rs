//! Implements the request path's environment for the daemon.

use std::sync::Arc;

use millford_api::command::{Claim, ResolveClaim};
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_data_plane::agent_link::AgentLink;
use millford_data_plane::agent_message::{
    AdmissionReply, AdmissionRequest, ClaimAnswer, QuotaRelease,
};
use millford_data_plane::proxy_state::ProxyState;
use rand::Rng;

use crate::daemon::backend_client::{BackendClient, HttpAnswer};
use crate::request::environment::RequestEnvironment;
use crate::request::message::{BackendRequest, DispatchError, WithdrawAnswer, WithdrawRequest};

/// Environment that uses tokio's timers, the agent over loopback and the backends over HTTP.
#[derive(Clone, Debug)]
pub struct DaemonEnvironment {
    /// State shared by all requests of the proxy.
    pub proxy_state: Arc<ProxyState>,
    /// Link to the agent on the same node.
    pub agent: AgentLink,
    /// HTTP client for the backends.
    pub backends: BackendClient,
}

impl RequestEnvironment for DaemonEnvironment {
    type Answer = HttpAnswer;

    fn state(&self) -> &ProxyState {
        &self.proxy_state
    }

    fn now(&self) -> MonotonicTime {
        monotonic_now()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        tokio::time::sleep(duration)
    }

    fn random(&self) -> u64 {
        rand::rng().random()
    }

    async fn request_quota(&self, request: AdmissionRequest) -> AdmissionReply {
        self.agent.request_quota(request).await
    }

    fn release_quota(&self, release: QuotaRelease) {
        self.agent.release_quota(release);
    }

    async fn claim(&self, claim: Claim, timeout: Duration) -> ClaimAnswer {
        self.agent.claim(claim, timeout).await
    }

    fn resolve_claim(&self, resolution: ResolveClaim) {
        self.agent.resolve_claim(resolution);
    }

    async fn dispatch(&self, request: BackendRequest) -> Result<HttpAnswer, DispatchError> {
        self.backends.dispatch(request).await
    }

    async fn withdraw(&self, request: WithdrawRequest) -> WithdrawAnswer {
        self.backends.withdraw(request).await
    }

    fn withdraw_later(&self, request: WithdrawRequest) {
        let backends = self.backends;
        tokio::spawn(async move { backends.withdraw(request).await });
    }
}
