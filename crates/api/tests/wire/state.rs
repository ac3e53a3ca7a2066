//! Samples of the messages of the package `millford.state`.

use millford_api::state;

use crate::sample::{Sample, Samples, Values};

/// Adds a sample of each message. A message with a `oneof` has one sample for each of its kinds.
pub(crate) fn add(samples: &mut Samples) {
    samples.add("millford.state.StateItem", state::StateItem::sample);
    samples.add("millford.state.StateValue.config_head", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::ConfigHead(values.next())),
        }
    });
    samples.add("millford.state.StateValue.route", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::Route(values.next())),
        }
    });
    samples.add("millford.state.StateValue.pool", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::Pool(values.next())),
        }
    });
    samples.add("millford.state.StateValue.tenant", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::Tenant(values.next())),
        }
    });
    samples.add("millford.state.StateValue.backend", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::Backend(values.next())),
        }
    });
    samples.add("millford.state.StateValue.placement", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::Placement(values.next())),
        }
    });
    samples.add("millford.state.StateValue.control_member", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::ControlMember(values.next())),
        }
    });
    samples.add("millford.state.StateValue.forward_route", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::ForwardRoute(values.next())),
        }
    });
    samples.add("millford.state.StateValue.http_limits", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::HttpLimits(values.next())),
        }
    });
    samples.add("millford.state.StateValue.proxy_member", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::ProxyMember(values.next())),
        }
    });
    samples.add("millford.state.StateValue.empty_tenant_list", |values| {
        state::StateValue {
            kind: Some(state::state_value::Kind::EmptyTenantList(values.next())),
        }
    });
    samples.add("millford.state.ConfigHead", state::ConfigHead::sample);
    samples.add("millford.state.Backend", state::Backend::sample);
    samples.add("millford.state.Declaration", state::Declaration::sample);
    samples.add("millford.state.PoolPlacement", state::PoolPlacement::sample);
    samples.add("millford.state.Replica", state::Replica::sample);
    samples.add("millford.state.ControlMember", state::ControlMember::sample);
    samples.add("millford.state.ProxyMember", state::ProxyMember::sample);
}

impl Sample for state::StateItem {
    fn sample(values: &mut Values) -> Self {
        state::StateItem {
            key: values.next(),
            value: values.next(),
        }
    }
}

impl Sample for state::StateValue {
    fn sample(values: &mut Values) -> Self {
        state::StateValue {
            kind: Some(state::state_value::Kind::ConfigHead(values.next())),
        }
    }
}

impl Sample for state::ConfigHead {
    fn sample(values: &mut Values) -> Self {
        state::ConfigHead {
            revision: values.next(),
            digest: values.next(),
        }
    }
}

impl Sample for state::Backend {
    fn sample(values: &mut Values) -> Self {
        state::Backend {
            id: values.next(),
            address: values.next(),
            zone: values.next(),
            declarations: values.next(),
            cores: values.next(),
            bandwidth_gbps: values.next(),
            state: state::BackendState::BackendGone as i32,
            service: values.next(),
        }
    }
}

impl Sample for state::Declaration {
    fn sample(values: &mut Values) -> Self {
        state::Declaration {
            model: values.next(),
            version: values.next(),
            stage: values.next(),
            adapters: values.next(),
        }
    }
}

impl Sample for state::PoolPlacement {
    fn sample(values: &mut Values) -> Self {
        state::PoolPlacement {
            pool: values.next(),
            epoch: values.next(),
            replicas: values.next(),
        }
    }
}

impl Sample for state::Replica {
    fn sample(values: &mut Values) -> Self {
        state::Replica {
            backend_id: values.next(),
            model: values.next(),
            version: values.next(),
            state: state::ReplicaState::ReplicaDraining as i32,
            weight_milli: values.next(),
        }
    }
}

impl Sample for state::ControlMember {
    fn sample(values: &mut Values) -> Self {
        state::ControlMember {
            node_id: values.next(),
            internal_address: values.next(),
            operator_address: values.next(),
            zone: values.next(),
        }
    }
}

impl Sample for state::ProxyMember {
    fn sample(values: &mut Values) -> Self {
        state::ProxyMember {
            name: values.next(),
            exchange_address: values.next(),
            zone: values.next(),
        }
    }
}
