//! What the proxy sends, and what the registry says.

use millford_api::internal::{LoadReport, frame};
use millford_api::local::{
    LocalClaim, LocalFrame, LocalQuotaRelease, LocalQuotaReply, LocalQuotaRequest,
    LocalResolveClaim, ProxyStreams, local_frame,
};
use millford_api::state::{StateItem, state_value};
use millford_core::{MonotonicTime, ShardId, service_key};

use super::{AgentCore, send_proxy};
use crate::output::AgentOutput;
use crate::registry::RegistryView;

impl AgentCore {
    pub(super) fn proxy_frame(
        &mut self,
        now: MonotonicTime,
        frame: LocalFrame,
        out: &mut Vec<AgentOutput>,
    ) {
        match frame.body {
            Some(local_frame::Body::ProxyHello(_)) => self.greet(out),
            Some(local_frame::Body::OpenStreams(streams)) => self.open_streams(now, streams),
            Some(local_frame::Body::Applied(shown)) => self.proxy.shown(shown.revision),
            Some(local_frame::Body::QuotaRequest(ask)) => self.quota_ask(now, &ask, out),
            Some(local_frame::Body::QuotaRelease(release)) => {
                self.quota_release(now, &release, out);
            }
            Some(local_frame::Body::Claim(claim)) => self.claim(now, claim),
            Some(local_frame::Body::ResolveClaim(settle)) => self.settle(now, settle, out),
            Some(local_frame::Body::LoadReport(report)) => self.load_report(report, out),
            // The rest goes from the agent to the proxy.
            _ => {}
        }
    }

    /// The proxy is new: it gets the status and every confirmed shard whole.
    fn greet(&mut self, out: &mut Vec<AgentOutput>) {
        self.proxy.greet();
        for view in self.feeds.confirmed() {
            let whole = self.proxy.whole(view, &self.overlay);
            out.extend(whole.map(|frame| AgentOutput::SendProxy(Box::new(frame))));
        }
    }

    /// Only streams that need a slot are counted.
    fn open_streams(&mut self, now: MonotonicTime, streams: ProxyStreams) {
        let tenants = streams.tenants.into_iter();
        let limited = tenants.filter(|streams| self.limits_streams(&streams.tenant));
        let counts = limited.map(|streams| (streams.tenant, streams.streams));
        let counts = counts.collect();
        self.quota.take_over(now, &counts);
    }

    fn quota_ask(
        &mut self,
        now: MonotonicTime,
        ask: &LocalQuotaRequest,
        out: &mut Vec<AgentOutput>,
    ) {
        let limited = self.limits_streams(&ask.tenant);
        let answers = self.quota.ask(now, ask, limited);
        answer_quota(answers, out);
    }

    fn quota_release(
        &mut self,
        now: MonotonicTime,
        release: &LocalQuotaRelease,
        out: &mut Vec<AgentOutput>,
    ) {
        let limited = self.limits_streams(&release.tenant);
        let answers = self.quota.release(now, release, limited);
        answer_quota(answers, out);
    }

    /// Whether the tenant's streams are limited; an unlimited tenant needs no slots.
    fn limits_streams(&self, tenant: &str) -> bool {
        let view = self.feeds.view(ShardId::CONFIGURATION);
        let key = format!("config/tenant/{tenant}");
        let value = view.and_then(|view| view.items().get(&key));
        match value.and_then(|value| value.kind.as_ref()) {
            Some(state_value::Kind::Tenant(tenant)) => {
                let quota = tenant.quota.as_ref();
                quota.is_some_and(|quota| quota.concurrent_streams > 0)
            }
            _ => false,
        }
    }

    fn claim(&mut self, now: MonotonicTime, claim: LocalClaim) {
        let id = self.new_id();
        self.claims.submit(now, id, claim);
    }

    fn settle(
        &mut self,
        now: MonotonicTime,
        settle: LocalResolveClaim,
        out: &mut Vec<AgentOutput>,
    ) {
        let id = self.new_id();
        if let Some(refusal) = self.settles.submit(now, id, settle) {
            self.counters.settles_dropped += 1;
            send_proxy(local_frame::Body::ResolveClaimReply(refusal), out);
        }
    }

    /// Load is worth nothing when it is late: a report without a session is dropped.
    fn load_report(&mut self, mut report: LoadReport, out: &mut Vec<AgentOutput>) {
        let Some(layout) = self.feeds.layout() else {
            return;
        };
        if self.session.epoch() == 0 {
            return;
        }
        self.session.member().clone_into(&mut report.member);
        report.epoch = self.session.epoch();
        report.shard = layout.shard_of(&service_key(&report.service)).0;
        self.send(frame::Body::LoadReport(report), out);
    }

    pub(super) fn registry_view(
        &mut self,
        now: MonotonicTime,
        view: &RegistryView,
        out: &mut Vec<AgentOutput>,
    ) {
        if self.confirmation.missing_for(now).is_none() {
            return;
        }
        self.registry_pace.succeeded(now);
        self.counters.registry_views += 1;
        let changed = self.overlay.update(self.feeds.items(), view);
        self.amend(&changed, out);
    }

    /// Tells the proxy the merged state of these items.
    pub(super) fn amend(&mut self, keys: &[String], out: &mut Vec<AgentOutput>) {
        if keys.is_empty() {
            return;
        }
        for view in self.feeds.confirmed() {
            let values = keys.iter().filter_map(|key| {
                let value = view.items().get(key)?;
                Some(StateItem {
                    key: key.clone(),
                    value: Some(value.clone()),
                })
            });
            let items: Vec<StateItem> = values.collect();
            if items.is_empty() {
                continue;
            }
            let frame = self.proxy.amend(view, items, &self.overlay);
            out.extend(frame.map(|frame| AgentOutput::SendProxy(Box::new(frame))));
        }
    }
}

pub(super) fn answer_quota(answers: Vec<LocalQuotaReply>, out: &mut Vec<AgentOutput>) {
    for answer in answers {
        send_proxy(local_frame::Body::QuotaReply(answer), out);
    }
}
