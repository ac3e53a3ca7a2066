//! Free loopback ports.
//!
//! A port is chosen before the process that will listen on it starts, so two fleets that run at the
//! same time must not choose from the same ports, and the system must not hand them out either.
//! Each laboratory process takes a block of ports below the ephemeral range for itself: it holds the
//! lock of the block's file for as long as it lives.

use std::fs::{File, TryLockError};
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

use super::error::FleetError;

/// Ports to choose from: above the well-known services, below the usual ephemeral range.
pub const CHOSEN_PORTS: Range<u16> = 15_000..32_000;

/// Ports of one block, more than the largest fleet needs.
pub const BLOCK_PORTS: u16 = 500;

/// The block of this process.
static OWN_BLOCK: Mutex<Option<PortBlock>> = Mutex::new(None);

/// Ports that no other laboratory process chooses from.
#[derive(Debug)]
struct PortBlock {
    /// Locked until the process ends.
    _lock: File,
    ports: Range<u16>,
    /// The port to try next. Released ports are reused as late as possible.
    next: u16,
}

impl PortBlock {
    /// The first block that nobody holds.
    fn take() -> Result<Self, FleetError> {
        let folder = std::env::temp_dir().join("millford-lab-ports");
        std::fs::create_dir_all(&folder).map_err(FleetError::io("making a folder"))?;
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
        Err(none_free())
    }

    /// Listens on the next free port of the block.
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
        Err(none_free())
    }
}

/// Picks `count` free loopback addresses. All are held until the last is known, so none is
/// picked twice.
///
/// # Errors
/// Every block is held by another process, or every port of the own block is taken.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, FleetError> {
    let mut own = OWN_BLOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let block = match own.take() {
        Some(block) => own.insert(block),
        None => own.insert(PortBlock::take()?),
    };
    let listeners: Result<Vec<_>, _> = (0..count).map(|_| block.listen()).collect();
    let listeners = listeners?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<Result<Vec<_>, _>>()
        .map_err(FleetError::io("reading a bound address"))
}

/// The locked file, or nothing when another process holds it.
fn try_lock(path: &Path) -> Result<Option<File>, FleetError> {
    let file = File::create(path).map_err(FleetError::io("opening a block's file"))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(FleetError::io("locking a block's file")(error)),
    }
}

fn none_free() -> FleetError {
    FleetError::io("finding a free port")(std::io::ErrorKind::AddrInUse.into())
}
