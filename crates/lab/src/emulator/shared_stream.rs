//! TCP connection that can send bytes which belong to no response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Stray bytes: a complete response to no request.
const STRAY_BYTES: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";

/// Shared switch that makes a connection send stray bytes after its buffered bytes.
#[derive(Clone, Debug, Default)]
pub struct StraySwitch(Arc<AtomicBool>);

impl StraySwitch {
    /// Makes the connection send the stray bytes once, at its next flush or shutdown.
    pub fn arm(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn take(&self) -> bool {
        self.0.swap(false, Ordering::AcqRel)
    }
}

/// A TCP connection with a [`StraySwitch`].
#[derive(Debug)]
pub struct SharedStream {
    stream: TcpStream,
    stray: StraySwitch,
}

impl SharedStream {
    /// Wraps `stream`, which `stray` then controls.
    #[must_use]
    pub fn new(stream: TcpStream, stray: StraySwitch) -> Self {
        Self { stream, stray }
    }

    /// Sends the stray bytes if the switch is armed. The server flushes only after it has written its whole
    /// buffer, so they follow the response.
    fn send_stray(&self) {
        if self.stray.take() {
            let _ = self.stream.try_write(STRAY_BYTES);
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.send_stray();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.send_stray();
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
