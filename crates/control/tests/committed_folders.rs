//! Compatibility of the storage format: data folders written by the code of commit b3d3e00 are read
//! and reproduced by the current code.
//!
//! `data/folders` holds the folders of the three nodes of [`write_folders`], as the code of b3d3e00
//! wrote them: the node's own file, and for each shard the hard state, the log's segments and, on
//! `node-1`, a snapshot. `data/folders.txt` lists what that code read from them. Neither may be
//! regenerated, because an installed node must be able to start from the data of an earlier release.

#[path = "../../api/tests/support/committed.rs"]
mod committed;
mod support;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use committed::assert_committed;
use millford_api::command::{
    Claim, Command, CommandResult, ResolveClaim, RunOutcome, command, command_result,
};
use millford_api::internal::shard_reply;
use millford_api::replication::log_entry::Payload;
use millford_api::state::ControlMember;
use millford_control::gateway::node_file::NodeFile;
use millford_control::node::{NODE_FOLDER, shard_folder};
use millford_control::{
    ControlNode, ControlOptions, NodeInput, OperatorRequest, RegistryEntry, RegistryView,
};
use millford_control_state::ShardMachine;
use millford_core::{MonotonicTime, ResultCode, ShardId, ShardLayout, session_key, tenant_key};
use millford_registry::RegistryDeclaration;
use millford_storage::{Disk, FileDisk, ReplicaStorage, SnapshotMeta, StorageOptions};
use prost::Message;
use support::memory_disk::MemoryMachine;
use support::orders::{accept, cluster_with_leaders, document, revision};
use support::{Cluster, TestAgent};

const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data");
const NODES: [&str; 3] = ["node-1", "node-2", "node-3"];
const SHARDS: [ShardId; 3] = [ShardId(0), ShardId(1), ShardId(2)];

/// The shard whose log is compacted into a snapshot on `node-1`.
const COMPACTED: ShardId = ShardId::CONFIGURATION;

/// Entries covered by that snapshot that the log retains.
const RETAINED_ENTRIES: u64 = 2;

/// Tenant, request id and attempt id of the run whose claim the folders contain.
const RUN: (&str, &str, &str) = ("a", "request-1", "attempt-1");

/// Writes the folders: three nodes form a cluster, accept two configurations, read a registry,
/// drain a backend, open a session, resolve a claim, and are stopped.
fn write_folders() -> Cluster {
    let mut cluster = cluster_with_leaders(3, 24);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    accept(&mut cluster, "node-2", 1, "two", document(&["a", "b"]));
    let registry = Arc::new(RegistryView {
        backends: vec![entry("m1"), entry("m2")],
        ..RegistryView::default()
    });
    for address in NODES {
        cluster.input(address, NodeInput::Registry(registry.clone()));
    }
    cluster.run(Duration::from_millis(200));
    let drain = cluster.request(
        "node-3",
        OperatorRequest::Drain {
            pool: "pool".to_owned(),
            backend_id: "m1".to_owned(),
            drain: true,
        },
    );
    cluster.answer(drain);
    let mut agent = TestAgent::connect(&mut cluster, "agent-1", "node-1", ShardId::CONFIGURATION);
    agent.open_session(&mut cluster, 7);
    assert_eq!(claim(&mut cluster, &mut agent, RUN.2), (true, 0));
    let resolve = ResolveClaim {
        tenant: RUN.0.to_owned(),
        request_id: RUN.1.to_owned(),
        attempt_id: RUN.2.to_owned(),
        outcome: RunOutcome::RunCompleted as i32,
    };
    agent.propose(
        &mut cluster,
        claims_shard(),
        command::Kind::ResolveClaim(resolve),
    );
    assert_eq!(agent.reply(&mut cluster).code, ResultCode::Ok.number());
    cluster.run(Duration::from_secs(1));
    for address in NODES {
        cluster.kill(address);
    }
    compact(&cluster.machines["node-1"].disk);
    cluster
}

fn entry(id: &str) -> RegistryEntry {
    RegistryEntry {
        id: id.to_owned(),
        address: format!("{id}:1"),
        cores: 8,
        bandwidth_gbps: 100.0,
        state: "active".to_owned(),
        declarations: vec![RegistryDeclaration {
            model: "saga".to_owned(),
            version: "1".to_owned(),
            ..RegistryDeclaration::default()
        }],
        ..RegistryEntry::default()
    }
}

fn claims_shard() -> ShardId {
    ShardLayout::new(2).shard_of(&tenant_key(RUN.0))
}

/// Claims the run for an attempt. Returns whether the claim is granted, and the outcome of the
/// earlier attempt.
fn claim(cluster: &mut Cluster, agent: &mut TestAgent, attempt: &str) -> (bool, i32) {
    let claim = Claim {
        tenant: RUN.0.to_owned(),
        request_id: RUN.1.to_owned(),
        attempt_id: attempt.to_owned(),
        digest: vec![1, 2, 3],
    };
    agent.propose(cluster, claims_shard(), command::Kind::Claim(claim));
    let reply = agent.reply(cluster);
    match reply.kind {
        Some(shard_reply::Kind::Result(CommandResult {
            kind: Some(command_result::Kind::Claim(result)),
            ..
        })) => (result.granted, result.outcome),
        other => panic!("unexpected reply to a claim: {other:?}"),
    }
}

