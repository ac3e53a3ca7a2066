//! This node's part in keeping where prompt parts were read: tells, asks and answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use millford_api::exchange::{
    BlockBackends, BlockLocation, BlockReply, BlockRequest, BlockUpdate, PeerMessage,
};
use millford_core::MonotonicTime;
use millford_core::time::monotonic_now;
use millford_routing::{CachedBlock, PrefixBlock, PromptDirectory};

use crate::owners::peer_link::Asked;
use crate::owners::{Answer, ByOwner, OwnerRing, PeerLink, Pending};

/// Most holders of a part that an owner names: those that used it last. More are of no use to one choice.
pub const MOST_HOLDERS: usize = 8;

/// The backends that keep each of some parts, as far as this node knows.
pub type BackendsByBlock = BTreeMap<u64, Vec<String>>;

/// Tells the parts' owners which places this node used.
pub fn tell(link: &PeerLink, ring: &OwnerRing, locations: Vec<CachedBlock>) {
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
    for told in updates {
        let mut datagram = link.datagram();
        datagram.block_update = Some(BlockUpdate {
            locations: told.items,
        });
        link.send(told.address, &datagram);
    }
}

/// Asks the owners who keeps these parts, among some backends or all. What this node knows itself is
/// noted at once.
pub fn ask(
    link: &PeerLink,
    ring: &OwnerRing,
    directory: &PromptDirectory,
    blocks: &[PrefixBlock],
    among: &[&str],
    known: &mut BackendsByBlock,
) -> Pending {
    let now = monotonic_now();
    take_own(directory, blocks, among, known);
    let mut wanted = ByOwner::default();
    for block in blocks {
        if let Asked::Peer(owner) = link.asked(now, &ring.owners_of_block(block.id)) {
            wanted.add(owner, block.id);
        }
    }
    link.send_questions(wanted, |id, blocks, datagram| {
        let among = among.iter().map(|id| (*id).to_owned()).collect();
        datagram.block_request = Some(BlockRequest { id, blocks, among });
    })
}

/// Adds what this node knows itself to what is known.
pub fn take_own(
    directory: &PromptDirectory,
    blocks: &[PrefixBlock],
    among: &[&str],
    known: &mut BackendsByBlock,
) {
    let now = monotonic_now();
    for block in blocks {
        let holders = directory.newest_holders(now, block.id, among, MOST_HOLDERS);
        merge(known, block.id, holders);
    }
}

/// Adds what owners answered to what is known.
pub fn take_answers(known: &mut BackendsByBlock, answers: Vec<Answer>) {
    for answer in answers {
        let Answer::Holders(blocks) = answer else {
            continue;
        };
        for holders in blocks {
            merge(known, holders.block, holders.backend_ids);
        }
    }
}

/// Takes a datagram about parts. False: it is about something else.
pub fn receive(
    link: &PeerLink,
    directory: &PromptDirectory,
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
            directory.told(now, &location);
        }
        return true;
    }
    if let Some(request) = &datagram.block_request {
        let mut answer = link.datagram();
        answer.block_reply = Some(answer_to(now, directory, request));
        link.send(from, &answer);
        return true;
    }
    let Some(answer) = &datagram.block_reply else {
        return false;
    };
    link.answered(now, answer.id, Answer::Holders(answer.blocks.clone()));
    true
}

fn answer_to(
    now: MonotonicTime,
    directory: &PromptDirectory,
    request: &BlockRequest,
) -> BlockReply {
    let among: Vec<&str> = request.among.iter().map(String::as_str).collect();
    let blocks = request.blocks.iter().map(|block| BlockBackends {
        block: *block,
        backend_ids: directory.newest_holders(now, *block, &among, MOST_HOLDERS),
    });
    BlockReply {
        id: request.id,
        blocks: blocks.collect(),
    }
}

fn merge(known: &mut BackendsByBlock, block: u64, backend_ids: Vec<String>) {
    let holders = known.entry(block).or_default();
    for id in backend_ids {
        if !holders.contains(&id) {
            holders.push(id);
        }
    }
}
