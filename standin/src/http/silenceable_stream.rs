//! TCP stream that can be silenced.

use super::RawConnection;
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// TCP stream that, once silenced, stays open but never reads, and discards all writes while
/// reporting success. It is closed on drop.
#[derive(Debug)]
pub(super) struct SilenceableStream {
    stream: Arc<TcpStream>,
    silent: Arc<AtomicBool>,
}

impl SilenceableStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream: Arc::new(stream),
            silent: Arc::default(),
        }
    }

    pub(super) fn silence_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.silent)
    }

    /// Returns a handle that writes to the stream directly.
    pub(super) fn raw(&self) -> RawConnection {
        RawConnection::new(&self.stream)
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }
}

impl AsyncRead for SilenceableStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(size) => {
                    buf.advance(size);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SilenceableStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}
