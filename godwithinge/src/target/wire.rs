//! Request and response bodies of targets.

use compact_str::CompactString;
use policy::{
    host::{CacheChange, Report, Role},
    id::{AdapterId, ModelId},
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::time::Duration;

/// Request body of a completion.
#[derive(Debug, Serialize)]
pub(super) struct Completion<'a> {
    pub(super) model: &'a str,
    pub(super) prompt: &'a str,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    pub(super) priority: i32,
    pub(super) user: &'a str,
    /// Text that was streamed already, after which the engine resumes.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub(super) resume: &'a str,
}

/// Streamed chunk of a completion.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionChunk {
    pub(super) choices: Vec<Choice>,
}

/// Text of a streamed chunk.
#[derive(Debug, Deserialize)]
pub(super) struct Choice {
    pub(super) text: String,
}

/// Request body of a call to a service.
#[derive(Debug, Serialize)]
pub(super) struct ServiceCall<'a> {
    pub(super) request: &'a str,
    pub(super) workspace: &'a str,
    pub(super) stage: &'a str,
    pub(super) input: &'a RawValue,
}

/// Response to a lookup of a call that took effect.
#[derive(Debug, Deserialize)]
pub(super) struct Effect {
    pub(super) result: Box<RawValue>,
}

/// Response to a read of a target's load.
#[derive(Debug, Deserialize)]
pub(super) struct LoadReport {
    running: u32,
    waiting: u32,
    width: u32,
    tokens_per_second: f64,
    prefill_per_second: f64,
    age_ms: f64,
    #[serde(default)]
    models: Vec<ModelId>,
    #[serde(default)]
    adapters: Vec<AdapterId>,
    #[serde(default)]
    role: Option<Role>,
}

/// Changes of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct CacheChanges {
    /// Changes, ordered by sequence number.
    pub events: Vec<CacheChange>,
    /// Sequence number of the engine's newest change.
    pub sequence: u64,
}

impl From<LoadReport> for Report {
    fn from(load: LoadReport) -> Self {
        Self {
            running: load.running,
            waiting: load.waiting,
            max_concurrency: load.width,
            tokens_per_second: load.tokens_per_second,
            prefill_per_second: load.prefill_per_second,
            age: Duration::from_secs_f64(load.age_ms.clamp(0.0, MAX_AGE_MS) / 1e3),
            models: load.models,
            adapters: load.adapters,
            role: load.role.unwrap_or_default(),
        }
    }
}

/// Age in milliseconds to which older reports are clamped.
const MAX_AGE_MS: f64 = 3.6e6;

/// Result of a completion, with the concatenated text of all chunks.
#[derive(Debug, Serialize)]
pub(super) struct StreamedResult {
    pub(super) text: CompactString,
}
