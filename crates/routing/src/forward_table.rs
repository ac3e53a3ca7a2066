//! Routes of HTTP requests that are forwarded without interpretation, by host and path prefix.

use std::collections::BTreeMap;
use std::sync::Arc;

use millford_api::config::{ForwardRoute, HttpLimits};
use millford_api::state::ProxyMember;

/// Forwarding routes, HTTP limits and proxies that the feed lists.
#[derive(Clone, Debug, Default)]
pub struct ForwardTable {
    /// Routes by host in lower case, those with the longest path prefix first.
    hosts: BTreeMap<String, Vec<Arc<ForwardRoute>>>,
    limits: Option<HttpLimits>,
    peers: Vec<ProxyMember>,
}

impl ForwardTable {
    /// Returns the host's route with the longest path prefix that matches, if any.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ForwardRoute>> {
        let routes = self.hosts.get(&host_name(host))?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the size and time limits for callers' requests, or `None` if the configuration sets none.
    #[must_use]
    pub fn limits(&self) -> Option<&HttpLimits> {
        self.limits.as_ref()
    }

    /// Returns every proxy with an open session, including this one.
    #[must_use]
    pub fn peers(&self) -> &[ProxyMember] {
        &self.peers
    }

    pub(crate) fn add_route(&mut self, route: &ForwardRoute) {
        let routes = self.hosts.entry(host_name(&route.host)).or_default();
        let length = route.path_prefix.len();
        let position = routes.partition_point(|other| other.path_prefix.len() >= length);
        routes.insert(position, Arc::new(route.clone()));
    }

    pub(crate) fn set_limits(&mut self, limits: HttpLimits) {
        self.limits = Some(limits);
    }

    pub(crate) fn add_peer(&mut self, member: &ProxyMember) {
        self.peers.push(member.clone());
    }
}

/// Returns the host without a port, in lower case. An IPv6 address keeps its brackets.
fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
