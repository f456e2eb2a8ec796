//! Stream that records whether its other side ended before the bytes passed to it were written.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whether the server ended its side before the request was written; shared with the stream. It is
/// decided when the end is read: what is written later may be discarded by the server or on the way.
pub(super) type EndedEarly = Arc<AtomicBool>;

/// Stream that records whether a flush has succeeded between the last write and the end of the other
/// side. hyper flushes a stream once it has written all that it has buffered, which for a request is its
/// head and its body.
#[derive(Debug)]
pub(super) struct TrackedStream<S> {
    stream: S,
    is_written: bool,
    ended_early: EndedEarly,
}

impl<S> TrackedStream<S> {
    pub(super) fn new(stream: S) -> Self {
        Self {
            stream,
            is_written: true,
            ended_early: Arc::default(),
        }
    }

    pub(super) fn ended_early(&self) -> EndedEarly {
        Arc::clone(&self.ended_early)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let free = buf.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if free > 0 && buf.remaining() == free && !self.is_written {
            self.ended_early.store(true, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_written = false;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.is_written = false;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.is_written = true;
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
