//! Monotonic clock of one process.

use policy::id::Time;
use std::time::Instant;

/// Monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock(Instant);

impl Clock {
    pub(super) fn new() -> Self {
        Self(Instant::now())
    }

    pub(super) fn now(self) -> Time {
        self.0.elapsed()
    }

    /// Returns the instant at which the clock shows `time`.
    pub(super) fn instant(self, time: Time) -> tokio::time::Instant {
        (self.0 + time).into()
    }
}
