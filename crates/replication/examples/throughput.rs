//! Measures the throughput of one group of three replicas on real files, in entries and fsyncs per
//! second, for several numbers of proposals in flight.
//!
//! `cargo run --release -p millford-replication --example throughput -- [DIRECTORY] [SECONDS]`
//!
//! Each replica runs on its own thread, as in the daemon; messages go through channels.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use millford_api::replication::{ReplicationMessage, VoterSet, log_entry::Payload};
use millford_core::{NodeId, ShardId, time::monotonic_now};
use millford_replication::{Ready, Replica, ReplicaOptions, Role, TICK};
use millford_storage::{Disk, FileDisk, ReplicaStorage, StorageError, StorageOptions};

const NODES: u64 = 3;
const COMMAND_BYTES: usize = 200;
/// Limits on the leader's proposals in flight, one for each run.
const IN_FLIGHT: [u64; 5] = [1, 4, 16, 64, 256];
/// Applied entries after which a replica saves a snapshot.
const SNAPSHOT_EVERY: u64 = 10_000;

/// A file disk that counts its syncs.
struct CountingDisk {
    disk: FileDisk,
    syncs: Arc<AtomicU64>,
}

impl Disk for CountingDisk {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        self.disk.list()
    }
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        self.disk.read(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        self.disk.append(name, bytes)
    }
    fn sync(&mut self, name: &str) -> Result<(), StorageError> {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        self.disk.sync(name)
    }
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        self.disk.replace(name, bytes)
    }
    fn truncate(&mut self, name: &str, len: u64) -> Result<(), StorageError> {
        self.disk.truncate(name, len)
    }
    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.disk.remove(name)
    }
}

/// One replica and the state of its thread.
struct Worker {
    replica: Replica,
    inbox: Receiver<ReplicationMessage>,
    /// Channels to all replicas; the one to node N has index N - 1.
    peers: Vec<Sender<ReplicationMessage>>,
    /// Most proposals in flight.
    limit: u64,
    /// Start of each proposal in flight, oldest first.
    proposed: std::collections::VecDeque<Instant>,
    latencies: Vec<Duration>,
    applied_since_snapshot: u64,
}

impl Worker {
    fn run(mut self, stop: &AtomicBool) -> Vec<Duration> {
        let mut next_tick = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            self.receive(next_tick);
            if Instant::now() >= next_tick {
                self.replica.tick(monotonic_now());
                next_tick = Instant::now() + TICK;
            }
            self.propose();
            let ready = self.replica.flush(monotonic_now()).expect("the disk works");
            self.handle(ready);
        }
        self.latencies
    }

    fn receive(&mut self, until: Instant) {
        let wait = until.saturating_duration_since(Instant::now());
        match self.inbox.recv_timeout(wait) {
            Ok(message) => self.replica.step(monotonic_now(), message),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        }
        while let Ok(message) = self.inbox.try_recv() {
            self.replica.step(monotonic_now(), message);
        }
    }

    fn propose(&mut self) {
        let leads = self.replica.status().role == Role::Leader;
        while leads && (self.proposed.len() as u64) < self.limit {
            if self.replica.propose(vec![7; COMMAND_BYTES]).is_err() {
                return;
            }
            self.proposed.push_back(Instant::now());
        }
    }

    fn handle(&mut self, ready: Ready) {
        for message in ready.messages {
            let target = usize::try_from(message.to - 1).expect("small");
            // Fails if the receiving replica has stopped already; the message is lost then.
            let _ = self.peers[target].send(message);
        }
        for entry in &ready.committed {
            self.applied_since_snapshot += 1;
            if matches!(entry.payload, Some(Payload::Command(_))) {
                self.finish_proposal();
            }
        }
        if let Some(last) = ready.committed.last()
            && self.applied_since_snapshot >= SNAPSHOT_EVERY
        {
            self.replica
                .save_snapshot(last.index, vec![1; 1000])
                .expect("saved");
            self.applied_since_snapshot = 0;
        }
    }

    fn finish_proposal(&mut self) {
        if let Some(start) = self.proposed.pop_front() {
            self.latencies.push(start.elapsed());
        }
    }
}

fn open(directory: &Path, node: u64, syncs: &Arc<AtomicU64>) -> Replica {
    let disk = CountingDisk {
        disk: FileDisk::open(directory.join(node.to_string())).expect("directory"),
        syncs: Arc::clone(syncs),
    };
    let storage = ReplicaStorage::open(Box::new(disk), StorageOptions::default()).expect("opens");
    let voters = VoterSet {
        voters: (1..=NODES).collect(),
        learners: Vec::new(),
    };
    let options = ReplicaOptions::new(NodeId(node), ShardId(0), node).with_initial_voters(voters);
    Replica::open(options, storage, monotonic_now()).expect("opens")
}

fn measure(directory: &Path, limit: u64, seconds: u64) {
    let syncs = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let (senders, inboxes): (Vec<_>, Vec<_>) = (0..NODES).map(|_| channel()).unzip();
    let mut threads = Vec::new();
    for (node, inbox) in (1..=NODES).zip(inboxes) {
        let worker = Worker {
            replica: open(directory, node, &syncs),
            inbox,
            peers: senders.clone(),
            limit,
            proposed: std::collections::VecDeque::new(),
            latencies: Vec::new(),
            applied_since_snapshot: 0,
        };
        let stop = Arc::clone(&stop);
        threads.push(std::thread::spawn(move || worker.run(&stop)));
    }
    std::thread::sleep(Duration::from_secs(seconds));
    stop.store(true, Ordering::Relaxed);
    let finished = threads
        .into_iter()
        .map(|thread| thread.join().expect("thread"));
    let mut latencies: Vec<Duration> = finished.flatten().collect();
    latencies.sort_unstable();
    print_line(limit, seconds, &latencies, syncs.load(Ordering::Relaxed));
}

fn print_line(limit: u64, seconds: u64, latencies: &[Duration], syncs: u64) {
    let entries = latencies.len() as u64;
    let percentile = |percent: usize| {
        let rank = (latencies.len() * percent / 100).min(latencies.len().saturating_sub(1));
        latencies.get(rank).copied().unwrap_or_default()
    };
    println!(
        "{limit:>4} in flight: {:>6} entries/s, {:>5} fsyncs/s over {NODES} replicas, \
         {:>6.1} entries per fsync and replica, p50 {:?}, p99 {:?}",
        entries / seconds,
        syncs / seconds,
        (entries * NODES) as f64 / syncs.max(1) as f64,
        percentile(50),
        percentile(99),
    );
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let directory = arguments
        .next()
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let seconds = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(5);
    for limit in IN_FLIGHT {
        let run = tempfile::tempdir_in(&directory).expect("directory");
        measure(run.path(), limit, seconds);
    }
}
