//! The decisions of one entry daemon.

use crate::{
    command::Command,
    event::Event,
    id::{DomainId, HostId, Incarnation, Time},
    pool::Pool,
};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// What an entry is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry's own host.
    pub host: HostId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Number that the daemon drew at this start.
    pub incarnation: Incarnation,
    /// Seed of the entry's random numbers.
    pub seed: u64,
    /// All pools of the deployment.
    pub pools: Vec<Pool>,
    /// Most stages that wait for one pool.
    pub queue: usize,
    /// Time that a final outcome is remembered.
    pub remember: Duration,
}

/// The decisions of one entry daemon.
#[derive(Debug)]
pub struct Entry {
    settings: Settings,
    rng: ChaCha8Rng,
}

impl Entry {
    /// Creates an entry that holds no table and knows no target.
    pub fn new(settings: Settings) -> Self {
        use rand::SeedableRng;
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        Self { settings, rng }
    }

    /// Takes in one event and appends what is to be done.
    pub fn on(&mut self, _now: Time, _event: Event, _commands: &mut Vec<Command>) {
        let _ = (&self.settings, &self.rng);
    }

    /// Returns when the entry wants [`Event::Wake`], if it does.
    pub fn wake_at(&self) -> Option<Time> {
        None
    }

    /// Returns how many requests have no final outcome yet.
    pub fn in_flight(&self) -> usize {
        0
    }

    /// Returns whether the entry holds a table.
    pub fn is_ready(&self) -> bool {
        false
    }
}
