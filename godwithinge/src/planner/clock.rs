//! Monotonic clock of the planner process.

use policy::id::Time;
use std::time::Instant;

/// Monotonic clock whose time is zero at its creation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock(Instant);

impl Clock {
    pub(super) fn new() -> Self {
        Self(Instant::now())
    }

    pub(super) fn now(self) -> Time {
        self.0.elapsed()
    }

    /// Converts a time of this clock to an instant of the runtime.
    pub(super) fn instant(self, time: Time) -> tokio::time::Instant {
        (self.0 + time).into()
    }
}
