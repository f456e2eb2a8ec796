//! Stream that records whether the bytes passed to it were written.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whether all bytes of a request were written; shared with the stream.
pub(super) type Written = Arc<AtomicBool>;

/// Stream that records whether a flush has succeeded since the last write. hyper flushes a stream once
/// it has written all that it has buffered, which for a request is its head and its body.
#[derive(Debug)]
pub(super) struct TrackedStream<S> {
    stream: S,
    written: Written,
}

impl<S> TrackedStream<S> {
    pub(super) fn new(stream: S) -> Self {
        Self {
            stream,
            written: Arc::new(AtomicBool::new(true)),
        }
    }

    pub(super) fn written(&self) -> Written {
        Arc::clone(&self.written)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.written.store(false, Ordering::Relaxed);
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.written.store(false, Ordering::Relaxed);
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.written.store(true, Ordering::Relaxed);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
