//! A scripted environment with simulated time, which records the calls of the request path.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use futures::future::pending;
use millford_api::command::{Claim, ResolveClaim};
use millford_core::{Duration, MonotonicTime};
use millford_data_plane::agent_message::{
    AdmissionReply, AdmissionRequest, ClaimAnswer, QuotaRelease,
};
use millford_data_plane::proxy_state::ProxyState;
use millford_proxy::request::environment::{BackendAnswer, RequestEnvironment};
use millford_proxy::request::message::{
    AnswerError, AnswerHead, BackendRequest, DispatchError, WithdrawAnswer, WithdrawRequest,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::clock::SimulatedClock;
use super::script::{AnswerScript, Script, Step, complete_stream};

/// A request to a backend and the time at which it was made.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    pub(crate) at: MonotonicTime,
    pub(crate) request: BackendRequest,
}

/// The calls of the request path.
#[derive(Debug, Default)]
pub(crate) struct Recorded {
    pub(crate) dispatches: Vec<Dispatch>,
    pub(crate) withdrawals: Vec<WithdrawRequest>,
    pub(crate) claims: Vec<Claim>,
    pub(crate) claim_resolutions: Vec<ResolveClaim>,
    pub(crate) quota_requests: Vec<AdmissionRequest>,
    pub(crate) quota_releases: Vec<QuotaRelease>,
}

#[derive(Debug)]
struct Scripts {
    by_backend: BTreeMap<String, VecDeque<Script>>,
    /// Used for a backend without scripts of its own.
    default_script: Script,
    quota: AdmissionReply,
    claim: ClaimAnswer,
    withdrawal: WithdrawAnswer,
    withdrawal_delay: Duration,
    random: StdRng,
}

/// An environment whose backends and agent follow scripts.
#[derive(Clone, Debug)]
pub(crate) struct ScriptedEnvironment {
    pub(crate) clock: SimulatedClock,
    state: Arc<ProxyState>,
    scripts: Arc<Mutex<Scripts>>,
    recorded: Arc<Mutex<Recorded>>,
}

impl ScriptedEnvironment {
    pub(crate) fn new(state: ProxyState, seed: u64) -> Self {
        let scripts = Scripts {
            by_backend: BTreeMap::new(),
            default_script: complete_stream(0, 5),
            quota: AdmissionReply::Granted,
            claim: ClaimAnswer::Granted,
            withdrawal: WithdrawAnswer::Unknown,
            withdrawal_delay: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
        };
        Self {
            clock: SimulatedClock::default(),
            state: Arc::new(state),
            scripts: Arc::new(Mutex::new(scripts)),
            recorded: Arc::default(),
        }
    }

    /// Sets the script that backends without scripts of their own follow.
    pub(crate) fn set_default_script(&self, script: Script) {
        self.scripts().default_script = script;
    }

    /// Queues a script for one attempt at a backend, after those already queued.
    pub(crate) fn queue_script(&self, backend_id: &str, script: Script) {
        let mut scripts = self.scripts();
        let queue = scripts.by_backend.entry(backend_id.to_owned());
        queue.or_default().push_back(script);
    }

    pub(crate) fn answer_quota(&self, answer: AdmissionReply) {
        self.scripts().quota = answer;
    }

    pub(crate) fn answer_claims(&self, answer: ClaimAnswer) {
        self.scripts().claim = answer;
    }

    pub(crate) fn answer_withdrawals(&self, answer: WithdrawAnswer) {
        self.scripts().withdrawal = answer;
    }

    /// Sets the delay before withdrawals are answered.
    pub(crate) fn delay_withdrawals(&self, delay: Duration) {
        self.scripts().withdrawal_delay = delay;
    }

    pub(crate) fn recorded(&self) -> MutexGuard<'_, Recorded> {
        self.recorded.lock().expect("recorded calls")
    }

    /// Returns the attempts of which a byte was sent.
    pub(crate) fn sent(&self) -> Vec<Dispatch> {
        let recorded = self.recorded();
        let dispatches = recorded.dispatches.iter();
        let sent = dispatches.filter(|dispatch| dispatch.request.sent.is_set());
        sent.cloned().collect()
    }

    /// Adds enough to the retry budget for this many sends after the first.
    pub(crate) fn fill_retry_budget(&self, second_sends: u32) {
        for _ in 0..second_sends * 7 {
            self.state.budget.earn();
        }
    }

    fn scripts(&self) -> MutexGuard<'_, Scripts> {
        self.scripts.lock().expect("scripts")
    }

    fn take_script(&self, backend_id: &str) -> Script {
        let mut scripts = self.scripts();
        let queue = scripts.by_backend.get_mut(backend_id);
        let own = queue.and_then(VecDeque::pop_front);
        own.unwrap_or_else(|| scripts.default_script.clone())
    }
}