/// Saves a snapshot of the shard's whole log and compacts the log, as a replica does after
/// `SNAPSHOT_ENTRIES` (512) entries.
fn compact(machine: &MemoryMachine) {
    let options = StorageOptions {
        retained_entries: RETAINED_ENTRIES,
        ..StorageOptions::default()
    };
    let disk = machine.folder(&shard_folder(COMPACTED));
    let mut storage = ReplicaStorage::open(disk, options).expect("the storage opens");
    let mut state = ShardMachine::new(COMPACTED);
    let mut meta = SnapshotMeta::default();
    for entry in storage.entries(1, storage.last_index(), usize::MAX) {
        meta.index = entry.index;
        meta.term = entry.term;
        match &entry.payload {
            Some(Payload::Command(bytes)) => {
                let command = Command::decode(bytes.as_slice()).expect("a command");
                state.apply(entry.index, entry.term, &command);
            }
            Some(Payload::Voters(voters)) => {
                meta.voters = voters.clone();
                state.skip(entry.index, entry.term);
            }
            Some(Payload::Empty(_)) | None => state.skip(entry.index, entry.term),
        }
    }
    storage
        .save_snapshot(meta, state.snapshot())
        .expect("the snapshot is saved");
}

/// Names of the data folders of a node.
fn folder_names() -> Vec<String> {
    let shards = SHARDS.into_iter().map(shard_folder);
    std::iter::once(NODE_FOLDER.to_owned())
        .chain(shards)
        .collect()
}

/// Contents of the files on a disk, by name.
fn files(disk: &dyn Disk) -> BTreeMap<String, Vec<u8>> {
    let names = disk.list().expect("the folder is listed");
    let read = |name: &String| {
        disk.read(name)
            .expect("the file is read")
            .expect("the file exists")
    };
    names
        .iter()
        .map(|name| (name.clone(), read(name)))
        .collect()
}

fn committed_folder(address: &str, folder: &str) -> PathBuf {
    Path::new(DATA).join("folders").join(address).join(folder)
}

fn committed_files(address: &str, folder: &str) -> BTreeMap<String, Vec<u8>> {
    let path = committed_folder(address, folder);
    let listed = std::fs::read_dir(&path).expect("the committed folder");
    listed
        .map(|file| {
            let file = file.expect("a file");
            let name = file.file_name().into_string().expect("a plain name");
            (name, std::fs::read(file.path()).expect("the file is read"))
        })
        .collect()
}

/// Copies the committed folders of a node, because opening a disk may write to it.
fn copy(address: &str) -> tempfile::TempDir {
    let copied = tempfile::tempdir().expect("a folder");
    for folder in folder_names() {
        let to = copied.path().join(&folder);
        std::fs::create_dir(&to).expect("the folder is created");
        for (name, bytes) in committed_files(address, &folder) {
            std::fs::write(to.join(name), bytes).expect("a file is copied");
        }
    }
    copied
}

fn open_disk(root: &Path, folder: &str) -> Box<dyn Disk> {
    Box::new(FileDisk::open(root.join(folder)).expect("the folder opens"))
}

#[test]
fn the_same_inputs_write_files_equal_to_the_committed_ones() {
    let cluster = write_folders();
    for address in NODES {
        for folder in folder_names() {
            let written = files(cluster.machines[address].disk.folder(&folder).as_ref());
            if std::env::var_os("MILLFORD_WRITE_COMMITTED").is_some_and(|value| value == "1") {
                let path = committed_folder(address, &folder);
                std::fs::create_dir_all(&path).expect("the folder is created");
                for (name, bytes) in &written {
                    std::fs::write(path.join(name), bytes).expect("a file is written");
                }
            }
            let committed = committed_files(address, &folder);
            let names =
                |files: &BTreeMap<String, Vec<u8>>| files.keys().cloned().collect::<Vec<_>>();
            assert_eq!(names(&written), names(&committed), "{address} {folder}");
            for (name, bytes) in committed {
                assert_eq!(written[&name], bytes, "{address} {folder}/{name}");
            }
        }
    }
}

#[test]
fn the_committed_files_are_read_as_by_the_earlier_release() {
    let mut lines = String::new();
    for address in NODES {
        let copied = copy(address);
        let node = open_disk(copied.path(), NODE_FOLDER);
        let file = NodeFile::load(node.as_ref()).expect("the node's file is read");
        describe_node(&mut lines, address, &file.expect("the node's file"));
        for shard in SHARDS {
            let disk = open_disk(copied.path(), &shard_folder(shard));
            let storage =
                ReplicaStorage::open(disk, StorageOptions::default()).expect("the storage opens");
            describe_shard(&mut lines, address, shard, &storage);
        }
    }
    assert_committed(&format!("{DATA}/folders.txt"), &lines);
}

