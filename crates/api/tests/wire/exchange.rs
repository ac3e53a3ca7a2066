//! Samples of the messages of the package `millford.exchange`.

use millford_api::exchange;

use crate::sample::{Sample, Samples, Values};

/// Adds a sample of each message; one of each kind where a message is one of several.
pub fn add(samples: &mut Samples) {
    samples.add("millford.exchange.ProxyNews", exchange::ProxyNews::sample);
    samples.add("millford.exchange.WorkUpdate", exchange::WorkUpdate::sample);
    samples.add(
        "millford.exchange.BackendWork",
        exchange::BackendWork::sample,
    );
    samples.add(
        "millford.exchange.LoadQuestion",
        exchange::LoadQuestion::sample,
    );
    samples.add("millford.exchange.LoadAnswer", exchange::LoadAnswer::sample);
    samples.add(
        "millford.exchange.TenantUsage",
        exchange::TenantUsage::sample,
    );
    samples.add(
        "millford.exchange.QuotaQuestion",
        exchange::QuotaQuestion::sample,
    );
    samples.add(
        "millford.exchange.QuotaAnswer",
        exchange::QuotaAnswer::sample,
    );
    samples.add(
        "millford.exchange.ReplicaWork",
        exchange::ReplicaWork::sample,
    );
    samples.add(
        "millford.exchange.PromptPlace",
        exchange::PromptPlace::sample,
    );
    samples.add("millford.exchange.PartUpdate", exchange::PartUpdate::sample);
    samples.add(
        "millford.exchange.PartQuestion",
        exchange::PartQuestion::sample,
    );
    samples.add("millford.exchange.PartAnswer", exchange::PartAnswer::sample);
    samples.add(
        "millford.exchange.PartHolders",
        exchange::PartHolders::sample,
    );
}

impl Sample for exchange::ProxyNews {
    fn sample(values: &mut Values) -> Self {
        exchange::ProxyNews {
            member: values.next(),
            boot_id: values.next(),
            sequence: values.next(),
            usage: values.next(),
            work_update: values.next(),
            load_question: values.next(),
            load_answer: values.next(),
            part_update: values.next(),
            part_question: values.next(),
            part_answer: values.next(),
            quota_question: values.next(),
            quota_answer: values.next(),
            is_owner: values.next(),
        }
    }
}

impl Sample for exchange::WorkUpdate {
    fn sample(values: &mut Values) -> Self {
        exchange::WorkUpdate {
            sequence: values.next(),
            backends: values.next(),
        }
    }
}

impl Sample for exchange::BackendWork {
    fn sample(values: &mut Values) -> Self {
        exchange::BackendWork {
            backend_id: values.next(),
            replicas: values.next(),
        }
    }
}

impl Sample for exchange::LoadQuestion {
    fn sample(values: &mut Values) -> Self {
        exchange::LoadQuestion {
            id: values.next(),
            backend_ids: values.next(),
        }
    }
}

impl Sample for exchange::LoadAnswer {
    fn sample(values: &mut Values) -> Self {
        exchange::LoadAnswer {
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

impl Sample for exchange::QuotaQuestion {
    fn sample(values: &mut Values) -> Self {
        exchange::QuotaQuestion {
            id: values.next(),
            tenant: values.next(),
            tokens: values.next(),
            uncharged_tokens: values.next(),
        }
    }
}

impl Sample for exchange::QuotaAnswer {
    fn sample(values: &mut Values) -> Self {
        exchange::QuotaAnswer {
            id: values.next(),
            unlimited: values.next(),
            admitted: values.next(),
            retry_after_us: values.next(),
            level_tokens: values.next(),
            admitted_tokens_per_second: values.next(),
        }
    }
}

impl Sample for exchange::ReplicaWork {
    fn sample(values: &mut Values) -> Self {
        exchange::ReplicaWork {
            pool: values.next(),
            model: values.next(),
            version: values.next(),
            prefill_tokens: values.next(),
            decode_streams: values.next(),
            held_requests: values.next(),
        }
    }
}

impl Sample for exchange::PromptPlace {
    fn sample(values: &mut Values) -> Self {
        exchange::PromptPlace {
            part: values.next(),
            backend_id: values.next(),
            tokens: values.next(),
        }
    }
}

impl Sample for exchange::PartUpdate {
    fn sample(values: &mut Values) -> Self {
        exchange::PartUpdate {
            places: values.next(),
        }
    }
}

impl Sample for exchange::PartQuestion {
    fn sample(values: &mut Values) -> Self {
        exchange::PartQuestion {
            id: values.next(),
            parts: values.next(),
            among: values.next(),
        }
    }
}

impl Sample for exchange::PartAnswer {
    fn sample(values: &mut Values) -> Self {
        exchange::PartAnswer {
            id: values.next(),
            parts: values.next(),
        }
    }
}

impl Sample for exchange::PartHolders {
    fn sample(values: &mut Values) -> Self {
        exchange::PartHolders {
            part: values.next(),
            backend_ids: values.next(),
        }
    }
}
