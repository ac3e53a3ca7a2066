//! Picks free loopback ports for the processes of a fleet.
//!
//! A port is chosen before the process that will listen on it starts. Two fleets that run at the same
//! time must therefore choose from different ports, and the kernel must not assign the ports to outgoing
//! connections. So each laboratory process reserves a block of ports below the ephemeral range by locking
//! the block's file until the process exits.

use std::fs::{File, TryLockError};
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

use super::error::FleetError;

/// Ports to choose from: above those of well-known services, below the usual ephemeral range.
pub const CHOSEN_PORTS: Range<u16> = 15_000..32_000;

/// Number of ports in a block, more than the largest fleet needs.
pub const BLOCK_PORTS: u16 = 500;

/// Block reserved by this process; `None` until the first port is needed.
static OWN_BLOCK: Mutex<Option<PortBlock>> = Mutex::new(None);

/// A range of ports reserved for this process.
#[derive(Debug)]
struct PortBlock {
    /// Open file whose lock reserves the block; the kernel releases the lock when the process exits.
    _lock: File,
    ports: Range<u16>,
    /// Port to try next; going round the block reuses released ports as late as possible.
    next: u16,
}

impl PortBlock {
    /// Reserves the first block that no other process has locked.
    fn reserve() -> Result<Self, FleetError> {
        let folder = std::env::temp_dir().join("millford-lab-ports");
        std::fs::create_dir_all(&folder)
            .map_err(FleetError::io("creating the folder of port locks"))?;
        let starts = CHOSEN_PORTS.step_by(usize::from(BLOCK_PORTS));
        for start in starts {
            if let Some(lock) = try_lock(&folder.join(format!("block-{start}")))? {
                return Ok(Self {
                    _lock: lock,
                    ports: start..start + BLOCK_PORTS,
                    next: start,
                });
            }
        }
        Err(no_free_port())
    }

    /// Binds the next free port of the block.
    fn listen(&mut self) -> Result<TcpListener, FleetError> {
        for _ in self.ports.clone() {
            let port = self.next;
            self.next = if port + 1 == self.ports.end {
                self.ports.start
            } else {
                port + 1
            };
            if let Ok(listener) = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port))) {
                return Ok(listener);
            }
        }
        Err(no_free_port())
    }
}

/// Picks `count` free loopback addresses. All stay bound until the last is picked, so none is picked
/// twice.
///
/// # Errors
/// Every block is locked by another process, or every port of this process's block is in use.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, FleetError> {
    let mut own = OWN_BLOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let block = match own.take() {
        Some(block) => own.insert(block),
        None => own.insert(PortBlock::reserve()?),
    };
    let listeners: Result<Vec<_>, _> = (0..count).map(|_| block.listen()).collect();
    let listeners = listeners?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<Result<Vec<_>, _>>()
        .map_err(FleetError::io("reading a bound address"))
}

/// Locks the file at `path`; `None` when another process has locked it.
fn try_lock(path: &Path) -> Result<Option<File>, FleetError> {
    let file = File::create(path).map_err(FleetError::io("opening a port block's lock file"))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => {
            Err(FleetError::io("locking a port block's lock file")(error))
        }
    }
}

fn no_free_port() -> FleetError {
    FleetError::io("finding a free port")(std::io::ErrorKind::AddrInUse.into())
}
