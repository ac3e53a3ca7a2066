//! Implementation of the request path's environment by the simulation.

use std::future::Future;
use std::sync::Arc;

use futures::channel::{mpsc, oneshot};
use millford_api::command::{Claim, ResolveClaim};
use millford_core::{Duration, MonotonicTime};
use millford_data_plane::agent_message::{
    AdmissionReply, AdmissionRequest, ClaimAnswer, QuotaRelease,
};
use millford_data_plane::proxy_state::ProxyState;
use millford_proxy::request::environment::RequestEnvironment;
use millford_proxy::request::message::{
    BackendRequest, DispatchError, WithdrawAnswer, WithdrawRequest,
};

use crate::history::RequestNumber;
use crate::world::proxy::action::{ExchangeNumber, ProxyAction};
use crate::world::proxy::agent_client::AgentClient;
use crate::world::proxy::answer::{ExchangeGuard, SimulatedAnswer};
use crate::world::proxy::port::{ExchangeWaiter, SharedPort, lock};

/// Environment of a client request on a simulated proxy.
pub struct SimulatedEnvironment {
    /// Port of the proxy, which queues the actions.
    pub port: SharedPort,
    /// State shared by all client requests of the proxy.
    pub state: Arc<ProxyState>,
    /// Client for requests to the agent.
    pub agent: Arc<AgentClient>,
    /// The client request that is served.
    pub client_request: RequestNumber,
}

impl SimulatedEnvironment {
    fn sleep_until(&self, at: MonotonicTime) -> impl Future<Output = ()> + Send + use<> {
        let timer = lock(&self.port).timer(at);
        async move {
            let _ = timer.await;
        }
    }

    fn new_exchange(&self) -> ExchangeNumber {
        lock(&self.port).next_number()
    }

    fn guard(&self, exchange: ExchangeNumber) -> ExchangeGuard {
        ExchangeGuard {
            port: Arc::clone(&self.port),
            exchange,
        }
    }
}

impl RequestEnvironment for SimulatedEnvironment {
    type Answer = SimulatedAnswer;

    fn state(&self) -> &ProxyState {
        &self.state
    }

    fn now(&self) -> MonotonicTime {
        lock(&self.port).now
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        let at = self.now() + duration;
        self.sleep_until(at)
    }

    fn random(&self) -> u64 {
        lock(&self.port).random()
    }

    async fn request_quota(&self, request: AdmissionRequest) -> AdmissionReply {
        self.agent
            .admit(&self.port, self.client_request, request)
            .await
    }

    fn release_quota(&self, release: QuotaRelease) {
        self.agent
            .release_quota(&self.port, self.client_request, release);
    }

    async fn claim(&self, claim: Claim, timeout: Duration) -> ClaimAnswer {
        self.agent.claim(&self.port, claim, timeout).await
    }

    fn resolve_claim(&self, resolution: ResolveClaim) {
        self.agent.resolve(&self.port, resolution);
    }

    async fn dispatch(&self, request: BackendRequest) -> Result<SimulatedAnswer, DispatchError> {
        let exchange = self.new_exchange();
        let guard = self.guard(exchange);
        let (head_sender, head) = oneshot::channel();
        let (body_sender, body) = mpsc::unbounded();
        {
            let mut port = lock(&self.port);
            let waiter = ExchangeWaiter::Head {
                head: head_sender,
                body: body_sender,
                sent: request.sent.clone(),
            };
            port.exchanges.insert(exchange, waiter);
            port.actions.push(ProxyAction::Dispatch {
                exchange,
                client_request: self.client_request,
                request: Box::new(request),
            });
        }
        let head = head.await.unwrap_or(Err(DispatchError::Lost))?;
        Ok(SimulatedAnswer::new(head, body, guard))
    }

    async fn withdraw(&self, request: WithdrawRequest) -> WithdrawAnswer {
        let exchange = self.new_exchange();
        let _guard = self.guard(exchange);
        let (sender, answer) = oneshot::channel();
        let at = self.now() + request.timeout;
        {
            let mut port = lock(&self.port);
            let waiter = ExchangeWaiter::Withdrawal(Some(sender));
            port.exchanges.insert(exchange, waiter);
            port.actions
                .push(ProxyAction::Withdraw { exchange, request });
        }
        let timer = std::pin::pin!(self.sleep_until(at));
        match futures::future::select(answer, timer).await {
            futures::future::Either::Left((Ok(answer), _)) => answer,
            _ => WithdrawAnswer::Unknown,
        }
    }

    fn withdraw_later(&self, request: WithdrawRequest) {
        let exchange = self.new_exchange();
        let mut port = lock(&self.port);
        port.exchanges
            .insert(exchange, ExchangeWaiter::Withdrawal(None));
        port.actions
            .push(ProxyAction::Withdraw { exchange, request });
    }
}
