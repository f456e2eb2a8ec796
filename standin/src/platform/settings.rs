//! Settings, faults and counters of the platform's fake.

use serde::{Deserialize, Serialize};

/// Settings and faults of the platform's fake.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Port on 127.0.0.1; 0 for a free one.
    pub port: u16,
    /// Whether all connections are closed at once.
    pub outage: bool,
    /// Delay of each request before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Delay between the effect of a request and its reply, in milliseconds.
    pub delay_reply_ms: u64,
    /// How many further writes take effect and get no reply.
    pub lose_replies: u32,
    /// Commit as of which tables are read; 0 for the newest.
    pub stale: u64,
    /// Lag of the host list, in milliseconds.
    pub hosts_delay_ms: u64,
    /// Rows that may be written in a second; 0 for no limit.
    pub writes_per_second: f64,
    /// Reads that are answered in a second; 0 for no limit.
    pub reads_per_second: f64,
    /// Loads that the weight store answers in a second; 0 for no limit.
    pub weights_per_second: f64,
}

/// What the platform's fake has counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Reads of tables, objects and the host list that were answered.
    pub reads: u64,
    /// Rows and objects that were written.
    pub writes: u64,
    /// Transactions that were committed.
    pub commits: u64,
    /// Transactions that were refused because a check failed.
    pub conflicts: u64,
    /// Requests over a rate.
    pub limited: u64,
    /// Writes whose reply was lost.
    pub lost: u64,
    /// Loads of weights that were answered.
    pub weights: u64,
}
