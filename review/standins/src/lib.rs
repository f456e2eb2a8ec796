//! Stand-ins of the platform's store, engines and clients, and the daemons under test.
//!
//! Everything runs on loopback addresses. A case starts the daemons as separate processes; the
//! stand-ins are threads of the case's own process.

pub mod daemon;
pub mod engine;
pub mod http;
pub mod json;
pub mod proxy;
pub mod record;
pub mod store;

/// Exit status of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit status of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Returns whether the case is to cause its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Returns a number that differs between processes and runs.
pub fn seed() -> u64 {
    let time = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(1, |time| time.as_nanos() as u64);
    time ^ (u64::from(std::process::id()) << 32)
}

/// Generator of pseudo-random numbers (xorshift).
#[derive(Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// Returns a number from 0 up to, but not including, 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
