//! Samples of the messages of the package `millford.config`.

use millford_api::config;

use crate::sample::{Sample, Samples, Values};

/// Adds a sample of each message. A message with a `oneof` has one sample for each of its kinds.
pub(crate) fn add(samples: &mut Samples) {
    samples.add("millford.config.Document", config::Document::sample);
    samples.add("millford.config.ForwardRoute", config::ForwardRoute::sample);
    samples.add("millford.config.WeightedPool", config::WeightedPool::sample);
    samples.add("millford.config.HttpLimits", config::HttpLimits::sample);
    samples.add("millford.config.Route", config::Route::sample);
    samples.add("millford.config.RouteMatch", config::RouteMatch::sample);
    samples.add("millford.config.Hedge", config::Hedge::sample);
    samples.add("millford.config.Pool", config::Pool::sample);
    samples.add("millford.config.Selector", config::Selector::sample);
    samples.add("millford.config.Tenant", config::Tenant::sample);
    samples.add("millford.config.TokenQuota", config::TokenQuota::sample);
    samples.add("millford.config.Quota", config::Quota::sample);
    samples.add(
        "millford.config.EmptyTenantList",
        config::EmptyTenantList::sample,
    );
    samples.add("millford.config.Document.empty_tenant_list", |_| {
        config::Document {
            empty_tenant_list: true,
            ..config::Document::default()
        }
    });
}

impl Sample for config::Document {
    fn sample(values: &mut Values) -> Self {
        config::Document {
            routes: values.next(),
            pools: values.next(),
            tenants: values.next(),
            forward_routes: values.next(),
            http_limits: values.next(),
            // The committed sample has tenants, and its bytes must not change.
            empty_tenant_list: false,
        }
    }
}

impl Sample for config::EmptyTenantList {
    fn sample(_: &mut Values) -> Self {
        config::EmptyTenantList {}
    }
}

impl Sample for config::ForwardRoute {
    fn sample(values: &mut Values) -> Self {
        config::ForwardRoute {
            name: values.next(),
            host: values.next(),
            path_prefix: values.next(),
            pools: values.next(),
            repeatable: values.next(),
            stream: values.next(),
            resumable: values.next(),
            timeout_ms: values.next(),
            target_ms: values.next(),
            gap_target_ms: values.next(),
            max_attempts: values.next(),
            priority: values.next(),
            public: values.next(),
            sticky: values.next(),
        }
    }
}

impl Sample for config::WeightedPool {
    fn sample(values: &mut Values) -> Self {
        config::WeightedPool {
            pool: values.next(),
            weight: values.next(),
        }
    }
}

impl Sample for config::HttpLimits {
    fn sample(values: &mut Values) -> Self {
        config::HttpLimits {
            max_header_bytes: values.next(),
            max_body_bytes: values.next(),
            header_timeout_ms: values.next(),
            idle_timeout_ms: values.next(),
        }
    }
}

impl Sample for config::Route {
    fn sample(values: &mut Values) -> Self {
        config::Route {
            name: values.next(),
            r#match: values.next(),
            pool: values.next(),
            repeatable: values.next(),
            resume: config::Resume::Continue as i32,
            deadline_ms: values.next(),
            hedge: values.next(),
        }
    }
}

impl Sample for config::RouteMatch {
    fn sample(values: &mut Values) -> Self {
        config::RouteMatch {
            model: values.next(),
            version: values.next(),
            stage: values.next(),
            adapter: values.next(),
            path_prefix: values.next(),
        }
    }
}

impl Sample for config::Hedge {
    fn sample(values: &mut Values) -> Self {
        config::Hedge {
            delay_ms: values.next(),
        }
    }
}

impl Sample for config::Pool {
    fn sample(values: &mut Values) -> Self {
        config::Pool {
            name: values.next(),
            selector: values.next(),
            drain_ms: values.next(),
            bandwidth_ceiling_percent: values.next(),
            transition_budget_percent: values.next(),
            longest_deferral_ms: values.next(),
            target_version: values.next(),
            health_path: values.next(),
            max_connections: values.next(),
            slots: values.next(),
            cache_tokens: values.next(),
        }
    }
}

impl Sample for config::Selector {
    fn sample(values: &mut Values) -> Self {
        config::Selector {
            model: values.next(),
            version: values.next(),
            stage: values.next(),
            adapters: values.next(),
            service: values.next(),
        }
    }
}

impl Sample for config::Tenant {
    fn sample(values: &mut Values) -> Self {
        config::Tenant {
            name: values.next(),
            key_hashes: values.next(),
            quota: values.next(),
            priority: values.next(),
            token_quota: values.next(),
        }
    }
}

impl Sample for config::TokenQuota {
    fn sample(values: &mut Values) -> Self {
        config::TokenQuota {
            tokens_per_second: values.next(),
            burst: values.next(),
            default_tokens: values.next(),
        }
    }
}

impl Sample for config::Quota {
    fn sample(values: &mut Values) -> Self {
        config::Quota {
            requests_per_second: values.next(),
            burst: values.next(),
            concurrent_streams: values.next(),
        }
    }
}