fn describe_node(lines: &mut String, address: &str, file: &NodeFile) {
    let members = |members: &[ControlMember]| {
        let texts = members.iter().map(|member| {
            format!(
                "{}@{}@{}@{}",
                member.node_id, member.internal_address, member.operator_address, member.zone
            )
        });
        texts.collect::<Vec<String>>().join(" ")
    };
    let fields = [
        format!("node_id {}", file.node_id),
        format!("cluster_id {}", file.cluster_id),
        format!("data_shards {}", file.data_shards),
        format!("members {}", members(&file.members)),
        format!("founders {}", members(&file.founders)),
        format!("removed {:?}", file.removed),
        format!("shards {:?}", file.shards),
    ];
    for field in fields {
        writeln!(lines, "{address} {field}").expect("writing to a string");
    }
}

fn describe_shard(lines: &mut String, address: &str, shard: ShardId, storage: &ReplicaStorage) {
    let hard_state = storage.hard_state().expect("a hard state");
    let mut fields = vec![
        format!("term {}", hard_state.term),
        format!("voted_for {}", hard_state.voted_for),
        format!("node {}", hard_state.node),
        format!("first_index {}", storage.first_index()),
        format!("last_index {}", storage.last_index()),
    ];
    for entry in storage.entries(storage.first_index(), storage.last_index(), usize::MAX) {
        let payload = match entry.payload.expect("a payload") {
            Payload::Empty(_) => "empty".to_owned(),
            Payload::Command(bytes) => format!("command {}", hex::encode(bytes)),
            Payload::Voters(voters) => format!("voters {:?} {:?}", voters.voters, voters.learners),
        };
        fields.push(format!("entry {} {} {payload}", entry.index, entry.term));
    }
    if let Some(snapshot) = storage.snapshot() {
        let meta = &snapshot.meta;
        fields.push(format!(
            "snapshot {} {} voters {:?} {:?} {}",
            meta.index,
            meta.term,
            meta.voters.voters,
            meta.voters.learners,
            hex::encode(&snapshot.data)
        ));
    }
    for field in fields {
        writeln!(lines, "{address} shard-{} {field}", shard.0).expect("writing to a string");
    }
}

#[test]
fn a_node_opens_on_a_committed_folder_under_its_identity_and_terms() {
    for address in NODES {
        let copied = copy(address);
        let root = copied.path().to_owned();
        let options = ControlOptions {
            zone: "zone".to_owned(),
            internal_address: address.to_owned(),
            operator_address: format!("{address}-operator"),
            seeds: NODES.map(str::to_owned).to_vec(),
            data_shards: 2,
            voters_per_shard: 3,
            replace_after: Duration::from_secs(5),
            seed: 1,
        };
        let now = MonotonicTime::from_millis(1000);
        let opened = ControlNode::open(options, move |name| open_disk(&root, name), now);
        let node = opened.expect("the node opens");
        let disk = open_disk(copied.path(), NODE_FOLDER);
        let file = NodeFile::load(disk.as_ref()).expect("the node's file is read");
        let file = file.expect("the node's file");
        assert_eq!(node.identity().0, file.node_id);
        assert_eq!(node.gateway().cluster_id(), file.cluster_id);
        for shard in SHARDS {
            let core = node.core(shard).expect("the shard's replica");
            let disk = open_disk(copied.path(), &shard_folder(shard));
            let storage =
                ReplicaStorage::open(disk, StorageOptions::default()).expect("the storage opens");
            let hard_state = storage.hard_state().expect("a hard state");
            assert_eq!(core.status().term, hard_state.term, "{address} {shard}");
            assert_eq!(core.status().voters.len(), 3, "{address} {shard}");
        }
    }
}

#[test]
fn a_cluster_started_on_the_committed_folders_serves_their_state() {
    let mut cluster = Cluster::empty(NODES.map(str::to_owned).to_vec(), 25);
    for address in NODES {
        cluster.boot(address);
        cluster.kill(address);
        let machine = &cluster.machines[address].disk;
        machine.wipe();
        for folder in folder_names() {
            let mut disk = machine.folder(&folder);
            for (name, bytes) in committed_files(address, &folder) {
                disk.replace(&name, &bytes).expect("a file is written");
            }
        }
    }
    cluster.node_events.clear();
    for address in NODES {
        cluster.boot(address);
    }
    cluster.run_until(Duration::from_secs(8), "leaders", Cluster::has_leaders);
    cluster.run(Duration::from_secs(1));
    for address in NODES {
        assert_eq!(revision(&mut cluster, address), 2, "{address}");
    }
    let session = ShardLayout::new(2).shard_of(&session_key("agent-1"));
    let leader = cluster.leader(session).expect("a leader");
    let core = cluster
        .node(&leader)
        .core(session)
        .expect("the leader's core");
    let opened = core.machine().session("agent-1").expect("the session");
    assert_eq!((opened.boot_id, opened.zone.as_str()), (7, "zone"));
    let mut agent = TestAgent::connect(&mut cluster, "agent-2", "node-1", ShardId::CONFIGURATION);
    let again = claim(&mut cluster, &mut agent, "attempt-2");
    assert_eq!(again, (false, RunOutcome::RunCompleted as i32));
}
