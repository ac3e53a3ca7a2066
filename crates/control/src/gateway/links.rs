//! The open links and who is at their other end.

use std::collections::{BTreeMap, BTreeSet};

use millford_core::NodeId;

use crate::link::LinkId;

/// Who is at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkPeer {
    /// No frame has shown it yet.
    Unknown,
    /// A control node.
    Control(NodeId),
    /// An agent.
    Agent,
}

/// Links by number and by control node.
#[derive(Debug, Default)]
pub(super) struct LinkTable {
    links: BTreeMap<LinkId, LinkPeer>,
    by_node: BTreeMap<NodeId, BTreeSet<LinkId>>,
}

impl LinkTable {
    /// A link opened.
    pub(super) fn open(&mut self, link: LinkId) {
        self.links.entry(link).or_insert(LinkPeer::Unknown);
    }

    /// A link closed. Returns who was there.
    pub(super) fn close(&mut self, link: LinkId) -> Option<LinkPeer> {
        let peer = self.links.remove(&link)?;
        if let LinkPeer::Control(node) = peer {
            self.drop_from_node(node, link);
        }
        Some(peer)
    }

    /// Whether the link is open.
    pub(super) fn is_open(&self, link: LinkId) -> bool {
        self.links.contains_key(&link)
    }

    /// Who is at the other end.
    pub(super) fn peer(&self, link: LinkId) -> LinkPeer {
        let peer = self.links.get(&link);
        peer.copied().unwrap_or(LinkPeer::Unknown)
    }

    /// A control node introduced itself on the link.
    pub(super) fn set_control(&mut self, link: LinkId, node: NodeId) {
        let Some(peer) = self.links.get_mut(&link) else {
            return;
        };
        let former = std::mem::replace(peer, LinkPeer::Control(node));
        if let LinkPeer::Control(former) = former {
            self.drop_from_node(former, link);
        }
        self.by_node.entry(node).or_default().insert(link);
    }

    /// An agent spoke on the link.
    pub(super) fn set_agent(&mut self, link: LinkId) {
        if let Some(peer) = self.links.get_mut(&link)
            && *peer == LinkPeer::Unknown
        {
            *peer = LinkPeer::Agent;
        }
    }

    /// Link on which frames to a control node go: the newest one that this node opened, else one
    /// that the other node opened.
    pub(super) fn to_node(&self, node: NodeId) -> Option<LinkId> {
        self.by_node.get(&node)?.last().copied()
    }

    /// Every link to an agent.
    pub(super) fn agents(&self) -> impl Iterator<Item = LinkId> {
        let links = self.links.iter();
        links
            .filter(|(_, peer)| **peer == LinkPeer::Agent)
            .map(|(link, _)| *link)
    }

    /// Every control node with an open link.
    pub(super) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.by_node.keys().copied()
    }

    fn drop_from_node(&mut self, node: NodeId, link: LinkId) {
        if let Some(links) = self.by_node.get_mut(&node) {
            links.remove(&link);
            if links.is_empty() {
                self.by_node.remove(&node);
            }
        }
    }
}
