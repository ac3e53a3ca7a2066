//! Signals of a daemon: the end of the process, and changed settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM or SIGINT: to end gracefully.
    Terminate,
    /// SIGHUP: the settings have changed.
    HangUp,
}

/// Receives the signals of the process. Without it, each of them ends the process at once.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl ProcessSignals {
    /// Installs the handlers. A daemon does so before any work that may take time, such as reading its disk.
    ///
    /// # Errors
    /// The operating system refuses a handler.
    ///
    /// # Panics
    /// Outside a runtime with I/O enabled.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. Signals of one kind that arrive together count once.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Terminate,
            _ = self.interrupt.recv() => ProcessSignal::Terminate,
            _ = self.hang_up.recv() => ProcessSignal::HangUp,
        }
    }
}
