//! Limit on the share of time that is spent on the choice of calls.
//!
//! In a burst, results, replies and jobs come every half millisecond, and a choice looks at queues of
//! hundreds of stages. If each event is followed by a choice, the leader has no time left for its
//! connections: replies are read late, targets are idle meanwhile, the queues grow, and the next choice
//! takes longer still. A choice is therefore followed by a rest that is proportional to its duration, and
//! made for all events of that time at once.

use crate::id::Time;
use std::time::Duration;

/// Rest after a choice, as a multiple of its duration.
const REST_RATIO: u32 = 3;
/// Duration up to which a choice is followed by no rest.
const MAX_SHORT_CHOICE: Duration = Duration::from_micros(300); // timers are no finer than a millisecond

/// Decides when the next calls are chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    open_at: Time,
}

impl Throttle {
    /// Returns when the next calls may be chosen; `None` if now.
    pub fn wait(&self, now: Time) -> Option<Time> {
        (now < self.open_at).then_some(self.open_at)
    }

    /// Records a choice of calls.
    pub fn record(&mut self, started: Time, ended: Time) {
        let taken = ended.saturating_sub(started);
        if taken > MAX_SHORT_CHOICE {
            self.open_at = ended + taken * REST_RATIO;
        }
    }
}
