//! What the settings say of a pool of targets.

use crate::id::{ModelId, PoolId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr};

/// What the settings say of a pool of targets that serve the same stage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent fact of the pool"
)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolId,
    /// Protocol that the targets speak.
    pub kind: Kind,
    /// Model that engines of the pool are asked for; empty for plain services.
    pub model: ModelId,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Whether targets answer, by idempotency key, what became of a call.
    pub lookup: bool,
    /// Whether engines refuse an order with an old fence.
    pub fenced: bool,
    /// Whether a result is dear enough to be kept in the object store.
    pub checkpoint: bool,
    /// Longest time that one call may take.
    #[serde(with = "crate::millis")]
    pub timeout: Duration,
    /// Longest time without progress before a connection is condemned.
    #[serde(with = "crate::millis")]
    #[serde(rename = "silence")]
    pub idle_timeout: Duration,
    /// Most tokens that an engine may generate for one call.
    pub max_tokens: u32,
}

/// Protocol that the targets of a pool speak.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A model engine that streams completions.
    Engine,
    /// A plain service that answers one call with one JSON value.
    Service,
}

impl Pool {
    /// Creates an idempotent plain service pool with usual limits.
    pub fn new(name: impl Into<PoolId>) -> Self {
        Self {
            name: name.into(),
            kind: Kind::Service,
            model: ModelId::default(),
            idempotent: true,
            lookup: false,
            fenced: false,
            checkpoint: false,
            timeout: Duration::from_secs(4),
            idle_timeout: Duration::from_secs(1),
            max_tokens: 0,
        }
    }

    /// Makes the pool one of engines that serve `model`.
    #[must_use]
    pub fn with_engine(mut self, model: impl Into<ModelId>, max_tokens: u32) -> Self {
        self.kind = Kind::Engine;
        self.model = model.into();
        self.max_tokens = max_tokens;
        self
    }

    /// Marks calls of the pool as ones that may run at most once.
    #[must_use]
    pub fn with_effects(mut self, lookup: bool) -> Self {
        self.idempotent = false;
        self.lookup = lookup;
        self
    }

    /// Sets the longest time of a call and the longest time without progress.
    #[must_use]
    pub fn with_limits(mut self, timeout: Duration, idle_timeout: Duration) -> Self {
        self.timeout = timeout;
        self.idle_timeout = idle_timeout;
        self
    }

    /// Keeps results of the pool in the object store.
    #[must_use]
    pub fn with_checkpoint(mut self) -> Self {
        self.checkpoint = true;
        self
    }
}
