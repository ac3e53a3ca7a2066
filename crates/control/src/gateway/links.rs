//! The open links and their peers.

use std::collections::{BTreeMap, BTreeSet};

use millford_core::NodeId;

use crate::link::LinkId;

/// The peer at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkPeer {
    /// No frame has identified the peer yet.
    Unknown,
    /// A control node, with its identity.
    Control(NodeId),
    /// An agent. `AgentTable` maps its name to the link.
    Agent,
}

/// Open links, by number and by control node.
#[derive(Debug, Default)]
pub(super) struct LinkTable {
    links: BTreeMap<LinkId, LinkPeer>,
    by_node: BTreeMap<NodeId, BTreeSet<LinkId>>,
}

impl LinkTable {
    /// Adds a link whose peer is unknown.
    pub(super) fn open(&mut self, link: LinkId) {
        self.links.entry(link).or_insert(LinkPeer::Unknown);
    }

    /// Removes a link. Returns its peer.
    pub(super) fn close(&mut self, link: LinkId) -> Option<LinkPeer> {
        let peer = self.links.remove(&link)?;
        if let LinkPeer::Control(node) = peer {
            self.remove_from_node(node, link);
        }
        Some(peer)
    }

    /// Whether the link is open.
    pub(super) fn is_open(&self, link: LinkId) -> bool {
        self.links.contains_key(&link)
    }

    /// The peer of a link; unknown for a link that is not open.
    pub(super) fn peer(&self, link: LinkId) -> LinkPeer {
        let peer = self.links.get(&link);
        peer.copied().unwrap_or(LinkPeer::Unknown)
    }

    /// Sets the control node that introduced itself on the link.
    pub(super) fn set_control(&mut self, link: LinkId, node: NodeId) {
        let Some(peer) = self.links.get_mut(&link) else {
            return;
        };
        let former = std::mem::replace(peer, LinkPeer::Control(node));
        if let LinkPeer::Control(former) = former {
            self.remove_from_node(former, link);
        }
        self.by_node.entry(node).or_default().insert(link);
    }

    /// Marks a link on which an agent's frame arrived, unless its peer is known already.
    pub(super) fn set_agent(&mut self, link: LinkId) {
        if let Some(peer) = self.links.get_mut(&link)
            && *peer == LinkPeer::Unknown
        {
            *peer = LinkPeer::Agent;
        }
    }

    /// Link for frames to a control node: the newest one that this node opened, else the newest one
    /// that the other node opened.
    pub(super) fn to_node(&self, node: NodeId) -> Option<LinkId> {
        self.by_node.get(&node)?.last().copied()
    }

    /// The links to agents.
    pub(super) fn agents(&self) -> impl Iterator<Item = LinkId> {
        let links = self.links.iter();
        links
            .filter(|(_, peer)| **peer == LinkPeer::Agent)
            .map(|(link, _)| *link)
    }

    /// The control nodes with an open link.
    pub(super) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.by_node.keys().copied()
    }

    fn remove_from_node(&mut self, node: NodeId, link: LinkId) {
        if let Some(links) = self.by_node.get_mut(&node) {
            links.remove(&link);
            if links.is_empty() {
                self.by_node.remove(&node);
            }
        }
    }
}
