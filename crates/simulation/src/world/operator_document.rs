//! Configuration documents of simulated operators.

use millford_api::config::{
    Document, Hedge, Pool, Quota, Resume, Route, RouteMatch, Selector, Tenant,
};
use millford_core::hash_tenant_key;

use crate::scenario::Workload;
use crate::world::client_request::key_text;
use crate::world::service_registry::MODELS;

/// Name of the route whose deadline encodes the document's serial number.
const SERIAL_ROUTE: &str = "captions";
const DEADLINE_MS: u32 = 20_000;
const HEDGE_MS: u32 = 600;
const DRAIN_MS: u32 = 2_000;

/// The variable parts of a document: the keys of each tenant and a serial number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// Serial numbers of the keys, by tenant.
    pub keys: Vec<Vec<u32>>,
    /// Serial number, unique among the documents of a run: that of the order.
    pub serial: u32,
}

impl Draft {
    /// Builds the document, with the workload's quota for each tenant.
    #[must_use]
    pub fn document(&self, workload: &Workload) -> Document {
        let lookup_match = RouteMatch {
            path_prefix: "/stations/".to_owned(),
            ..RouteMatch::default()
        };
        let mut captions = model_route(SERIAL_ROUTE, MODELS[0], true, Resume::Continue);
        captions.deadline_ms = DEADLINE_MS + self.serial;
        let mut questions = model_route("questions", MODELS[1], true, Resume::FromStart);
        questions.hedge = Some(Hedge { delay_ms: HEDGE_MS });
        let lookups = Route {
            name: "stations".to_owned(),
            r#match: Some(lookup_match),
            pool: "lookups".to_owned(),
            repeatable: true,
            deadline_ms: DEADLINE_MS,
            ..Route::default()
        };
        let once = model_route("once", MODELS[2], false, Resume::Never);
        Document {
            routes: vec![captions, questions, once, lookups],
            pools: vec![pool("models", "generate"), pool("lookups", "lookup")],
            tenants: self.tenants(workload),
            ..Default::default()
        }
    }

    fn tenants(&self, workload: &Workload) -> Vec<Tenant> {
        let quota = Quota {
            requests_per_second: workload.quota_per_second,
            burst: workload.quota_burst,
            concurrent_streams: 0,
        };
        let tenants = self.keys.iter().enumerate().map(|(tenant, keys)| Tenant {
            name: format!("tenant-{tenant}"),
            key_hashes: keys
                .iter()
                .map(|key| hash_tenant_key(&key_text(*key)))
                .collect(),
            quota: Some(quota),
            ..Default::default()
        });
        tenants.collect()
    }
}

/// Returns the serial number of a document; 0 if it has none.
#[must_use]
pub fn serial_of(document: &Document) -> u32 {
    let route = document
        .routes
        .iter()
        .find(|route| route.name == SERIAL_ROUTE);
    route.map_or(0, |route| route.deadline_ms.saturating_sub(DEADLINE_MS))
}

fn model_route(name: &str, model: &str, repeatable: bool, resume: Resume) -> Route {
    Route {
        name: name.to_owned(),
        r#match: Some(RouteMatch {
            model: model.to_owned(),
            ..RouteMatch::default()
        }),
        pool: "models".to_owned(),
        repeatable,
        resume: resume.into(),
        deadline_ms: DEADLINE_MS,
        hedge: None,
    }
}

fn pool(name: &str, stage: &str) -> Pool {
    Pool {
        name: name.to_owned(),
        selector: Some(Selector {
            stage: stage.to_owned(),
            ..Selector::default()
        }),
        drain_ms: DRAIN_MS,
        ..Pool::default()
    }
}
