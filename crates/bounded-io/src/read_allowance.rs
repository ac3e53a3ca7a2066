//! Bounds the bytes that a peer sends without completing anything.
//!
//! A library that parses a protocol consumes bytes that its user never sees: interim answers, chunk sizes, trailers. This
//! bound holds for all of them alike, since it counts what arrives on the connection and starts again whenever the user
//! receives something complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

#[derive(Debug)]
struct Counter {
    limit: usize,
    received: AtomicUsize,
    is_exceeded: AtomicBool,
}

/// Shared counter of one connection.
#[derive(Clone, Debug)]
pub struct ReadAllowance(Arc<Counter>);

impl ReadAllowance {
    /// Creates an allowance of `limit` bytes. One read may exceed it by the size of the reader's buffer.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Counter {
            limit,
            received: AtomicUsize::new(0),
            is_exceeded: AtomicBool::new(false),
        }))
    }

    /// Starts again, because a complete unit was received: a head, or bytes of a body.
    pub fn renew(&self) {
        self.0.received.store(0, Ordering::Relaxed);
    }

    /// Whether the connection has failed because the allowance was used up.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.0.is_exceeded.load(Ordering::Relaxed)
    }

    /// # Errors
    /// Fails when the allowance is used up.
    fn check(&self) -> io::Result<()> {
        if self.0.received.load(Ordering::Relaxed) < self.0.limit {
            return Ok(());
        }
        self.0.is_exceeded.store(true, Ordering::Relaxed);
        let text = "the peer sent too much without completing anything";
        Err(io::Error::new(io::ErrorKind::InvalidData, text))
    }

    fn record(&self, bytes: usize) {
        self.0.received.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A connection whose reads are counted. A read fails once the allowance is used up.
#[derive(Debug)]
pub struct AllowanceStream<S> {
    stream: S,
    allowance: ReadAllowance,
}

impl<S> AllowanceStream<S> {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: S, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for AllowanceStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.allowance.check()?;
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.allowance.record(buffer.filled().len() - before);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for AllowanceStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
