//! What the request path needs from outside the process.

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

/// Clock, randomness, agent and backends of one proxy.
///
/// The daemon implements it with tokio and hyper, the simulator with its own executor. The request
/// path uses no other source of time or I/O.
pub trait RequestEnvironment: Send + Sync {
    /// An answer whose head arrived.
    type Answer: BackendAnswer;

    /// State shared by all requests of the proxy.
    fn state(&self) -> &ProxyState;

    /// The monotonic clock.
    fn now(&self) -> MonotonicTime;

    /// Resolves after the duration.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send;

    /// A fresh random number.
    fn random(&self) -> u64;

    /// Requests the admission of one request of a tenant. Resolves within its timeout.
    fn request_quota(&self, ask: AdmissionRequest) -> impl Future<Output = AdmissionReply> + Send;

    /// Gives a stream slot or an unused token back.
    fn release_quota(&self, release: QuotaRelease);

    /// Reserves the single run of a request. Resolves within the timeout.
    fn claim(&self, claim: Claim, timeout: Duration) -> impl Future<Output = ClaimAnswer> + Send;

    /// Records what became of a claimed run; the agent repeats it until it is acknowledged.
    fn resolve_claim(&self, resolution: ResolveClaim);

    /// Opens a new connection, sends the request and reads the head of the answer.
    ///
    /// The request's [`SentFlag`](crate::request::message::SentFlag) is set before the first byte
    /// is handed to the connection. Dropping the future closes the connection.
    fn dispatch(
        &self,
        request: BackendRequest,
    ) -> impl Future<Output = Result<Self::Answer, DispatchError>> + Send;

    /// Asks a backend to withdraw an attempt. Resolves within the request's timeout.
    fn withdraw(&self, request: WithdrawRequest) -> impl Future<Output = WithdrawAnswer> + Send;

    /// Withdraws an attempt without waiting for the answer.
    fn withdraw_later(&self, request: WithdrawRequest);
}

/// An answer from a backend. Dropping it closes the connection, which is never used again.
pub trait BackendAnswer: Send {
    /// The head of the answer.
    fn head(&self) -> &AnswerHead;

    /// The next part of the body; nothing once the body ended complete by its framing.
    ///
    /// Dropping the future loses no bytes.
    fn next_bytes(&mut self) -> impl Future<Output = Result<Option<Bytes>, AnswerError>> + Send;
}
