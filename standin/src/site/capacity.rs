//! Slots and queue of a fake engine, and the failure of a brittle one that rejects too much.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Period in which the rejections of a brittle engine are counted.
const REJECTION_PERIOD: Duration = Duration::from_secs(1);

/// How many requests an engine accepts at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Number of requests that run at the same time.
    pub slots: u32,
    /// Number of requests that may wait for a slot.
    pub queue: u32,
    /// Time for which a request holds its slot before its response begins.
    pub work: Duration,
}

/// How an engine announces that it bears few rejections, and what it does beyond them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Brittleness {
    /// Number of rejections for want of room in a second beyond which the engine falls over.
    pub max_rejections: u32,
    /// Number of requests that may wait for a slot, in place of [`Capacity::queue`].
    pub queue: u32,
    /// Time from the announcement until the engine has that queue and may fall over.
    pub notice: Duration,
    /// Time after which an engine that fell over accepts connections again.
    pub downtime: Duration,
}

/// Outcome of a request for a slot.
#[derive(Debug)]
pub(super) enum Admission {
    /// The request may run until this is dropped.
    Admitted(Slot),
    /// There is no room.
    Rejected,
    /// There is no room, and the engine has fallen over and stays down for this time.
    Fallen(Duration),
}

/// Holds a slot until dropped.
#[derive(Debug)]
pub(super) struct Slot {
    /// Time for which the request holds the slot before its response begins.
    pub work: Duration,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Admission of requests to an engine; unlimited by default.
#[derive(Debug, Default)]
pub(super) struct Admissions(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    capacity: Option<(Capacity, Arc<Semaphore>)>,
    waiting: u32,
    /// Since when the engine is brittle.
    brittleness: Option<(Brittleness, Instant)>,
    /// Times of the rejections within the last [`REJECTION_PERIOD`].
    rejections: VecDeque<Instant>,
    rejection_count: u64,
    falls: u32,
}

/// Counts a request as waiting until dropped.
struct WaitGuard<'a>(&'a Admissions);

impl Admissions {
    pub fn set_capacity(&self, capacity: Option<Capacity>) {
        let capacity = capacity.map(|capacity| {
            let slots = Arc::new(Semaphore::new(capacity.slots as usize));
            (capacity, slots)
        });
        self.state().capacity = capacity;
    }

    pub fn set_brittle(&self, brittleness: Option<Brittleness>) {
        let mut state = self.state();
        state.brittleness = brittleness.map(|brittleness| (brittleness, Instant::now()));
        state.rejections.clear();
    }

    /// Returns how often the engine fell over.
    pub fn falls(&self) -> u32 {
        self.state().falls
    }

    /// Returns the number of requests that were rejected for want of room.
    pub fn rejections(&self) -> u64 {
        self.state().rejection_count
    }

    /// Returns the number of rejections a second that the engine announces to bear.
    pub fn announced_limit(&self) -> Option<u32> {
        let state = self.state();
        state
            .brittleness
            .map(|(brittleness, _)| brittleness.max_rejections)
    }

    /// Returns the numbers of running and waiting requests and of slots; `None` if the capacity is
    /// unlimited.
    pub fn load(&self) -> Option<(u32, u32, u32)> {
        let state = self.state();
        let (capacity, slots) = state.capacity.as_ref()?;
        let running = capacity.slots - slots.available_permits() as u32;
        Some((running, state.waiting, capacity.slots))
    }

    /// Waits for a slot, unless the queue is full.
    pub async fn admit(&self) -> Admission {
        let (capacity, slots, _guard) = {
            let mut state = self.state();
            let Some((capacity, slots)) = state.capacity.clone() else {
                return Admission::Admitted(Slot {
                    work: Duration::ZERO,
                    _permit: None,
                });
            };
            if slots.available_permits() == 0 && state.waiting >= state.queue(capacity) {
                return state.reject();
            }
            state.waiting += 1;
            (capacity, slots, WaitGuard(self))
        };
        match slots.acquire_owned().await {
            Ok(permit) => Admission::Admitted(Slot {
                work: capacity.work,
                _permit: Some(permit),
            }),
            Err(_closed) => Admission::Rejected,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the brittleness once its notice has passed.
    fn effective(&self) -> Option<Brittleness> {
        let (brittleness, since) = self.brittleness?;
        (since.elapsed() >= brittleness.notice).then_some(brittleness)
    }

    fn queue(&self, capacity: Capacity) -> u32 {
        let effective = self.effective();
        effective.map_or(capacity.queue, |brittleness| brittleness.queue)
    }

    fn reject(&mut self) -> Admission {
        let now = Instant::now();
        self.rejection_count += 1;
        let Some(brittleness) = self.effective() else {
            return Admission::Rejected;
        };
        self.rejections
            .retain(|at| now.duration_since(*at) < REJECTION_PERIOD);
        self.rejections.push_back(now);
        if self.rejections.len() <= brittleness.max_rejections as usize {
            return Admission::Rejected;
        }
        self.rejections.clear();
        self.falls += 1;
        Admission::Fallen(brittleness.downtime)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.waiting -= 1;
    }
}
