//! Record of what each call has cost a target.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What one call has cost a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Run {
    /// Idempotency token of the call.
    pub token: CompactString,
    /// Request that the call was for; empty if it is unknown.
    pub request: CompactString,
    /// Target-seconds: time in the batch over its width.
    pub seconds: f64,
    /// Tokens that were generated; 0 at a plain service.
    pub tokens: u32,
    /// Whether the call ran to its end.
    pub completed: bool,
}
