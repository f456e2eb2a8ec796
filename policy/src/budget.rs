//! Budget that holds extra attempts to a share of the traffic.

/// Units of one extra attempt.
const ATTEMPT: u64 = 1_000;

/// Token bucket that each first attempt fills a little and each extra attempt empties by one.
///
/// ```
/// use policy::budget::Budget;
///
/// let mut retries = Budget::new(0.5, 1);
/// assert!(retries.try_spend());
/// assert!(!retries.try_spend());
/// retries.deposit();
/// retries.deposit();
/// assert!(retries.try_spend());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    share: u64,
    capacity: u64,
    level: u64,
}

impl Budget {
    /// Creates a full budget of `share` extra attempts for each first one.
    ///
    /// The budget never holds more than `burst` extra attempts. The share is kept in thousandths
    /// and lies between 0 and 1.
    pub fn new(share: f64, burst: u32) -> Self {
        let capacity = u64::from(burst) * ATTEMPT;
        Self {
            share: (share.clamp(0.0, 1.0) * ATTEMPT as f64).round() as u64,
            capacity,
            level: capacity,
        }
    }

    /// Changes the share and the burst; a larger burst fills by first attempts only.
    pub fn resize(&mut self, share: f64, burst: u32) {
        let full = Self::new(share, burst);
        self.share = full.share;
        self.capacity = full.capacity;
        self.level = self.level.min(full.capacity);
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.level = self.capacity.min(self.level + self.share);
    }

    /// Takes one extra attempt from the budget and returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let left = self.level.checked_sub(ATTEMPT);
        self.level = left.unwrap_or(self.level);
        left.is_some()
    }

    /// Returns how many extra attempts may be made now.
    pub fn available(&self) -> u32 {
        (self.level / ATTEMPT) as u32
    }
}
