//! The locations of prefix blocks: the backends that have each block cached. A block's owners collect them, and
//! nodes query the owners before each choice.
//!
//! This node publishes which blocks it sent to which backends, queries the owners, and replies as an owner.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use millford_api::exchange::{
    BlockBackends, BlockLocation, BlockReply, BlockRequest, BlockUpdate, PeerMessage,
};
use millford_core::MonotonicTime;
use millford_core::time::monotonic_now;
use millford_routing::{CachedBlock, PrefixBlock, PrefixIndex};

use crate::owners::{ByOwner, InFlightRequests, OwnerReply, OwnerRing, OwnerRoute, PeerLink};

/// Most backends that an owner returns for a block: those that used it most recently. More
/// would not improve a choice.
pub const MAX_BACKENDS_PER_BLOCK: usize = 8;

/// Ids of the backends that are known to have a block cached, by block id.
pub type BackendsByBlock = BTreeMap<u64, Vec<String>>;

/// Publishes to the blocks' owners the backends that this node sent the blocks to.
pub fn publish(link: &PeerLink, ring: &OwnerRing, locations: Vec<CachedBlock>) {
    let mut updates = ByOwner::default();
    for location in locations {
        for owner in ring.owners_of_block(location.block) {
            if owner.name == link.member() {
                continue;
            }
            let location = BlockLocation {
                block: location.block,
                backend_id: location.backend_id.clone(),
                tokens: location.tokens,
            };
            updates.add(owner, location);
        }
    }
    for update in updates {
        let mut datagram = link.datagram();
        datagram.block_update = Some(BlockUpdate {
            locations: update.items,
        });
        link.send(update.address, &datagram);
    }
}

/// Queries the owners which backends have these blocks cached: among the backend ids in `among`, or all if it is
/// empty. The locations that this node holds itself are added to `known` at once.
pub fn query(
    link: &PeerLink,
    ring: &OwnerRing,
    prefix_index: &PrefixIndex,
    blocks: &[PrefixBlock],
    among: &[&str],
    known: &mut BackendsByBlock,
) -> InFlightRequests {
    let now = monotonic_now();
    merge_local(prefix_index, blocks, among, known);
    let mut by_owner = ByOwner::default();
    for block in blocks {
        if let OwnerRoute::Remote(owner) = link.route_of(now, &ring.owners_of_block(block.id)) {
            by_owner.add(owner, block.id);
        }
    }
    link.send_requests(by_owner, |id, blocks, datagram| {
        let among = among.iter().map(|id| (*id).to_owned()).collect();
        datagram.block_request = Some(BlockRequest { id, blocks, among });
    })
}

/// Adds the locations that this node holds itself to `known`.
pub fn merge_local(
    prefix_index: &PrefixIndex,
    blocks: &[PrefixBlock],
    among: &[&str],
    known: &mut BackendsByBlock,
) {
    let now = monotonic_now();
    for block in blocks {
        let found = prefix_index.most_recent_backends(now, block.id, among, MAX_BACKENDS_PER_BLOCK);
        merge(known, block.id, found);
    }
}

/// Adds the locations that owners replied to `known`.
pub fn merge_replies(known: &mut BackendsByBlock, replies: Vec<OwnerReply>) {
    for reply in replies {
        let OwnerReply::Blocks(blocks) = reply else {
            continue;
        };
        for found in blocks {
            merge(known, found.block, found.backend_ids);
        }
    }
}

/// Handles a datagram that contains a block update, request or reply. Returns `false` if it contains none.
pub fn receive(
    link: &PeerLink,
    prefix_index: &PrefixIndex,
    from: SocketAddr,
    datagram: &PeerMessage,
) -> bool {
    let now = monotonic_now();
    if let Some(update) = &datagram.block_update {
        for location in &update.locations {
            let location = CachedBlock {
                block: location.block,
                backend_id: location.backend_id.clone(),
                tokens: location.tokens,
            };
            prefix_index.record_remote_use(now, &location);
        }
        return true;
    }
    if let Some(request) = &datagram.block_request {
        let mut reply = link.datagram();
        reply.block_reply = Some(reply_to(now, prefix_index, request));
        link.send(from, &reply);
        return true;
    }
    let Some(reply) = &datagram.block_reply else {
        return false;
    };
    link.complete(now, reply.id, OwnerReply::Blocks(reply.blocks.clone()));
    true
}

fn reply_to(now: MonotonicTime, prefix_index: &PrefixIndex, request: &BlockRequest) -> BlockReply {
    let among: Vec<&str> = request.among.iter().map(String::as_str).collect();
    let blocks = request.blocks.iter().map(|block| BlockBackends {
        block: *block,
        backend_ids: prefix_index.most_recent_backends(now, *block, &among, MAX_BACKENDS_PER_BLOCK),
    });
    BlockReply {
        id: request.id,
        blocks: blocks.collect(),
    }
}

fn merge(known: &mut BackendsByBlock, block: u64, backend_ids: Vec<String>) {
    let found = known.entry(block).or_default();
    for id in backend_ids {
        if !found.contains(&id) {
            found.push(id);
        }
    }
}