impl RequestEnvironment for ScriptedEnvironment {
    type Answer = ScriptedAnswer;

    fn state(&self) -> &ProxyState {
        &self.state
    }

    fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        self.clock.sleep(duration)
    }

    fn random(&self) -> u64 {
        self.scripts().random.random()
    }

    async fn request_quota(&self, request: AdmissionRequest) -> AdmissionReply {
        self.recorded().quota_requests.push(request);
        self.scripts().quota
    }

    fn release_quota(&self, release: QuotaRelease) {
        self.recorded().quota_releases.push(release);
    }

    async fn claim(&self, claim: Claim, _timeout: Duration) -> ClaimAnswer {
        self.recorded().claims.push(claim);
        self.scripts().claim
    }

    fn resolve_claim(&self, resolution: ResolveClaim) {
        self.recorded().claim_resolutions.push(resolution);
    }

    async fn dispatch(&self, request: BackendRequest) -> Result<ScriptedAnswer, DispatchError> {
        let script = self.take_script(&request.backend_id);
        self.recorded().dispatches.push(Dispatch {
            at: self.now(),
            request: request.clone(),
        });
        if matches!(script, Script::RefuseConnection) {
            return Err(DispatchError::NotConnected);
        }
        request.sent.set();
        let answer = match script {
            Script::RefuseConnection | Script::LoseBeforeHead => return Err(DispatchError::Lost),
            Script::NeverAnswer => pending().await,
            Script::Answer(answer) => answer,
        };
        self.clock.sleep(answer.delay).await;
        Ok(ScriptedAnswer::new(self.clock.clone(), &request, answer))
    }

    async fn withdraw(&self, request: WithdrawRequest) -> WithdrawAnswer {
        self.recorded().withdrawals.push(request);
        let delay = self.scripts().withdrawal_delay;
        self.clock.sleep(delay).await;
        self.scripts().withdrawal
    }

    fn withdraw_later(&self, request: WithdrawRequest) {
        self.recorded().withdrawals.push(request);
    }
}

/// An answer from a backend that follows a script.
#[derive(Debug)]
pub(crate) struct ScriptedAnswer {
    clock: SimulatedClock,
    head: AnswerHead,
    run: String,
    steps: VecDeque<Step>,
    wait_until: Option<MonotonicTime>,
}

impl ScriptedAnswer {
    fn new(clock: SimulatedClock, request: &BackendRequest, script: AnswerScript) -> Self {
        let resume_from = request.resume_from.map(|resume| resume.0);
        Self {
            clock,
            head: script.head(&request.attempt, resume_from),
            run: request.run.clone(),
            steps: script.steps.into(),
            wait_until: None,
        }
    }

    async fn wait(&mut self, duration: Duration) {
        let until = *self.wait_until.get_or_insert(self.clock.now() + duration);
        self.clock.sleep(until.since(self.clock.now())).await;
        self.wait_until = None;
        self.steps.pop_front();
    }
}

impl BackendAnswer for ScriptedAnswer {
    fn head(&self) -> &AnswerHead {
        &self.head
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>, AnswerError> {
        while let Some(step) = self.steps.front().cloned() {
            let chunk = match step {
                Step::Wait(duration) => {
                    self.wait(duration).await;
                    continue;
                }
                Step::Inactivity => pending().await,
                Step::Fail(error) => return Err(error),
                Step::Chunk(sequence) => chunk(&self.run, sequence),
                Step::ChunkOfRun(run, sequence) => chunk(&run, sequence),
                Step::Raw(bytes) => bytes,
                Step::Done => Bytes::from_static(b"data: [DONE]\n\n"),
            };
            self.steps.pop_front();
            return Ok(Some(chunk));
        }
        Ok(None)
    }
}

fn chunk(run: &str, sequence: u64) -> Bytes {
    let choices = format!("[{{\"index\":0,\"delta\":{{\"content\":\"w{sequence} \"}}}}]");
    let metadata = format!("{{\"run\":\"{run}\",\"seq\":{sequence}}}");
    Bytes::from(format!(
        "data: {{\"choices\":{choices},\"millford\":{metadata}}}\n\n"
    ))
}
