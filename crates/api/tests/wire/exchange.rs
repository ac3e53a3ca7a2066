//! Samples of the messages of the package `millford.exchange`.

use millford_api::exchange;

use crate::sample::{Sample, Samples, Values};

/// Adds a sample of each message. A message with a `oneof` has one sample for each of its kinds.
pub(crate) fn add(samples: &mut Samples) {
    samples.add("millford.exchange.ProxyNews", exchange::PeerMessage::sample);
    samples.add(
        "millford.exchange.WorkUpdate",
        exchange::InFlightUpdate::sample,
    );
    samples.add(
        "millford.exchange.BackendWork",
        exchange::BackendInFlight::sample,
    );
    samples.add(
        "millford.exchange.LoadQuestion",
        exchange::LoadRequest::sample,
    );
    samples.add("millford.exchange.LoadAnswer", exchange::LoadReply::sample);
    samples.add(
        "millford.exchange.TenantUsage",
        exchange::TenantUsage::sample,
    );
    samples.add(
        "millford.exchange.QuotaQuestion",
        exchange::AdmissionRequest::sample,
    );
    samples.add(
        "millford.exchange.QuotaAnswer",
        exchange::AdmissionReply::sample,
    );
    samples.add(
        "millford.exchange.ReplicaWork",
        exchange::ReplicaInFlight::sample,
    );
    samples.add(
        "millford.exchange.PromptPlace",
        exchange::BlockLocation::sample,
    );
    samples.add(
        "millford.exchange.PartUpdate",
        exchange::BlockUpdate::sample,
    );
    samples.add(
        "millford.exchange.PartQuestion",
        exchange::BlockRequest::sample,
    );
    samples.add("millford.exchange.PartAnswer", exchange::BlockReply::sample);
    samples.add(
        "millford.exchange.PartHolders",
        exchange::BlockBackends::sample,
    );
}

impl Sample for exchange::PeerMessage {
    fn sample(values: &mut Values) -> Self {
        exchange::PeerMessage {
            member: values.next(),
            boot_id: values.next(),
            sequence: values.next(),
            usage: values.next(),
            in_flight_update: values.next(),
            load_request: values.next(),
            load_reply: values.next(),
            block_update: values.next(),
            block_request: values.next(),
            block_reply: values.next(),
            admission_request: values.next(),
            admission_reply: values.next(),
            is_owner: values.next(),
        }
    }
}

impl Sample for exchange::InFlightUpdate {
    fn sample(values: &mut Values) -> Self {
        exchange::InFlightUpdate {
            sequence: values.next(),
            backends: values.next(),
        }
    }
}

impl Sample for exchange::BackendInFlight {
    fn sample(values: &mut Values) -> Self {
        exchange::BackendInFlight {
            backend_id: values.next(),
            replicas: values.next(),
        }
    }
}

impl Sample for exchange::LoadRequest {
    fn sample(values: &mut Values) -> Self {
        exchange::LoadRequest {
            id: values.next(),
            backend_ids: values.next(),
        }
    }
}

impl Sample for exchange::LoadReply {
    fn sample(values: &mut Values) -> Self {
        exchange::LoadReply {
            id: values.next(),
            backends: values.next(),
        }
    }
}

impl Sample for exchange::TenantUsage {
    fn sample(values: &mut Values) -> Self {
        exchange::TenantUsage {
            tenant: values.next(),
            used_tokens: values.next(),
            level_tokens: values.next(),
            counted_for_ms: values.next(),
        }
    }
}

impl Sample for exchange::AdmissionRequest {
    fn sample(values: &mut Values) -> Self {
        exchange::AdmissionRequest {
            id: values.next(),
            tenant: values.next(),
            tokens: values.next(),
            uncharged_tokens: values.next(),
        }
    }
}

impl Sample for exchange::AdmissionReply {
    fn sample(values: &mut Values) -> Self {
        exchange::AdmissionReply {
            id: values.next(),
            unlimited: values.next(),
            admitted: values.next(),
            retry_after_us: values.next(),
            level_tokens: values.next(),
            admitted_tokens_per_second: values.next(),
        }
    }
}

impl Sample for exchange::ReplicaInFlight {
    fn sample(values: &mut Values) -> Self {
        exchange::ReplicaInFlight {
            pool: values.next(),
            model: values.next(),
            version: values.next(),
            prefill_tokens: values.next(),
            decode_streams: values.next(),
            held_requests: values.next(),
        }
    }
}

impl Sample for exchange::BlockLocation {
    fn sample(values: &mut Values) -> Self {
        exchange::BlockLocation {
            block: values.next(),
            backend_id: values.next(),
            tokens: values.next(),
        }
    }
}

impl Sample for exchange::BlockUpdate {
    fn sample(values: &mut Values) -> Self {
        exchange::BlockUpdate {
            locations: values.next(),
        }
    }
}

impl Sample for exchange::BlockRequest {
    fn sample(values: &mut Values) -> Self {
        exchange::BlockRequest {
            id: values.next(),
            blocks: values.next(),
            among: values.next(),
        }
    }
}

impl Sample for exchange::BlockReply {
    fn sample(values: &mut Values) -> Self {
        exchange::BlockReply {
            id: values.next(),
            blocks: values.next(),
        }
    }
}

impl Sample for exchange::BlockBackends {
    fn sample(values: &mut Values) -> Self {
        exchange::BlockBackends {
            block: values.next(),
            backend_ids: values.next(),
        }
    }
}
