//! Samples of the messages of the package `millford.local`.

use millford_api::local;

use crate::sample::{Sample, Samples, Values};

/// Adds a sample of each message. A message with a `oneof` has one sample for each of its kinds.
pub(crate) fn add(samples: &mut Samples) {
    samples.add("millford.local.LocalFrame.proxy_hello", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::ProxyHello(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.snapshot", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::Snapshot(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.change", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::Change(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.status", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::Status(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.claim", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::Claim(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.claim_reply", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::ClaimReply(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.settle", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::ResolveClaim(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.quota_ask", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::QuotaRequest(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.quota_reply", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::QuotaReply(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.quota_release", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::QuotaRelease(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.load_report", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::LoadReport(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.load_picture", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::LoadSnapshot(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.shown", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::Applied(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.settle_reply", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::ResolveClaimReply(values.next())),
        }
    });
    samples.add("millford.local.LocalFrame.open_streams", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::OpenStreams(values.next())),
        }
    });
    samples.add("millford.local.ProxyHello", local::ProxyHello::sample);
    samples.add("millford.local.ProxyStreams", local::ProxyStreams::sample);
    samples.add("millford.local.TenantStreams", local::TenantStreams::sample);
    samples.add("millford.local.AgentStatus", local::AgentStatus::sample);
    samples.add("millford.local.LocalClaim", local::LocalClaim::sample);
    samples.add(
        "millford.local.LocalClaimReply",
        local::LocalClaimReply::sample,
    );
    samples.add(
        "millford.local.LocalSettle",
        local::LocalResolveClaim::sample,
    );
    samples.add(
        "millford.local.LocalSettleReply",
        local::LocalResolveClaimReply::sample,
    );
    samples.add(
        "millford.local.LocalQuotaAsk",
        local::LocalQuotaRequest::sample,
    );
    samples.add(
        "millford.local.LocalQuotaReply",
        local::LocalQuotaReply::sample,
    );
    samples.add(
        "millford.local.LocalQuotaRelease",
        local::LocalQuotaRelease::sample,
    );
    samples.add("millford.local.ProxyShown", local::ProxyApplied::sample);
    samples.add("millford.local.LocalFrame.draining", |values| {
        local::LocalFrame {
            body: Some(local::local_frame::Body::Draining(values.next())),
        }
    });
    samples.add("millford.local.ProxyDraining", local::ProxyDraining::sample);
}

impl Sample for local::ProxyDraining {
    fn sample(_values: &mut Values) -> Self {
        local::ProxyDraining {}
    }
}

impl Sample for local::LocalFrame {
    fn sample(values: &mut Values) -> Self {
        local::LocalFrame {
            body: Some(local::local_frame::Body::ProxyHello(values.next())),
        }
    }
}

impl Sample for local::ProxyHello {
    fn sample(values: &mut Values) -> Self {
        local::ProxyHello {
            boot_id: values.next(),
            caller_address: values.next(),
        }
    }
}

impl Sample for local::ProxyStreams {
    fn sample(values: &mut Values) -> Self {
        local::ProxyStreams {
            tenants: values.next(),
        }
    }
}

impl Sample for local::TenantStreams {
    fn sample(values: &mut Values) -> Self {
        local::TenantStreams {
            tenant: values.next(),
            streams: values.next(),
        }
    }
}

impl Sample for local::AgentStatus {
    fn sample(values: &mut Values) -> Self {
        local::AgentStatus {
            connected: values.next(),
            session_epoch: values.next(),
            data_shards: values.next(),
            complete: values.next(),
        }
    }
}

impl Sample for local::LocalClaim {
    fn sample(values: &mut Values) -> Self {
        local::LocalClaim {
            request_id: values.next(),
            claim: values.next(),
            timeout_ms: values.next(),
        }
    }
}

impl Sample for local::LocalClaimReply {
    fn sample(values: &mut Values) -> Self {
        local::LocalClaimReply {
            request_id: values.next(),
            code: values.next(),
            result: values.next(),
        }
    }
}

impl Sample for local::LocalResolveClaim {
    fn sample(values: &mut Values) -> Self {
        local::LocalResolveClaim {
            request_id: values.next(),
            resolution: values.next(),
        }
    }
}

impl Sample for local::LocalResolveClaimReply {
    fn sample(values: &mut Values) -> Self {
        local::LocalResolveClaimReply {
            request_id: values.next(),
            code: values.next(),
        }
    }
}

impl Sample for local::LocalQuotaRequest {
    fn sample(values: &mut Values) -> Self {
        local::LocalQuotaRequest {
            request_id: values.next(),
            tenant: values.next(),
            stream: values.next(),
            timeout_ms: values.next(),
            waited_ms: values.next(),
        }
    }
}

impl Sample for local::LocalQuotaReply {
    fn sample(values: &mut Values) -> Self {
        local::LocalQuotaReply {
            request_id: values.next(),
            granted: values.next(),
            code: values.next(),
            retry_after_ms: values.next(),
            use_within_ms: values.next(),
        }
    }
}

impl Sample for local::LocalQuotaRelease {
    fn sample(values: &mut Values) -> Self {
        local::LocalQuotaRelease {
            tenant: values.next(),
            stream: values.next(),
            unused: values.next(),
        }
    }
}

impl Sample for local::ProxyApplied {
    fn sample(values: &mut Values) -> Self {
        local::ProxyApplied {
            revision: values.next(),
        }
    }
}
