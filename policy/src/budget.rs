//! Budget that holds extra attempts to a share of the traffic.

/// Units of one extra attempt.
const UNITS_PER_ATTEMPT: u64 = 1_000;

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
    deposit_units: u64,
    capacity: u64,
    balance: u64,
}

impl Budget {
    /// Creates a full budget of `share` extra attempts for each first one.
    ///
    /// The budget never holds more than `burst` extra attempts. The share is kept in thousandths
    /// and lies between 0 and 1.
    pub fn new(ratio: f64, burst: u32) -> Self {
        let capacity = u64::from(burst) * UNITS_PER_ATTEMPT;
        Self {
            deposit_units: (ratio.clamp(0.0, 1.0) * UNITS_PER_ATTEMPT as f64).round() as u64,
            capacity,
            balance: capacity,
        }
    }

    /// Changes the share and the burst; a larger burst fills by first attempts only.
    pub fn resize(&mut self, ratio: f64, burst: u32) {
        let full = Self::new(ratio, burst);
        self.deposit_units = full.deposit_units;
        self.capacity = full.capacity;
        self.balance = self.balance.min(full.capacity);
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.balance = self.capacity.min(self.balance + self.deposit_units);
    }

    /// Takes one extra attempt from the budget and returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let remaining = self.balance.checked_sub(UNITS_PER_ATTEMPT);
        self.balance = remaining.unwrap_or(self.balance);
        remaining.is_some()
    }

    /// Returns how many extra attempts may be made now.
    pub fn available(&self) -> u32 {
        (self.balance / UNITS_PER_ATTEMPT) as u32
    }
}
