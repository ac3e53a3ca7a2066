//! Connections between control nodes, and the hello exchange on them.

use std::collections::BTreeSet;

use millford_api::internal::{Hello, HelloReply, frame};
use millford_api::state::ControlMember;
use millford_core::{MonotonicTime, NodeId};
use millford_membership::SeedResponse;

use super::Gateway;
use crate::gateway::dialer::DialAction;
use crate::link::LinkId;
use crate::node_output::NodeOutput;

impl Gateway {
    /// Opens and closes connections, and sends the hellos that are due.
    pub(super) fn tick_dialer(&mut self, now: MonotonicTime) {
        let desired = self.desired_addresses();
        for action in self.dialer.tick(now, &desired) {
            match action {
                DialAction::Connect(link, address) => {
                    self.outbox.emit(NodeOutput::Connect { link, address });
                }
                DialAction::SendHello(link) => self.send_hello(link),
                DialAction::Close(link) => self.close_outgoing(link),
            }
        }
    }

    /// Sends a hello with this node's entry and the list of known control nodes.
    pub(super) fn send_hello(&mut self, link: LinkId) {
        let hello = Hello {
            sender: Some(self.own_member()),
            cluster_id: self.store.file().cluster_id,
            known: self.directory.to_vec(),
            leaving: self.leaving_members.contains(&self.store.identity()),
        };
        self.outbox.send(link, frame::Body::Hello(hello));
    }

    /// Handles the hello of another control node.
    pub(super) fn handle_hello(&mut self, link: LinkId, hello: &Hello) {
        let Some(sender) = &hello.sender else {
            return;
        };
        let identity = NodeId(sender.node_id);
        self.links.set_control(link, identity);
        self.learn_from(sender, hello.cluster_id, &hello.known);
        if hello.leaving {
            self.leaving_members.insert(identity);
        } else {
            self.leaving_members.remove(&identity);
        }
        let unformed_founder = hello.cluster_id == 0 && self.store.is_founder(identity);
        if self.store.is_formed() && unformed_founder {
            // The node missed the formation. Its disk never held a vote, so it may still join as a
            // founder.
            let form = self.form_cluster_frame();
            self.outbox.send(link, form);
            return;
        }
        let reply = self.hello_reply(identity, hello.cluster_id);
        self.outbox.send(link, reply);
    }

    /// Handles the reply to this node's hello.
    pub(super) fn handle_hello_reply(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        reply: &HelloReply,
    ) {
        let Some(sender) = &reply.sender else {
            return;
        };
        let identity = NodeId(sender.node_id);
        self.links.set_control(link, identity);
        let address = self.dialer.answered(now, link, identity);
        self.learn_from(sender, reply.cluster_id, &reply.known);
        if let (Some(formation), Some(address)) = (&mut self.formation, address) {
            let answer = SeedResponse {
                member: sender.clone(),
                cluster_id: reply.cluster_id,
            };
            formation.record_response(now, &address, answer);
        }
        // A node without replicas may itself have only just joined; only the reply of a node that
        // holds replicas is proof of the cluster. Such a reply has a non-zero `data_shards`.
        if !self.store.is_formed() && reply.cluster_id != 0 && reply.data_shards != 0 {
            self.join(now, reply);
        }
        let same_cluster = reply.cluster_id == self.store.file().cluster_id;
        if reply.removed && same_cluster && self.store.is_formed() {
            self.begin_decommission(now);
        }
    }

    fn learn_from(&mut self, sender: &ControlMember, cluster_id: u64, known: &[ControlMember]) {
        let foreign =
            cluster_id != 0 && self.store.is_formed() && cluster_id != self.store.file().cluster_id;
        if foreign {
            return;
        }
        let mut changed = self.directory.introduce(sender);
        for member in known {
            if self.is_other(member) {
                changed |= self.directory.add_reported(member);
            }
        }
        if changed {
            self.persist_directory();
        }
    }

    /// Stores the known control nodes if they changed.
    pub(super) fn persist_directory(&mut self) {
        let members = self.directory.to_vec();
        if !self.store.is_formed() || members == self.store.file().members {
            return;
        }
        let saved = self.store.set_members(members);
        self.require_saved(&saved);
    }

    /// Whether the member is another machine, with neither this node's identity nor its address.
    pub(super) fn is_other(&self, member: &ControlMember) -> bool {
        let own_address = member.internal_address == self.options.internal_address;
        member.node_id != self.store.file().node_id && !own_address
    }

    fn desired_addresses(&self) -> BTreeSet<String> {
        let known = self.directory.iter();
        let mut desired: BTreeSet<String> = known
            .map(|member| member.internal_address.clone())
            .collect();
        desired.extend(self.options.seeds.iter().cloned());
        desired.extend(self.seeds.iter().cloned());
        desired.remove(&self.options.internal_address);
        desired
    }

    fn close_outgoing(&mut self, link: LinkId) {
        self.links.close(link);
        self.outbox.emit(NodeOutput::Close { link });
    }

    fn hello_reply(&self, requester: NodeId, requester_cluster: u64) -> frame::Body {
        let holds_state = !self.replicas.is_empty();
        let same_cluster = requester_cluster == self.store.file().cluster_id;
        frame::Body::HelloReply(HelloReply {
            sender: Some(self.own_member()),
            cluster_id: self.store.file().cluster_id,
            known: self.directory.to_vec(),
            data_shards: if holds_state {
                self.store.file().data_shards
            } else {
                0
            },
            removed: same_cluster && self.directory.is_removed(requester),
        })
    }
}
