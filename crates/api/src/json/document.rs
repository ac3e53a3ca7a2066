//! JSON form of a document, which tells an empty list of tenants from an absent one.

use serde::{Deserialize, Deserializer, Serialize};

use crate::config::{Document, ForwardRoute, HttpLimits, Pool, Route, Tenant};

/// The fields of a [`Document`] as JSON objects have them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DocumentForm {
    routes: Vec<Route>,
    pools: Vec<Pool>,
    /// `None`: the object has no such field. JSON `null` is not accepted in its place, so that a mistaken value cannot
    /// admit requests without a key.
    #[serde(
        deserialize_with = "present_list",
        skip_serializing_if = "Option::is_none"
    )]
    tenants: Option<Vec<Tenant>>,
    forward_routes: Vec<ForwardRoute>,
    http_limits: Option<HttpLimits>,
}

impl From<DocumentForm> for Document {
    fn from(form: DocumentForm) -> Self {
        let empty_tenant_list = form.tenants.as_ref().is_some_and(Vec::is_empty);
        Self {
            routes: form.routes,
            pools: form.pools,
            tenants: form.tenants.unwrap_or_default(),
            forward_routes: form.forward_routes,
            http_limits: form.http_limits,
            empty_tenant_list,
        }
    }
}

impl From<Document> for DocumentForm {
    fn from(document: Document) -> Self {
        let has_list = document.empty_tenant_list || !document.tenants.is_empty();
        Self {
            routes: document.routes,
            pools: document.pools,
            tenants: has_list.then_some(document.tenants),
            forward_routes: document.forward_routes,
            http_limits: document.http_limits,
        }
    }
}

fn present_list<'de, D>(deserializer: D) -> Result<Option<Vec<Tenant>>, D::Error>
where
    D: Deserializer<'de>,
{
    Vec::deserialize(deserializer).map(Some)
}
