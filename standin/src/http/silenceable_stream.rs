//! TCP stream that can be silenced.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// TCP stream that, once silenced, stays open but never reads, and discards all writes while
/// reporting success.
#[derive(Debug)]
pub(super) struct SilenceableStream {
    stream: TcpStream,
    silent: Arc<AtomicBool>,
}

impl SilenceableStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            silent: Arc::default(),
        }
    }

    pub(super) fn silence_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.silent)
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }
}

impl AsyncRead for SilenceableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for SilenceableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
