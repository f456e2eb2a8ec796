//! TCP stream that can be silenced or paused.

use super::{RawConnection, pause::Pause};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Sleep},
};

/// TCP stream that, once silenced, stays open but never reads, and discards all writes while
/// reporting success. While paused it neither reads nor writes. It is closed on drop.
#[derive(Debug)]
pub(super) struct SilenceableStream {
    stream: Arc<TcpStream>,
    silent: Arc<AtomicBool>,
    pause: Arc<Pause>,
    pause_timer: Pin<Box<Sleep>>,
}

impl SilenceableStream {
    pub(super) fn new(stream: TcpStream, pause: Arc<Pause>) -> Self {
        Self {
            stream: Arc::new(stream),
            silent: Arc::default(),
            pause,
            pause_timer: Box::pin(time::sleep(Duration::ZERO)),
        }
    }

    pub(super) fn silence_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.silent)
    }

    /// Returns a handle that writes to the stream directly.
    pub(super) fn raw(&self) -> RawConnection {
        RawConnection::new(&self.stream, &self.pause)
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Waits until the server is not paused. Reads and writes share the timer, since one task polls
    /// both.
    fn poll_unpaused(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while let Some(until) = self.pause.until() {
            self.pause_timer.as_mut().reset(until);
            ready!(self.pause_timer.as_mut().poll(cx));
        }
        Poll::Ready(())
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
        ready!(self.poll_unpaused(cx));
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        ready!(self.poll_unpaused(cx));
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
