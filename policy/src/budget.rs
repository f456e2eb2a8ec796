//! Retry budget that limits extra attempts to a ratio of the first attempts.

/// Units of balance that one extra attempt costs.
const UNITS_PER_ATTEMPT: u64 = 1_000;

/// Token bucket that each first attempt fills by a fraction and each extra attempt drains by one.
///
/// Extra attempts are retries and hedges.
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
    /// Creates a full budget that permits `ratio` extra attempts per first attempt.
    ///
    /// The budget holds at most `burst` extra attempts. The ratio is clamped to between 0 and 1 and
    /// rounded to thousandths.
    pub fn new(ratio: f64, burst: u32) -> Self {
        let capacity = u64::from(burst) * UNITS_PER_ATTEMPT;
        Self {
            deposit_units: (ratio.clamp(0.0, 1.0) * UNITS_PER_ATTEMPT as f64).round() as u64,
            capacity,
            balance: capacity,
        }
    }

    /// Changes the ratio and the burst.
    ///
    /// The balance never increases here; a larger burst is filled by first attempts only.
    pub fn resize(&mut self, ratio: f64, burst: u32) {
        let full = Self::new(ratio, burst);
        self.deposit_units = full.deposit_units;
        self.capacity = full.capacity;
        self.balance = self.balance.min(full.capacity);
    }

    /// Credits a first attempt.
    pub fn deposit(&mut self) {
        self.balance = self.capacity.min(self.balance + self.deposit_units);
    }

    /// Withdraws one extra attempt and returns whether the balance was sufficient.
    pub fn try_spend(&mut self) -> bool {
        let remaining = self.balance.checked_sub(UNITS_PER_ATTEMPT);
        self.balance = remaining.unwrap_or(self.balance);
        remaining.is_some()
    }

    /// Returns the number of extra attempts that the balance permits.
    pub fn available(&self) -> u32 {
        (self.balance / UNITS_PER_ATTEMPT) as u32
    }
}
