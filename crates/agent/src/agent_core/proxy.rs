//! Handles input events from the proxy and from the service registry.

use std::collections::BTreeMap;

use millford_api::internal::{LoadReport, frame};
use millford_api::local::{
    LocalClaim, LocalFrame, LocalQuotaRelease, LocalQuotaReply, LocalQuotaRequest,
    LocalResolveClaim, ProxyStreams, local_frame,
};
use millford_api::state::{StateItem, state_value};
use millford_core::{MonotonicTime, ShardId, service_key};

use super::{AgentCore, send_proxy};
use crate::output::AgentOutput;
use crate::quota::StreamLimit;
use crate::registry::RegistryView;

impl AgentCore {
    pub(super) fn proxy_frame(
        &mut self,
        now: MonotonicTime,
        frame: LocalFrame,
        out: &mut Vec<AgentOutput>,
    ) {
        match frame.body {
            Some(local_frame::Body::ProxyHello(_)) => self.complete_handshake(out),
            Some(local_frame::Body::OpenStreams(streams)) => self.open_streams(now, streams),
            Some(local_frame::Body::Applied(applied)) => {
                self.proxy.record_applied(applied.revision);
            }
            Some(local_frame::Body::Draining(_)) => self.proxy.record_draining(),
            Some(local_frame::Body::QuotaRequest(request)) => {
                self.quota_request(now, &request, out);
            }
            Some(local_frame::Body::QuotaRelease(release)) => {
                self.quota_release(now, &release, out);
            }
            Some(local_frame::Body::Claim(claim)) => self.claim(now, claim),
            Some(local_frame::Body::ResolveClaim(resolve)) => {
                self.resolve_claim(now, resolve, out);
            }
            Some(local_frame::Body::LoadReport(report)) => self.load_report(report, out),
            // The remaining kinds are only sent from the agent to the proxy.
            _ => {}
        }
    }

    /// Sends a newly connected proxy a snapshot of every confirmed shard; the status follows in
    /// [`Self::advance`].
    fn complete_handshake(&mut self, out: &mut Vec<AgentOutput>) {
        self.proxy.complete_handshake();
        for view in self.feeds.confirmed() {
            let snapshot = self.proxy.snapshot_frame(view, self.registry.overlay());
            out.extend(snapshot.map(|frame| AgentOutput::SendProxy(Box::new(frame))));
        }
    }

    /// Replaces the numbers of open streams with those that the proxy reports, for tenants whose
    /// streams need slots.
    fn open_streams(&mut self, now: MonotonicTime, streams: ProxyStreams) {
        let tenants = streams.tenants.into_iter();
        let limited =
            tenants.filter(|streams| self.stream_limit(&streams.tenant) == StreamLimit::Limited);
        let counts: BTreeMap<String, u32> = limited
            .map(|streams| (streams.tenant, streams.streams))
            .collect();
        self.quota.reconcile_streams(now, &counts);
    }

    fn quota_request(
        &mut self,
        now: MonotonicTime,
        request: &LocalQuotaRequest,
        out: &mut Vec<AgentOutput>,
    ) {
        let limit = self.stream_limit(&request.tenant);
        send_quota_replies(self.quota.request(now, request, limit), out);
    }

    fn quota_release(
        &mut self,
        now: MonotonicTime,
        release: &LocalQuotaRelease,
        out: &mut Vec<AgentOutput>,
    ) {
        let limit = self.stream_limit(&release.tenant);
        send_quota_replies(self.quota.release(now, release, limit), out);
    }

    /// Returns whether the tenant's configuration limits its concurrent streams. A tenant without a
    /// configuration or quota is unlimited.
    fn stream_limit(&self, tenant: &str) -> StreamLimit {
        let view = self.feeds.view(ShardId::CONFIGURATION);
        let key = format!("config/tenant/{tenant}");
        let value = view.and_then(|view| view.items().get(&key));
        match value.and_then(|value| value.kind.as_ref()) {
            Some(state_value::Kind::Tenant(tenant)) => {
                let quota = tenant.quota.as_ref();
                quota.map_or(StreamLimit::Unlimited, StreamLimit::of)
            }
            _ => StreamLimit::Unlimited,
        }
    }

    fn claim(&mut self, now: MonotonicTime, claim: LocalClaim) {
        let id = self.next_request_id();
        self.claims.submit(now, id, claim);
    }

    fn resolve_claim(
        &mut self,
        now: MonotonicTime,
        resolve: LocalResolveClaim,
        out: &mut Vec<AgentOutput>,
    ) {
        let id = self.next_request_id();
        if let Some(refusal) = self.resolver.submit(now, id, resolve) {
            self.counters.resolutions_dropped += 1;
            send_proxy(local_frame::Body::ResolveClaimReply(refusal), out);
        }
    }

    /// Sends a load report to its shard. Without an open session the report is dropped instead of
    /// queued, because it would be outdated when sent later.
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
        let changed = self.registry.apply_view(now, self.feeds.items(), view);
        if let Some(changed) = changed {
            self.counters.registry_views += 1;
            self.send_overlay_changes(&changed, out);
        }
    }

    /// Sends the proxy the items with these keys, merged with the registry overlay.
    pub(super) fn send_overlay_changes(&mut self, keys: &[String], out: &mut Vec<AgentOutput>) {
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
            let overlay = self.registry.overlay();
            let frame = self.proxy.overlay_change_frame(view, items, overlay);
            out.extend(frame.map(|frame| AgentOutput::SendProxy(Box::new(frame))));
        }
    }
}

pub(super) fn send_quota_replies(replies: Vec<LocalQuotaReply>, out: &mut Vec<AgentOutput>) {
    for reply in replies {
        send_proxy(local_frame::Body::QuotaReply(reply), out);
    }
}
