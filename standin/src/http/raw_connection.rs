//! Answers that are not HTTP responses, or not complete ones.

use super::pause::Pause;
use std::{
    io,
    sync::{
        Arc, Weak,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::{net::TcpStream, time};

/// Handle in the extensions of a request by which its handler writes to the connection itself.
///
/// The handler then returns [`ConnectionClosed`](super::ConnectionClosed), which closes the
/// connection.
#[derive(Clone, Debug)]
pub struct RawConnection {
    stream: Weak<TcpStream>,
    pause: Arc<Pause>,
    /// Number of requests that have arrived.
    requests: Arc<AtomicUsize>,
}

impl RawConnection {
    pub(super) fn new(stream: &Arc<TcpStream>, pause: &Arc<Pause>) -> Self {
        Self {
            stream: Arc::downgrade(stream),
            pause: Arc::clone(pause),
            requests: Arc::default(),
        }
    }

    pub(super) fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether the connection has carried a request before the latest one.
    pub fn is_reused(&self) -> bool {
        self.requests.load(Ordering::Relaxed) > 1
    }

    /// Returns a number that no other open connection has.
    pub fn id(&self) -> usize {
        self.stream.as_ptr().addr()
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed.
    pub async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            while let Some(until) = self.pause.until() {
                time::sleep_until(until).await;
            }
            let stream = self.stream()?;
            stream.writable().await?;
            match stream.try_write(bytes) {
                Ok(size) => bytes = &bytes[size..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Makes the connection end with a TCP reset (RST) when it is closed.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed.
    pub fn reset_on_close(&self) -> io::Result<()> {
        self.stream()?.set_zero_linger()
    }

    fn stream(&self) -> io::Result<Arc<TcpStream>> {
        let stream = self.stream.upgrade();
        stream.ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}
