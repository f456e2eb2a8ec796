//! Settings, faults and counters of an engine's fake.

use crate::fault::Faults;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings and faults of an engine's fake.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Settings {
    /// Port on 127.0.0.1; 0 for a free one.
    pub port: u16,
    /// Pool that the engine belongs to.
    pub pool: CompactString,
    /// Name of the target.
    pub target: CompactString,
    /// Seed of the lost cache events.
    pub seed: u64,
    /// Models that are warm at the start.
    pub models: Vec<CompactString>,
    /// Role at the start.
    pub role: CompactString,
    /// Tokens that are generated in a second for one request.
    pub tokens_per_second: f64,
    /// Prompt tokens that are read in a second.
    pub prefill_per_second: f64,
    /// Requests that run at once.
    pub width: u32,
    /// Requests that wait beyond those; more are refused.
    pub queue: u32,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Age of load reports, in milliseconds.
    pub report_delay_ms: u64,
    /// Age of cache events when they are published, in milliseconds.
    pub cache_delay_ms: u64,
    /// Share of cache events that are lost, from 0 to 1.
    pub lose_cache_events: f64,
    /// Whether orders with an older fence are refused.
    pub fenced: bool,
    /// Whether priorities are ignored.
    pub ignore_priority: bool,
    /// Time to load a model once its weights are there, in milliseconds.
    pub load_ms: u64,
    /// Interval of comments in streams that wait for their first token, in milliseconds; 0 for none.
    pub keepalive_ms: u64,
    /// Address of the weight store; without it models load with no weights.
    pub weights: Option<SocketAddr>,
    /// Faults.
    #[serde(flatten)]
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            port: 0,
            pool: CompactString::const_new("engine"),
            target: CompactString::const_new("engine-1"),
            seed: 1,
            models: vec![CompactString::const_new("base")],
            role: CompactString::const_new("serving"),
            tokens_per_second: 100.0,
            prefill_per_second: 4000.0,
            width: 8,
            queue: 64,
            cache_blocks: 4096,
            report_delay_ms: 0,
            cache_delay_ms: 0,
            lose_cache_events: 0.0,
            fenced: true,
            ignore_priority: false,
            load_ms: 200,
            keepalive_ms: 250,
            weights: None,
            faults: Faults::default(),
        }
    }
}

/// What an engine's fake has counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counters {
    /// Requests that were taken in.
    pub calls: u64,
    /// Requests that were generated to the end.
    pub completed: u64,
    /// Requests whose stream closed before the end.
    pub cancelled: u64,
    /// Requests that were refused because the engine was full.
    pub refused: u64,
    /// Requests that were malformed or named a model that isn't warm.
    pub rejected: u64,
    /// Engine-seconds of completed requests: time in the batch over its width.
    pub useful_seconds: f64,
    /// Engine-seconds of cancelled requests.
    pub wasted_seconds: f64,
    /// Tokens that were generated for completed requests.
    pub useful_tokens: u64,
    /// Tokens that were generated for cancelled requests.
    pub wasted_tokens: u64,
    /// Prompt tokens that were read.
    pub prefill_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Orders that were followed.
    pub orders: u64,
    /// Orders that were refused for their fence or for what they had seen.
    pub refused_orders: u64,
    /// Times that a model was loaded.
    pub loads: u64,
}
