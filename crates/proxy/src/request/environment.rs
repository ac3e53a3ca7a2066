//! Interfaces through which the request path reaches the clock, the agent and the backends.

use std::future::Future;

use bytes::Bytes;
use millford_api::command::{Claim, ResolveClaim};
use millford_core::{Duration, MonotonicTime};
use millford_data_plane::agent_message::{
    AdmissionReply, AdmissionRequest, ClaimAnswer, QuotaRelease,
};
use millford_data_plane::proxy_state::ProxyState;

use crate::request::message::{
    AnswerError, AnswerHead, BackendRequest, DispatchError, WithdrawAnswer, WithdrawRequest,
};

/// Clock, random numbers, agent and backends of one proxy.
///
/// The daemon implements the trait with tokio and hyper, the simulator with its own executor. The
/// request path uses no other source of time or I/O.
pub trait RequestEnvironment: Send + Sync {
    /// An answer from a backend whose head has arrived.
    type Answer: BackendAnswer;

    /// Returns the state shared by all requests of the proxy.
    fn state(&self) -> &ProxyState;

    /// Returns the current time of the monotonic clock.
    fn now(&self) -> MonotonicTime;

    /// Waits for the duration.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send;

    /// Returns a new random number.
    fn random(&self) -> u64;

    /// Asks the agent to admit one request of a tenant. Completes within the request's timeout.
    fn request_quota(
        &self,
        request: AdmissionRequest,
    ) -> impl Future<Output = AdmissionReply> + Send;

    /// Returns a stream slot or an unused request token to the tenant's quota.
    fn release_quota(&self, release: QuotaRelease);

    /// Claims the right to run a request once. Completes within the timeout.
    fn claim(&self, claim: Claim, timeout: Duration) -> impl Future<Output = ClaimAnswer> + Send;

    /// Resolves a claim with the outcome of its run; the agent retries it until it is acknowledged.
    fn resolve_claim(&self, resolution: ResolveClaim);

    /// Sends the request on a new connection and reads the head of the answer.
    ///
    /// The request's [`SentFlag`](crate::request::message::SentFlag) is set before the first byte
    /// is handed to the connection. Dropping the future closes the connection.
    fn dispatch(
        &self,
        request: BackendRequest,
    ) -> impl Future<Output = Result<Self::Answer, DispatchError>> + Send;

    /// Asks a backend to withdraw an attempt. Completes within the request's timeout.
    fn withdraw(&self, request: WithdrawRequest) -> impl Future<Output = WithdrawAnswer> + Send;

    /// Asks a backend to withdraw an attempt, without waiting for its answer.
    fn withdraw_later(&self, request: WithdrawRequest);
}

/// An answer from a backend. Dropping it closes the connection, which is never reused.
pub trait BackendAnswer: Send {
    /// Returns the head of the answer.
    fn head(&self) -> &AnswerHead;

    /// Reads the next part of the body. Returns `None` at the end of a body that is complete by its
    /// framing.
    ///
    /// Cancel safe: dropping the future loses no bytes.
    fn next_bytes(&mut self) -> impl Future<Output = Result<Option<Bytes>, AnswerError>> + Send;
}
