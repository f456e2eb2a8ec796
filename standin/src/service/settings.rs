//! Settings, faults and counters of a plain service's fake.

use crate::fault::Faults;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Settings and faults of a plain service's fake.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Settings {
    /// Port on 127.0.0.1; 0 for a free one.
    pub port: u16,
    /// Pool that the service belongs to.
    pub pool: CompactString,
    /// Name of the target.
    pub target: CompactString,
    /// Seed of the times and failures that are drawn.
    pub seed: u64,
    /// Time of one call, in milliseconds.
    pub time_ms: f64,
    /// Part of the time by which a call may be shorter or longer, from 0 to 1.
    pub spread: f64,
    /// Calls that run at once.
    pub width: u32,
    /// Calls that wait beyond those; more are refused.
    pub queue: u32,
    /// Whether `GET /effects/TOKEN` is answered.
    pub lookup: bool,
    /// Share of calls that answer 500 without an effect, from 0 to 1.
    pub fail: f64,
    /// Delay between the effect and the reply, in milliseconds.
    pub delay_reply_ms: u64,
    /// Age of load reports, in milliseconds.
    pub report_delay_ms: u64,
    /// Faults.
    #[serde(flatten)]
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            port: 0,
            pool: CompactString::const_new("service"),
            target: CompactString::const_new("service-1"),
            seed: 1,
            time_ms: 5.0,
            spread: 0.0,
            width: 16,
            queue: 64,
            lookup: false,
            fail: 0.0,
            delay_reply_ms: 0,
            report_delay_ms: 0,
            faults: Faults::default(),
        }
    }
}

/// What a plain service's fake has counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counters {
    /// Calls that were taken in.
    pub calls: u64,
    /// Calls that took effect.
    pub effects: u64,
    /// Calls that took effect for a token that had taken effect before.
    pub duplicates: u64,
    /// Calls that answered 500.
    pub failed: u64,
    /// Calls that were refused because the service was full.
    pub refused: u64,
    /// Calls that were malformed.
    pub rejected: u64,
    /// Seconds that calls have run.
    pub seconds: f64,
}
