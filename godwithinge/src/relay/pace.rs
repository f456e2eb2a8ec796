//! Pace of the streams that targets send, which shows their speed.
//!
//! Daemons tell each other their samples with heartbeats, since each of them sees a target only every
//! few seconds.

use super::{frame::WirePace, state::Relay};
use policy::{
    id::{PoolId, TargetId},
    relay::{performance::PaceSample, registry::Target, sse::EventId},
};
use std::{rc::Rc, time::Instant};

/// Maximum number of samples of one heartbeat that are recorded.
const MAX_PACES: usize = 64;

/// Measures the pace of a stream, which is recorded when it is dropped, however the stream ended.
#[derive(Debug)]
pub(super) struct PaceMeter {
    relay: Rc<Relay>,
    pool: PoolId,
    target: TargetId,
    first: Option<(Instant, EventId)>,
    last: Option<(Instant, EventId)>,
}

impl PaceMeter {
    /// Creates a meter of a stream of a target.
    pub fn new(relay: &Rc<Relay>, target: &Target) -> Self {
        Self {
            relay: Rc::clone(relay),
            pool: target.pool.clone(),
            target: target.id.clone(),
            first: None,
            last: None,
        }
    }

    /// Records that the events up to `last` have been received; `None` if they have no identifiers.
    pub fn record(&mut self, last: Option<EventId>) {
        let event = last.map(|last| (Instant::now(), last));
        self.first = self.first.or(event);
        self.last = event;
    }

    fn sample(&self) -> Option<PaceSample> {
        let ((first_at, first), (last_at, last)) = self.first.zip(self.last)?;
        let events = u32::try_from(last.checked_sub(first)?).ok()?;
        let interval = last_at.duration_since(first_at).checked_div(events)?;
        Some(PaceSample {
            target: self.target.clone(),
            interval,
            events,
        })
    }
}

impl Drop for PaceMeter {
    fn drop(&mut self) {
        if let Some(sample) = self.sample() {
            let now = self.relay.now();
            let mut selector = self.relay.target_selector_mut();
            let performance = selector.performance_mut();
            performance.record_own_pace(now, &self.pool, sample);
        }
    }
}

impl Relay {
    /// Returns the samples of this daemon from number `next` on, and sets it to that of the next one.
    pub(super) fn paces_from(&self, next: &mut u64) -> Vec<WirePace> {
        let selector = self.target_selector();
        let (samples, following) = selector.performance().samples_from(*next);
        *next = following;
        samples.map(WirePace::from).collect()
    }

    /// Records the samples of a peer; those of unknown targets are ignored.
    pub(super) fn receive_paces(&self, paces: Vec<WirePace>) {
        let now = self.now();
        let registry = self.registry();
        let mut selector = self.target_selector_mut();
        for pace in paces.into_iter().take(MAX_PACES) {
            let sample = PaceSample::from(pace);
            if let Some(target) = registry.get(&sample.target) {
                let performance = selector.performance_mut();
                performance.record_pace(now, &target.pool, &sample);
            }
        }
    }
}
