//! Pause in which a server sends nothing.

use std::{sync::Mutex, time::Duration};
use tokio::time::Instant;

/// Pause of all connections of a server, which go on at its end.
#[derive(Debug, Default)]
pub(super) struct Pause {
    until: Mutex<Option<Instant>>,
}

impl Pause {
    /// Pauses until `duration` from now.
    pub fn begin(&self, duration: Duration) {
        *self.lock() = Some(Instant::now() + duration);
    }

    /// Returns when the current pause ends, if there is one.
    pub fn until(&self) -> Option<Instant> {
        self.lock().filter(|until| *until > Instant::now())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.until
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
