//! Batch of limited width with a waiting queue by priority.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// Most load samples that are kept for late reports.
const SAMPLES: usize = 16_384;

/// Place in the order: lower first, by negated priority and then by arrival.
type Place = (i64, u64);

/// Batch of calls, some of which run while the others wait.
#[derive(Debug)]
pub struct Batch {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    width: usize,
    next: u64,
    running: BTreeSet<Place>,
    waiting: BTreeMap<Place, Arc<Notify>>,
    samples: VecDeque<(Instant, Load)>,
}

/// Calls that run and wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
}

/// Place of one call in a batch, given up when dropped.
#[derive(Debug)]
pub struct Ticket {
    batch: Arc<Batch>,
    place: Place,
    notify: Arc<Notify>,
}

impl Batch {
    /// Creates an empty batch that runs up to `width` calls at once.
    pub fn new(width: u32) -> Arc<Self> {
        let state = State {
            width: width as usize,
            next: 0,
            running: BTreeSet::new(),
            waiting: BTreeMap::new(),
            samples: VecDeque::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Changes how many calls run at once; running ones go on.
    pub fn set_width(&self, width: u32) {
        let mut state = self.state();
        state.width = width as usize;
        state.promote();
    }

    /// Adds a call, unless `queue` calls wait already and it would have to wait too.
    pub fn enter(self: &Arc<Self>, priority: i32, queue: u32) -> Option<Ticket> {
        let mut state = self.state();
        let full = state.running.len() >= state.width;
        if full && state.waiting.len() >= queue as usize {
            return None;
        }
        state.next += 1;
        let place = (-i64::from(priority), state.next);
        let notify = Arc::new(Notify::new());
        state.waiting.insert(place, Arc::clone(&notify));
        state.promote();
        Some(Ticket {
            batch: Arc::clone(self),
            place,
            notify,
        })
    }

    /// Returns the load as it was `age` ago.
    pub fn load(&self, age: Duration) -> Load {
        let state = self.state();
        let Some(time) = Instant::now().checked_sub(age) else {
            return Load::default();
        };
        let known = state.samples.iter().rev().find(|(at, _)| *at <= time);
        known.map(|(_, load)| *load).unwrap_or_default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn promote(&mut self) {
        while self.running.len() < self.width
            && let Some((place, notify)) = self.waiting.pop_first()
        {
            self.running.insert(place);
            notify.notify_one();
        }
        self.sample();
    }

    fn sample(&mut self) {
        let load = Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
        };
        if self.samples.len() == SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((Instant::now(), load));
    }
}

impl Ticket {
    /// Waits until the call may run.
    pub async fn ready(&self) {
        while !self.batch.state().running.contains(&self.place) {
            self.notify.notified().await;
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.batch.state();
        state.running.remove(&self.place);
        state.waiting.remove(&self.place);
        state.promote();
    }
}
